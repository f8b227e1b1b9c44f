//! A histogram of durations.

use std::{fmt::Debug, time::Duration};

use hdrhistogram::Histogram;

/// Significant decimal digits that are kept of each duration.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest duration that is told apart from longer ones.
const MAX_DURATION: Duration = Duration::from_hours(1);

/// A histogram of durations, kept in microseconds.
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

    /// Adds one duration.
    pub fn record(&mut self, duration: Duration) {
        let micros = duration.min(MAX_DURATION).as_micros() as u64;
        expect_recorded(self.0.record(micros.max(1)));
    }

    /// Adds all durations of `other`.
    pub fn merge(&mut self, other: &Self) {
        expect_recorded(self.0.add(&other.0));
    }

    /// Number of durations.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The duration that a share of `quantile` (0 to 1) does not exceed; `None` without any duration.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let micros = self.0.value_at_quantile(quantile);
        (!self.0.is_empty()).then_some(Duration::from_micros(micros))
    }

    /// Points of the cumulative distribution: durations with the share (0 to 1) that does not exceed them.
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

/// Histograms of one kind grow up to any value and can be added; anything else is a fault of this module.
fn expect_recorded<E: Debug>(result: Result<(), E>) {
    result.expect("the histogram grows as needed");
}
