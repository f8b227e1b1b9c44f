//! Replays recorded traces in virtual time and checks the measurements against the bounds that the traces
//! state.
//!
//! * [`trace`]: the data model of a trace; [`format`](mod@format): its text format.
//! * [`generate`]: synthetic traces, reproducible by their seed.
//! * [`run`](mod@run): the discrete-event simulation, in which [`engine`] simulates the model engines.
//! * [`policy`]: the product's router and the baseline policies that it is compared with.
//! * [`report`]: the measurements of a replay; [`expect`]: the bounds for these measurements.

pub mod engine;
pub mod expect;
pub mod fleet;
pub mod format;
pub mod generate;
pub mod policy;
pub mod report;
pub mod run;
pub mod trace;

mod event;
mod fault;
mod mix;
mod signal;
mod tally;

use std::{
    io,
    path::{Path, PathBuf},
};

pub use policy::Policy;
pub use report::Report;
pub use run::run;
pub use trace::Trace;

/// Error that keeps a trace file from being replayed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The trace file cannot be read.
    #[error("cannot read {path}")]
    Read {
        /// Path of the trace file.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// The content of the file is not a valid trace.
    #[error("{path}: {source}")]
    Format {
        /// Path of the trace file.
        path: PathBuf,
        /// Line number and cause.
        source: format::Error,
    },
}

/// Seed of every replay of a trace file, fixed so that the measurements are reproducible.
pub const FILE_SEED: u64 = 1;

/// Replays a trace file with the product's router, all mechanisms enabled, and checks its expectations.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be read or is not a valid trace.
pub fn replay_file(path: &Path) -> Result<Report, Error> {
    let read = std::fs::read_to_string(path);
    let text = read.map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    let parsed = format::parse(&text);
    let trace = parsed.map_err(|source| Error::Format {
        path: path.to_owned(),
        source,
    })?;
    Ok(run(
        &trace,
        Policy::Product(carob_route::options::Mechanisms::ALL),
        FILE_SEED,
    ))
}
