//! The claims in progress on one instance.

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

/// Maximum number of ended processes that are remembered.
const ENDED_LIMIT: usize = 1_024;

slotmap::new_key_type! {
    /// Handle of a call that requested a claim.
    pub struct Ticket;
}

carob_base::plain! {
    /// Number of a store call, by which its reply is matched.
    pub struct CallId(pub u64);
}

/// What the driver has to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Store calls to make. Each one must be followed by [`Claims::on_reply`].
    pub calls: Vec<(CallId, Call)>,
    /// Decisions on tickets.
    pub verdicts: Verdicts,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Requested,
    Granted(Time),
    Sent(Time),
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    key: Key,
    nonce: Nonce,
    state: State,
}

/// The claims in progress on one instance.
#[derive(Debug)]
pub struct Claims {
    options: Options,
    holder: u64,
    /// Number of the last claim of this process.
    serial: u64,
    /// Number of the last store call.
    next_call: u64,
    tickets: SlotMap<Ticket, Claim>,
    values: BTreeMap<Slot, Value>,
    /// Leases for creating values, by span.
    leases: BTreeMap<u64, Lease>,
    calls: HashMap<CallId, Slot>,
    /// Processes that have certainly ended.
    ended: BTreeSet<u64>,
    verdicts: Verdicts,
}

impl Claims {
    /// Creates the claims of the process `holder`, a random number generated at each start of the process.
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

    /// Requests the claim on `key`; the verdict is returned by [`poll`](Self::poll).
    ///
    /// `fingerprint` is the request's [digest](crate::key::fingerprint), `wall` the current time in
    /// milliseconds since 1970.
    pub fn begin(&mut self, key: Key, fingerprint: u64, now: Time, wall: u64) -> Ticket {
        self.serial += 1;
        let nonce = Nonce {
            holder: self.holder,
            serial: self.serial,
        };
        let state = State::Requested;
        let ticket = self.tickets.insert(Claim { key, nonce, state });
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

    /// Asks, immediately before the first byte is sent upstream, whether the call may be sent. If so, the
    /// call counts as sent from then on. Before another attempt, ask again; an attempt may follow only if the
    /// previous one was certainly not sent.
    ///
    /// # Errors
    ///
    /// Returns the problem to report to the caller if the permission has ended, such as after a pause.
    /// Nothing may be sent, and the ticket is no longer valid.
    pub fn may_send(&mut self, ticket: Ticket, now: Time, wall: u64) -> Result<(), Problem> {
        let Some(claim) = self.tickets.get_mut(ticket) else {
            return Err(verdict::store_unavailable());
        };
        // A swap that was delayed for longer than values are kept may have created its value again. The key
        // is then too old, and an earlier call with it may have run.
        let age = claim
            .key
            .check_age(wall, self.options.max_age, self.options.max_ahead);
        let problem = match (claim.state, age) {
            (_, Err(error)) => error.to_problem(),
            (State::Granted(send_by) | State::Sent(send_by), Ok(())) if now <= send_by => {
                claim.state = State::Sent(send_by);
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

    /// Releases a claim whose call was certainly not sent, so that the key can be used again. A call that
    /// [`may_send`](Self::may_send) permitted counts as sent unless no connection was established.
    pub fn release(&mut self, ticket: Ticket, now: Time) {
        let Some(claim) = self.tickets.get(ticket).copied() else {
            return;
        };
        let deadline = now + self.options.record_timeout;
        if self.value(claim.key, now).withdraw(claim.nonce, deadline) {
            self.tickets.remove(ticket);
        } else {
            self.conclude(ticket, Change::Release, now);
        }
    }

    /// A process has certainly ended: the outcomes of its calls in progress are unknown.
    pub fn on_holder_ended(&mut self, holder: u64) {
        if self.ended.len() == ENDED_LIMIT {
            self.ended.pop_first();
        }
        self.ended.insert(holder);
    }

    /// The result of a store call arrived.
    pub fn on_reply(&mut self, call: CallId, result: Result<Reply, Failure>, now: Time) {
        let Some(slot) = self.calls.remove(&call) else {
            return;
        };
        self.update_lease(slot, &result);
        let Some(mut value) = self.values.remove(&slot) else {
            return;
        };
        let mut verdicts = std::mem::take(&mut self.verdicts);
        value.on_reply(result, &self.context(slot, now), &mut verdicts);
        self.verdicts = verdicts;
        self.values.insert(slot, value);
    }

    /// Returns everything that is due now.
    pub fn poll(&mut self, now: Time) -> Step {
        let mut step = Step::default();
        let mut values = std::mem::take(&mut self.values);
        let mut verdicts = std::mem::take(&mut self.verdicts);
        values.retain(|slot, value| {
            let request = value.step(&self.context(*slot, now), &mut verdicts);
            if let Some(request) = request {
                let id = self.next_call_id(*slot);
                step.calls.push((id, self.store_call(*slot, &request)));
            }
            !value.is_idle(&self.context(*slot, now))
        });
        self.values = values;
        self.drop_old_leases();
        step.verdicts = verdicts;
        for (ticket, verdict) in &step.verdicts {
            self.apply_verdict(*ticket, verdict);
        }
        step
    }

    /// Latest time at which [`poll`](Self::poll) has to be called; it also has to be called after every other
    /// method.
    pub fn deadline(&self) -> Time {
        if !self.verdicts.is_empty() {
            return Time::ZERO;
        }
        let deadlines = self.values.values().map(|value| value.deadline(&self.options));
        deadlines.min().unwrap_or(Time::NEVER)
    }

    /// Number of changes that are not stored yet; a graceful shutdown waits until there are none.
    pub fn pending(&self) -> usize {
        self.values.values().map(Value::pending).sum()
    }

    fn conclude(&mut self, ticket: Ticket, change: Change, now: Time) {
        let Some(claim) = self.tickets.remove(ticket) else {
            return;
        };
        let op = Op {
            id: claim.key.id,
            nonce: claim.nonce,
            change,
        };
        let deadline = now + self.options.record_timeout;
        self.value(claim.key, now).push(op, None, deadline, now);
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

    fn store_call(&self, slot: Slot, request: &Request) -> Call {
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

    fn update_lease(&mut self, slot: Slot, result: &Result<Reply, Failure>) {
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

    /// Drops the leases of spans older than every value: leases are only needed to create values.
    fn drop_old_leases(&mut self) {
        let oldest = self.values.keys().next().map(|slot| slot.span);
        self.leases
            .retain(|span, _| oldest.is_some_and(|oldest| *span >= oldest));
    }

    fn apply_verdict(&mut self, ticket: Ticket, verdict: &Verdict) {
        match verdict {
            Verdict::Granted { send_by } => {
                if let Some(claim) = self.tickets.get_mut(ticket) {
                    claim.state = State::Granted(*send_by);
                }
            }
            Verdict::Replay(_) | Verdict::Refused(_) => {
                self.tickets.remove(ticket);
            }
        }
    }
}
