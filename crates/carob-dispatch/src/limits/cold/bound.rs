//! How many requests cold upstreams take.

use std::time::Duration;

use carob_base::Time;

/// Part of the permitted time for which a permit is valid; the rest is for its request's way to the upstream.
const VALID_SHARE: f64 = 0.8;

carob_base::plain! {
    /// Requests a second that a cold upstream of a service takes from all instances together.
    pub struct ColdRate {
        thousandths: u32,
    }

    /// How many permits an instance wants.
    pub struct ColdWant {
        /// For requests that wait.
        pub waiting: u32,
        /// For requests that are expected.
        pub expected: u32,
        /// When the instance sent the message, on its own clock.
        pub sent: Time,
    }

    /// Permits that an instance gets.
    pub struct ColdPermits {
        /// Number of permits.
        pub count: u32,
        /// [`ColdWant::sent`] of the want that they answer.
        pub asked: Time,
        /// Time from the arrival of that want until they were issued.
        pub kept: Duration,
    }
}

impl ColdRate {
    /// A rate in requests a second; none unless it is a number above 0.
    pub fn new(per_second: f64) -> Self {
        Self {
            thousandths: (per_second * 1e3) as u32,
        }
    }

    /// Requests a second; `None` if the service does not bound them.
    pub fn per_second(self) -> Option<f64> {
        (self.thousandths > 0).then(|| f64::from(self.thousandths) / 1e3)
    }
}

impl ColdWant {
    /// Permits that are wanted for either reason.
    pub const fn total(self) -> u32 {
        self.waiting.saturating_add(self.expected)
    }
}

/// How far a second may exceed the rate of a cold upstream: it takes the rate times `overage`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdOptions {
    /// Factor of the rate, above 1.
    pub overage: f64,
    /// Number of requests.
    pub slack: f64,
}

impl Default for ColdOptions {
    /// The platform's values.
    fn default() -> Self {
        Self {
            overage: 1.5,
            slack: 5.0,
        }
    }
}

impl ColdOptions {
    /// How long a permit is valid. Requests of one second have permits of that second and of this time before it.
    pub(super) fn permit_time(&self) -> Duration {
        Duration::try_from_secs_f64((self.overage - 1.0) * VALID_SHARE).unwrap_or_default()
    }

    /// Number of permits that an instance holds at most.
    pub(super) const fn most_held(&self) -> u32 {
        self.slack.max(1.0) as u32
    }
}

/// What an upstream takes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bound {
    /// Requests a second.
    pub(super) rate: f64,
    /// Permits that accumulate at most.
    pub(super) slack: f64,
}
