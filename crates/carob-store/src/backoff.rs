//! Exponential back-off with full jitter.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// Bounds of the delays.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Upper bound of the first delay; it doubles with every failure. Default: 100 ms.
    pub initial: Duration,
    /// Upper bound of every delay. Default: 10 s.
    pub max_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            initial: Duration::from_millis(100),
            max_delay: Duration::from_secs(10),
        }
    }
}

/// Delays between the attempts of one caller.
///
/// Every delay is drawn evenly from zero to a bound that doubles with each failure, so that instances which
/// lost the store at the same moment do not come back at the same moment.
#[derive(Clone, Debug)]
pub struct Backoff {
    options: Options,
    failures: u32,
    rng: SmallRng,
}

impl Backoff {
    /// A back-off whose jitter is drawn from `seed`; use a different seed on every instance.
    pub fn new(seed: u64) -> Self {
        Self {
            options: Options::default(),
            failures: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the bounds of the delays.
    #[must_use]
    pub fn with_options(mut self, options: Options) -> Self {
        self.options = options;
        self
    }

    /// Notes a failure; returns how long to wait before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.bound();
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(self.rng.random::<f64>())
    }

    /// Notes a success: the next failure starts from the first bound again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    fn bound(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.failures);
        self.options
            .initial
            .saturating_mul(factor)
            .min(self.options.max_delay)
    }
}
