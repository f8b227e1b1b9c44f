//! Outcomes that a replay must reach.

use std::fmt;

use carob_base::Name;

use crate::report::Report;

/// A bound on a figure of the report.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// The figure.
    pub metric: Metric,
    /// Which side of the bound is good.
    pub bound: Bound,
    /// The bound.
    pub value: f64,
}

/// Which side of a bound is good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// At most the value.
    AtMost,
    /// At least the value.
    AtLeast,
}

/// A figure of the report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Metric {
    /// Stall time of all callers, in seconds.
    Stall,
    /// Preemptions.
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
    /// Tokens a second of answers that became whole.
    Goodput,
    /// Requests refused.
    Refused,
    /// Requests given up by their callers without a token.
    Abandoned,
    /// Answers lost in the middle.
    Lost,
    /// Share of the requests whose answer became whole, 0 to 1.
    Completed,
    /// Share of an account's requests whose answer became whole, 0 to 1.
    AccountCompleted(Name),
}

/// An expectation with the value that the replay reached.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckResult {
    /// What was expected.
    pub expectation: Expectation,
    /// Value that the replay reached.
    pub actual: f64,
    /// Whether it is within the bound.
    pub met: bool,
}

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
    /// The metric with this name.
    pub fn parse(text: &str) -> Option<Self> {
        if let Some(account) = text.strip_prefix("completed:") {
            return Some(Self::AccountCompleted(Name::new(account).ok()?));
        }
        let found = NAMES.iter().find(|(name, _)| *name == text);
        found.map(|(_, metric)| metric.clone())
    }
}

impl Expectation {
    /// Compares the expectation with a report.
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
