//! Whether an instance can rely on its configuration for requests that may run in some regions only.
//!
//! Another instance may have newer regions that this one has not heard of, because it is cut off from all that could tell it,
//! or has stood still meanwhile.

use std::time::Duration;

use carob_base::Time;

/// Longest time between two regular passes of an instance that runs, which has one a second at least.
pub const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// Time after a standstill or a cut in which what arrives may have been sent before its end.
pub const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Time after which an instance counts as behind that is informed and not confirmed, or that is not informed and has missed a
/// newer configuration. Others tell once a second.
pub const MAX_UNCONFIRMED: Duration = Duration::from_millis(2_200);

/// Time after a standstill within which an instance hears of others, if it can.
pub const HEARING_TIME: Duration = Duration::from_millis(2_200);

carob_base::plain! {
    /// One moment by two clocks.
    pub struct Moment {
        /// Monotonic time.
        pub time: Time,
        /// Time of day, since any fixed moment.
        pub day: Duration,
    }

    /// Whom an instance hears.
    pub struct Contact {
        /// Whether neither the store nor an instance that watches it tells of changes.
        pub uninformed: bool,
        /// Number of other instances.
        pub peers: usize,
        /// Number of those that were heard lately.
        pub heard: usize,
        /// Time for which another instance is known to have a newer configuration; zero if none is.
        pub lag: Duration,
    }

    /// Why the configuration cannot be relied on.
    pub enum Doubt {
        /// The instance hears neither the store nor most others, or has not caught up since.
        CutOff,
        /// The instance stood still, and has not caught up since.
        StoodStill,
        /// The instance has missed a newer configuration, or hears others and none of what it hears confirms its own.
        Behind,
        /// The instance has started, and what it knows may come from another one that does not know better.
        Started,
    }
}

impl Contact {
    /// Whether others may know what this instance cannot hear. One that hears most others is taken to be on the larger side of an
    /// outage of the store; that the store answers the smaller side alone cannot be told from here.
    const fn is_cut_off(self) -> bool {
        self.uninformed && self.heard * 2 < self.peers
    }
}

impl Doubt {
    /// Name in log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::CutOff => "cut-off",
            Self::StoodStill => "stood-still",
            Self::Behind => "behind",
            Self::Started => "started",
        }
    }
}

/// When an instance last passed its regular loop, stood still, and learned that its configuration is current.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    passed: Moment,
    /// Why it cannot be relied on, and when that was last seen; `None` once the instance has caught up.
    doubted: Option<(Doubt, Time)>,
    /// `None` before the first time.
    confirmed: Option<Time>,
}

impl Freshness {
    /// The state of an instance that starts at `now`.
    pub const fn new(now: Moment) -> Self {
        Self {
            passed: now,
            doubted: Some((Doubt::Started, now.time)),
            confirmed: None,
        }
    }

    /// Records a regular pass.
    pub fn pass(&mut self, now: Moment) {
        self.observe(now);
        self.passed = now;
    }

    /// Records that the configuration was found to be current at `time`.
    pub fn confirm(&mut self, time: Time) {
        self.confirmed = self.confirmed.max(Some(time));
    }

    /// Time since the configuration was found to be current; `None` if it never was.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.time.since(confirmed))
    }

    /// Why the configuration cannot be relied on; `None` if it can.
    pub fn doubt(&mut self, now: Moment, contact: Contact) -> Option<Doubt> {
        self.observe(now);
        let is_hearing = self
            .doubted
            .is_some_and(|(doubt, since)| doubt != Doubt::CutOff && now.time < since + HEARING_TIME);
        if contact.is_cut_off() && !is_hearing {
            self.doubted = Some((Doubt::CutOff, now.time));
        }
        let is_unconfirmed = !contact.uninformed && self.age(now).is_some_and(|age| age > MAX_UNCONFIRMED);
        let has_missed = contact.uninformed && contact.lag > Duration::ZERO;
        let is_late = has_missed && contact.lag > MAX_UNCONFIRMED;
        if self.doubted.is_none() && (is_unconfirmed || is_late) {
            self.doubted = Some((Doubt::Behind, now.time));
        }
        let (doubt, since) = self.doubted?;
        // Nothing that is old waits in the sockets of an instance that has started, or that went on all the while. Whatever was
        // confirmed to one that has started is newer than its start, also if it was before the state was set up.
        let settled = match doubt {
            Doubt::Started => Time::default(),
            Doubt::Behind => since,
            Doubt::CutOff | Doubt::StoodStill => since + SETTLING_TIME,
        };
        // While the store answers nobody, there is no confirmation to wait for. One that was behind has heard others all along.
        let is_alone = contact.uninformed && (doubt == Doubt::Behind || now.time >= since + HEARING_TIME);
        if now.time < settled || has_missed || !(self.confirmed >= Some(settled) || is_alone) {
            return Some(doubt);
        }
        self.doubted = None;
        None
    }

    /// Takes note of a standstill since the last pass.
    fn observe(&mut self, now: Moment) {
        let elapsed = now.time.since(self.passed.time);
        // Monotonic time stops while a machine is suspended, and the time of day does not. A step of it counts as well.
        let suspended = now.day.saturating_sub(self.passed.day).saturating_sub(elapsed);
        if elapsed + suspended > MAX_PAUSE {
            self.doubted = Some((Doubt::StoodStill, now.time));
            self.passed = now;
        }
    }
}
