//! A histogram of durations.

use std::{fmt::Debug, time::Duration};

use hdrhistogram::Histogram;

/// Precision of recorded durations, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longer durations are recorded as this one.
const MAX_DURATION: Duration = Duration::from_hours(1);

/// A histogram of durations with a resolution of one microsecond; shorter ones count as one microsecond.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        Self::new()
    }
}

impl DurationHistogram {
    /// An empty histogram.
    pub fn new() -> Self {
        Self(empty())
    }

    /// Records one duration.
    pub fn record(&mut self, duration: Duration) {
        let micros = duration.min(MAX_DURATION).as_micros() as u64;
        expect_recorded(self.0.record(micros.max(1)));
    }

    /// Adds all durations recorded in `other`.
    pub fn merge(&mut self, other: &Self) {
        expect_recorded(self.0.add(&other.0));
    }

    /// Number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The duration at `quantile` (0 to 1); `None` if the histogram is empty.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let micros = self.0.value_at_quantile(quantile);
        (!self.0.is_empty()).then_some(Duration::from_micros(micros))
    }

    /// Points of the cumulative distribution: each duration with the fraction (0 to 1) that does not exceed
    /// it.
    pub fn cumulative(&self) -> Vec<(Duration, f64)> {
        let total = self.0.len() as f64;
        let mut below = 0;
        self.0
            .iter_recorded()
            .map(|point| {
                below += point.count_since_last_iteration();
                let micros = point.value_iterated_to();
                (Duration::from_micros(micros), below as f64 / total)
            })
            .collect()
    }
}

fn empty() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is permitted")
}

/// Panics on an error, which would be a bug in this module: the histograms resize automatically and all have
/// the same precision, so that recording and adding cannot fail.
fn expect_recorded<E: Debug>(result: Result<(), E>) {
    result.expect("the histogram grows as needed");
}
