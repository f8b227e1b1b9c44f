//! Replays recorded traces.

use crate::{
    args::Replay,
    exit::{Exit, failure},
};

/// Replays each trace and prints its measures and whether its stated outcomes held.
pub fn run(args: &Replay) -> eyre::Result<Exit> {
    if args.traces.is_empty() {
        return Err(failure(Exit::Usage, "expected at least one trace file"));
    }
    let mut held = true;
    for path in &args.traces {
        let report =
            carob_replay::replay_file(path).map_err(|error| failure(Exit::Usage, error.to_string()))?;
        println!("{}\n{report}", path.display());
        held &= report.held();
    }
    Ok(if held { Exit::Done } else { Exit::Refused })
}
