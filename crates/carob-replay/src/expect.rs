//! Expected outcomes of a replay.

use std::fmt;

use carob_base::Name;

use crate::report::Report;

/// A bound on a metric of the report.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// The bounded metric.
    pub metric: Metric,
    /// Whether `value` is an upper or a lower bound.
    pub bound: Bound,
    /// The bound, inclusive, in the unit of the metric.
    pub value: f64,
}

/// Direction of a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// Upper bound, written `<=`.
    AtMost,
    /// Lower bound, written `>=`.
    AtLeast,
}

/// A metric of the report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Metric {
    /// Total stall time of all callers, in seconds.
    Stall,
    /// Number of preemptions in all engines.
    Preemptions,
    /// Median gap between tokens, in milliseconds.
    GapP50,
    /// 95th percentile of the gap between tokens, in milliseconds.
    GapP95,
    /// 99th percentile of the gap between tokens, in milliseconds.
    GapP99,
    /// Median time to the first token, in milliseconds.
    FirstTokenP50,
    /// 95th percentile of the time to the first token, in milliseconds.
    FirstTokenP95,
    /// Tokens per second of completed answers.
    Goodput,
    /// Number of refused requests.
    Refused,
    /// Number of requests whose caller timed out before the first token.
    Abandoned,
    /// Number of answers lost after their first token.
    Lost,
    /// Share of the requests with a completed answer, from 0 to 1.
    Completed,
    /// Share of a client account's requests with a completed answer, from 0 to 1; written
    /// `completed:ACCOUNT`.
    AccountCompleted(Name),
}

/// Result of checking an expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckResult {
    /// The checked expectation.
    pub expectation: Expectation,
    /// Value of the metric in the replay.
    pub actual: f64,
    /// Whether `actual` is within the bound.
    pub met: bool,
}

/// Names of the metrics in traces; [`Metric::AccountCompleted`] has a name per account.
const NAMES: [(&str, Metric); 12] = [
    ("stall_s", Metric::Stall),
    ("preemptions", Metric::Preemptions),
    ("gap_p50_ms", Metric::GapP50),
    ("gap_p95_ms", Metric::GapP95),
    ("gap_p99_ms", Metric::GapP99),
    ("first_p50_ms", Metric::FirstTokenP50),
    ("first_p95_ms", Metric::FirstTokenP95),
    ("goodput", Metric::Goodput),
    ("refused", Metric::Refused),
    ("abandoned", Metric::Abandoned),
    ("lost", Metric::Lost),
    ("completed", Metric::Completed),
];

impl Metric {
    /// Parses the name of a metric in a trace; returns `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        if let Some(account) = text.strip_prefix("completed:") {
            return Some(Self::AccountCompleted(Name::new(account).ok()?));
        }
        let found = NAMES.iter().find(|(name, _)| *name == text);
        found.map(|(_, metric)| metric.clone())
    }
}

impl Expectation {
    /// Checks the expectation against the metric of a report.
    pub fn check(&self, report: &Report) -> CheckResult {
        let actual = report.value(&self.metric);
        let met = match self.bound {
            Bound::AtMost => actual <= self.value,
            Bound::AtLeast => actual >= self.value,
        };
        CheckResult {
            expectation: self.clone(),
            actual,
            met,
        }
    }
}

impl fmt::Display for Metric {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Self::AccountCompleted(account) = self {
            return write!(f, "completed:{account}");
        }
        let found = NAMES.iter().find(|(_, metric)| metric == self);
        f.write_str(found.map_or("?", |(name, _)| name))
    }
}

impl fmt::Display for Expectation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.bound {
            Bound::AtMost => "<=",
            Bound::AtLeast => ">=",
        };
        write!(f, "{} {sign} {}", self.metric, self.value)
    }
}

impl fmt::Display for CheckResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.met { "held" } else { "missed" };
        write!(f, "{verdict}: {} (reached {:.3})", self.expectation, self.actual)
    }
}
