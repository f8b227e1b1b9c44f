//! The `replay` subcommand: replays recorded traces in virtual time.

use crate::{
    args::Replay,
    exit::{Exit, failure},
};

/// Replays each trace, and prints its measurements and whether the outcomes stated in it were met.
pub fn run(args: &Replay) -> eyre::Result<Exit> {
    if args.traces.is_empty() {
        return Err(failure(Exit::Usage, "expected at least one trace file"));
    }
    let mut met = true;
    for path in &args.traces {
        let report =
            carob_replay::replay_file(path).map_err(|error| failure(Exit::Usage, error.to_string()))?;
        println!("{}\n{report}", path.display());
        met &= report.expectations_met();
    }
    Ok(if met { Exit::Done } else { Exit::Refused })
}
