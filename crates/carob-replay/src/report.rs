//! Measurements of a replay.

use std::{collections::BTreeMap, fmt, time::Duration};

use carob_base::Name;
use hdrhistogram::Histogram;

use crate::expect::{CheckResult, Metric};

/// Wait for a first token beyond which the caller counts as stalled.
pub const FIRST_TOKEN_STALL_THRESHOLD: Duration = Duration::from_millis(690);
/// Gap between two tokens beyond which the caller counts as stalled.
pub const GAP_STALL_THRESHOLD: Duration = Duration::from_millis(150);

/// Histogram of latencies, in microseconds, from 1 µs to an hour.
pub type LatencyHistogram = Histogram<u64>;

/// Measurements of a replay and the results of its checks.
#[derive(Clone, Debug)]
pub struct Report {
    /// Title of the trace.
    pub title: String,
    /// Number of requests in the trace.
    pub requests: u64,
    /// Number of completed answers.
    pub completed: u64,
    /// Number of requests refused without an answer.
    pub refused: u64,
    /// Number of requests whose caller timed out before the first token.
    pub abandoned: u64,
    /// Number of answers lost after their first token.
    pub lost: u64,
    /// Number of attempts sent to an upstream in another region.
    pub cross_region: u64,
    /// Number of retries after failures.
    pub retries: u64,
    /// Number of preemptions in all engines.
    pub preemptions: u64,
    /// Sum over all callers of the waits in excess of [`FIRST_TOKEN_STALL_THRESHOLD`] and
    /// [`GAP_STALL_THRESHOLD`].
    pub stall: Duration,
    /// Gaps between consecutive tokens of an answer.
    pub gaps: LatencyHistogram,
    /// Times from arrival to the first token.
    pub first_tokens: LatencyHistogram,
    /// Tokens per second of completed answers, counting those delivered until the arrival of the last
    /// request.
    pub goodput: f64,
    /// Requests and completed answers per client account.
    pub accounts: BTreeMap<Name, AccountCounts>,
    /// Results of the trace's expectations, in their order.
    pub checks: Vec<CheckResult>,
}

/// Requests and completed answers of a client account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountCounts {
    /// Number of requests in the trace.
    pub requests: u64,
    /// Number of completed answers.
    pub completed: u64,
}

impl Report {
    /// Creates a report without measurements.
    pub fn new(title: &str) -> Self {
        Self {
            title: title.to_owned(),
            requests: 0,
            completed: 0,
            refused: 0,
            abandoned: 0,
            lost: 0,
            cross_region: 0,
            retries: 0,
            preemptions: 0,
            stall: Duration::ZERO,
            gaps: new_histogram(),
            first_tokens: new_histogram(),
            goodput: 0.0,
            accounts: BTreeMap::new(),
            checks: Vec::new(),
        }
    }

    /// Whether every expectation of the trace is met; true if it has none.
    pub fn expectations_met(&self) -> bool {
        self.checks.iter().all(|check| check.met)
    }

    /// Value of a metric, in its unit; a share is 0 without requests.
    pub fn value(&self, metric: &Metric) -> f64 {
        let share = |counts: &AccountCounts| counts.completed as f64 / counts.requests.max(1) as f64;
        match metric {
            Metric::Stall => self.stall.as_secs_f64(),
            Metric::Preemptions => self.preemptions as f64,
            Metric::GapP50 => quantile_ms(&self.gaps, 0.5),
            Metric::GapP95 => quantile_ms(&self.gaps, 0.95),
            Metric::GapP99 => quantile_ms(&self.gaps, 0.99),
            Metric::FirstTokenP50 => quantile_ms(&self.first_tokens, 0.5),
            Metric::FirstTokenP95 => quantile_ms(&self.first_tokens, 0.95),
            Metric::Goodput => self.goodput,
            Metric::Refused => self.refused as f64,
            Metric::Abandoned => self.abandoned as f64,
            Metric::Lost => self.lost as f64,
            Metric::Completed => self.completed as f64 / self.requests.max(1) as f64,
            Metric::AccountCompleted(account) => self.accounts.get(account).map_or(0.0, share),
        }
    }
}

/// Creates an empty histogram for latencies up to an hour; longer ones are recorded as an hour.
fn new_histogram() -> LatencyHistogram {
    const MAX_LATENCY_US: u64 = 3_600_000_000;
    LatencyHistogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid")
}

/// Latency at `quantile` (0 to 1), in milliseconds.
pub fn quantile_ms(latencies: &LatencyHistogram, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1e3
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "replay of {}", self.title)?;
        writeln!(
            f,
            "requests {}: {} completed, {} refused, {} abandoned, {} lost; {} retries",
            self.requests, self.completed, self.refused, self.abandoned, self.lost, self.retries
        )?;
        writeln!(
            f,
            "stall {:.1} s, {} preemptions, goodput {:.0} tokens/s",
            self.stall.as_secs_f64(),
            self.preemptions,
            self.goodput
        )?;
        writeln!(
            f,
            "gap p50 {:.1} p95 {:.1} p99 {:.1} ms, first token p50 {:.0} p95 {:.0} ms",
            quantile_ms(&self.gaps, 0.5),
            quantile_ms(&self.gaps, 0.95),
            quantile_ms(&self.gaps, 0.99),
            quantile_ms(&self.first_tokens, 0.5),
            quantile_ms(&self.first_tokens, 0.95)
        )?;
        for check in &self.checks {
            writeln!(f, "{check}")?;
        }
        Ok(())
    }
}
