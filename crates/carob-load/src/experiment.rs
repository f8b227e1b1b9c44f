//! Comparison of variants as ratios, over several seeds with their spread.

use std::fmt::Write as _;

use crate::{Report, durations::DurationHistogram};

/// A measure that variants are compared by; less is better, except for goodput.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Name with the unit.
    pub name: &'static str,
    /// Its value in a report, if the report has any.
    pub value: fn(&Report) -> Option<f64>,
}

/// The measures that [`Experiment::to_text`] prints.
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

/// The runs of one variant, one per seed.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Name.
    pub name: String,
    /// One report per seed, in the same order of seeds for every variant.
    pub reports: Vec<Report>,
}

/// A figure over several seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Smallest value.
    pub min: f64,
    /// Median.
    pub median: f64,
    /// Largest value.
    pub max: f64,
}

impl Spread {
    /// The spread of `values`; `None` if there are none.
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

/// A comparison of variants with the first one.
#[derive(Clone, Debug, Default)]
pub struct Experiment {
    /// The variants; the first one is the base of the ratios.
    pub variants: Vec<Variant>,
}

impl Experiment {
    /// A comparison of nothing yet.
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

    /// The values of `measure` in each run of the variant at `index`.
    pub fn values(&self, index: usize, metric: &Metric) -> Vec<f64> {
        self.variants[index]
            .reports
            .iter()
            .filter_map(metric.value)
            .collect()
    }

    /// The ratios of the variant at `index` to the base, seed by seed; seeds with a base of zero are left out.
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

    /// The comparison as a table: medians, and ratios to the base with their spread over the seeds.
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
            let violated = variant.reports.iter().map(Report::violation_count).sum::<u64>();
            line(format!("violations in {}: {violated}", variant.name));
        }
        text
    }
}
