//! Runs the gateway.

use crate::{
    args::Gateway,
    exit::{Exit, failure},
};

/// Serves until a signal asks the gateway to leave and every request is answered.
pub fn run(args: &Gateway) -> eyre::Result<Exit> {
    carob_gateway::run(&args.settings).map_err(|error| failure(Exit::Usage, error.to_string()))?;
    Ok(Exit::Done)
}
