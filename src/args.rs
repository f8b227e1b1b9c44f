//! Command-line arguments. The doc comments of types and fields are the `--help` texts.

use std::{net::SocketAddr, num::NonZeroU32, path::PathBuf};

use argh::FromArgs;

/// Window over which the repeats of a service are counted, in seconds.
const DEFAULT_WINDOW_S: NonZeroU32 = NonZeroU32::new(10).unwrap();

/// Serving system for model generations of unknown length on heavily loaded engines.
///
/// Exit codes: 0 success; 1 a request or ticket was refused, or a checked outcome was wrong; 2 invalid
/// arguments, settings or input; 3 an instance or the platform could not be reached; 4 a ticket is recorded
/// but not yet in force on every instance.
#[derive(FromArgs)]
pub struct Args {
    /// log level (error, warn, info or debug) or, except for `gateway`, a filter such as
    /// `warn,carob_route=debug`
    #[argh(option, default = "String::from(\"info\")")]
    pub log: String,
    #[argh(subcommand)]
    pub command: Command,
}

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
    Where(Where),
}

/// Run an entry instance until SIGTERM or SIGINT, then finish open requests and exit.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// settings file (INI); see docs/SETTINGS.md
    #[argh(option)]
    pub settings: PathBuf,
}

/// Explain what happened to a request, an upstream, an instance or a service, from the logs of gateways.
///
/// Prints the log lines about it in one order, corrected for the differences between the instances' clocks,
/// and for a request also its outcome and the decision that led to it. For a service, prints instead what was
/// sent to its upstreams in the windows with the most repeats.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// show what the instances knew about this upstream, instead of a request
    #[argh(option)]
    pub upstream: Option<String>,
    /// show what this instance knew, instead of a request
    #[argh(option)]
    pub instance: Option<String>,
    /// count the requests to this service that upstreams got more than once, instead of a request
    #[argh(option)]
    pub service: Option<String>,
    /// length of the sliding windows of --service, in seconds (default 10)
    #[argh(option, default = "DEFAULT_WINDOW_S")]
    pub window: NonZeroU32,
    /// request id (omitted with --upstream, --instance or --service), followed by log files
    #[argh(positional)]
    pub files: Vec<String>,
}

/// Run a gateway on the platform until SIGTERM or SIGINT, then finish open requests and exit.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct Gateway {
    /// settings file (INI); see docs/operators/gateway.md
    #[argh(option)]
    pub settings: PathBuf,
}

/// Check a settings file without starting anything; every problem is printed with file, line and key.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// settings file (INI)
    #[argh(option)]
    pub settings: PathBuf,
    /// check the file as settings of a gateway instead of an entry instance
    #[argh(switch)]
    pub gateway: bool,
}

/// Run an entry instance on loopback, with embedded stand-ins for the platform and the upstreams.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// run a scripted sequence once, print the outcome of each step and exit with 0 only if all were as
    /// expected
    #[argh(switch)]
    pub once: bool,
}

/// Send an open-loop workload to entry instances, check every outcome and report latencies.
///
/// Exits with 1 if any outcome was wrong: an event was lost, repeated or out of order, an order ran twice, or
/// a request ran although it had been refused.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// workload file; see docs/operators/load.md
    #[argh(option)]
    pub workload: PathBuf,
    /// caller address of an instance; may be repeated
    #[argh(option)]
    pub target: Vec<SocketAddr>,
    /// random seed for arrivals, sizes and client behaviour (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// arrival rate, in percent of the workload's rate (default 100)
    #[argh(option, default = "100")]
    pub rate_percent: u64,
    /// write the report to this file as CSV
    #[argh(option)]
    pub csv: Option<PathBuf>,
    /// write the report to this file as an SVG plot
    #[argh(option)]
    pub plot: Option<PathBuf>,
}

/// Replay recorded traces in virtual time and compare the results with the outcomes stated in them.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// trace files; see docs/TRACES.md
    #[argh(positional)]
    pub traces: Vec<PathBuf>,
}

/// Run a stand-in for one external system as a separate process, until SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "standin")]
pub struct Standin {
    /// kind of stand-in: store, list, engine or orders
    #[argh(positional)]
    pub kind: String,
    /// address to listen on (default 127.0.0.1:0, any free port); the address in use is printed
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub address: SocketAddr,
}

/// Show the upstreams, peers, configuration revision and queue of an instance.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// admin address of the instance
    #[argh(option)]
    pub admin: SocketAddr,
}

/// Ask a running gateway where a request would go now, and why. The request is described, and not sent.
///
/// Shows what would be done with it, the upstreams that it could go to with the terms of their scores, the best first, and
/// why it does not go to the others.
#[derive(FromArgs)]
#[argh(subcommand, name = "where")]
pub struct Where {
    /// admin address of the gateway
    #[argh(option)]
    pub admin: SocketAddr,
    /// file that contains the client's API key
    #[argh(option)]
    pub key: Option<PathBuf>,
    /// prompt tokens of a generation
    #[argh(option)]
    pub prompt: Option<u32>,
    /// maximum output tokens of a generation
    #[argh(option)]
    pub output: Option<u32>,
    /// output tokens that the client expects
    #[argh(option)]
    pub hint: Option<u32>,
    /// parts of the prompt as the client lists them, such as `3fa9:2000,77c1:200`
    #[argh(option)]
    pub parts: Option<String>,
    /// further header of the request, as `NAME: VALUE`; may be repeated
    #[argh(option)]
    pub header: Vec<String>,
    /// print the answer as JSON
    #[argh(switch)]
    pub json: bool,
    /// method of the request, such as POST
    #[argh(positional)]
    pub method: String,
    /// host and path of the request, such as `shop.example/draft/x`
    #[argh(positional)]
    pub target: String,
}

/// Check a change ticket, submit it or show its state.
#[derive(FromArgs)]
#[argh(subcommand, name = "ticket")]
pub struct Ticket {
    #[argh(subcommand)]
    pub action: Action,
}

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
/// Submitting the same ticket again is safe and returns the same result.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct TicketSubmit {
    /// ticket file (INI)
    #[argh(positional)]
    pub file: PathBuf,
    /// admin address of any instance
    #[argh(option)]
    pub admin: SocketAddr,
    /// file that contains the operator key
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
    /// number of the ticket
    #[argh(positional)]
    pub number: u64,
    /// admin address of any instance
    #[argh(option)]
    pub admin: SocketAddr,
    /// file that contains the operator key
    #[argh(option)]
    pub key: Option<PathBuf>,
}
