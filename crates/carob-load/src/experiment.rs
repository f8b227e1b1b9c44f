//! Comparison of variants by ratios and their spread over several seeds.

use std::fmt::Write as _;

use crate::{Report, durations::DurationHistogram};

/// A metric by which variants are compared; lower is better, except for goodput.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Name and unit.
    pub name: &'static str,
    /// Reads the value from a report; `None` if the report has none.
    pub value: fn(&Report) -> Option<f64>,
}

/// The metrics that [`Experiment::to_text`] prints.
pub const METRICS: [Metric; 10] = [
    Metric {
        name: "first token p50, ms",
        value: |report| millis(&report.total.first_token, 0.5),
    },
    Metric {
        name: "first token p95, ms",
        value: |report| millis(&report.total.first_token, 0.95),
    },
    Metric {
        name: "first token p99, ms",
        value: |report| millis(&report.total.first_token, 0.99),
    },
    Metric {
        name: "gap p50, ms",
        value: |report| millis(&report.total.gaps, 0.5),
    },
    Metric {
        name: "gap p95, ms",
        value: |report| millis(&report.total.gaps, 0.95),
    },
    Metric {
        name: "gap p99, ms",
        value: |report| millis(&report.total.gaps, 0.99),
    },
    Metric {
        name: "stall time, s",
        value: |report| Some(report.total.stall_time.as_secs_f64()),
    },
    Metric {
        name: "preemptions",
        value: |report| report.preemptions.map(|count| count as f64),
    },
    Metric {
        name: "goodput, tokens/s",
        value: |report| Some(report.goodput()),
    },
    Metric {
        name: "refused, %",
        value: |report| Some(report.total.refusals() as f64 * 100.0 / report.total.sent.max(1) as f64),
    },
];

fn millis(durations: &DurationHistogram, quantile: f64) -> Option<f64> {
    Some(durations.quantile(quantile)?.as_secs_f64() * 1e3)
}

/// One of the configurations under comparison, with its runs.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Name in the comparison table.
    pub name: String,
    /// One report per seed; every variant has the same order of seeds.
    pub reports: Vec<Report>,
}

/// Minimum, median and maximum over several seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Smallest value.
    pub min: f64,
    /// Median; the mean of the two middle values of an even number.
    pub median: f64,
    /// Largest value.
    pub max: f64,
}

impl Spread {
    /// Computes the spread of `values`; `None` if there are none.
    pub fn new(mut values: Vec<f64>) -> Option<Self> {
        values.sort_by(f64::total_cmp);
        let middle = values.len() / 2;
        let upper = *values.get(middle)?;
        let median = if values.len().is_multiple_of(2) {
            f64::midpoint(values[middle - 1], upper)
        } else {
            upper
        };
        Some(Self {
            min: *values.first()?,
            median,
            max: *values.last()?,
        })
    }
}

/// A comparison of variants with a base variant.
#[derive(Clone, Debug, Default)]
pub struct Experiment {
    /// The variants; the first one is the base of the ratios.
    pub variants: Vec<Variant>,
}

impl Experiment {
    /// Creates a comparison without variants.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the runs of a variant.
    #[must_use]
    pub fn with_variant(mut self, name: &str, reports: Vec<Report>) -> Self {
        self.variants.push(Variant {
            name: name.to_owned(),
            reports,
        });
        self
    }

    /// The values of `metric` in the runs of the variant at `index`.
    pub fn values(&self, index: usize, metric: &Metric) -> Vec<f64> {
        self.variants[index]
            .reports
            .iter()
            .filter_map(metric.value)
            .collect()
    }

    /// The ratios of the variant at `index` to the base for each seed; seeds with a base value of zero are
    /// skipped.
    pub fn ratios(&self, index: usize, metric: &Metric) -> Vec<f64> {
        let reports = self.variants[index].reports.iter();
        reports
            .zip(&self.variants[0].reports)
            .filter_map(|(run, base)| {
                let base = (metric.value)(base).filter(|base| *base > 0.0)?;
                Some((metric.value)(run)? / base)
            })
            .collect()
    }

    /// Formats the comparison as a table of medians and of ratios to the base with their spread over the
    /// seeds.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let mut line = |line: String| writeln!(text, "{line}").expect("strings take any text");
        line(format!(
            "{:<22} {:<16} {:>12}   ratio to {} (least..most)",
            "measure",
            "variant",
            "median",
            self.variants.first().map_or("base", |base| base.name.as_str()),
        ));
        for metric in &METRICS {
            for (index, variant) in self.variants.iter().enumerate() {
                let median = Spread::new(self.values(index, metric));
                let median = median.map_or_else(|| "-".to_owned(), |spread| format!("{:.2}", spread.median));
                let ratio = Spread::new(self.ratios(index, metric)).map_or_else(
                    || "-".to_owned(),
                    |s| format!("{:.3} ({:.3}..{:.3})", s.median, s.min, s.max),
                );
                line(format!(
                    "{:<22} {:<16} {median:>12}   {ratio}",
                    metric.name, variant.name
                ));
            }
        }
        for variant in &self.variants {
            let violations = variant.reports.iter().map(Report::violation_count).sum::<u64>();
            line(format!("violations in {}: {violations}", variant.name));
        }
        text
    }
}
