//! How long this instance's copy of the store has been behind those of other instances.

use std::time::{Duration, Instant};

/// The newest revision that any other instance has reported, and since when this instance has been behind it.
///
/// Most reports come from instances that are as far behind as this one, so a report of an older revision does
/// not end the lag; it ends only when this instance reaches the newest revision.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    newest: u64,
    since: Option<Instant>,
}

impl Lag {
    /// Returns the state of an instance that no newer revision has been reported to.
    pub const fn new() -> Self {
        Self {
            newest: 0,
            since: None,
        }
    }

    /// Records that another instance has reached `revision` while this one is at `own`. Returns how long this
    /// one has been behind the newest reported revision; zero if it is not.
    pub fn observe(&mut self, revision: u64, own: u64, now: Instant) -> Duration {
        self.newest = self.newest.max(revision);
        if !self.is_behind(own) {
            self.since = None;
            return Duration::ZERO;
        }
        now.saturating_duration_since(*self.since.get_or_insert(now))
    }

    /// Whether another instance has reported a revision newer than `own`.
    pub const fn is_behind(&self, own: u64) -> bool {
        self.newest > own
    }
}
