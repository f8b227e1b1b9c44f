//! One stored value, with the changes to be made to it.
//!
//! At most one store call per value is in flight. A swap carries every pending change, so the number of swaps
//! depends on the number of values and on their swap intervals, not on the number of calls.

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

/// Delay after the first failed store call; doubled after each further failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of doublings of the retry delay.
const MAX_DOUBLINGS: u32 = 5;
/// Maximum time between two swaps, as a multiple of [`Options::batch_interval`].
const MAX_INTERVAL_FACTOR: u32 = 16;

/// What a value needs to know of the instance's state.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Limits and timeouts.
    pub options: &'a Options,
    /// Processes that have certainly ended.
    pub ended: &'a BTreeSet<u64>,
    /// Lease under which the value can be created; `None` if none has been granted yet.
    pub lease: Option<Lease>,
    /// The current time.
    pub now: Time,
}

carob_base::value! {
    /// A store call that a value needs.
    pub enum Request {
        /// Read the value.
        Read,
        /// Obtain a lease under which to create the value.
        Grant,
        /// Replace the value if it is as expected.
        Swap {
            /// The state that the stored value must be in.
            expect: Expect,
            /// The new content.
            page: Page,
        },
    }
}

/// Verdicts, in the order in which they were reached.
pub type Verdicts = Vec<(Ticket, Verdict)>;

#[derive(Debug)]
struct Pending {
    op: Op,
    ticket: Option<Ticket>,
    deadline: Time,
    /// Whether this reservation waits for the outcome of another call's claim on the same key.
    waiting: bool,
    /// Whether a swap with this change, or with the claim that it releases, may have reached the store.
    tried: bool,
    /// Whether the swap in flight carries this change.
    staged: bool,
}

#[derive(Debug, Default)]
struct Known {
    /// Revision and content; `None` if the value does not exist in the store.
    stored: Option<(u64, Page)>,
}

/// One stored value.
#[derive(Debug)]
pub struct Value {
    /// Last known state of the stored value; `None` if it has to be read first.
    known: Option<Known>,
    read_at: Time,
    /// Whether the value was read since the last swap.
    fresh: bool,
    pending: Vec<Pending>,
    in_flight: Option<Request>,
    /// What a swap with a lost reply expected. The swap may still take effect as long as the stored value is
    /// in that state.
    lost_swap: Option<Expect>,
    /// Earliest time of the next store call.
    next_at: Time,
    last_used: Time,
    /// Consecutive failed store calls.
    failures: u32,
    /// Time between two swaps. It is doubled when a swap conflicts with that of another instance and slowly
    /// shortened again, so that the number of swaps does not depend on how many instances write the value.
    swap_interval: Duration,
}

impl Value {
    /// Creates a value whose stored state is not known yet.
    pub const fn new(now: Time) -> Self {
        Self {
            known: None,
            read_at: Time::ZERO,
            fresh: false,
            pending: Vec::new(),
            in_flight: None,
            lost_swap: None,
            next_at: now,
            last_used: now,
            failures: 0,
            swap_interval: Duration::ZERO,
        }
    }

    /// Adds a change. The verdict on a reservation is reported under `ticket`; other changes have none.
    pub fn push(&mut self, op: Op, ticket: Option<Ticket>, deadline: Time, now: Time) {
        self.last_used = now;
        self.pending.push(Pending {
            op,
            ticket,
            deadline,
            waiting: false,
            tried: ticket.is_none(),
            staged: false,
        });
    }

    /// Turns a pending reservation that is no longer wanted into its release. Returns false if it is not
    /// pending any more.
    pub fn withdraw(&mut self, nonce: Nonce, deadline: Time) -> bool {
        let found = self.pending.iter_mut().find(|pending| pending.op.nonce == nonce);
        let Some(pending) = found else {
            return false;
        };
        pending.withdraw(deadline);
        true
    }

    /// Number of changes that are not stored yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Whether the value may be evicted from memory.
    pub fn is_idle(&self, cx: &Context<'_>) -> bool {
        self.pending.is_empty()
            && self.in_flight.is_none()
            && cx.now.since(self.last_used) >= cx.options.idle_timeout
    }

    /// Latest time at which [`step`](Self::step) has to be called.
    pub fn deadline(&self, options: &Options) -> Time {
        let expiry = self.pending.iter().map(|pending| pending.deadline).min();
        let expiry = expiry.unwrap_or(Time::NEVER);
        if self.in_flight.is_some() {
            return expiry;
        }
        let all_wait = self.pending.iter().all(|pending| pending.waiting);
        let due = match (self.pending.is_empty(), all_wait) {
            (true, _) => self.last_used + options.idle_timeout,
            (false, true) => (self.read_at + options.poll_interval).max(self.next_at),
            (false, false) => self.next_at,
        };
        expiry.min(due)
    }

    /// Drops changes that are past their deadline and returns the store call that the others need, if one is
    /// due.
    pub fn step(&mut self, cx: &Context<'_>, out: &mut Verdicts) -> Option<Request> {
        self.expire(cx, out);
        if self.in_flight.is_some() || self.pending.is_empty() || cx.now < self.next_at {
            return None;
        }
        let request = self.next_request(cx, out)?;
        if let Request::Swap { .. } = request {
            self.swap_interval = self.swap_interval.max(cx.options.batch_interval);
            self.next_at = cx.now + self.swap_interval;
            self.fresh = false;
        }
        self.in_flight = Some(request.clone());
        Some(request)
    }

    /// The result of the store call in flight arrived.
    pub fn on_reply(&mut self, result: Result<Reply, Failure>, cx: &Context<'_>, out: &mut Verdicts) {
        let Some(request) = self.in_flight.take() else {
            return;
        };
        // After a pause of the process, a claim that is past its deadline must not be granted.
        self.expire(cx, out);
        match (request, result) {
            (Request::Grant, Ok(_)) => {}
            (Request::Read, Ok(Reply::Entries { entries, .. })) => {
                self.adopt(entries.into_iter().next(), cx);
                self.fresh = true;
            }
            (Request::Swap { page, .. }, Ok(Reply::Applied { revision })) => {
                self.on_stored(revision, page, cx, out);
            }
            (Request::Swap { .. }, Ok(Reply::Conflict { current })) => self.on_conflict(current, cx),
            (request, result) => self.on_failure(&request, result.err(), cx),
        }
        for pending in &mut self.pending {
            pending.staged = false;
        }
    }

    fn next_request(&mut self, cx: &Context<'_>, out: &mut Verdicts) -> Option<Request> {
        // If other instances write the value too, it is read immediately before the swap, so that few swaps
        // conflict.
        let contended = self.swap_interval > cx.options.batch_interval && !self.fresh;
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

    /// Applies every pending change to `page`. Returns whether the page has to be stored.
    fn apply_pending(&mut self, page: &mut Page, cx: &Context<'_>, out: &mut Verdicts) -> bool {
        let mut changed = false;
        let swap_lost = self.lost_swap.is_some();
        self.pending.retain_mut(|pending| {
            let effect = pending.op.apply(page, cx.options);
            pending.staged = effect == Effect::Changed
                || (effect == Effect::Unchanged && swap_lost && pending.op.change == Change::Release);
            if pending.staged {
                // A release is stored even if its claim is not in the page, as long as a lost swap could
                // still create the claim.
                pending.waiting = false;
                changed = true;
                return true;
            }
            pending.conclude(effect, cx, out)
        });
        changed
    }

    fn unstage(&mut self) {
        for pending in &mut self.pending {
            pending.staged = false;
        }
    }

    fn on_stored(&mut self, revision: u64, page: Page, cx: &Context<'_>, out: &mut Verdicts) {
        self.set_known(Some((revision, page)), cx);
        self.lost_swap = None;
        self.swap_interval = self.swap_interval * 15 / 16;
        self.pending.retain_mut(|pending| {
            if !pending.staged {
                return true;
            }
            pending.conclude(Effect::Unchanged, cx, out)
        });
    }

    fn on_conflict(&mut self, current: Option<Entry>, cx: &Context<'_>) {
        // The value has changed, so an earlier swap with a lost reply can no longer take effect either.
        self.lost_swap = None;
        self.adopt(current, cx);
        self.swap_interval = (self.swap_interval * 2).min(cx.options.batch_interval * MAX_INTERVAL_FACTOR);
        self.next_at = cx.now + self.swap_interval.mul_f64(self.jitter());
    }

    /// A number from 0 to 1 that differs between instances and swaps, to spread the repetitions of swaps that
    /// conflict.
    fn jitter(&self) -> f64 {
        let nonce = self
            .pending
            .first()
            .map_or(0, |pending| pending.op.nonce.holder ^ pending.op.nonce.serial);
        let mixed = (nonce ^ self.read_at.as_micros()).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 32) as f64 / f64::from(u32::MAX)
    }

    fn on_failure(&mut self, request: &Request, failure: Option<Failure>, cx: &Context<'_>) {
        let certain = matches!(failure, Some(Failure::NotSent | Failure::Unavailable));
        if !certain {
            self.known = None;
        }
        if let (Request::Swap { expect, .. }, false) = (request, certain) {
            self.lost_swap = Some(*expect);
        }
        let delay = RETRY_DELAY * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.next_at = cx.now + delay;
    }

    fn adopt(&mut self, entry: Option<Entry>, cx: &Context<'_>) {
        let stored = match entry {
            None => None,
            Some(entry) => {
                let Ok(page) = Page::decode(entry.value) else {
                    // A value that cannot be decoded must not be overwritten: its calls may have been sent.
                    log::error!("claim: the stored value {:?} cannot be decoded", entry.key);
                    self.known = None;
                    self.next_at = cx.now + RETRY_DELAY * (1 << MAX_DOUBLINGS);
                    return;
                };
                Some((entry.revision, page))
            }
        };
        let expect = stored
            .as_ref()
            .map_or(Expect::Absent, |(revision, _)| Expect::At(*revision));
        if self.lost_swap.is_some_and(|lost| lost != expect) {
            self.lost_swap = None;
        }
        self.set_known(stored, cx);
    }

    fn set_known(&mut self, stored: Option<(u64, Page)>, cx: &Context<'_>) {
        self.known = Some(Known { stored });
        self.read_at = cx.now;
        self.last_used = cx.now;
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
            let problem = if pending.waiting {
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
    /// Turns a reservation into its release.
    fn withdraw(&mut self, deadline: Time) {
        self.op.change = Change::Release;
        self.ticket = None;
        self.deadline = deadline;
        self.waiting = false;
        self.staged = false;
    }

    /// Reports the verdict on a change that needs no further swap. Returns true if the change has to stay
    /// pending.
    fn conclude(&mut self, effect: Effect, cx: &Context<'_>, out: &mut Verdicts) -> bool {
        let Some(ticket) = self.ticket else {
            return false;
        };
        let verdict = match effect {
            Effect::Changed => return true,
            Effect::Unchanged => Verdict::Granted {
                send_by: cx.now + cx.options.send_window,
            },
            Effect::Full => Verdict::Refused(verdict::no_room()),
            Effect::HeldByOther(record) => match self.decide(&record, cx) {
                Some(verdict) => verdict,
                None => return true,
            },
        };
        out.push((ticket, verdict));
        false
    }

    /// The verdict on a reservation whose key is claimed by another call; `None` if it waits for that call's
    /// outcome.
    fn decide(&mut self, record: &Record, cx: &Context<'_>) -> Option<Verdict> {
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
        if !self.waiting {
            self.waiting = true;
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
