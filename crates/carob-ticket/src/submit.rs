//! Appends one ticket to the order.
//!
//! This is a pure state machine: it emits calls and is fed their results. A lost reply needs no special case:
//! the head is read again, and the ledger returns the first result of a ticket that it already contains.

use std::time::Duration;

use bytes::Bytes;
use carob_store::{Backoff, Call, Entry, Expect, Failure, Reply};

use crate::{
    head::{ApplyError, HEAD_KEY, Head, SNAPSHOT_KEY},
    ledger::{Accepted, Ledger, Refusal},
    ticket::Ticket,
};

/// Number of failed calls after which a submission ends as [`Outcome::Unavailable`].
pub const MAX_ATTEMPTS: u32 = 8;

/// The next request to the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Make this call and feed the result to [`Submission::on_reply`].
    Call(Call),
    /// Wait this long, then call [`Submission::start`].
    Wait(Duration),
    /// The submission has ended.
    Finished(Outcome),
}

/// How a submission ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The ticket is in the order. A ticket that was already there gives its first result.
    Recorded(Accepted),
    /// The ticket was refused and is not recorded.
    Refused(Refusal),
    /// The store cannot be reached. If `unknown`, submit the same ticket again, which is safe.
    Unavailable {
        /// Whether the reply to a write of the head was lost, so that the ticket may be in the order.
        unknown: bool,
    },
    /// The store holds a value that this binary cannot read or apply; the text says why.
    Unreadable(String),
}

/// The call in progress.
#[derive(Clone, Debug)]
enum Stage {
    ReadHead,
    /// Reads the snapshot because the tail of `head` starts after the ledger's next revision.
    ReadSnapshot {
        head: Option<Entry>,
    },
    /// Reads the snapshot that is about to be replaced.
    ReadOldSnapshot(HeadWrite),
    WriteSnapshot(HeadWrite),
    WriteHead,
}

/// A new head that contains the ticket, with the condition for its compare-and-swap.
#[derive(Clone, Debug)]
struct HeadWrite {
    head: Head,
    expect: Expect,
    /// The ledger before the ticket, from which a due snapshot is written.
    before: Ledger,
}

/// One submission in progress.
#[derive(Clone, Debug)]
pub struct Submission {
    ticket: Ticket,
    ledger: Ledger,
    stage: Stage,
    backoff: Backoff,
    /// Whether the reply to any write of the head was lost.
    unknown: bool,
}

impl Submission {
    /// A submission of `ticket`. `ledger` may be that of any earlier revision; a recent one saves reading the
    /// snapshot. `seed` draws the jitter between attempts.
    pub fn new(ticket: Ticket, ledger: Ledger, seed: u64) -> Self {
        Self {
            ticket,
            ledger,
            stage: Stage::ReadHead,
            backoff: Backoff::new(seed),
            unknown: false,
        }
    }

    /// Starts the submission, or starts it over after [`Step::Wait`].
    pub fn start(&mut self) -> Step {
        self.stage = Stage::ReadHead;
        get(HEAD_KEY)
    }

    /// Processes the result of the last [`Step::Call`].
    pub fn on_reply(&mut self, result: Result<Reply, Failure>) -> Step {
        let stage = std::mem::replace(&mut self.stage, Stage::ReadHead);
        let reply = match result {
            Ok(reply) => reply,
            Err(failure) => return self.on_failure(&stage, failure),
        };
        match (stage, reply) {
            (Stage::ReadHead, Reply::Entries { entries, .. }) => self.read_head(entries.into_iter().next()),
            (Stage::ReadSnapshot { head }, Reply::Entries { entries, .. }) => {
                self.read_snapshot(head, &entries)
            }
            (Stage::ReadOldSnapshot(write), Reply::Entries { entries, .. }) => {
                self.write_snapshot(write, entries.first())
            }
            // A conflict means that another submission has written a snapshot: one of at least this revision,
            // or a delayed one of an older revision. Reading the head again finds out which.
            (Stage::WriteSnapshot(_), Reply::Conflict { .. }) => self.start(),
            (Stage::WriteSnapshot(write), Reply::Applied { .. }) => self.write_head(&write),
            (Stage::WriteHead, Reply::Applied { .. }) => self.finish_recorded(),
            (Stage::WriteHead, Reply::Conflict { current }) => self.read_head(current),
            _ => self.unreadable("the store's reply does not belong to the call"),
        }
    }

    fn on_failure(&mut self, stage: &Stage, failure: Failure) -> Step {
        self.unknown |= matches!((stage, failure), (Stage::WriteHead, Failure::Unknown));
        let wait = self.backoff.next_delay();
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
            Ok(()) => self.prepare_write(head, entry.as_ref()),
            Err(ApplyError::Gap) => {
                self.stage = Stage::ReadSnapshot { head: entry };
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
        // The snapshot may be newer than the head, which was read before it; then the head is read again.
        let decoded = head
            .as_ref()
            .and_then(|entry| Head::from_bytes(&entry.value).ok());
        if decoded.is_none_or(|head| head.revision() < self.ledger.revision()) {
            return self.start();
        }
        self.read_head(head)
    }

    /// Applies the ticket to the ledger, which is at the revision of `head`, and prepares the write.
    fn prepare_write(&mut self, mut head: Head, entry: Option<&Entry>) -> Step {
        let before = self.ledger.clone();
        let accepted = match self.ledger.apply(&self.ticket) {
            Ok(accepted) => accepted,
            Err(refusal) => return Step::Finished(Outcome::Refused(refusal)),
        };
        if accepted.revision <= before.revision() {
            return Step::Finished(Outcome::Recorded(accepted));
        }
        let needs_snapshot = head.needs_snapshot();
        if needs_snapshot {
            head.compact();
        }
        head.push(self.ticket.clone(), &self.ledger);
        // The ledger must not contain the ticket until the write has succeeded.
        self.ledger = before.clone();
        let write = HeadWrite {
            head,
            expect: entry.map_or(Expect::Absent, |entry| Expect::At(entry.revision)),
            before,
        };
        if !needs_snapshot {
            return self.write_head(&write);
        }
        self.stage = Stage::ReadOldSnapshot(write);
        get(SNAPSHOT_KEY)
    }

    fn write_snapshot(&mut self, write: HeadWrite, old: Option<&Entry>) -> Step {
        let decoded = old.and_then(|entry| Ledger::from_bytes(&entry.value).ok());
        if decoded.is_some_and(|old| old.revision() >= write.before.revision()) {
            return self.write_head(&write);
        }
        let call = Call::Swap {
            key: Bytes::from_static(SNAPSHOT_KEY),
            expect: old.map_or(Expect::Absent, |entry| Expect::At(entry.revision)),
            value: write.before.to_bytes(),
            lease: None,
        };
        self.stage = Stage::WriteSnapshot(write);
        Step::Call(call)
    }

    fn write_head(&mut self, write: &HeadWrite) -> Step {
        self.stage = Stage::WriteHead;
        Step::Call(Call::Swap {
            key: Bytes::from_static(HEAD_KEY),
            expect: write.expect,
            value: write.head.to_bytes(),
            lease: None,
        })
    }

    fn finish_recorded(&mut self) -> Step {
        let result = self.ledger.apply(&self.ticket);
        Step::Finished(match result {
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
