//! Percentiles in microseconds.

use std::time::Duration;

/// Samples of one measurement, in microseconds.
#[derive(Default)]
pub struct Samples(Vec<f64>);

impl Samples {
    pub fn push(&mut self, sample: Duration) {
        self.0.push(sample.as_secs_f64() * 1e6);
    }

    /// Adds `later - earlier`, which may be negative, in microseconds.
    pub fn push_difference(&mut self, later: Duration, earlier: Duration) {
        self.0.push((later.as_secs_f64() - earlier.as_secs_f64()) * 1e6);
    }

    /// The sample below which `percent` of all samples lie, in microseconds.
    pub fn percentile(&self, percent: usize) -> f64 {
        let mut sorted = self.0.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
        sorted.get(index).copied().unwrap_or(f64::NAN)
    }

    /// 50th and 99th percentile.
    pub fn p50_p99(&self) -> (f64, f64) {
        (self.percentile(50), self.percentile(99))
    }
}

/// Prints a row of the table: percentiles of the direct path, of the path through the instance, and the
/// difference.
pub fn print(what: &str, direct: &Samples, through: &Samples) {
    let ((d50, d99), (t50, t99)) = (direct.p50_p99(), through.p50_p99());
    println!(
        "| {what} | {d50:.0} µs | {d99:.0} µs | {t50:.0} µs | {t99:.0} µs | {:.0} µs ({:.2}×) | {:.0} µs ({:.2}×) |",
        t50 - d50,
        t50 / d50,
        t99 - d99,
        t99 / d99
    );
}
