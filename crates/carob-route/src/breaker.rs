//! Circuit breaker of an upstream.
//!
//! An upstream that fails fast has few open requests and would attract all new ones. The breaker takes it out
//! of service after a few failures and lets a single probe request through after a backoff.

use std::time::Duration;

use carob_base::Time;

/// Consecutive failures that open the breaker.
const FAILURE_LIMIT: u32 = 3;
/// Failure rate above which the breaker opens.
const FAILURE_RATE_LIMIT: f32 = 0.5;
/// Weight of the newest request in the moving average of the failure rate.
const FAILURE_WEIGHT: f32 = 0.1;
/// Time before the first probe; doubles each time the breaker opens again.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum time before a probe.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

carob_base::plain! {
    /// Whether requests may be sent to an upstream.
    pub enum State {
        /// Requests are allowed.
        Closed,
        /// No request is allowed before this time; the first one after it is the probe.
        Open(Time),
        /// The probe is in flight; no other request is allowed.
        Probing,
        /// Health checks report the upstream down; no request is allowed before they report it up.
        Down,
    }
}

/// Circuit breaker of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    state: State,
    consecutive_failures: u32,
    /// Moving average, 0 to 1.
    failure_rate: f32,
    /// Backoff for the next time the breaker opens.
    backoff: Duration,
}

impl Default for Breaker {
    fn default() -> Self {
        Self::new()
    }
}

impl Breaker {
    /// A closed breaker.
    pub const fn new() -> Self {
        Self {
            state: State::Closed,
            consecutive_failures: 0,
            failure_rate: 0.0,
            backoff: INITIAL_BACKOFF,
        }
    }

    /// State after the last recorded event; an expired backoff still shows as [`State::Open`].
    pub const fn state(&self) -> State {
        self.state
    }

    /// Whether a request may be sent at `now`, be it as a probe.
    pub fn allows(&self, now: Time) -> bool {
        match self.state {
            State::Closed => true,
            State::Open(until) => now >= until,
            State::Probing | State::Down => false,
        }
    }

    /// Whether the next request to be allowed is a probe.
    pub const fn is_open(&self) -> bool {
        matches!(self.state, State::Open(_))
    }

    /// Moving average of the share of failed requests, 0 to 1.
    pub const fn failure_rate(&self) -> f32 {
        self.failure_rate
    }

    /// Records that a request was sent, which makes it the probe of an open breaker.
    pub fn record_sent(&mut self) {
        if self.is_open() {
            self.state = State::Probing;
        }
    }

    /// Records that a request ended without showing whether the upstream works. If it was the probe, another
    /// one may follow at once.
    pub fn record_inconclusive(&mut self, now: Time) {
        if self.state == State::Probing {
            self.state = State::Open(now);
        }
    }

    /// Records that a request received its first token or completed. Closes the breaker if it was the probe.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        if self.state == State::Probing {
            *self = Self::new();
        }
    }

    /// Records a failed request, which may open the breaker.
    pub fn record_failure(&mut self, now: Time) {
        self.consecutive_failures += 1;
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        let trips = match self.state {
            State::Closed => {
                self.consecutive_failures >= FAILURE_LIMIT || self.failure_rate > FAILURE_RATE_LIMIT
            }
            State::Probing => true,
            State::Open(_) | State::Down => false,
        };
        if trips {
            self.open(now);
        }
    }

    /// Opens the breaker because the upstream's process died or was replaced, or its connection broke.
    pub fn record_death(&mut self, now: Time) {
        if self.state != State::Down {
            self.open(now);
        }
    }

    fn open(&mut self, now: Time) {
        self.state = State::Open(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Takes the upstream out because health checks report it down.
    pub fn mark_down(&mut self) {
        self.state = State::Down;
    }

    /// Closes the breaker because health checks report the upstream up; one that was opened by failures stays
    /// open for its backoff.
    pub fn mark_up(&mut self) {
        if self.state == State::Down {
            *self = Self::new();
        }
    }
}
