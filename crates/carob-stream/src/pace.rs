//! The distribution of the time between an engine's events.

use std::time::Duration;

/// Buckets per doubling of the interval.
const BUCKETS_PER_DOUBLING: u32 = 4;
/// Upper bound of the first bucket.
const FIRST_BOUND: Duration = Duration::from_millis(1);
/// Number of buckets; the last one starts above two minutes.
const BUCKETS: usize = 72;
/// Total count at which all counts are halved, so that older intervals lose weight.
const DECAY_THRESHOLD: u32 = 20_000;
/// Number of intervals below which no percentile is reported.
const MIN_SAMPLES: u32 = 20;

/// A decaying histogram of the time between one engine's events, with a relative error below a quarter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventIntervals {
    counts: [u32; BUCKETS],
    total: u32,
}

impl EventIntervals {
    /// A histogram without any intervals.
    pub const fn new() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }

    /// Records the time between two events of the same connection.
    pub fn record(&mut self, interval: Duration) {
        self.counts[bucket(interval)] += 1;
        self.total += 1;
        if self.total >= DECAY_THRESHOLD {
            self.halve();
        }
    }

    /// Adds the intervals of `other`, such as those seen by one delivery.
    pub fn merge(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
        self.total += other.total;
        while self.total >= DECAY_THRESHOLD {
            self.halve();
        }
    }

    /// The 99th percentile, rounded up to the upper bound of its bucket; `None` with fewer than 20 intervals.
    pub fn p99(&self) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = self.total - self.total / 100;
        let mut seen = 0;
        let index = self.counts.iter().position(|count| {
            seen += count;
            seen >= rank
        });
        index.map(upper_bound)
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

impl Default for EventIntervals {
    fn default() -> Self {
        Self::new()
    }
}

fn bucket(interval: Duration) -> usize {
    let ratio = interval.as_secs_f64() / FIRST_BOUND.as_secs_f64();
    if ratio <= 1.0 {
        return 0;
    }
    let index = (ratio.log2() * f64::from(BUCKETS_PER_DOUBLING)).ceil() as usize;
    index.min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let doublings = bucket as f64 / f64::from(BUCKETS_PER_DOUBLING);
    FIRST_BOUND.mul_f64(doublings.exp2())
}
