//! Shows an instance's status.

use super::admin;
use crate::{
    args::Status,
    exit::{Exit, failure},
};

/// Prints the status of the instance as JSON.
pub fn run(args: &Status) -> eyre::Result<Exit> {
    let answer = admin::get(args.admin, "/status", None)?;
    if answer.status != 200 {
        return Err(failure(
            Exit::Unreachable,
            format!("status {}: {}", answer.status, answer.body),
        ));
    }
    print!("{}", answer.body);
    Ok(Exit::Done)
}
