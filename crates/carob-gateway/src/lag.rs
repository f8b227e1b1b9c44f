//! How long this instance's copy of the store has been behind those of other instances.

use std::time::{Duration, Instant};

use crate::era::Position;

/// The newest position that any other instance has reported, and since when this instance has been behind it.
///
/// Most reports come from instances that are as far behind as this one, so a report of an older position does
/// not end the lag; it ends only when this instance reaches the newest one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    newest: Position,
    since: Option<Instant>,
}

impl Lag {
    /// Returns the state of an instance that no newer position has been reported to.
    pub const fn new() -> Self {
        Self {
            newest: Position::START,
            since: None,
        }
    }

    /// Records that another instance has reached `position` while this one is at `own`. Returns how long this
    /// one has been behind the newest reported position; zero if it is not.
    pub fn observe(&mut self, position: Position, own: Position, now: Instant) -> Duration {
        self.newest = self.newest.max(position);
        if !self.is_behind(own) {
            self.since = None;
            return Duration::ZERO;
        }
        now.saturating_duration_since(*self.since.get_or_insert(now))
    }

    /// Whether another instance has reported a position newer than `own`.
    pub fn is_behind(&self, own: Position) -> bool {
        self.newest > own
    }
}
