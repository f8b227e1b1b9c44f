//! How long an instance is suspected before it counts as failed.
//!
//! One instance's suspicion may be due to its own link, so it waits long; every further instance that suspects the
//! same one shortens the wait. Meanwhile every instance that was told of the suspicion pings the suspected one itself,
//! since the bundle that denies the suspicion may be lost on the way to it.

use std::{collections::BTreeSet, time::Duration};

use carob_base::Time;

/// Further instances whose suspicion brings the wait down to the shortest one.
const CONFIRMATIONS: usize = 3;

/// The suspicion of one instance.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When it began.
    pub(crate) since: Time,
    /// When the suspected instance is pinged next.
    pub(crate) next_ping: Time,
    /// Last bundle of the suspected instance that the suspicion rests on.
    pub(crate) version: u32,
    /// Whether this instance itself had no answer.
    pub(crate) local: bool,
    reporters: BTreeSet<u32>,
}

impl Suspicion {
    pub(crate) fn new(since: Time, version: u32) -> Self {
        Self {
            since,
            next_ping: since,
            version,
            local: false,
            reporters: BTreeSet::new(),
        }
    }

    /// Notes that the instance `by` had no answer.
    pub(crate) fn confirm(&mut self, by: u32, local: bool) {
        self.reporters.insert(by);
        self.local |= local;
    }

    /// When the suspected instance counts as failed, in a domain of `alive` instances.
    pub(crate) fn deadline(&self, alive: usize, max: Duration, min: Duration) -> Time {
        // The suspected instance and the first one to suspect it confirm nothing.
        let needed = CONFIRMATIONS.min(alive.saturating_sub(2));
        if needed == 0 {
            return self.since + max;
        }
        let confirmed = self.reporters.len().saturating_sub(1).min(needed);
        let share = (confirmed as f64).ln_1p() / (needed as f64).ln_1p();
        self.since + max.saturating_sub(max.saturating_sub(min).mul_f64(share))
    }

    /// Puts the end off by the time that this process was paused.
    pub(crate) fn postpone(&mut self, pause: Duration) {
        self.since = self.since + pause;
    }
}
