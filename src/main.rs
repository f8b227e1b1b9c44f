//! The `carobhaven` command.

mod args;
mod command;
mod demo;
mod exit;
mod logs;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: args::Args = argh::from_env();
    let structured = matches!(args.command, args::Command::Gateway(_));
    let writer = logs::start(&args.log, structured);
    let code = match command::run(args.command) {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("carobhaven: {report:#}");
            exit::of_report(&report).into()
        }
    };
    if let Some(writer) = writer {
        writer.close();
    }
    code
}
