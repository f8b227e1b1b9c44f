//! An engine's usual time between events.

use std::time::Duration;

/// Buckets per doubling of the gap.
const STEPS: u32 = 4;
/// Lower bound of the second bucket.
const FIRST: Duration = Duration::from_millis(1);
/// Number of buckets; the last one starts above two minutes.
const BUCKETS: usize = 72;
/// Gaps kept before older ones lose half of their weight.
const WINDOW: u32 = 20_000;
/// Gaps below which the engine's own figure is not used.
const ENOUGH: u32 = 20;

/// A decaying histogram of the gaps between one engine's events, with a relative error below a quarter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventIntervals {
    counts: [u32; BUCKETS],
    total: u32,
}

impl EventIntervals {
    /// A pace without any gaps.
    pub const fn new() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }

    /// Takes in one gap between two events of the same connection.
    pub fn record(&mut self, gap: Duration) {
        self.counts[bucket(gap)] += 1;
        self.total += 1;
        if self.total >= WINDOW {
            self.halve();
        }
    }

    /// Adds the gaps of `other`, such as those that one delivery saw.
    pub fn merge(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
        self.total += other.total;
        while self.total >= WINDOW {
            self.halve();
        }
    }

    /// The gap that 99 in 100 do not exceed, rounded up to a bucket's end; `None` until there are enough gaps.
    pub fn p99(&self) -> Option<Duration> {
        if self.total < ENOUGH {
            return None;
        }
        let rank = self.total - self.total / 100;
        let mut seen = 0;
        let at = self.counts.iter().position(|count| {
            seen += count;
            seen >= rank
        });
        at.map(upper_bound)
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

fn bucket(gap: Duration) -> usize {
    let ratio = gap.as_secs_f64() / FIRST.as_secs_f64();
    if ratio <= 1.0 {
        return 0;
    }
    let at = (ratio.log2() * f64::from(STEPS)).ceil() as usize;
    at.min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let doublings = bucket as f64 / f64::from(STEPS);
    FIRST.mul_f64(doublings.exp2())
}
