//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// Bounds of the delays.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Upper bound of the first delay. It doubles with every failure. Default: 100 ms.
    pub initial: Duration,
    /// Upper bound of all delays. Default: 10 s.
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

/// Delays between repeated attempts.
///
/// Each delay is drawn uniformly between zero and a bound that doubles with every failure, so that instances
/// which lost their connection to the store at the same time do not all retry at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    options: Options,
    failures: u32,
    rng: SmallRng,
}

impl Backoff {
    /// Creates a backoff whose jitter is derived from `seed`, which must differ between instances.
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

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.bound();
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(self.rng.random::<f64>())
    }

    /// Records a success. The next delay is bounded by [`Options::initial`] again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Upper bound of the next delay.
    fn bound(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.failures);
        self.options
            .initial
            .saturating_mul(factor)
            .min(self.options.max_delay)
    }
}
