//! This instance's share of a retry budget that holds for all instances together.
//!
//! In every sliding window, a service permits repeats up to a fraction of its requests plus a fixed number. The
//! sum over all instances and processes is kept without messages between them, because each process keeps to
//! its share in every span of time up to a window, with the requests of that very span:
//!
//! * The fixed number is divided among the instances ([`Divisor`]).
//! * Spans start and end at any time, so sums over instances never mix requests of different windows.
//! * A process that starts takes its share as spent, since the process before it may have done so. Until that
//!   is a window ago it may repeat only what its own requests have earned. The same holds until it is registered
//!   in the store, since it cannot know the others before.
//! * A send that was given up without a sign of life may arrive long after. The repeat that it makes is held,
//!   which counts in every span, until its upstream is heard of ([`RetryBudget::hold`]).

use std::{collections::VecDeque, time::Duration};

use carob_base::Time;

use crate::outcome::AttemptResult;

/// Spans up to this multiple of a window are checked, as repeats may arrive somewhat later than they are sent.
const HORIZON_FACTOR: f64 = 1.25;

/// Parts that a repeat is counted in, so that sums of what requests earn are exact.
const PARTS: f64 = 1e6;

/// Largest part of a share that is held for sends that may still arrive; the rest is for other repeats.
const HELD_SHARE: f64 = 0.5;

/// A repeat, in parts.
const REPEAT: i64 = PARTS as i64;

/// The fixed part is divided among at least this many instances.
///
/// An instance that does not know all others yet must not spend their shares.
const MIN_INSTANCES: f64 = 10.0;

/// Instances that are counted for each one that is known, so that those not known yet have a share.
const MARGIN: f64 = 1.25;

carob_base::plain! {
    /// Why an upstream gets a request that was sent before.
    pub enum Reason {
        /// The send before it ended without a connection.
        Unsent,
        /// The upstream before rejected the request.
        Rejected,
        /// The upstream before ran the request, and it failed.
        Failed,
        /// Nothing is known of the request after it was sent.
        Unknown,
        /// A generation continues at another upstream because its own leaves.
        Move,
        /// A generation continues at another upstream after its own failed.
        Resume,
    }
}

impl Reason {
    /// The reason in log lines and metric labels.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
            Self::Move => "move",
            Self::Resume => "resume",
        }
    }

    /// Whether the budget limits repeats for this reason. Generations that continue from a copy of their memory
    /// are not limited: operators count them apart from retries.
    pub const fn is_limited(self) -> bool {
        !matches!(self, Self::Move | Self::Resume)
    }
}

impl From<AttemptResult> for Reason {
    fn from(result: AttemptResult) -> Self {
        match result {
            AttemptResult::Unsent => Self::Unsent,
            AttemptResult::Rejected => Self::Rejected,
            AttemptResult::Failed => Self::Failed,
            AttemptResult::Unknown => Self::Unknown,
        }
    }
}

/// Number of instances that the fixed part of a budget is divided among.
///
/// It never falls while a process runs, since an instance whose registration has lapsed may still serve.
#[derive(Clone, Copy, Debug)]
pub struct Divisor {
    /// Largest number of instances that was known at a time.
    known: usize,
}

impl Divisor {
    /// Creates a divisor for an instance that knows no others.
    pub const fn new() -> Self {
        Self { known: 1 }
    }

    /// Takes note that `known` instances exist, this one included. Returns whether shares become smaller.
    pub const fn observe(&mut self, known: usize) -> bool {
        let grows = known > self.known;
        if grows {
            self.known = known;
        }
        grows
    }

    /// Largest number of instances that was known at a time, this one included.
    pub const fn known(self) -> usize {
        self.known
    }

    /// This instance's share of `extra` repeats.
    ///
    /// A share below one permits no repeat at all, since the span of that repeat alone would exceed it. Where the
    /// margin for instances not known yet would lead to that, the share is one as long as each known instance can
    /// have it.
    pub fn share(self, extra: f64) -> f64 {
        let known = self.known as f64;
        let divisor = (known * MARGIN).max(MIN_INSTANCES);
        (extra / divisor).max((extra / known).min(1.0))
    }
}

impl Default for Divisor {
    fn default() -> Self {
        Self::new()
    }
}

/// Limits of one retry budget.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Length of the sliding window.
    pub window: Duration,
    /// Repeats permitted per request, from 0 to 1.
    pub ratio: f64,
    /// Repeats that this instance may send in a window on top of those from `ratio`; its [`Divisor::share`].
    pub extra: f64,
}

impl Options {
    fn horizon(&self) -> Duration {
        self.window.mul_f64(HORIZON_FACTOR)
    }
}

/// Requests and repeats of one service at this instance.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: Options,
    /// Number of requests since the start.
    requests: u64,
    /// Repeats that were sent, less what requests have earned, in parts; negative if more was earned.
    debt: i64,
    /// Repeats that are permitted and not sent yet.
    reserved: u32,
    /// Repeats that may be made at any time by sends that were given up.
    held: u32,
    /// Times of repeats within the horizon, and the debt before each. The debt grows from one to the next: where it
    /// has not, the spans that start with the earlier repeat are less full than those that start with the later.
    marks: VecDeque<(Time, i64)>,
    /// When the share last counted as spent.
    spent_at: Time,
    /// Debt at that time.
    spent_debt: i64,
}

impl RetryBudget {
    /// Creates a budget whose share counts as spent at `start`; [`Time::NEVER`] for one without a share yet.
    pub const fn new(options: Options, start: Time) -> Self {
        Self {
            options,
            requests: 0,
            debt: 0,
            reserved: 0,
            held: 0,
            marks: VecDeque::new(),
            spent_at: start,
            spent_debt: 0,
        }
    }

    /// Changes the limits at `now`.
    pub fn set_options(&mut self, options: Options, now: Time) {
        if options.window > self.options.window && self.spent_at <= now {
            // Repeats that the longer window contains may be forgotten.
            self.restart(now);
        }
        self.options = options;
    }

    /// Counts the share as spent at `now`.
    pub const fn restart(&mut self, now: Time) {
        self.spent_at = now;
        self.spent_debt = self.debt;
    }

    /// Counts a client's request, which earns `ratio` repeats.
    pub fn record_request(&mut self) {
        self.requests += 1;
        self.debt -= parts(self.options.ratio);
    }

    /// Whether a further repeat is permitted at `now`.
    pub fn permits(&mut self, now: Time) -> bool {
        self.parts_left(now) >= REPEAT
    }

    /// Reserves a repeat if a further one is permitted at `now`; returns whether it was. Either
    /// [`Self::commit`] or [`Self::release`] must follow.
    pub fn reserve(&mut self, now: Time) -> bool {
        let permitted = self.permits(now);
        self.reserved += u32::from(permitted);
        permitted
    }

    /// Counts a reserved repeat, which is sent at `now`.
    pub fn commit(&mut self, now: Time) {
        self.reserved = self.reserved.saturating_sub(1);
        self.count(now);
    }

    /// Whether a repeat may be held in addition to those that are.
    pub fn permits_hold(&self) -> bool {
        f64::from(self.held) + 1.0 <= (self.options.extra * HELD_SHARE).max(1.0)
    }

    /// Holds a repeat, since an earlier send of its request may still arrive, until [`Self::settle`].
    pub const fn hold(&mut self) {
        self.held += 1;
    }

    /// Counts `held` repeats at `now`: the sends that they were held for have arrived by now, or never will.
    pub fn settle(&mut self, held: u32, now: Time) {
        for _ in 0..held.min(self.held) {
            self.count(now);
        }
        self.held = self.held.saturating_sub(held);
    }

    fn count(&mut self, now: Time) {
        while self.marks.back().is_some_and(|mark| mark.1 >= self.debt) {
            self.marks.pop_back();
        }
        self.marks.push_back((now, self.debt));
        self.debt += REPEAT;
    }

    /// Gives back a reserved repeat that is not sent.
    pub const fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Repeats that are permitted at `now`; may be fractional, and negative.
    pub fn left(&mut self, now: Time) -> f64 {
        self.parts_left(now) as f64 / PARTS
    }

    /// Number of requests since the start of the process.
    pub const fn requests(&self) -> u64 {
        self.requests
    }

    /// Repeats permitted in a window without any request.
    pub const fn share(&self) -> f64 {
        self.options.extra
    }

    fn parts_left(&mut self, now: Time) -> i64 {
        let horizon = self.options.horizon();
        while self.marks.front().is_some_and(|mark| now.since(mark.0) > horizon) {
            self.marks.pop_front();
        }
        // The span whose repeats exceed their requests' earnings the most.
        let least = self.marks.front().map_or(self.debt, |mark| mark.1.min(self.debt));
        let mut left = parts(self.options.extra) - (self.debt - least);
        if now.since(self.spent_at) <= horizon {
            left = left.min(self.spent_debt - self.debt);
        }
        left - i64::from(self.reserved + self.held) * REPEAT
    }
}

/// Converts a number of repeats to parts, rounded down.
fn parts(repeats: f64) -> i64 {
    (repeats * PARTS).floor() as i64
}
