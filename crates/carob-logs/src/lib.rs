//! Structured logging to standard output: one JSON object per line, limited in volume, without blocking.
//!
//! [`start`] installs a logger for the macros of the `log` crate; their key-value pairs become fields. Bounded
//! queues pass the lines to a thread that writes them. Lines beyond the capacity or the rate limit of a queue
//! are dropped, and a later line contains their number. Warnings and errors have their own queue and rate
//! limit, so that lines about failures are not dropped because there are too many about ordinary work.
//!
//! Fields: `ts` (Unix time in milliseconds by this machine's clock), `up` (milliseconds since the process
//! started, by the monotonic clock), `level`, `part` (module path), `msg`, then the line's own.

mod line;
mod rate;

use std::{
    fmt,
    io::Write,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use flume::{Receiver, Sender, TrySendError};
use log::{Level, LevelFilter, Log, Metadata, Record};

/// Capacity of each queue, in lines; at 300 bytes per line, both queues together take less than 1 MB.
const QUEUE_CAPACITY: usize = 1_500;

/// Delay between a line and its writing, in which further lines are collected: they are written together,
/// with one system call and one wake-up.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// Time limit for writing the last lines when the process ends. The gateway ends 400 ms before it would be
/// killed, so this must be shorter.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Rate limit of each queue, in lines per second, averaged over [`rate::WINDOW_SECONDS`].
const LINES_PER_SECOND: u64 = 150;

struct Queue {
    lines: Sender<Vec<u8>>,
    rate_limit: rate::RateLimit,
    /// Number of lines dropped since the last line that reported them.
    dropped: AtomicU64,
}

struct Logger {
    start: Instant,
    level: LevelFilter,
    ordinary: Queue,
    /// Warnings and errors.
    urgent: Queue,
    /// Wakes the writer thread.
    wake: Sender<()>,
    /// Ends the delay of the writer thread.
    hurry: Sender<()>,
    stopping: AtomicBool,
}

/// Handle of the thread that writes the lines.
pub struct Writer {
    logger: &'static Logger,
    thread: JoinHandle<()>,
}

impl fmt::Debug for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Writer").finish_non_exhaustive()
    }
}

/// Starts logging lines of `level` and above.
///
/// # Errors
///
/// Returns an error if the process has a logger already.
///
/// # Panics
///
/// Panics if no thread can be started.
pub fn start(level: LevelFilter) -> Result<Writer, log::SetLoggerError> {
    let (ordinary, ordinary_lines) = flume::bounded(QUEUE_CAPACITY);
    let (urgent, urgent_lines) = flume::bounded(QUEUE_CAPACITY);
    let (wake, wakeups) = flume::bounded(1);
    let (hurry, hurries) = flume::bounded(1);
    // The process has only this logger and uses it until it ends, so it is never freed.
    let logger: &'static Logger = Box::leak(Box::new(Logger {
        start: Instant::now(),
        level,
        ordinary: Queue::new(ordinary),
        urgent: Queue::new(urgent),
        wake,
        hurry,
        stopping: AtomicBool::new(false),
    }));
    log::set_logger(logger)?;
    log::set_max_level(level);
    let thread = thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || run_writer(logger, &[urgent_lines, ordinary_lines], &wakeups, &hurries))
        .expect("a thread can be started while the process starts");
    Ok(Writer { logger, thread })
}

impl Writer {
    /// Writes the queued lines and ends the thread. Gives up if standard output blocks for [`CLOSE_TIMEOUT`], so
    /// that the process can still end.
    pub fn close(self) {
        self.logger.stopping.store(true, Ordering::Release);
        self.logger.flush();
        let end = Instant::now() + CLOSE_TIMEOUT;
        while !self.thread.is_finished() && Instant::now() < end {
            thread::sleep(CLOSE_TIMEOUT / 20);
        }
        if self.thread.is_finished() && self.thread.join().is_err() {
            eprintln!("the thread for logs has panicked");
        }
    }
}

fn run_writer(logger: &Logger, queues: &[Receiver<Vec<u8>>], wakeups: &Receiver<()>, hurries: &Receiver<()>) {
    while wakeups.recv().is_ok() {
        // A timeout is the usual case.
        let _hurried = hurries.recv_timeout(BATCH_DELAY);
        let stopping = logger.stopping.load(Ordering::Acquire);
        let mut batch = Vec::new();
        for line in queues.iter().flat_map(Receiver::try_iter) {
            batch.extend_from_slice(&line);
        }
        let dropped = logger.urgent.take_dropped() + logger.ordinary.take_dropped();
        if dropped > 0 {
            batch.extend(line::encode_dropped(logger.start, dropped));
        }
        let mut out = std::io::stdout().lock();
        // A failure to write cannot be logged: it is the log that fails.
        let _written = out.write_all(&batch).and_then(|()| out.flush());
        if stopping {
            return;
        }
    }
}

impl Logger {
    fn wake(&self) {
        // If the channel is full, the thread is about to wake up anyway.
        let _woken = self.wake.try_send(());
    }
}

impl Queue {
    fn new(lines: Sender<Vec<u8>>) -> Self {
        Self {
            lines,
            rate_limit: rate::RateLimit::new(LINES_PER_SECOND),
            dropped: AtomicU64::new(0),
        }
    }

    fn push(&self, record: &Record<'_>, start: Instant) {
        if !self.rate_limit.try_take(start.elapsed()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line::encode(record, start)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        // The lines of libraries are about connections and timers and do not help to explain a request.
        metadata.level() <= self.level && metadata.target().starts_with("carob")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let queue = if record.level() <= Level::Warn {
            &self.urgent
        } else {
            &self.ordinary
        };
        queue.push(record, self.start);
        self.wake();
    }

    /// Makes the writer thread write the queued lines at once; does not wait for it.
    fn flush(&self) {
        // If the channel is full, the thread writes without a delay anyway.
        let _hurried = self.hurry.try_send(());
        self.wake();
    }
}
