//! The `status` subcommand.

use super::admin;
use crate::{
    args::Status,
    exit::{Exit, failure},
};

/// Prints the status of the instance as JSON.
pub fn run(args: &Status) -> eyre::Result<Exit> {
    let response = admin::get(args.admin, "/status", None)?;
    if response.status != 200 {
        return Err(failure(
            Exit::Unreachable,
            format!("status {}: {}", response.status, response.body),
        ));
    }
    print!("{}", response.body);
    Ok(Exit::Done)
}
