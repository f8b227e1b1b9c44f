//! The report of a run, as a table and as CSV.

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use crate::{
    check::Violation,
    durations::Durations,
    measure::{Cell, Measures, Window},
    workload::Workload,
};

/// Version of the CSV form.
pub const VERSION: u32 = 1;
/// Name of the rows that sum up all classes or all phases.
const ALL: &str = "all";
/// Quantiles in reports, with their names.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)];
const HEAD: &str = "phase       class          sent  whole  refused  failed  incompl  broken  expired  \
     first p50/p95/p99 ms       gap p50/p95/p99 ms   stall s";

/// Measures of one phase and class.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the phase, or `all`.
    pub phase: String,
    /// Name of the class, or `all`.
    pub class: String,
    /// Measures.
    pub cell: Cell,
}

/// The report of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Name of the workload.
    pub name: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time from the start to the end of the last exchange.
    pub length: Duration,
    /// Arrivals that were left out, because too many exchanges were in progress.
    pub skipped: u64,
    /// Preemptions of the engines; `None` if they are not known.
    pub preemptions: Option<u64>,
    /// How late requests were sent, compared with their time of arrival.
    pub lag: Durations,
    /// Measures by phase and class.
    pub rows: Vec<Row>,
    /// Measures of the whole run.
    pub total: Cell,
    /// Measures over time.
    pub windows: Vec<Window>,
    /// Promises that were not kept.
    pub violations: BTreeMap<Violation, u64>,
}

impl Report {
    /// The report of a run of `workload`.
    pub fn new(workload: &Workload, seed: u64, length: Duration, skipped: u64, measures: Measures) -> Self {
        let mut total = Cell::default();
        let mut rows = Vec::with_capacity(measures.cells.len());
        for ((phase, class), cell) in measures.cells {
            total.add(&cell);
            rows.push(Row {
                phase: workload.phase(phase).name.clone(),
                class: workload.class(class).name.clone(),
                cell,
            });
        }
        Self {
            name: workload.name.clone(),
            seed,
            length,
            skipped,
            preemptions: measures.preemptions,
            lag: measures.lag,
            rows,
            total,
            windows: measures.windows,
            violations: measures.violations,
        }
    }

    /// Violations of all kinds.
    pub fn violated(&self) -> u64 {
        self.violations.values().sum()
    }

    /// Tokens of whole answers in a second.
    pub fn goodput(&self) -> f64 {
        self.total.good_tokens as f64 / self.length.as_secs_f64().max(1e-6)
    }

    /// Measures of all phases of the class called `name`.
    pub fn class(&self, name: &str) -> Cell {
        let mut sum = Cell::default();
        for row in self.rows.iter().filter(|row| row.class == name) {
            sum.add(&row.cell);
        }
        sum
    }

    /// Rows with the total at the end.
    fn all_rows(&self) -> impl Iterator<Item = (&str, &str, &Cell)> {
        let rows = self
            .rows
            .iter()
            .map(|row| (row.phase.as_str(), row.class.as_str(), &row.cell));
        rows.chain([(ALL, ALL, &self.total)])
    }

    /// The report as a table for people.
    pub fn to_text(&self) -> String {
        let mut lines = vec![
            format!(
                "workload {}, seed {}, {:.1} s, {} arrivals left out, sent late by p99 {} ms",
                self.name,
                self.seed,
                self.length.as_secs_f64(),
                self.skipped,
                millis(&self.lag, 0.99),
            ),
            HEAD.to_owned(),
        ];
        lines.extend(
            self.all_rows()
                .map(|(phase, class, cell)| text_row(phase, class, cell)),
        );
        lines.push(format!("goodput {:.1} tokens/s of whole answers", self.goodput()));
        lines.extend(self.preemptions.map(|count| format!("preemptions {count}")));
        let refusals = self.total.refused.iter();
        lines.extend(refusals.map(|(code, count)| format!("refused {count} times: {code:?}")));
        lines.push(format!("violations {}", self.violated()));
        let violations = self.violations.iter();
        lines.extend(violations.map(|(violation, count)| format!("  {}: {count}", violation.as_str())));
        lines.push(String::new());
        lines.join("\n")
    }

    /// The report as CSV with the columns phase, class, measure, unit and value, after a line with the version.
    ///
    /// Names with a comma, a quote or a line break do not occur: the workload's section names exclude them.
    pub fn to_csv(&self) -> String {
        let mut csv = format!(
            "# carob-load report {VERSION}\nphase,class,measure,unit,value\n{ALL},{ALL},seed,,{}\n{ALL},{ALL},length,s,{:.3}\n{ALL},{ALL},left_out,,{}\n",
            self.seed,
            self.length.as_secs_f64(),
            self.skipped,
        );
        if let Some(count) = self.preemptions {
            csv_row(&mut csv, [ALL, ALL, "preemptions", ""], count as f64);
        }
        for (phase, class, cell) in self.all_rows() {
            csv_rows(&mut csv, phase, class, cell);
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

fn text_row(phase: &str, class: &str, cell: &Cell) -> String {
    // Plain calls have no tokens; their whole time stands in the same column.
    let first = if cell.first.count() > 0 {
        &cell.first
    } else {
        &cell.total
    };
    format!(
        "{phase:<11} {class:<12} {:>6} {:>6} {:>8} {:>7} {:>8} {:>7} {:>8}  {:>24} {:>24}  {:>8.2}",
        cell.sent,
        cell.whole,
        cell.refusals(),
        cell.failed,
        cell.incomplete,
        cell.broken,
        cell.expired,
        triple(first),
        triple(&cell.gaps),
        cell.stall.as_secs_f64(),
    )
}

fn triple(durations: &Durations) -> String {
    QUANTILES
        .map(|(_, quantile)| millis(durations, quantile))
        .join("/")
}

/// A quantile in milliseconds, or `-` without any duration.
fn millis(durations: &Durations, quantile: f64) -> String {
    durations.quantile(quantile).map_or_else(
        || "-".to_owned(),
        |value| format!("{:.1}", value.as_secs_f64() * 1e3),
    )
}

fn csv_rows(csv: &mut String, phase: &str, class: &str, cell: &Cell) {
    let counts = [
        ("sent", cell.sent),
        ("whole", cell.whole),
        ("incomplete", cell.incomplete),
        ("failed", cell.failed),
        ("broken", cell.broken),
        ("vanished", cell.vanished),
        ("expired", cell.expired),
        ("refused", cell.refusals()),
        ("resumed", cell.resumed),
        ("tokens", cell.tokens),
        ("good_tokens", cell.good_tokens),
    ];
    for (measure, count) in counts {
        csv_row(csv, [phase, class, measure, ""], count as f64);
    }
    for (code, count) in &cell.refused {
        csv_row(
            csv,
            [phase, class, &format!("refused.{code:?}"), ""],
            *count as f64,
        );
    }
    csv_row(csv, [phase, class, "stall", "s"], cell.stall.as_secs_f64());
    let spreads = [
        ("first", &cell.first),
        ("gap", &cell.gaps),
        ("total", &cell.total),
        ("refusal", &cell.refusal),
    ];
    for (measure, durations) in spreads {
        for (name, quantile) in QUANTILES {
            if let Some(value) = durations.quantile(quantile) {
                let millis = value.as_secs_f64() * 1e3;
                csv_row(csv, [phase, class, &format!("{measure}.{name}"), "ms"], millis);
            }
        }
    }
}

/// One row: phase, class, measure and unit, then the value.
fn csv_row(csv: &mut String, names: [&str; 4], value: f64) {
    writeln!(csv, "{},{value}", names.join(",")).expect("strings take any text");
}
