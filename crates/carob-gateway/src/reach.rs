//! Whether the store can be reached, as far as this instance's calls and its peers show.

use std::time::{Duration, Instant};

/// Failing calls for this long, with no peer that watches, mean that news of upstreams does not come; a single call
/// may fail by chance.
const BLIND: Duration = Duration::from_millis(400);

/// So does no answer of the store for this long: a whole watch, with the time for its answer.
const UNANSWERED: Duration = Duration::from_millis(1_400);

/// An outage of the store after which removals may only mean that leases ran out meanwhile.
pub const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// How long after the store's return such an entry may come back, as the platform promises.
pub const REAPPEARANCE_WINDOW: Duration = Duration::from_secs(2);

/// What calls to the store have met.
///
/// An outage begins with the first call that fails and ends with the next answer. Only when no peer says that it
/// watches the store is it taken to be away for all; `heard` is whether one does.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    /// When the first of the calls was made that the store has not answered since it last did.
    failing: Option<Instant>,
    /// When the store last answered.
    answered: Option<Instant>,
    /// When the store was last known to be away for all.
    away: Option<Instant>,
}

impl Reachability {
    /// No call was made.
    pub const fn new() -> Self {
        Self {
            failing: None,
            answered: None,
            away: None,
        }
    }

    /// Notes an answer. Returns how long the outage was that ends with it.
    pub fn record_answer(&mut self, now: Instant, heard: bool) -> Duration {
        let outage = self.outage(now);
        // The last failing call may have come well before this answer.
        self.note(now, heard);
        self.failing = None;
        self.answered = Some(now);
        outage
    }

    /// Notes that a call failed that was made at `begun`.
    pub fn record_failure(&mut self, begun: Instant, now: Instant, heard: bool) {
        self.failing.get_or_insert(begun);
        self.note(now, heard);
    }

    /// Notes that no calls are made, since peers watch; what the last call met says nothing any more.
    pub const fn suspend(&mut self) {
        self.failing = None;
    }

    /// How long calls have failed.
    pub fn outage(&self, now: Instant) -> Duration {
        self.failing
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Whether the store answered the last call.
    pub const fn is_answering(&self) -> bool {
        self.answered.is_some() && self.failing.is_none()
    }

    /// Whether news of upstreams does not come: from no peer, since none says that it watches, nor from the store.
    ///
    /// Upstreams leave two seconds after they say so, so that this may not wait for calls of this instance to fail
    /// when those that watch say that theirs do.
    pub fn is_uninformed(&self, now: Instant, heard: bool) -> bool {
        let unanswered = self
            .answered
            .is_some_and(|answered| now.saturating_duration_since(answered) >= UNANSWERED);
        !heard && (unanswered || self.outage(now) >= BLIND)
    }

    /// How long until entries that lapsed in an outage can no longer come back; `None` outside of that time.
    pub fn reappearance_left(&self, now: Instant) -> Option<Duration> {
        self.away
            .map(|away| REAPPEARANCE_WINDOW.saturating_sub(now.saturating_duration_since(away)))
    }

    /// Notes that they cannot.
    pub const fn end_reappearance(&mut self) {
        self.away = None;
    }

    fn note(&mut self, now: Instant, heard: bool) {
        if self.outage(now) >= MIN_OUTAGE && !heard {
            self.away = Some(now);
        }
    }
}
