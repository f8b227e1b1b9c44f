//! The `ticket` subcommands: check, submit and follow change tickets.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;

use super::admin;
use crate::{
    args::{Action, TicketCheck, TicketStatus, TicketSubmit},
    exit::{Exit, failure},
};

/// Interval between queries whether a ticket is in force on every instance.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs one of the `ticket` subcommands.
pub fn run(action: Action) -> eyre::Result<Exit> {
    match action {
        Action::Check(args) => check(&args),
        Action::Status(args) => status(&args),
        Action::Submit(args) => submit(&args),
    }
}

fn check(args: &TicketCheck) -> eyre::Result<Exit> {
    let text = read(&args.file)?;
    match carob_ticket::parse::ticket(&text, &args.file.display().to_string()) {
        Ok(ticket) => {
            println!(
                "ticket {}: {} changes, digest {:016x}",
                ticket.number,
                ticket.changes.len(),
                ticket.digest()
            );
            Ok(Exit::Done)
        }
        Err(error) => Err(failure(Exit::Refused, error.to_string())),
    }
}

fn submit(args: &TicketSubmit) -> eyre::Result<Exit> {
    let text = read(&args.file)?;
    let key = read_key(args.key.as_ref())?;
    let response = admin::post(args.admin, "/tickets", key.as_deref(), text.into_bytes())?;
    let value = parse_json(&response.body);
    if response.status != 200 {
        let exit = match value["outcome"].as_str() {
            Some("unknown" | "not-recorded") => Exit::Unreachable,
            _ => Exit::Refused,
        };
        return Err(failure(exit, response.body));
    }
    println!(
        "recorded: ticket {} made revision {}",
        value["number"], value["revision"]
    );
    let Some(number) = value["number"].as_u64() else {
        return Err(failure(
            Exit::Unreachable,
            "the instance's answer has no ticket number",
        ));
    };
    wait_until_in_force(args.admin, key.as_deref(), number, Duration::from_secs(args.wait))
}

fn wait_until_in_force(
    address: SocketAddr,
    key: Option<&str>,
    number: u64,
    timeout: Duration,
) -> eyre::Result<Exit> {
    let deadline = Instant::now() + timeout;
    loop {
        let state = fetch(address, key, number)?;
        if state.is_in_force() {
            state.print(number);
            return Ok(Exit::Done);
        }
        if Instant::now() >= deadline {
            state.print(number);
            return Ok(Exit::Pending);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn status(args: &TicketStatus) -> eyre::Result<Exit> {
    let key = read_key(args.key.as_ref())?;
    let state = fetch(args.admin, key.as_deref(), args.number)?;
    state.print(args.number);
    Ok(if state.is_in_force() {
        Exit::Done
    } else {
        Exit::Pending
    })
}

/// State of a ticket as one instance reports it.
struct TicketState {
    /// Revision that the ticket made; 0 if the instance does not know the ticket.
    revision: u64,
    /// Instances that have not confirmed the ticket.
    pending: Vec<String>,
}

impl TicketState {
    fn is_in_force(&self) -> bool {
        self.pending.is_empty()
    }

    fn print(&self, number: u64) {
        if self.is_in_force() {
            println!(
                "in force: ticket {number}, revision {}, on every instance",
                self.revision
            );
        } else {
            println!("not confirmed: ticket {number} by {}", self.pending.join(", "));
        }
    }
}

fn fetch(address: SocketAddr, key: Option<&str>, number: u64) -> eyre::Result<TicketState> {
    let response = admin::get(address, &format!("/tickets/{number}"), key)?;
    if response.status == 404 {
        // Either the instance has not applied the ticket yet, or the ticket is older than those that it
        // retains.
        return Ok(TicketState {
            revision: 0,
            pending: vec![address.to_string()],
        });
    }
    if response.status != 200 {
        return Err(failure(Exit::Refused, response.body));
    }
    let value = parse_json(&response.body);
    let names = value["pending"].as_array().map(Vec::as_slice).unwrap_or_default();
    Ok(TicketState {
        revision: value["revision"].as_u64().unwrap_or_default(),
        pending: names
            .iter()
            .filter_map(Value::as_str)
            .map(str::to_owned)
            .collect(),
    })
}

fn parse_json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}

fn read(path: &Path) -> eyre::Result<String> {
    fs::read_to_string(path).map_err(|error| failure(Exit::Usage, format!("{}: {error}", path.display())))
}

/// Reads the file with a key, if there is one.
pub(super) fn read_key(path: Option<&PathBuf>) -> eyre::Result<Option<String>> {
    path.map(|path| read(path).map(|text| text.trim().to_owned()))
        .transpose()
}
