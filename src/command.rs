//! Implementations of the subcommands, one module each, and calls to the admin address that they share.

pub mod admin;
mod check;
mod explain;
mod gateway;
mod load;
mod placement;
mod replay;
mod serve;
mod standin;
mod status;
mod ticket;

use crate::{args::Command, exit::Exit};

/// Runs a subcommand.
///
/// # Errors
///
/// Returns a report to print for the user; [`exit::of_report`](crate::exit::of_report) gives its exit code.
pub fn run(command: Command) -> eyre::Result<Exit> {
    match command {
        Command::Check(args) => check::run(&args),
        Command::Demo(args) => crate::demo::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Gateway(args) => gateway::run(&args),
        Command::Load(args) => load::run(&args),
        Command::Replay(args) => replay::run(&args),
        Command::Serve(args) => serve::run(&args),
        Command::Standin(args) => standin::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Ticket(args) => ticket::run(args.action),
        Command::Where(args) => placement::run(&args),
    }
}
