//! Bounds the lines a second.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Seconds over which the rate is an average, so that a burst of failures is written whole.
pub(crate) const BURST: u64 = 4;

/// A count of lines in the present span of [`BURST`] seconds.
pub(crate) struct Rate {
    per_second: u64,
    /// Number of the span in the upper half, lines in it in the lower half.
    state: AtomicU64,
}

impl Rate {
    pub(crate) const fn new(per_second: u64) -> Self {
        Self {
            per_second,
            state: AtomicU64::new(0),
        }
    }

    /// Counts a line `now` after the start; says whether it may be written.
    pub(crate) fn take(&self, now: Duration) -> bool {
        let span = now.as_secs() / BURST;
        let most = self.per_second * BURST;
        let step = |state: u64| {
            let count = if state >> 32 == span {
                state & 0xffff_ffff
            } else {
                0
            };
            (count < most).then_some((span << 32) | (count + 1))
        };
        self.state
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .is_ok()
    }
}
