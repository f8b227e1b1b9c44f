//! Brings one ticket into the order.
//!
//! A pure state machine: it emits calls and takes in their results. A lost reply needs no special case, since the
//! head is read again and the ledger answers a ticket that is already in with its first answer.

use std::time::Duration;

use bytes::Bytes;
use carob_store::{Backoff, Call, Entry, Expect, Failure, Reply};

use crate::{
    head::{ApplyError, HEAD_KEY, Head, SNAPSHOT_KEY},
    ledger::{Accepted, Ledger, Refusal},
    ticket::Ticket,
};

/// Attempts after which an unreachable store ends a submission.
pub const MAX_ATTEMPTS: u32 = 8;

/// What the driver has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Carry this call out and feed the result to [`Submission::on_reply`].
    Call(Call),
    /// Wait this long, then call [`Submission::start`].
    Wait(Duration),
    /// The submission is over.
    Finished(Outcome),
}

/// How a submission ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The ticket is in the order; a repeated ticket has its first answer.
    Recorded(Accepted),
    /// The ticket is refused and changes nothing.
    Refused(Refusal),
    /// The store cannot be reached. If `unknown`, the ticket may be in the order: submit it again.
    Unavailable {
        /// Whether the ticket may be in the order.
        unknown: bool,
    },
    /// The store's values cannot be read by this binary.
    Unreadable(String),
}

#[derive(Clone, Debug)]
enum Stage {
    /// The head is being read.
    Head,
    /// The snapshot is being read, because the ledger is too far behind `head`.
    Snapshot { head: Option<Entry> },
    /// The snapshot is being read, to replace it.
    OldSnapshot(Write),
    /// The snapshot is being written.
    NewSnapshot(Write),
    /// The head is being written.
    Write,
}

/// The new head, ready to be written.
#[derive(Clone, Debug)]
struct Write {
    head: Head,
    expect: Expect,
    /// The ledger before the ticket, for the snapshot.
    before: Ledger,
}

/// One submission in progress.
#[derive(Clone, Debug)]
pub struct Submission {
    ticket: Ticket,
    ledger: Ledger,
    stage: Stage,
    backoff: Backoff,
    /// Whether a write of the head had no reply.
    unknown: bool,
}

impl Submission {
    /// A submission of `ticket`, starting from any earlier `ledger`; `seed` draws the jitter between attempts.
    pub fn new(ticket: Ticket, ledger: Ledger, seed: u64) -> Self {
        Self {
            ticket,
            ledger,
            stage: Stage::Head,
            backoff: Backoff::new(seed),
            unknown: false,
        }
    }

    /// Starts, or goes on after [`Step::Wait`].
    pub fn start(&mut self) -> Step {
        self.stage = Stage::Head;
        get(HEAD_KEY)
    }

    /// Takes in the result of the last call.
    pub fn on_reply(&mut self, result: Result<Reply, Failure>) -> Step {
        let stage = std::mem::replace(&mut self.stage, Stage::Head);
        let reply = match result {
            Ok(reply) => reply,
            Err(failure) => return self.failed(&stage, failure),
        };
        match (stage, reply) {
            (Stage::Head, Reply::Found { entries, .. }) => self.read_head(entries.into_iter().next()),
            (Stage::Snapshot { head }, Reply::Found { entries, .. }) => self.read_snapshot(head, &entries),
            (Stage::OldSnapshot(write), Reply::Found { entries, .. }) => {
                self.write_snapshot(write, entries.first())
            }
            // A conflict means that another submission wrote a snapshot of at least this revision or a late one
            // of an older revision; reading the head again settles which.
            (Stage::NewSnapshot(_), Reply::Conflict { .. }) => self.start(),
            (Stage::NewSnapshot(write), Reply::Done { .. }) => self.write_head(&write),
            (Stage::Write, Reply::Done { .. }) => self.recorded(),
            (Stage::Write, Reply::Conflict { current }) => self.read_head(current),
            _ => self.unreadable("the store's reply does not belong to the call"),
        }
    }

    fn failed(&mut self, stage: &Stage, failure: Failure) -> Step {
        self.unknown |= matches!((stage, failure), (Stage::Write, Failure::Unknown));
        let wait = self.backoff.failed();
        if self.backoff.failures() < MAX_ATTEMPTS {
            return Step::Wait(wait);
        }
        let unknown = self.unknown;
        Step::Finished(Outcome::Unavailable { unknown })
    }

    fn read_head(&mut self, entry: Option<Entry>) -> Step {
        let head = match entry.as_ref().map(|entry| Head::from_bytes(&entry.value)) {
            None => Head::default(),
            Some(Ok(head)) => head,
            Some(Err(error)) => return self.unreadable(&error.to_string()),
        };
        if head.revision() < self.ledger.revision() {
            return Step::Finished(Outcome::Refused(Refusal::StoreBehind {
                stored: head.revision(),
                held: self.ledger.revision(),
            }));
        }
        match head.apply_to(&mut self.ledger) {
            Ok(()) => self.decide(head, entry.as_ref()),
            Err(ApplyError::Gap) => {
                self.stage = Stage::Snapshot { head: entry };
                get(SNAPSHOT_KEY)
            }
            Err(gap) => self.unreadable(&gap.to_string()),
        }
    }

    fn read_snapshot(&mut self, head: Option<Entry>, entries: &[Entry]) -> Step {
        let Some(entry) = entries.first() else {
            return self.unreadable("the snapshot that the head names is missing");
        };
        let ledger = match Ledger::from_bytes(&entry.value) {
            Ok(ledger) => ledger,
            Err(error) => return self.unreadable(&error.to_string()),
        };
        if ledger.revision() <= self.ledger.revision() {
            return self.unreadable("the snapshot is older than the head says");
        }
        self.ledger = ledger;
        // The snapshot may be newer than the head that was read before it.
        let read = head
            .as_ref()
            .and_then(|entry| Head::from_bytes(&entry.value).ok());
        if read.is_none_or(|read| read.revision() < self.ledger.revision()) {
            return self.start();
        }
        self.read_head(head)
    }

    /// The ledger stands at `head`'s revision: decide on the ticket.
    fn decide(&mut self, mut head: Head, entry: Option<&Entry>) -> Step {
        let before = self.ledger.clone();
        let accepted = match self.ledger.apply(&self.ticket) {
            Ok(accepted) => accepted,
            Err(refusal) => return Step::Finished(Outcome::Refused(refusal)),
        };
        if accepted.revision <= before.revision() {
            return Step::Finished(Outcome::Recorded(accepted));
        }
        let full = head.needs_snapshot();
        if full {
            head.compact();
        }
        head.push(self.ticket.clone(), &self.ledger);
        // Until the write succeeds the ledger must not hold the ticket.
        self.ledger = before.clone();
        let write = Write {
            head,
            expect: entry.map_or(Expect::Absent, |entry| Expect::At(entry.revision)),
            before,
        };
        if !full {
            return self.write_head(&write);
        }
        self.stage = Stage::OldSnapshot(write);
        get(SNAPSHOT_KEY)
    }

    fn write_snapshot(&mut self, write: Write, old: Option<&Entry>) -> Step {
        let held = old.and_then(|entry| Ledger::from_bytes(&entry.value).ok());
        if held.is_some_and(|held| held.revision() >= write.before.revision()) {
            return self.write_head(&write);
        }
        let call = Call::Swap {
            key: Bytes::from_static(SNAPSHOT_KEY),
            expect: old.map_or(Expect::Absent, |entry| Expect::At(entry.revision)),
            value: write.before.to_bytes(),
            lease: None,
        };
        self.stage = Stage::NewSnapshot(write);
        Step::Call(call)
    }

    fn write_head(&mut self, write: &Write) -> Step {
        self.stage = Stage::Write;
        Step::Call(Call::Swap {
            key: Bytes::from_static(HEAD_KEY),
            expect: write.expect,
            value: write.head.to_bytes(),
            lease: None,
        })
    }

    fn recorded(&mut self) -> Step {
        let accepted = self.ledger.apply(&self.ticket);
        Step::Finished(match accepted {
            Ok(accepted) => Outcome::Recorded(accepted),
            Err(refusal) => Outcome::Refused(refusal),
        })
    }

    fn unreadable(&self, reason: &str) -> Step {
        log::error!("ticket: {} cannot be submitted: {reason}", self.ticket.number);
        Step::Finished(Outcome::Unreadable(reason.to_owned()))
    }
}

fn get(key: &'static [u8]) -> Step {
    let key = Bytes::from_static(key);
    Step::Call(Call::Get { key })
}
