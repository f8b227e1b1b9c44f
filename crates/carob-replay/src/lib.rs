//! Replay of recorded traces in virtual time against stated outcomes.
//!
//! * [`trace`]: a recorded trace; [`format`](mod@format): its text.
//! * [`generate`]: traces with fixed seeds.
//! * [`run`](mod@run): the replay itself, with [`engine`] in the place of the model engines.
//! * [`policy`]: the product's router and the simple policies that it is compared with.
//! * [`report`] and [`expect`]: what was reached and what was expected.

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

/// A trace file could not be replayed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is no valid trace.
    #[error("{path}: {source}")]
    Format {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: format::Error,
    },
}

/// Seed with which trace files are replayed.
pub const FILE_SEED: u64 = 1;

/// Replays a trace file with the product's policy and checks its expectations.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be read or is no valid trace.
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
