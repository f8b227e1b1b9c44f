//! What a replay has reached.

use std::{collections::BTreeMap, fmt, time::Duration};

use carob_base::Name;
use hdrhistogram::Histogram;

use crate::expect::{CheckResult, Metric};

/// Longest wait for a first token that is no stall.
pub const FIRST_TOKEN_STALL_THRESHOLD: Duration = Duration::from_millis(690);
/// Longest gap between tokens that is no stall.
pub const GAP_STALL_THRESHOLD: Duration = Duration::from_millis(150);

/// Histogram of latencies, in microseconds.
pub type LatencyHistogram = Histogram<u64>;

/// What a replay has reached.
#[derive(Clone, Debug)]
pub struct Report {
    /// The trace's title.
    pub title: String,
    /// Requests in the trace.
    pub requests: u64,
    /// Answers that became whole.
    pub completed: u64,
    /// Requests refused, not run.
    pub refused: u64,
    /// Requests whose caller gave up before the first token.
    pub abandoned: u64,
    /// Answers lost in the middle.
    pub lost: u64,
    /// Requests sent to an upstream of another region.
    pub cross_region: u64,
    /// Retries after failures.
    pub retries: u64,
    /// Preemptions of all engines.
    pub preemptions: u64,
    /// Waits beyond [`FIRST_TOKEN_STALL_THRESHOLD`] and [`GAP_STALL_THRESHOLD`], of all callers.
    pub stall: Duration,
    /// Gaps between tokens.
    pub gaps: LatencyHistogram,
    /// Times to the first token.
    pub first_tokens: LatencyHistogram,
    /// Tokens a second of answers that became whole, counted until the last request came.
    pub goodput: f64,
    /// Requests and whole answers per account.
    pub accounts: BTreeMap<Name, AccountCounts>,
    /// The trace's expectations.
    pub checks: Vec<CheckResult>,
}

/// Requests and whole answers of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountCounts {
    /// Requests.
    pub requests: u64,
    /// Answers that became whole.
    pub completed: u64,
}

impl Report {
    /// An empty report.
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
            gaps: new_times(),
            first_tokens: new_times(),
            goodput: 0.0,
            accounts: BTreeMap::new(),
            checks: Vec::new(),
        }
    }

    /// Whether every expectation of the trace was met.
    pub fn expectations_met(&self) -> bool {
        self.checks.iter().all(|check| check.met)
    }

    /// The value of a figure.
    pub fn value(&self, metric: &Metric) -> f64 {
        let share = |tally: &AccountCounts| tally.completed as f64 / tally.requests.max(1) as f64;
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

/// An empty histogram that takes times up to an hour.
fn new_times() -> LatencyHistogram {
    const LONGEST_US: u64 = 3_600_000_000;
    LatencyHistogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are valid")
}

/// The value of a histogram at a quantile, in milliseconds.
pub fn quantile_ms(times: &LatencyHistogram, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1e3
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
