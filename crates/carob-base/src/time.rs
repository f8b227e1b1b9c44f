//! Points in time on a monotonic clock, which callers pass in.

use std::{
    fmt,
    ops::{Add, Sub},
    time::{Duration, Instant},
};

/// A point in time on a monotonic clock, in microseconds since the clock's start.
///
/// Only differences are meaningful. `Time` never reads the system's clock: in production it comes from
/// [`Clock`], in replay and fuzz tests from a counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Time(u64);

impl Time {
    /// The clock's start.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The point in time `micros` microseconds after the clock's start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The point in time `millis` milliseconds after the clock's start, saturating.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds since the clock's start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Milliseconds since the clock's start, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Seconds since the clock's start.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The time from `earlier` to `self`, or zero if `earlier` is in fact later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}s", self.as_secs_f64())
    }
}

/// The process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[expect(
        clippy::new_without_default,
        reason = "reading the system's clock is a side effect, which `default` would hide"
    )]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The current point in time.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }
}
