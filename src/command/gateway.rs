//! The `gateway` subcommand.

use crate::{
    args::Gateway,
    exit::{Exit, failure},
};

/// Runs the gateway until SIGTERM or SIGINT, and then until its open requests have ended.
pub fn run(args: &Gateway) -> eyre::Result<Exit> {
    carob_gateway::run(&args.settings).map_err(|error| failure(Exit::Usage, error.to_string()))?;
    Ok(Exit::Done)
}
