//! Timeouts of suspicions, after which the suspected instance counts as failed.
//!
//! A suspicion of a single instance may be caused by that instance's own link, so its timeout is long; each
//! further instance that reports the same suspicion shortens it, as in Lifeguard. Meanwhile every instance
//! that knows of the suspicion pings the suspected one itself, since the bundle that refutes the suspicion
//! may be lost on its way.

use std::{collections::BTreeSet, time::Duration};

use carob_base::Time;

/// Confirmations by further instances that reduce the timeout to its minimum.
const CONFIRMATIONS: usize = 3;

/// A suspicion that one instance has failed.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// Start of the timeout.
    pub(crate) since: Time,
    /// When the suspected instance is pinged next.
    pub(crate) next_ping: Time,
    /// Last bundle of the suspected instance before the suspicion; a later one refutes it.
    pub(crate) version: u32,
    /// Whether this instance's own probe was not answered.
    pub(crate) local: bool,
    /// Short ids of the instances whose probes were not answered, this one included.
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

    /// Records that the instance `by` had no answer; `local` if that is this instance.
    pub(crate) fn confirm(&mut self, by: u32, local: bool) {
        self.reporters.insert(by);
        self.local |= local;
    }

    /// When the suspected instance counts as failed, in a domain of `alive` instances.
    ///
    /// The timeout falls from `max` to `min` with the logarithm of the number of confirmations.
    pub(crate) fn deadline(&self, alive: usize, max: Duration, min: Duration) -> Time {
        // Neither the suspected instance nor the first one to suspect it can confirm the suspicion.
        let needed = CONFIRMATIONS.min(alive.saturating_sub(2));
        if needed == 0 {
            return self.since + max;
        }
        let confirmed = self.reporters.len().saturating_sub(1).min(needed);
        let share = (confirmed as f64).ln_1p() / (needed as f64).ln_1p();
        self.since + max.saturating_sub(max.saturating_sub(min).mul_f64(share))
    }

    /// Extends the timeout by the time for which this process was paused.
    pub(crate) fn postpone(&mut self, pause: Duration) {
        self.since = self.since + pause;
    }
}
