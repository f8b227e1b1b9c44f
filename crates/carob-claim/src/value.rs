//! One stored value with the changes that wait for it.
//!
//! At most one store call per value is under way. A swap carries every change that waits, so that the number of
//! swaps depends on the number of values and rounds and not on the number of calls.

use std::{collections::BTreeSet, time::Duration};

use bytes::Bytes;
use carob_base::Time;
use carob_store::{Entry, Expect, Failure, Lease, Reply};
use prost::Message;

use crate::{
    Options, Ticket, Verdict,
    op::{Change, Effect, Nonce, Op},
    record::{DONE, Page, RESERVED, Record},
    verdict,
};

/// First delay before a call that failed is repeated; doubled after every failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Doublings of the retry delay.
const RETRY_DOUBLINGS: u32 = 5;
/// Longest time between two swaps, as a multiple of [`Options::batch_interval`].
const ROUND_FACTOR: u32 = 16;

/// What a value needs from its surroundings.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Limits and waiting times.
    pub options: &'a Options,
    /// Processes that have certainly ended.
    pub ended: &'a BTreeSet<u64>,
    /// Lease for creating the value, if there is one.
    pub lease: Option<Lease>,
    /// The present time.
    pub now: Time,
}

carob_base::value! {
    /// A store call that a value needs.
    pub enum Request {
        /// Read the value.
        Read,
        /// Get a lease to create the value under.
        Grant,
        /// Put the value.
        Swap {
            /// What the stored value must be.
            expect: Expect,
            /// The new content.
            page: Page,
        },
    }
}

/// Verdicts, collected in the order in which they fall.
pub type Verdicts = Vec<(Ticket, Verdict)>;

#[derive(Debug)]
struct Pending {
    op: Op,
    ticket: Option<Ticket>,
    deadline: Time,
    /// Whether another call's claim stands in the way.
    waits: bool,
    /// Whether a swap with this change, or with the claim that it releases, may have reached the store.
    tried: bool,
    /// Whether the swap under way carries this change.
    staged: bool,
}

#[derive(Debug, Default)]
struct Known {
    /// Revision and content; `None` if the value does not exist.
    stored: Option<(u64, Page)>,
}

/// One stored value.
#[derive(Debug)]
pub struct Value {
    known: Option<Known>,
    read_at: Time,
    /// Whether the value was read since the last swap.
    fresh: bool,
    pending: Vec<Pending>,
    flight: Option<Request>,
    /// What a swap expected whose reply was lost: it may still take effect while the value is like that.
    lost: Option<Expect>,
    next_at: Time,
    used: Time,
    failures: u32,
    /// Time between two swaps: doubled when another instance was first, and slowly shortened again, so that the
    /// number of swaps stays the same however many instances write the value.
    round: Duration,
}

impl Value {
    /// A value of which nothing is known.
    pub const fn new(now: Time) -> Self {
        Self {
            known: None,
            read_at: Time::ZERO,
            fresh: false,
            pending: Vec::new(),
            flight: None,
            lost: None,
            next_at: now,
            used: now,
            failures: 0,
            round: Duration::ZERO,
        }
    }

    /// Adds a change; `ticket` is told what a reservation comes to.
    pub fn push(&mut self, op: Op, ticket: Option<Ticket>, deadline: Time, now: Time) {
        self.used = now;
        self.pending.push(Pending {
            op,
            ticket,
            deadline,
            waits: false,
            tried: ticket.is_none(),
            staged: false,
        });
    }

    /// Turns a reservation that is no longer wanted into its release; false if it does not wait here any more.
    pub fn withdraw(&mut self, nonce: Nonce, deadline: Time) -> bool {
        let found = self.pending.iter_mut().find(|pending| pending.op.nonce == nonce);
        let Some(pending) = found else {
            return false;
        };
        pending.withdraw(deadline);
        true
    }

    /// Number of changes that are not yet stored.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Whether the value may be forgotten.
    pub fn is_idle(&self, cx: &Context<'_>) -> bool {
        self.pending.is_empty() && self.flight.is_none() && cx.now.since(self.used) >= cx.options.idle_timeout
    }

    /// When [`step`](Self::step) has to be called at the latest.
    pub fn deadline(&self, options: &Options) -> Time {
        let expiry = self.pending.iter().map(|pending| pending.deadline).min();
        let expiry = expiry.unwrap_or(Time::NEVER);
        if self.flight.is_some() {
            return expiry;
        }
        let all_wait = self.pending.iter().all(|pending| pending.waits);
        let due = match (self.pending.is_empty(), all_wait) {
            (true, _) => self.used + options.idle_timeout,
            (false, true) => (self.read_at + options.poll_interval).max(self.next_at),
            (false, false) => self.next_at,
        };
        expiry.min(due)
    }

    /// Drops what is past its deadline and works on the rest; returns the store call that is needed.
    pub fn step(&mut self, cx: &Context<'_>, out: &mut Verdicts) -> Option<Request> {
        self.expire(cx, out);
        if self.flight.is_some() || self.pending.is_empty() || cx.now < self.next_at {
            return None;
        }
        let request = self.next_request(cx, out)?;
        if let Request::Swap { .. } = request {
            self.round = self.round.max(cx.options.batch_interval);
            self.next_at = cx.now + self.round;
            self.fresh = false;
        }
        self.flight = Some(request.clone());
        Some(request)
    }

    /// Takes in the result of the call under way.
    pub fn on_reply(&mut self, result: Result<Reply, Failure>, cx: &Context<'_>, out: &mut Verdicts) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        // After a pause, what is past its deadline must not be granted.
        self.expire(cx, out);
        match (flight, result) {
            (Request::Grant, Ok(_)) => {}
            (Request::Read, Ok(Reply::Found { entries, .. })) => {
                self.adopt(entries.into_iter().next(), cx);
                self.fresh = true;
            }
            (Request::Swap { page, .. }, Ok(Reply::Done { revision })) => {
                self.on_stored(revision, page, cx, out);
            }
            (Request::Swap { .. }, Ok(Reply::Conflict { current })) => self.on_conflict(current, cx),
            (flight, result) => self.on_failure(&flight, result.err(), cx),
        }
        for pending in &mut self.pending {
            pending.staged = false;
        }
    }

    fn next_request(&mut self, cx: &Context<'_>, out: &mut Verdicts) -> Option<Request> {
        // Where others write too, the value is read just before the swap, so that few swaps come to nothing.
        let contended = self.round > cx.options.batch_interval && !self.fresh;
        let Some(known) = self.known.as_ref().filter(|_| !contended) else {
            return Some(Request::Read);
        };
        let (expect, mut page) = match &known.stored {
            Some((revision, page)) => (Expect::At(*revision), page.clone()),
            None => (Expect::Absent, Page::default()),
        };
        let changed = self.apply_pending(&mut page, cx, out);
        if !changed {
            let stale = cx.now >= self.read_at + cx.options.poll_interval;
            return (stale && !self.pending.is_empty()).then_some(Request::Read);
        }
        if expect == Expect::Absent {
            let Some(lease) = cx.lease else {
                self.unstage();
                return Some(Request::Grant);
            };
            page.lease = lease.0;
        }
        for pending in self.pending.iter_mut().filter(|pending| pending.staged) {
            pending.tried = true;
        }
        Some(Request::Swap { expect, page })
    }

    /// Applies every change to `page`; true if the page has to be stored.
    fn apply_pending(&mut self, page: &mut Page, cx: &Context<'_>, out: &mut Verdicts) -> bool {
        let mut changed = false;
        let must_bump = self.lost.is_some();
        self.pending.retain_mut(|pending| {
            let effect = pending.op.apply(page, cx.options);
            pending.staged = effect == Effect::Changed
                || (effect == Effect::Unchanged && must_bump && pending.op.change == Change::Release);
            if pending.staged {
                // A release without a visible claim is stored nevertheless while a lost swap could still
                // bring the claim back.
                pending.waits = false;
                changed = true;
                return true;
            }
            pending.settle(effect, cx, out)
        });
        changed
    }

    fn unstage(&mut self) {
        for pending in &mut self.pending {
            pending.staged = false;
        }
    }

    fn on_stored(&mut self, revision: u64, page: Page, cx: &Context<'_>, out: &mut Verdicts) {
        self.remember(Some((revision, page)), cx);
        self.lost = None;
        self.round = self.round * 15 / 16;
        self.pending.retain_mut(|pending| {
            if !pending.staged {
                return true;
            }
            pending.settle(Effect::Unchanged, cx, out)
        });
    }

    fn on_conflict(&mut self, current: Option<Entry>, cx: &Context<'_>) {
        // The value has changed, so that an earlier swap can no longer take effect either.
        self.lost = None;
        self.adopt(current, cx);
        self.round = (self.round * 2).min(cx.options.batch_interval * ROUND_FACTOR);
        self.next_at = cx.now + self.round.mul_f64(self.dice());
    }

    /// A number from 0 to 1 that differs between instances and swaps, to spread those that conflict.
    fn dice(&self) -> f64 {
        let nonce = self
            .pending
            .first()
            .map_or(0, |pending| pending.op.nonce.holder ^ pending.op.nonce.serial);
        let mixed = (nonce ^ self.read_at.as_micros()).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 32) as f64 / f64::from(u32::MAX)
    }

    fn on_failure(&mut self, flight: &Request, failure: Option<Failure>, cx: &Context<'_>) {
        let certain = matches!(failure, Some(Failure::NotSent | Failure::Unavailable));
        if !certain {
            self.known = None;
        }
        if let (Request::Swap { expect, .. }, false) = (flight, certain) {
            self.lost = Some(*expect);
        }
        let delay = RETRY_DELAY * (1 << self.failures.min(RETRY_DOUBLINGS));
        self.failures += 1;
        self.next_at = cx.now + delay;
    }

    fn adopt(&mut self, entry: Option<Entry>, cx: &Context<'_>) {
        let stored = match entry {
            None => None,
            Some(entry) => {
                let Ok(page) = Page::decode(entry.value) else {
                    // A value that cannot be read must not be overwritten: its claims may have been sent.
                    log::error!("claim: the stored value {:?} cannot be decoded", entry.key);
                    self.known = None;
                    self.next_at = cx.now + RETRY_DELAY * (1 << RETRY_DOUBLINGS);
                    return;
                };
                Some((entry.revision, page))
            }
        };
        let expect = stored
            .as_ref()
            .map_or(Expect::Absent, |(revision, _)| Expect::At(*revision));
        if self.lost.is_some_and(|lost| lost != expect) {
            self.lost = None;
        }
        self.remember(stored, cx);
    }

    fn remember(&mut self, stored: Option<(u64, Page)>, cx: &Context<'_>) {
        self.known = Some(Known { stored });
        self.read_at = cx.now;
        self.used = cx.now;
        self.failures = 0;
    }

    fn expire(&mut self, cx: &Context<'_>, out: &mut Verdicts) {
        self.pending.retain_mut(|pending| {
            if cx.now < pending.deadline {
                return true;
            }
            let Some(ticket) = pending.ticket else {
                return false;
            };
            let problem = if pending.waits {
                verdict::in_progress()
            } else {
                verdict::store_unavailable()
            };
            out.push((ticket, Verdict::Refused(problem)));
            pending.withdraw(cx.now + cx.options.record_timeout);
            pending.tried
        });
    }
}

impl Pending {
    /// Makes a release of a reservation.
    fn withdraw(&mut self, deadline: Time) {
        self.op.change = Change::Release;
        self.ticket = None;
        self.deadline = deadline;
        self.waits = false;
        self.staged = false;
    }

    /// Concludes a change that needs no further swap; true if it has to wait.
    fn settle(&mut self, effect: Effect, cx: &Context<'_>, out: &mut Verdicts) -> bool {
        let Some(ticket) = self.ticket else {
            return false;
        };
        let verdict = match effect {
            Effect::Changed => return true,
            Effect::Unchanged => Verdict::Granted {
                send_by: cx.now + cx.options.send_window,
            },
            Effect::Full => Verdict::Refused(verdict::no_room()),
            Effect::HeldByOther(record) => match self.judge(&record, cx) {
                Some(verdict) => verdict,
                None => return true,
            },
        };
        out.push((ticket, verdict));
        false
    }

    /// The verdict on a claim that another call made; `None` to wait for its outcome.
    fn judge(&mut self, record: &Record, cx: &Context<'_>) -> Option<Verdict> {
        let Change::Reserve { fingerprint } = self.op.change else {
            return None;
        };
        if record.fingerprint != fingerprint {
            return Some(Verdict::Refused(verdict::key_reused()));
        }
        if record.state == DONE {
            return Some(replay(record));
        }
        if record.state != RESERVED || cx.ended.contains(&record.holder) {
            return Some(Verdict::Refused(verdict::outcome_unknown()));
        }
        if !self.waits {
            self.waits = true;
            self.deadline = cx.now + cx.options.wait_timeout;
        }
        None
    }
}

fn replay(record: &Record) -> Verdict {
    if record.body.is_some() {
        Verdict::Replay(record.outcome())
    } else {
        Verdict::Refused(verdict::body_lost(record.status as u16))
    }
}

/// The stored form of a page.
pub fn encode(page: &Page) -> Bytes {
    Bytes::from(page.encode_to_vec())
}
