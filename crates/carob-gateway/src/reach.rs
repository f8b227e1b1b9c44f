//! Whether the store can be reached, judged by this instance's calls and by the reports of its peers.

use std::time::{Duration, Instant};

/// If calls have failed for this long and no peer watches the store, directory updates no longer arrive. A
/// single call may fail by chance, so one failure is not enough.
const MAX_FAILING: Duration = Duration::from_millis(400);

/// The same holds if the store has not answered for this long: the duration of a watch and the margin for its
/// response.
const MAX_UNANSWERED: Duration = Duration::from_millis(1_400);

/// Shortest outage of the store after which a removed entry may only mean that its lease expired meanwhile.
pub const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// How long after the end of an outage such an entry may reappear, as guaranteed by the platform.
pub const REAPPEARANCE_WINDOW: Duration = Duration::from_secs(2);

/// Outcomes of this instance's calls to the store.
///
/// An outage begins with the first call that fails and ends with the next answer. The store counts as
/// unreachable for all instances only if no peer reports that it watches the store; `peer_watches` says
/// whether one does.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    /// Start of the first failed call since the store last answered.
    failing_since: Option<Instant>,
    last_answer: Option<Instant>,
    /// Whether the last call since [`Reachability::suspend`] was answered.
    answering: bool,
    /// When the store was last known to be unreachable for all instances.
    last_outage: Option<Instant>,
}

impl Reachability {
    /// Returns the state before the first call.
    pub const fn new() -> Self {
        Self {
            failing_since: None,
            last_answer: None,
            answering: false,
            last_outage: None,
        }
    }

    /// Records an answer of the store. Returns the duration of the outage that it ends; zero if there was
    /// none.
    pub fn record_answer(&mut self, now: Instant, peer_watches: bool) -> Duration {
        let outage = self.outage(now);
        // Calls are made at growing intervals during an outage, so that the outage may have become long
        // enough only after the last failed call.
        self.record_outage(now, peer_watches);
        self.failing_since = None;
        self.last_answer = Some(now);
        self.answering = true;
        outage
    }

    /// Records the failure of a call that was made at `started`.
    pub fn record_failure(&mut self, started: Instant, now: Instant, peer_watches: bool) {
        self.failing_since.get_or_insert(started);
        self.answering = false;
        self.record_outage(now, peer_watches);
    }

    /// Records that this instance makes no calls because peers watch; the outcome of its last call no longer
    /// counts. If the store has never answered, the time without an answer begins now.
    pub fn suspend(&mut self, now: Instant) {
        self.failing_since = None;
        self.answering = false;
        self.last_answer.get_or_insert(now);
    }

    /// Takes note of an outage that goes on while a call is waited for.
    pub fn observe(&mut self, now: Instant, peer_watches: bool) {
        self.record_outage(now, peer_watches);
    }

    /// How long calls have failed without an answer; zero if the last call succeeded or none is made.
    pub fn outage(&self, now: Instant) -> Duration {
        self.failing_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Whether the store has answered the last call. False until the first answer after this instance made no
    /// calls: peers must not rely on an instance that only begins to watch.
    pub const fn is_answering(&self) -> bool {
        self.answering
    }

    /// Whether directory updates no longer arrive: neither from the store nor from a peer, since none
    /// watches.
    ///
    /// An instance that makes no calls is uninformed as soon as the peers that watch report that their calls
    /// fail. It does not wait for calls of its own to fail, since upstreams leave two seconds after
    /// announcing it.
    pub fn is_uninformed(&self, now: Instant, peer_watches: bool) -> bool {
        let unanswered = self
            .last_answer
            .is_some_and(|answered| now.saturating_duration_since(answered) >= MAX_UNANSWERED);
        !peer_watches && (unanswered || self.outage(now) >= MAX_FAILING)
    }

    /// How long entries that expired in the last outage may still reappear; zero once that time is over, and
    /// `None` if there was no outage or [`Reachability::end_reappearance`] was called since.
    pub fn reappearance_left(&self, now: Instant) -> Option<Duration> {
        self.last_outage
            .map(|outage| REAPPEARANCE_WINDOW.saturating_sub(now.saturating_duration_since(outage)))
    }

    /// Begins the time in which entries may reappear: the store has come back without its latest changes.
    pub const fn begin_reappearance(&mut self, now: Instant) {
        self.last_outage = Some(now);
    }

    /// Ends the time in which entries may reappear, once the caller has removed those that did not.
    pub const fn end_reappearance(&mut self) {
        self.last_outage = None;
    }

    /// Records an outage if calls have failed long enough and no peer watches.
    fn record_outage(&mut self, now: Instant, peer_watches: bool) {
        if self.outage(now) >= MIN_OUTAGE && !peer_watches {
            self.last_outage = Some(now);
        }
    }
}
