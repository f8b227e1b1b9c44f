//! Checks, submits and follows change tickets.

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

/// Time between two looks at whether a ticket is in force everywhere.
const POLL: Duration = Duration::from_millis(200);

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
    let answer = admin::post(args.admin, "/tickets", key.as_deref(), text.into_bytes())?;
    let value = json(&answer.body);
    if answer.status != 200 {
        let exit = match value["outcome"].as_str() {
            Some("unknown" | "not-recorded") => Exit::Unreachable,
            _ => Exit::Refused,
        };
        return Err(failure(exit, answer.body));
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
    wait_in_force(args.admin, key.as_deref(), number, Duration::from_secs(args.wait))
}

fn wait_in_force(address: SocketAddr, key: Option<&str>, number: u64, limit: Duration) -> eyre::Result<Exit> {
    let end = Instant::now() + limit;
    loop {
        let state = fetch(address, key, number)?;
        if state.in_force() {
            state.print(number);
            return Ok(Exit::Done);
        }
        if Instant::now() >= end {
            state.print(number);
            return Ok(Exit::Pending);
        }
        thread::sleep(POLL);
    }
}

fn status(args: &TicketStatus) -> eyre::Result<Exit> {
    let key = read_key(args.key.as_ref())?;
    let state = fetch(args.admin, key.as_deref(), args.number)?;
    state.print(args.number);
    Ok(if state.in_force() {
        Exit::Done
    } else {
        Exit::Pending
    })
}

/// What an instance says about a recorded ticket.
struct State {
    revision: u64,
    pending: Vec<String>,
}

impl State {
    fn in_force(&self) -> bool {
        self.pending.is_empty()
    }

    fn print(&self, number: u64) {
        if self.in_force() {
            println!(
                "in force: ticket {number}, revision {}, on every instance",
                self.revision
            );
        } else {
            println!("not confirmed: ticket {number} by {}", self.pending.join(", "));
        }
    }
}

fn fetch(address: SocketAddr, key: Option<&str>, number: u64) -> eyre::Result<State> {
    let answer = admin::get(address, &format!("/tickets/{number}"), key)?;
    if answer.status == 404 {
        // The instance has not applied it yet, or it is older than what instances keep.
        return Ok(State {
            revision: 0,
            pending: vec![address.to_string()],
        });
    }
    if answer.status != 200 {
        return Err(failure(Exit::Refused, answer.body));
    }
    let value = json(&answer.body);
    let names = value["pending"].as_array().map(Vec::as_slice).unwrap_or_default();
    Ok(State {
        revision: value["revision"].as_u64().unwrap_or_default(),
        pending: names
            .iter()
            .filter_map(Value::as_str)
            .map(str::to_owned)
            .collect(),
    })
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}

fn read(path: &Path) -> eyre::Result<String> {
    fs::read_to_string(path).map_err(|error| failure(Exit::Usage, format!("{}: {error}", path.display())))
}

fn read_key(path: Option<&PathBuf>) -> eyre::Result<Option<String>> {
    path.map(|path| read(path).map(|text| text.trim().to_owned()))
        .transpose()
}
