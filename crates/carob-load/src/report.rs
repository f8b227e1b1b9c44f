//! The report of a run, as a table and as CSV.

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use crate::{
    check::Violation,
    durations::DurationHistogram,
    measure::{ExchangeStats, RunStats, WindowStats},
    workload::Workload,
};

/// Version of the CSV format.
pub const VERSION: u32 = 1;
/// Name of the rows that cover all classes or all phases.
const ALL: &str = "all";
/// Names and values of the quantiles in reports.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)];
const TABLE_HEADER: &str = "phase       class          sent  whole  refused  failed  incompl  broken  expired  \
     first p50/p95/p99 ms       gap p50/p95/p99 ms   stall s";

/// Statistics of one phase and class.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the phase.
    pub phase: String,
    /// Name of the class.
    pub class: String,
    /// Statistics of the exchanges in this phase and class.
    pub stats: ExchangeStats,
}

/// The report of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Name of the workload.
    pub name: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time from the start to the end of the last exchange.
    pub duration: Duration,
    /// Arrivals that were skipped: too many exchanges were in progress, or the system permitted no further
    /// thread.
    pub skipped: u64,
    /// Preemptions by the engines; `None` if they are not known.
    pub preemptions: Option<u64>,
    /// Delay of the first send of a request after its time of arrival.
    pub lag: DurationHistogram,
    /// Statistics by phase and class.
    pub rows: Vec<Row>,
    /// Statistics of the whole run.
    pub total: ExchangeStats,
    /// Statistics over time, one element for each [`WINDOW_LENGTH`](crate::measure::WINDOW_LENGTH).
    pub windows: Vec<WindowStats>,
    /// Number of violations of each kind.
    pub violations: BTreeMap<Violation, u64>,
}

impl Report {
    /// Creates the report of a run of `workload`.
    pub fn new(workload: &Workload, seed: u64, duration: Duration, skipped: u64, run: RunStats) -> Self {
        let mut total = ExchangeStats::default();
        let mut rows = Vec::with_capacity(run.classes.len());
        for ((phase, class), stats) in run.classes {
            total.merge(&stats);
            rows.push(Row {
                phase: workload.phase(phase).name.clone(),
                class: workload.class(class).name.clone(),
                stats,
            });
        }
        Self {
            name: workload.name.clone(),
            seed,
            duration,
            skipped,
            preemptions: run.preemptions,
            lag: run.lag,
            rows,
            total,
            windows: run.windows,
            violations: run.violations,
        }
    }

    /// Total number of violations.
    pub fn violation_count(&self) -> u64 {
        self.violations.values().sum()
    }

    /// Tokens of complete answers per second.
    pub fn goodput(&self) -> f64 {
        self.total.good_tokens as f64 / self.duration.as_secs_f64().max(1e-6)
    }

    /// Statistics of the class `name` over all phases.
    pub fn class(&self, name: &str) -> ExchangeStats {
        let mut sum = ExchangeStats::default();
        for row in self.rows.iter().filter(|row| row.class == name) {
            sum.merge(&row.stats);
        }
        sum
    }

    /// Iterates over the rows, followed by the total.
    fn all_rows(&self) -> impl Iterator<Item = (&str, &str, &ExchangeStats)> {
        let rows = self
            .rows
            .iter()
            .map(|row| (row.phase.as_str(), row.class.as_str(), &row.stats));
        rows.chain([(ALL, ALL, &self.total)])
    }

    /// Formats the report as a table for reading.
    pub fn to_text(&self) -> String {
        let mut lines = vec![
            format!(
                "workload {}, seed {}, {:.1} s, {} arrivals left out, sent late by p99 {} ms",
                self.name,
                self.seed,
                self.duration.as_secs_f64(),
                self.skipped,
                millis(&self.lag, 0.99),
            ),
            TABLE_HEADER.to_owned(),
        ];
        lines.extend(
            self.all_rows()
                .map(|(phase, class, stats)| text_row(phase, class, stats)),
        );
        lines.push(format!("goodput {:.1} tokens/s of whole answers", self.goodput()));
        lines.extend(self.preemptions.map(|count| format!("preemptions {count}")));
        let refusals = self.total.refused.iter();
        lines.extend(refusals.map(|(code, count)| format!("refused {count} times: {code:?}")));
        lines.push(format!("violations {}", self.violation_count()));
        let violations = self.violations.iter();
        lines.extend(violations.map(|(violation, count)| format!("  {}: {count}", violation.as_str())));
        lines.push(String::new());
        lines.join("\n")
    }

    /// Formats the report as CSV: a line with the format's version, then the columns phase, class, measure,
    /// unit and value.
    ///
    /// Values are not quoted: the workload's section names exclude commas, quotes and line breaks.
    pub fn to_csv(&self) -> String {
        let mut csv = format!(
            "# carob-load report {VERSION}\nphase,class,measure,unit,value\n{ALL},{ALL},seed,,{}\n{ALL},{ALL},length,s,{:.3}\n{ALL},{ALL},left_out,,{}\n",
            self.seed,
            self.duration.as_secs_f64(),
            self.skipped,
        );
        if let Some(count) = self.preemptions {
            csv_row(&mut csv, [ALL, ALL, "preemptions", ""], count as f64);
        }
        for (phase, class, stats) in self.all_rows() {
            csv_rows(&mut csv, phase, class, stats);
        }
        for violation in Violation::ALL {
            let count = self.violations.get(&violation).copied().unwrap_or(0);
            csv_row(
                &mut csv,
                [ALL, ALL, &format!("violation.{}", violation.as_str()), ""],
                count as f64,
            );
        }
        csv
    }
}

fn text_row(phase: &str, class: &str, stats: &ExchangeStats) -> String {
    // Plain calls have no tokens; the column shows their total time instead.
    let first = if stats.first_token.count() > 0 {
        &stats.first_token
    } else {
        &stats.completion
    };
    format!(
        "{phase:<11} {class:<12} {:>6} {:>6} {:>8} {:>7} {:>8} {:>7} {:>8}  {:>24} {:>24}  {:>8.2}",
        stats.sent,
        stats.complete,
        stats.refusals(),
        stats.failed,
        stats.incomplete,
        stats.broken,
        stats.expired,
        quantiles(first),
        quantiles(&stats.gaps),
        stats.stall_time.as_secs_f64(),
    )
}

fn quantiles(durations: &DurationHistogram) -> String {
    QUANTILES
        .map(|(_, quantile)| millis(durations, quantile))
        .join("/")
}

/// Formats a quantile in milliseconds, or as `-` if the histogram is empty.
fn millis(durations: &DurationHistogram, quantile: f64) -> String {
    durations.quantile(quantile).map_or_else(
        || "-".to_owned(),
        |value| format!("{:.1}", value.as_secs_f64() * 1e3),
    )
}

fn csv_rows(csv: &mut String, phase: &str, class: &str, stats: &ExchangeStats) {
    let counts = [
        ("sent", stats.sent),
        ("whole", stats.complete),
        ("incomplete", stats.incomplete),
        ("failed", stats.failed),
        ("broken", stats.broken),
        ("vanished", stats.vanished),
        ("expired", stats.expired),
        ("refused", stats.refusals()),
        ("resumed", stats.resumed),
        ("tokens", stats.tokens),
        ("good_tokens", stats.good_tokens),
    ];
    for (measure, count) in counts {
        csv_row(csv, [phase, class, measure, ""], count as f64);
    }
    for (code, count) in &stats.refused {
        csv_row(
            csv,
            [phase, class, &format!("refused.{code:?}"), ""],
            *count as f64,
        );
    }
    csv_row(csv, [phase, class, "stall", "s"], stats.stall_time.as_secs_f64());
    let histograms = [
        ("first", &stats.first_token),
        ("gap", &stats.gaps),
        ("total", &stats.completion),
        ("refusal", &stats.refusal_time),
    ];
    for (measure, durations) in histograms {
        for (name, quantile) in QUANTILES {
            if let Some(value) = durations.quantile(quantile) {
                let millis = value.as_secs_f64() * 1e3;
                csv_row(csv, [phase, class, &format!("{measure}.{name}"), "ms"], millis);
            }
        }
    }
}

/// Appends one row; `columns` are phase, class, measure and unit.
fn csv_row(csv: &mut String, columns: [&str; 4], value: f64) {
    writeln!(csv, "{},{value}", columns.join(",")).expect("strings take any text");
}
