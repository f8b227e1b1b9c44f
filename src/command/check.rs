//! The `check` subcommand: validates a settings file without starting anything.

use std::path::Path;

use carob_settings::Settings;

use crate::{
    args::Check,
    exit::{Exit, failure},
};

/// Checks the file and prints the identity that it gives the instance or gateway.
pub fn run(args: &Check) -> eyre::Result<Exit> {
    if args.gateway {
        let settings = carob_gateway::Settings::load(&args.settings)
            .map_err(|errors| failure(Exit::Usage, errors.to_string()))?;
        println!(
            "settings are valid: gateway {}, failure domain {}",
            settings.name, settings.domain
        );
        return Ok(Exit::Done);
    }
    let settings = load(&args.settings)?;
    let identity = &settings.instance;
    println!(
        "settings are valid: instance {}, failure domain {}, region {}",
        identity.name, identity.domain, identity.region
    );
    Ok(Exit::Done)
}

/// Reads and validates a settings file of an entry instance.
///
/// # Errors
///
/// Returns every problem with file, line and key, with the exit code [`Exit::Usage`].
pub fn load(path: &Path) -> eyre::Result<Settings> {
    Settings::load(path).map_err(|errors| failure(Exit::Usage, errors.to_string()))
}
