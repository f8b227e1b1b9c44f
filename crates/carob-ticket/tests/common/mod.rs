//! An in-memory store with injected faults, and helpers that build tickets.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::BTreeMap;

use bytes::Bytes;
use carob_store::{Call, Entry, Expect, Failure, Reply};
use carob_ticket::{Ledger, Submission, Ticket, parse, submit::Outcome, submit::Step};

/// A fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No call reaches the store.
    Down,
    /// The next compare-and-swap is carried out, but its reply is lost.
    ReplyLost,
}

/// Keys with compare-and-swap.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub entries: BTreeMap<Bytes, Entry>,
    pub revision: u64,
    pub calls: u64,
    pub fault: Option<Fault>,
}

impl Store {
    pub fn call(&mut self, call: &Call) -> Result<Reply, Failure> {
        self.calls += 1;
        if self.fault == Some(Fault::Down) {
            return Err(Failure::NotSent);
        }
        let reply = self.execute(call);
        if self.fault == Some(Fault::ReplyLost) && matches!(call, Call::Swap { .. }) {
            self.fault = None;
            return Err(Failure::Unknown);
        }
        Ok(reply)
    }

    fn execute(&mut self, call: &Call) -> Reply {
        match call {
            Call::Get { key } => Reply::Entries {
                entries: self.entries.get(key).cloned().into_iter().collect(),
                revision: self.revision,
            },
            Call::Swap {
                key, expect, value, ..
            } => self.swap(key, *expect, value),
            _ => panic!("tickets make no such call: {call:?}"),
        }
    }

    fn swap(&mut self, key: &Bytes, expect: Expect, value: &Bytes) -> Reply {
        let current = self.entries.get(key);
        let matches = match expect {
            Expect::Absent => current.is_none(),
            Expect::At(revision) => current.is_some_and(|entry| entry.revision == revision),
        };
        if !matches {
            let current = current.cloned();
            return Reply::Conflict { current };
        }
        self.revision += 1;
        let entry = Entry {
            key: key.clone(),
            value: value.clone(),
            revision: self.revision,
        };
        self.entries.insert(key.clone(), entry);
        Reply::Applied {
            revision: self.revision,
        }
    }
}

/// Runs a submission of `ticket` to its end.
pub fn submit(store: &mut Store, ticket: Ticket, ledger: Ledger) -> Outcome {
    let mut submission = Submission::new(ticket, ledger, 7);
    let mut step = submission.start();
    loop {
        step = match step {
            Step::Call(call) => submission.on_reply(store.call(&call)),
            Step::Wait(_) => submission.start(),
            Step::Finished(outcome) => return outcome,
        };
    }
}

/// A ticket that sets the plain service `name`, with a `patience` of `seconds`.
pub fn service(number: u64, name: &str, seconds: u64) -> Ticket {
    let text =
        format!("[ticket]\nnumber = {number}\n[service {name}]\nkind = plain\npatience = {seconds}s\n");
    parse::ticket(&text, "test.ini").expect("the ticket is valid")
}

/// A ticket that removes the service `name`.
pub fn removal(number: u64, name: &str) -> Ticket {
    let text = format!("[ticket]\nnumber = {number}\n[service {name}]\nstate = absent\n");
    parse::ticket(&text, "test.ini").expect("the ticket is valid")
}
