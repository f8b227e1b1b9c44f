//! Claims on idempotency keys, and who waits for them.

use std::{
    collections::HashMap,
    time::{SystemTime, UNIX_EPOCH},
};

use carob_base::Time;
use carob_claim::{Key, Outcome, Ticket, Verdict};
use carob_wire::Problem;
use flume::Sender;

use super::{Control, stored::Part};

/// What workers say about claims.
#[derive(Debug)]
pub enum Event {
    /// A call asks for a claim.
    Begin {
        /// The caller's key.
        key: Key,
        /// Digest of the request.
        fingerprint: u64,
        /// Where the verdict goes.
        reply: Sender<(Ticket, Verdict)>,
    },
    /// A call is about to be sent.
    MaySend {
        /// Its claim.
        ticket: Ticket,
        /// Whether it may.
        reply: Sender<Result<(), Problem>>,
    },
    /// A call that was sent has this outcome.
    Finish {
        /// Its claim.
        ticket: Ticket,
        /// The outcome.
        outcome: Outcome,
    },
    /// A call was sent and its outcome is not known.
    Forget {
        /// Its claim.
        ticket: Ticket,
    },
    /// A call was certainly not sent.
    Release {
        /// Its claim.
        ticket: Ticket,
    },
}

/// Workers that wait for a verdict.
#[derive(Debug, Default)]
pub struct Claimants {
    waiting: HashMap<Ticket, Sender<(Ticket, Verdict)>>,
}

impl Control {
    pub(super) fn claim(&mut self, event: Event, now: Time) {
        match event {
            Event::Begin {
                key,
                fingerprint,
                reply,
            } => {
                let ticket = self.claims.begin(key, fingerprint, now, wall_millis());
                self.claimants.waiting.insert(ticket, reply);
            }
            Event::MaySend { ticket, reply } => {
                let permission = self.claims.may_send(ticket, now, wall_millis());
                let permitted = permission.is_ok();
                if reply.send(permission).is_err() && permitted {
                    // The worker has gone without sending anything.
                    self.claims.release(ticket, now);
                }
            }
            Event::Finish { ticket, outcome } => self.claims.finish(ticket, outcome, now),
            Event::Forget { ticket } => self.claims.mark_unknown(ticket, now),
            Event::Release { ticket } => self.claims.release(ticket, now),
        }
    }

    pub(super) fn poll_claims(&mut self, now: Time) {
        if now < self.claims.deadline() {
            return;
        }
        let step = self.claims.poll(now);
        for (id, call) in step.calls {
            self.ask_store(Part::Claims(id), call);
        }
        for (ticket, verdict) in step.verdicts {
            self.tell_claimant(ticket, verdict, now);
        }
    }

    fn tell_claimant(&mut self, ticket: Ticket, verdict: Verdict, now: Time) {
        log::debug!("claim: {ticket:?} {verdict:?}");
        let Some(reply) = self.claimants.waiting.remove(&ticket) else {
            return;
        };
        let granted = matches!(verdict, Verdict::Granted { .. });
        if reply.send((ticket, verdict)).is_err() && granted {
            self.claims.release(ticket, now);
        }
    }
}

/// Milliseconds since 1970 on the system's clock, by which callers' keys are dated.
pub(super) fn wall_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}
