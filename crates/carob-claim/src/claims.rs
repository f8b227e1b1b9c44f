//! The claims that one instance works on.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bytes::Bytes;
use carob_base::Time;
use carob_store::{Call, Failure, Lease, Reply};
use carob_wire::Problem;
use slotmap::SlotMap;

use crate::{
    Key, Options, Outcome, Verdict,
    key::Slot,
    op::{Change, Nonce, Op},
    value::{self, Context, Request, Value, Verdicts},
    verdict,
};

/// Ended processes that are remembered.
const ENDED_LIMIT: usize = 1_024;

slotmap::new_key_type! {
    /// A call that asked for a claim.
    pub struct Ticket;
}

carob_base::plain! {
    /// Number of a store call, by which its result is fed back.
    pub struct CallId(pub u64);
}

/// What the driver has to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Store calls to make. Every call must be followed by [`Claims::on_reply`].
    pub calls: Vec<(CallId, Call)>,
    /// What has become of tickets.
    pub verdicts: Verdicts,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Asked,
    Granted(Time),
    Sent(Time),
}

#[derive(Clone, Copy, Debug)]
struct Held {
    key: Key,
    nonce: Nonce,
    state: State,
}

/// The claims that one instance works on.
#[derive(Debug)]
pub struct Claims {
    options: Options,
    holder: u64,
    serial: u64,
    next_call: u64,
    tickets: SlotMap<Ticket, Held>,
    values: BTreeMap<Slot, Value>,
    leases: BTreeMap<u64, Lease>,
    calls: HashMap<CallId, Slot>,
    ended: BTreeSet<u64>,
    verdicts: Verdicts,
}

impl Claims {
    /// Claims of the process `holder`: a random number, drawn anew at every process start.
    pub fn new(options: Options, holder: u64) -> Self {
        Self {
            options,
            holder,
            serial: 0,
            next_call: 0,
            tickets: SlotMap::with_key(),
            values: BTreeMap::new(),
            leases: BTreeMap::new(),
            calls: HashMap::new(),
            ended: BTreeSet::new(),
            verdicts: Verdicts::new(),
        }
    }

    /// Asks for the claim on `key`; the verdict comes out of [`poll`](Self::poll).
    ///
    /// `fingerprint` is the request's [digest](crate::key::fingerprint), `wall` is milliseconds since 1970.
    pub fn begin(&mut self, key: Key, fingerprint: u64, now: Time, wall: u64) -> Ticket {
        self.serial += 1;
        let nonce = Nonce {
            holder: self.holder,
            serial: self.serial,
        };
        let state = State::Asked;
        let ticket = self.tickets.insert(Held { key, nonce, state });
        if let Err(error) = key.check_age(wall, self.options.max_age, self.options.max_ahead) {
            self.verdicts.push((ticket, Verdict::Refused(error.to_problem())));
            return ticket;
        }
        let op = Op {
            id: key.id,
            nonce,
            change: Change::Reserve { fingerprint },
        };
        let deadline = now + self.options.confirm_timeout;
        self.value(key, now).push(op, Some(ticket), deadline, now);
        ticket
    }

    /// Asks, just before the first byte goes upstream, whether the call may be sent. From then on it counts as
    /// sent. Ask again before another try if the first was certainly not sent, and only then.
    ///
    /// # Errors
    ///
    /// Returns what the caller is told if the permission has ended, such as after a pause. Nothing may be sent,
    /// and the ticket is over.
    pub fn may_send(&mut self, ticket: Ticket, now: Time, wall: u64) -> Result<(), Problem> {
        let Some(held) = self.tickets.get_mut(ticket) else {
            return Err(verdict::store_unavailable());
        };
        // A swap that was paused for longer than values last could have created its value anew; the key is
        // then too old, and an earlier call with it may have run.
        let age = held
            .key
            .check_age(wall, self.options.max_age, self.options.max_ahead);
        let problem = match (held.state, age) {
            (_, Err(error)) => error.to_problem(),
            (State::Granted(send_by) | State::Sent(send_by), Ok(())) if now <= send_by => {
                held.state = State::Sent(send_by);
                return Ok(());
            }
            _ => verdict::store_unavailable(),
        };
        self.release(ticket, now);
        Err(problem)
    }

    /// Records the outcome of a call that was sent.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome, now: Time) {
        self.conclude(ticket, Change::Finish(outcome), now);
    }

    /// Records that a call was sent and that its outcome is not known.
    pub fn mark_unknown(&mut self, ticket: Ticket, now: Time) {
        self.conclude(ticket, Change::MarkUnknown, now);
    }

    /// Gives up a claim that was certainly not used to send, so that the key can be used again. A call that
    /// [`may_send`](Self::may_send) permitted counts as sent unless no connection was made.
    pub fn release(&mut self, ticket: Ticket, now: Time) {
        let Some(held) = self.tickets.get(ticket).copied() else {
            return;
        };
        let deadline = now + self.options.record_timeout;
        if self.value(held.key, now).withdraw(held.nonce, deadline) {
            self.tickets.remove(ticket);
        } else {
            self.conclude(ticket, Change::Release, now);
        }
    }

    /// A process has certainly ended: the outcomes of what it left behind are unknown.
    pub fn on_holder_ended(&mut self, holder: u64) {
        if self.ended.len() == ENDED_LIMIT {
            self.ended.pop_first();
        }
        self.ended.insert(holder);
    }

    /// Takes in the result of a store call.
    pub fn on_reply(&mut self, call: CallId, result: Result<Reply, Failure>, now: Time) {
        let Some(slot) = self.calls.remove(&call) else {
            return;
        };
        self.note_lease(slot, &result);
        let Some(mut value) = self.values.remove(&slot) else {
            return;
        };
        let mut verdicts = std::mem::take(&mut self.verdicts);
        value.on_reply(result, &self.context(slot, now), &mut verdicts);
        self.verdicts = verdicts;
        self.values.insert(slot, value);
    }

    /// Everything that has to be done now.
    pub fn poll(&mut self, now: Time) -> Step {
        let mut step = Step::default();
        let mut values = std::mem::take(&mut self.values);
        let mut verdicts = std::mem::take(&mut self.verdicts);
        values.retain(|slot, value| {
            let request = value.step(&self.context(*slot, now), &mut verdicts);
            if let Some(request) = request {
                let id = self.next_call_id(*slot);
                step.calls.push((id, self.call(*slot, &request)));
            }
            !value.is_idle(&self.context(*slot, now))
        });
        self.values = values;
        self.drop_old_leases();
        step.verdicts = verdicts;
        for (ticket, verdict) in &step.verdicts {
            self.note_verdict(*ticket, verdict);
        }
        step
    }

    /// When [`poll`](Self::poll) has to be called at the latest; also call it after every other method.
    pub fn deadline(&self) -> Time {
        if !self.verdicts.is_empty() {
            return Time::ZERO;
        }
        let deadlines = self.values.values().map(|value| value.deadline(&self.options));
        deadlines.min().unwrap_or(Time::NEVER)
    }

    /// Number of changes that are not yet stored; a graceful shutdown waits until there are none.
    pub fn pending(&self) -> usize {
        self.values.values().map(Value::pending).sum()
    }

    fn conclude(&mut self, ticket: Ticket, change: Change, now: Time) {
        let Some(held) = self.tickets.remove(ticket) else {
            return;
        };
        let op = Op {
            id: held.key.id,
            nonce: held.nonce,
            change,
        };
        let deadline = now + self.options.record_timeout;
        self.value(held.key, now).push(op, None, deadline, now);
    }

    fn value(&mut self, key: Key, now: Time) -> &mut Value {
        let slot = key.slot(self.options.shards, self.options.span);
        self.values.entry(slot).or_insert_with(|| Value::new(now))
    }

    fn context(&self, slot: Slot, now: Time) -> Context<'_> {
        Context {
            options: &self.options,
            ended: &self.ended,
            lease: self.leases.get(&slot.span).copied(),
            now,
        }
    }

    fn next_call_id(&mut self, slot: Slot) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, slot);
        id
    }

    fn call(&self, slot: Slot, request: &Request) -> Call {
        let key = Bytes::from(slot.to_string());
        match request {
            Request::Read => Call::Get { key },
            Request::Grant => Call::Grant {
                ttl: self.options.retention(),
            },
            Request::Swap { expect, page } => Call::Swap {
                key,
                expect: *expect,
                value: value::encode(page),
                lease: Some(Lease(page.lease)),
            },
        }
    }

    fn note_lease(&mut self, slot: Slot, result: &Result<Reply, Failure>) {
        match result {
            Ok(Reply::Leased { lease, ttl }) if *ttl >= self.options.retention() => {
                self.leases.insert(slot.span, *lease);
            }
            Ok(Reply::Leased { ttl, .. }) => {
                log::warn!("claim: the store granted a lease of only {} s", ttl.as_secs());
            }
            Err(Failure::LeaseLapsed) => {
                self.leases.remove(&slot.span);
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Leases are for creating values; spans without values need none.
    fn drop_old_leases(&mut self) {
        let oldest = self.values.keys().next().map(|slot| slot.span);
        self.leases
            .retain(|span, _| oldest.is_some_and(|oldest| *span >= oldest));
    }

    fn note_verdict(&mut self, ticket: Ticket, verdict: &Verdict) {
        match verdict {
            Verdict::Granted { send_by } => {
                if let Some(held) = self.tickets.get_mut(ticket) {
                    held.state = State::Granted(*send_by);
                }
            }
            Verdict::Replay(_) | Verdict::Refused(_) => {
                self.tickets.remove(ticket);
            }
        }
    }
}
