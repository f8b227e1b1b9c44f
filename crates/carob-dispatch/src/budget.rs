//! This instance's share of a retry budget that holds for all instances together.
//!
//! In every sliding window, a service permits retries up to a fraction of its requests plus a fixed number.
//! Each instance counts only its own requests and retries, and the fixed number is divided by the maximum
//! number of instances. The sum over all instances therefore stays within the service's budget without any
//! messages between them, even while peers and the platform are unreachable.

use std::{collections::VecDeque, time::Duration};

use carob_base::Time;

use crate::outcome::AttemptResult;

/// Number of buckets that a window is divided into; counts are dropped a whole bucket at a time.
const BUCKETS: u32 = 4;

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

/// Limits of one retry budget.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries permitted per request, from 0 to 1.
    pub ratio: f64,
    /// Retries that this instance may send in a window on top of those from `ratio`.
    pub extra: f64,
}

/// Requests and retries of one service in the current window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: Options,
    /// Bucket number, requests and retries, oldest bucket first.
    buckets: VecDeque<(u64, u32, u32)>,
}

impl RetryBudget {
    /// Creates a budget with no requests or retries counted.
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a client's request, which earns `ratio` retries.
    pub fn record_request(&mut self, now: Time) {
        self.current_bucket(now).1 += 1;
    }

    /// Counts a retry and returns `true` if the budget permits it, else returns `false`.
    pub fn try_retry(&mut self, now: Time) -> bool {
        let within_budget = self.left(now) >= 1.0;
        if within_budget {
            self.current_bucket(now).2 += 1;
        }
        within_budget
    }

    /// Retries that are permitted at `now`; may be fractional, and negative.
    pub fn left(&mut self, now: Time) -> f64 {
        let requests = self.requests(now);
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.2).sum();
        let permitted = f64::from(requests).mul_add(self.options.ratio, self.options.extra);
        permitted - f64::from(retries)
    }

    /// Number of requests that the permitted retries are counted from.
    pub fn requests(&mut self, now: Time) -> u32 {
        self.current_bucket(now);
        // The buckets cover one more than a window, because a window that ends in the current bucket starts
        // within the oldest one. Retries there count, but requests do not, since they may be older than the
        // window.
        self.buckets.iter().skip(1).map(|bucket| bucket.1).sum()
    }

    /// Retries permitted in a window without any request.
    pub const fn share(&self) -> f64 {
        self.options.extra
    }

    /// The bucket of `now`, created if needed. Drops buckets that no window ending at `now` overlaps.
    fn current_bucket(&mut self, now: Time) -> &mut (u64, u32, u32) {
        let length = (self.options.window / BUCKETS).as_micros().max(1) as u64;
        let number = now.as_micros() / length;
        let oldest = number.saturating_sub(u64::from(BUCKETS));
        while self.buckets.front().is_some_and(|bucket| bucket.0 < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.0 < number) {
            self.buckets.push_back((number, 0, 0));
        }
        self.buckets.back_mut().expect("a bucket was pushed above")
    }
}
