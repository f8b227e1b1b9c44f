//! Signals to shut down, read on a thread of their own: neither the time of a signal nor the end of the process may
//! depend on what the other threads do.

use std::{
    process,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use carob_base::Time;
use carob_shutdown::Shutdown;
use flume::Sender;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::{run::Error, update::Update};

/// The grace of the settings in force, for the thread that reads the signals.
#[derive(Debug, Default)]
pub(crate) struct Grace(AtomicU64);

impl Grace {
    pub(crate) fn set(&self, grace: Duration) {
        self.0.store(grace.as_millis() as u64, Ordering::Relaxed);
    }

    fn get(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// A signal to shut down.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShutdownSignal {
    /// When it was read.
    pub at: Instant,
    /// Time from then until the process is killed.
    pub grace: Duration,
}

/// Signals that wait to be read.
pub(crate) struct Pending(Signals);

/// Catches the signals to shut down, which otherwise end the process at once.
pub(crate) fn catch() -> Result<Pending, Error> {
    let failed = |error: std::io::Error| Error::Start("signals", error.to_string());
    Signals::new([SIGTERM, SIGINT]).map(Pending).map_err(failed)
}

impl Pending {
    /// Starts the thread that waits for the first signal to shut down and passes it on. It ends the process if that
    /// has not ended by itself shortly before the end of the grace. Later signals change nothing.
    pub(crate) fn spawn(mut self, grace: Arc<Grace>, updates: Sender<Update>) -> Result<(), Error> {
        let run = move || {
            let Some(number) = self.0.forever().next() else {
                return;
            };
            let signal = ShutdownSignal {
                at: Instant::now(),
                grace: grace.get(),
            };
            let name = if number == SIGTERM { "SIGTERM" } else { "SIGINT" };
            log::info!(signal = name, grace_ms = signal.grace.as_millis() as u64; "leaving: not ready any more, requests are finished");
            end_in_time(signal, &updates);
        };
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(run)
            .map(|_detached| ())
            .map_err(|error| Error::Start("a thread", error.to_string()))
    }
}

/// Passes a signal on, and ends the process if that has not ended by itself in time.
fn end_in_time(signal: ShutdownSignal, updates: &Sender<Update>) {
    // Waits for room if the traffic thread is late. It ends the process itself, unless it is stuck.
    let late = signal.at + signal.grace / 2;
    if updates.send_deadline(Update::Shutdown(signal), late).is_err() {
        log::error!("the traffic thread does not take the signal");
    }
    force_exit(signal.at, signal.grace, || process::exit(0));
}

/// Calls `end` if the process still runs shortly before its `grace` after `signal` is over, whatever the other
/// threads do: a process that is killed instead leaves no line about it.
pub fn force_exit(signal: Instant, grace: Duration, end: impl FnOnce()) {
    let options = carob_shutdown::Options::new(Duration::ZERO).with_grace(grace);
    let shutdown = Shutdown::new(Time::ZERO, options);
    let wait_until = |time: Time| {
        let end = signal + time.since(Time::ZERO);
        thread::sleep(end.saturating_duration_since(Instant::now()));
    };
    wait_until(shutdown.overdue());
    log::error!(signal_ms = signal.elapsed().as_millis() as u64; "the process has not ended by itself");
    log::logger().flush();
    wait_until(shutdown.forced());
    end();
}
