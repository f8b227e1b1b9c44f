//! Arguments of the command and its subcommands.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Serving system for model generations of unknown length on crowded engines.
///
/// Exit codes: 0 done; 1 refused or an outcome did not hold; 2 bad arguments, settings or input; 3 an instance or
/// the platform could not be reached; 4 a ticket is recorded but not yet in force everywhere.
#[derive(FromArgs)]
pub struct Args {
    /// which log lines to write: error, warn, info, debug or a filter such as `warn,carob_route=debug`
    #[argh(option, default = "String::from(\"info\")")]
    pub log: String,
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Check(Check),
    Demo(Demo),
    Explain(Explain),
    Gateway(Gateway),
    Load(Load),
    Replay(Replay),
    Serve(Serve),
    Standin(Standin),
    Status(Status),
    Ticket(Ticket),
}

/// Run an entry instance until SIGTERM or SIGINT, then finish open requests and exit.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// settings file (INI); see docs/SETTINGS.md
    #[argh(option)]
    pub settings: PathBuf,
}

/// Explain a request, an upstream or an instance from the log lines of gateways.
///
/// Prints the lines about it in one order, although instances' clocks differ, and for a request the outcome and the
/// decision that led to it.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// what instances knew of this upstream, in place of a request
    #[argh(option)]
    pub upstream: Option<String>,
    /// what this instance believed, in place of a request
    #[argh(option)]
    pub instance: Option<String>,
    /// the request's id, unless --upstream or --instance is given, and log files
    #[argh(positional)]
    pub files: Vec<String>,
}

/// Run a gateway on the users' platform until SIGTERM or SIGINT, then finish open requests and exit.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct Gateway {
    /// settings file (INI); see docs/operators/gateway.md
    #[argh(option)]
    pub settings: PathBuf,
}

/// Check a settings file without starting anything; prints every problem with file, line and key.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// settings file (INI)
    #[argh(option)]
    pub settings: PathBuf,
    /// check it as the settings of a gateway
    #[argh(switch)]
    pub gateway: bool,
}

/// Run an entry instance with embedded stand-ins for the platform and the upstreams, on loopback.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// run the whole round once, print each outcome and exit: 0 only if every outcome held
    #[argh(switch)]
    pub once: bool,
}

/// Send a workload to entry instances as an open loop, check every outcome and report latencies.
///
/// Exits with 1 if any outcome was wrong: an event lost, repeated or out of order, an order run twice, a refusal
/// that did not hold.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// workload file; see docs/operators/load.md
    #[argh(option)]
    pub workload: PathBuf,
    /// callers' address of an instance; may be given several times
    #[argh(option)]
    pub target: Vec<SocketAddr>,
    /// seed of arrivals, sizes and callers' behaviour (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// rate of arrivals in percent of the workload's (default 100)
    #[argh(option, default = "100")]
    pub rate_percent: u64,
    /// file for the report as CSV
    #[argh(option)]
    pub csv: Option<PathBuf>,
    /// file for the report as an SVG plot
    #[argh(option)]
    pub plot: Option<PathBuf>,
}

/// Replay recorded traces in virtual time and compare with the outcomes that they state.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// trace files; see docs/TRACES.md
    #[argh(positional)]
    pub traces: Vec<PathBuf>,
}

/// Run one stand-in for an outside system as a process of its own, until SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "standin")]
pub struct Standin {
    /// which one: store, list, engine or orders
    #[argh(positional)]
    pub kind: String,
    /// address to listen on (default 127.0.0.1:0, any free port; the address is printed)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub address: SocketAddr,
}

/// Show an instance's upstreams, peers, configuration revision and queue.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// operators' address of any instance
    #[argh(option)]
    pub admin: SocketAddr,
}

/// Check, submit or follow change tickets.
#[derive(FromArgs)]
#[argh(subcommand, name = "ticket")]
pub struct Ticket {
    #[argh(subcommand)]
    pub action: Action,
}

/// What to do with a ticket.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Action {
    Check(TicketCheck),
    Status(TicketStatus),
    Submit(TicketSubmit),
}

/// Check a ticket file without sending it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct TicketCheck {
    /// ticket file (INI)
    #[argh(positional)]
    pub file: PathBuf,
}

/// Submit a ticket and wait until it is in force everywhere.
///
/// Submitting the same ticket again is safe and gives the same answer.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct TicketSubmit {
    /// ticket file (INI)
    #[argh(positional)]
    pub file: PathBuf,
    /// operators' address of any instance
    #[argh(option)]
    pub admin: SocketAddr,
    /// file with the operators' key
    #[argh(option)]
    pub key: Option<PathBuf>,
    /// seconds to wait until the ticket is in force everywhere (default 8)
    #[argh(option, default = "8")]
    pub wait: u64,
}

/// Show whether a ticket is recorded and which instances have not confirmed it.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct TicketStatus {
    /// the ticket's number
    #[argh(positional)]
    pub number: u64,
    /// operators' address of any instance
    #[argh(option)]
    pub admin: SocketAddr,
    /// file with the operators' key
    #[argh(option)]
    pub key: Option<PathBuf>,
}
