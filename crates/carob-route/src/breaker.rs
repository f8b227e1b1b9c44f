//! Circuit breaker of an upstream.
//!
//! An upstream that fails fast has few requests in progress and would attract all new ones; the breaker takes it out
//! after a few failures and lets a single probe through from time to time.

use std::time::Duration;

use carob_base::Time;

/// Failures in a row that open the breaker.
const FAILURE_LIMIT: u32 = 3;
/// Share of failed requests that opens the breaker.
const FAILURE_SHARE: f32 = 0.5;
/// Weight of the newest request in the share of failed ones.
const FAILURE_WEIGHT: f32 = 0.1;
/// First pause before a probe.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause before a probe.
const LAST_PAUSE: Duration = Duration::from_secs(30);

carob_base::plain! {
    /// Whether requests may be sent to an upstream.
    pub enum State {
        /// Requests pass.
        Closed,
        /// Nothing passes before the point in time.
        Open(Time),
        /// One probe is under way; nothing else passes.
        Probing,
        /// Reported down by health checks; nothing passes before it is reported up.
        Down,
    }
}

/// Circuit breaker of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    state: State,
    in_row: u32,
    share: f32,
    pause: Duration,
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
            in_row: 0,
            share: 0.0,
            pause: FIRST_PAUSE,
        }
    }

    /// Its state.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Whether a request may be sent at `now`, if only as a probe.
    pub fn allows(&self, now: Time) -> bool {
        match self.state {
            State::Closed => true,
            State::Open(until) => now >= until,
            State::Probing | State::Down => false,
        }
    }

    /// Whether the next request is a probe.
    pub const fn is_open(&self) -> bool {
        matches!(self.state, State::Open(_))
    }

    /// Recent share of failed requests, 0 to 1.
    pub const fn failure_rate(&self) -> f32 {
        self.share
    }

    /// A request was sent.
    pub fn sent(&mut self) {
        if self.is_open() {
            self.state = State::Probing;
        }
    }

    /// A request ended without a verdict on the upstream; another probe may follow.
    pub fn ended(&mut self, now: Time) {
        if self.state == State::Probing {
            self.state = State::Open(now);
        }
    }

    /// A request made progress or ended well.
    pub fn succeeded(&mut self) {
        self.in_row = 0;
        self.share *= 1.0 - FAILURE_WEIGHT;
        if self.state == State::Probing {
            *self = Self::new();
        }
    }

    /// A request failed.
    pub fn failed(&mut self, now: Time) {
        self.in_row += 1;
        self.share += FAILURE_WEIGHT * (1.0 - self.share);
        let trips = match self.state {
            State::Closed => self.in_row >= FAILURE_LIMIT || self.share > FAILURE_SHARE,
            State::Probing => true,
            State::Open(_) | State::Down => false,
        };
        if trips {
            self.open(now);
        }
    }

    /// The upstream died, or its process was seen to be new.
    pub fn died(&mut self, now: Time) {
        if self.state != State::Down {
            self.open(now);
        }
    }

    fn open(&mut self, now: Time) {
        self.state = State::Open(now + self.pause);
        self.pause = (self.pause * 2).min(LAST_PAUSE);
    }

    /// Health checks found the upstream down.
    pub fn down(&mut self) {
        self.state = State::Down;
    }

    /// Health checks found the upstream up; a breaker opened by failures keeps its pause.
    pub fn up(&mut self) {
        if self.state == State::Down {
            *self = Self::new();
        }
    }
}
