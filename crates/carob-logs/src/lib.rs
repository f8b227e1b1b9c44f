//! Structured log lines on standard output: one JSON object a line, bounded in volume, never blocking.
//!
//! [`start`] installs a logger for the macros of the `log` crate; their key-value pairs become fields. Lines
//! go through bounded queues to a thread that writes them. A full queue drops lines and a later line counts
//! them. Warnings and errors have a queue and a rate of their own, so that lines about failures survive when
//! those about ordinary work are thinned.
//!
//! Fields: `ts` (milliseconds since 1970 on this machine's clock), `up` (milliseconds since the process
//! started, on the steady clock), `level`, `part` (module), `msg`, then the line's own.

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

/// Lines that each queue holds; at 300 bytes a line both stay under 1 MB.
const QUEUE: usize = 1_500;

/// Pause after a line in which others gather, so that many are written with one call and one wake-up.
const GATHER: Duration = Duration::from_millis(150);

/// How long the last lines may take when the process ends; the gateway ends 400 ms before it would be killed.
const LAST: Duration = Duration::from_millis(250);

/// Lines a second of each queue, on average over [`rate::BURST`] seconds.
const RATE: u64 = 150;

struct Queue {
    lines: Sender<Vec<u8>>,
    rate: rate::Rate,
    dropped: AtomicU64,
}

struct Logger {
    start: Instant,
    level: LevelFilter,
    ordinary: Queue,
    urgent: Queue,
    /// Wakes the thread that writes.
    wake: Sender<()>,
    stopping: AtomicBool,
}

/// The thread that writes.
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
    let (ordinary, normal) = flume::bounded(QUEUE);
    let (urgent, first) = flume::bounded(QUEUE);
    let (wake, woken) = flume::bounded(1);
    // A logger lives as long as its process; there is one.
    let logger: &'static Logger = Box::leak(Box::new(Logger {
        start: Instant::now(),
        level,
        ordinary: Queue::new(ordinary),
        urgent: Queue::new(urgent),
        wake,
        stopping: AtomicBool::new(false),
    }));
    log::set_logger(logger)?;
    log::set_max_level(level);
    let thread = thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_all(logger, &[first, normal], &woken))
        .expect("a thread can be started while the process starts");
    Ok(Writer { logger, thread })
}

impl Writer {
    /// Writes what is queued and ends the thread. Gives up on a standard output that blocks for [`LAST`], so
    /// that the process ends all the same.
    pub fn close(self) {
        self.logger.stopping.store(true, Ordering::Release);
        self.logger.wake();
        let end = Instant::now() + LAST;
        while !self.thread.is_finished() && Instant::now() < end {
            thread::sleep(LAST / 20);
        }
        if self.thread.is_finished() && self.thread.join().is_err() {
            eprintln!("the thread for logs has panicked");
        }
    }
}

fn write_all(logger: &Logger, queues: &[Receiver<Vec<u8>>], woken: &Receiver<()>) {
    while woken.recv().is_ok() {
        let stopping = logger.stopping.load(Ordering::Acquire);
        if !stopping {
            thread::sleep(GATHER);
        }
        let mut batch = Vec::new();
        for line in queues.iter().flat_map(Receiver::try_iter) {
            batch.extend_from_slice(&line);
        }
        let dropped = logger.urgent.take_dropped() + logger.ordinary.take_dropped();
        if dropped > 0 {
            batch.extend(line::dropped(logger.start, dropped));
        }
        let mut out = std::io::stdout().lock();
        // Nothing can be told of a failure here: this is where failures are told.
        let _written = out.write_all(&batch).and_then(|()| out.flush());
        if stopping {
            return;
        }
    }
}

impl Logger {
    fn wake(&self) {
        // A full channel means that the thread wakes up anyway.
        let _woken = self.wake.try_send(());
    }
}

impl Queue {
    fn new(lines: Sender<Vec<u8>>) -> Self {
        Self {
            lines,
            rate: rate::Rate::new(RATE),
            dropped: AtomicU64::new(0),
        }
    }

    fn push(&self, record: &Record<'_>, start: Instant) {
        if !self.rate.take(start.elapsed()) {
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
        // Libraries log connections and timers that say nothing about a request.
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

    fn flush(&self) {}
}
