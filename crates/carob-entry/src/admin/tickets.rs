//! Submission and lookup of operators' change tickets.

use std::{sync::Arc, thread};

use carob_base::Name;
use carob_http::admin::{AdminRequest, AdminResponse};
use carob_store::Client;
use carob_ticket::{
    Accepted, Ledger, Submission, Ticket, parse,
    submit::{Outcome, Step},
};
use serde_json::json;

use super::{CONTROL_TIMEOUT, error};
use crate::{control::Event, shared::Shared};

/// Name of the source in reports of errors in a submitted ticket.
const SOURCE: &str = "ticket";

/// Submits a ticket; the response says whether it was recorded.
pub fn submit(shared: &Arc<Shared>, client: &Client, request: &AdminRequest) -> AdminResponse {
    if !authorized(shared, request) {
        return error(401, "expected `Authorization: Bearer` with the operators' key");
    }
    let Ok(text) = std::str::from_utf8(&request.body) else {
        return error(400, "the ticket is not UTF-8");
    };
    let ticket = match parse::ticket(text, SOURCE) {
        Ok(ticket) => ticket,
        Err(problem) => return error(400, &problem.to_string()),
    };
    let Some(ledger) = ledger(shared) else {
        return error(503, "the control thread does not answer; not recorded");
    };
    let number = ticket.number;
    log::info!("ticket: number={number} submitted");
    let outcome = run_submission(client, ticket, ledger, shared.options.seed ^ number);
    log::info!("ticket: number={number} {outcome:?}");
    response_of(number, outcome)
}

/// The outcome of a ticket, as far as this instance knows it.
pub fn find(shared: &Arc<Shared>, request: &AdminRequest) -> AdminResponse {
    let number = request.path.rsplit('/').next().and_then(|text| text.parse().ok());
    let Some(number) = number else {
        return error(400, "expected /tickets/NUMBER");
    };
    let Some(ledger) = ledger(shared) else {
        return error(503, "the control thread does not answer");
    };
    match ledger.accepted(number) {
        Some(accepted) => match unconfirmed(shared, accepted) {
            Some(names) => AdminResponse::json(200, in_force(accepted, &names)),
            None => error(503, "the control thread does not answer"),
        },
        None => error(404, "this instance knows no recent ticket with this number"),
    }
}

/// Names of the instances that have not confirmed the ticket's revision; `None` if the control thread does
/// not answer.
fn unconfirmed(shared: &Shared, accepted: Accepted) -> Option<Vec<Name>> {
    let (reply, names) = flume::bounded(1);
    let revision = accepted.revision;
    shared.send_event(Event::Unconfirmed { revision, reply });
    names.recv_timeout(CONTROL_TIMEOUT).ok()
}

fn in_force(accepted: Accepted, pending: &[Name]) -> String {
    let pending: Vec<&str> = pending.iter().map(Name::as_str).collect();
    json!({
        "number": accepted.number,
        "outcome": if pending.is_empty() { "in-force" } else { "recorded" },
        "revision": accepted.revision.0,
        "digest": format!("{:016x}", accepted.digest),
        "pending": pending,
    })
    .to_string()
}

fn authorized(shared: &Shared, request: &AdminRequest) -> bool {
    let key = shared.options.operator_key.as_ref();
    key.is_some_and(|key| {
        request
            .bearer
            .as_ref()
            .is_some_and(|bearer| bearer.as_bytes() == key)
    })
}

fn ledger(shared: &Shared) -> Option<Ledger> {
    let (reply, ledger) = flume::bounded(1);
    shared.send_event(Event::Ledger { reply });
    ledger.recv_timeout(CONTROL_TIMEOUT).ok()
}

fn run_submission(client: &Client, ticket: Ticket, ledger: Ledger, seed: u64) -> Outcome {
    let mut submission = Submission::new(ticket, ledger, seed);
    let mut step = submission.start();
    loop {
        step = match step {
            Step::Call(call) => submission.on_reply(client.call(&call)),
            Step::Wait(delay) => {
                thread::sleep(delay);
                submission.start()
            }
            Step::Finished(outcome) => return outcome,
        };
    }
}

fn response_of(number: u64, outcome: Outcome) -> AdminResponse {
    match outcome {
        Outcome::Recorded(accepted) => AdminResponse::json(200, recorded(accepted)),
        Outcome::Refused(refusal) => refused(409, number, "refused", &refusal.to_string()),
        Outcome::Unavailable { unknown: false } => {
            refused(503, number, "not-recorded", "the store cannot be reached")
        }
        Outcome::Unavailable { unknown: true } => {
            let detail = "the store's reply was lost; submit the same ticket again";
            refused(503, number, "unknown", detail)
        }
        Outcome::Unreadable(reason) => refused(500, number, "not-recorded", &reason),
    }
}

fn recorded(accepted: Accepted) -> String {
    json!({
        "number": accepted.number,
        "outcome": "recorded",
        "revision": accepted.revision.0,
        "digest": format!("{:016x}", accepted.digest),
    })
    .to_string()
}

fn refused(status: u16, number: u64, outcome: &str, detail: &str) -> AdminResponse {
    let body = json!({ "number": number, "outcome": outcome, "error": detail });
    AdminResponse::json(status, body.to_string())
}
