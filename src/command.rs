//! The subcommands.

pub mod admin;
mod check;
mod explain;
mod gateway;
mod load;
mod replay;
mod serve;
mod standin;
mod status;
mod ticket;

use crate::{args::Command, exit::Exit};

/// Runs one subcommand.
///
/// # Errors
///
/// Returns a report for people; its exit code is [`exit::of_report`](crate::exit::of_report).
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
    }
}
