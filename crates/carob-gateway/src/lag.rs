//! How far this instance's knowledge of the store is behind that of others.

use std::time::{Duration, Instant};

/// The newest revision that any other instance knows, and since when this one does not.
///
/// Most of what an instance hears comes from others that are as far behind as it is itself, so their words say
/// nothing about the lag; it ends only when this instance knows the newest revision.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    newest: u64,
    since: Option<Instant>,
}

impl Lag {
    /// An instance that has heard of nothing newer.
    pub const fn new() -> Self {
        Self {
            newest: 0,
            since: None,
        }
    }

    /// Takes in that another instance knows `revision` while this one knows `own`. Returns how long this one has
    /// been behind.
    pub fn observe(&mut self, revision: u64, own: u64, now: Instant) -> Duration {
        self.newest = self.newest.max(revision);
        if !self.is_behind(own) {
            self.since = None;
            return Duration::ZERO;
        }
        now.saturating_duration_since(*self.since.get_or_insert(now))
    }

    /// Whether another instance knows more than `own`.
    pub const fn is_behind(&self, own: u64) -> bool {
        self.newest > own
    }
}
