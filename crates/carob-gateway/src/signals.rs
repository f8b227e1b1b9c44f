//! Signals to shut down, read on a thread of their own: the time of a signal must not depend on what the other
//! threads do.

use std::{thread, time::Instant};

use flume::Receiver;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::run::Error;

/// A signal to shut down.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShutdownSignal {
    /// Name of the signal, for log lines.
    pub name: &'static str,
    /// When it was read.
    pub at: Instant,
}

/// Starts the thread that reads signals to shut down. The channel holds the first; later ones change nothing.
pub(crate) fn start() -> Result<Receiver<ShutdownSignal>, Error> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).map_err(|error| Error::Start("signals", error.to_string()))?;
    let (sender, received) = flume::bounded(1);
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for number in signals.forever() {
                let name = if number == SIGTERM { "SIGTERM" } else { "SIGINT" };
                let at = Instant::now();
                // Fails if an earlier signal still waits to be read, or if the process ends.
                let _sent = sender.try_send(ShutdownSignal { name, at });
            }
        })
        .map_err(|error| Error::Start("a thread", error.to_string()))?;
    Ok(received)
}
