//! Claims on idempotency keys, and the workers that wait for verdicts.

use std::{
    collections::HashMap,
    time::{SystemTime, UNIX_EPOCH},
};

use carob_base::Time;
use carob_claim::{Key, Outcome, Ticket, Verdict};
use carob_wire::Problem;
use flume::Sender;

use super::{Control, stored::Component};

/// An event of a worker's claim.
#[derive(Debug)]
pub enum Event {
    /// A worker asks for a claim for its call.
    Begin {
        /// The caller's key.
        key: Key,
        /// Digest of the request.
        fingerprint: u64,
        /// Where the verdict goes.
        reply: Sender<(Ticket, Verdict)>,
    },
    /// A worker asks whether its call may be sent now.
    MaySend {
        /// Its claim.
        ticket: Ticket,
        /// Where the permission or the refusal goes.
        reply: Sender<Result<(), Problem>>,
    },
    /// The outcome of a call that was sent is known.
    Finish {
        /// Its claim.
        ticket: Ticket,
        /// The outcome.
        outcome: Outcome,
    },
    /// A call may have been sent and its outcome is not known.
    MarkUnknown {
        /// Its claim.
        ticket: Ticket,
    },
    /// A call was certainly not sent.
    Release {
        /// Its claim.
        ticket: Ticket,
    },
}

/// Workers that wait for a verdict on their claim.
#[derive(Debug, Default)]
pub struct Waiters {
    waiting: HashMap<Ticket, Sender<(Ticket, Verdict)>>,
}

impl Control {
    pub(super) fn on_claim_event(&mut self, event: Event, now: Time) {
        match event {
            Event::Begin {
                key,
                fingerprint,
                reply,
            } => {
                let ticket = self.claims.begin(key, fingerprint, now, wall_millis());
                self.claim_waiters.waiting.insert(ticket, reply);
            }
            Event::MaySend { ticket, reply } => {
                let permission = self.claims.may_send(ticket, now, wall_millis());
                let permitted = permission.is_ok();
                if reply.send(permission).is_err() && permitted {
                    // The worker has gone before it could send the call.
                    self.claims.release(ticket, now);
                }
            }
            Event::Finish { ticket, outcome } => self.claims.finish(ticket, outcome, now),
            Event::MarkUnknown { ticket } => self.claims.mark_unknown(ticket, now),
            Event::Release { ticket } => self.claims.release(ticket, now),
        }
    }

    pub(super) fn poll_claims(&mut self, now: Time) {
        if now < self.claims.deadline() {
            return;
        }
        let step = self.claims.poll(now);
        for (id, call) in step.calls {
            self.call_store(Component::Claims(id), call);
        }
        for (ticket, verdict) in step.verdicts {
            self.send_verdict(ticket, verdict, now);
        }
    }

    fn send_verdict(&mut self, ticket: Ticket, verdict: Verdict, now: Time) {
        log::debug!("claim: {ticket:?} {verdict:?}");
        let Some(reply) = self.claim_waiters.waiting.remove(&ticket) else {
            return;
        };
        let granted = matches!(verdict, Verdict::Granted { .. });
        if reply.send((ticket, verdict)).is_err() && granted {
            self.claims.release(ticket, now);
        }
    }
}

/// Milliseconds since 1970 by the system's clock; callers' keys hold such a time.
pub(super) fn wall_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}
