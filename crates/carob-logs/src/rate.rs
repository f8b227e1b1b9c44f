//! Rate limit of log lines.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Window over which the rate is averaged, in seconds, so that a burst of failures is written completely.
pub(crate) const WINDOW_SECONDS: u64 = 4;

/// Limits the lines in each window of [`WINDOW_SECONDS`].
pub(crate) struct RateLimit {
    per_second: u64,
    /// Number of the current window in the upper 32 bits, number of lines in it in the lower 32 bits.
    state: AtomicU64,
}

impl RateLimit {
    pub(crate) const fn new(per_second: u64) -> Self {
        Self {
            per_second,
            state: AtomicU64::new(0),
        }
    }

    /// Counts a line at the time `now` since the start. Returns whether it may be written.
    pub(crate) fn try_take(&self, now: Duration) -> bool {
        let window = now.as_secs() / WINDOW_SECONDS;
        let max_lines = self.per_second * WINDOW_SECONDS;
        let count_line = |state: u64| {
            let count = if state >> 32 == window {
                state & 0xffff_ffff
            } else {
                0
            };
            (count < max_lines).then_some((window << 32) | (count + 1))
        };
        self.state
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, count_line)
            .is_ok()
    }
}
