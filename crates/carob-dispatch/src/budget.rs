//! Retries that this instance may send, as its own share of a budget that all instances keep together.
//!
//! A service permits, in every window, a share of its requests plus a fixed number. Each instance adds up only
//! what it saw itself: the sum over instances then keeps to the whole, with no message between them, also while
//! peers and the platform are away. The fixed number is divided by the most instances that there may be.

use std::{collections::VecDeque, time::Duration};

use carob_base::Time;

/// Windows that a span of one window's length can overlap; requests of an older window may already be gone.
const PARTS: u32 = 4;

/// Bounds of a budget.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries for each request, from 0 to 1.
    pub ratio: f64,
    /// Retries in a window beside the ratio, for this instance.
    pub extra: f64,
}

/// Requests and retries of one service in the last windows.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: Options,
    /// Counts by part of a window: number of the part, requests, retries.
    parts: VecDeque<(u64, u32, u32)>,
}

impl RetryBudget {
    /// An empty budget.
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            parts: VecDeque::new(),
        }
    }

    /// Counts a request of a client.
    pub fn record_request(&mut self, now: Time) {
        self.part(now).1 += 1;
    }

    /// Counts a retry if it is permitted now; says whether it is.
    pub fn try_retry(&mut self, now: Time) -> bool {
        self.part(now);
        // One part more than a window, since spans that end in the present part begin within the oldest one.
        let requests: u32 = self.parts.iter().skip(1).map(|part| part.1).sum();
        let retries: u32 = self.parts.iter().map(|part| part.2).sum();
        let permitted = f64::from(requests).mul_add(self.options.ratio, self.options.extra);
        let free = f64::from(retries) + 1.0 <= permitted;
        if free {
            self.part(now).2 += 1;
        }
        free
    }

    /// The present part; drops those that no window reaches any more.
    fn part(&mut self, now: Time) -> &mut (u64, u32, u32) {
        let length = (self.options.window / PARTS).as_micros().max(1) as u64;
        let number = now.as_micros() / length;
        let oldest = number.saturating_sub(u64::from(PARTS));
        while self.parts.front().is_some_and(|part| part.0 < oldest) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.0 < number) {
            self.parts.push_back((number, 0, 0));
        }
        self.parts.back_mut().expect("a part was pushed above")
    }
}
