//! Statistics of records, and the reports, plots and comparisons made from them.

use std::time::Duration;

use carob_load::{
    Report, Workload,
    arrivals::{Arrival, Arrivals},
    caller::{Gap, Outcome, Record},
    check::Violation,
    experiment::{Experiment, METRICS, Spread},
    measure::RunStats,
    plot,
};
use carob_wire::{Code, Problem};

const WORKLOAD: &str = "\
[workload]
version = 1
name = candles
rate = 10
stall_ms = 100
[phase ordinary]
seconds = 10
factor = 1
[class draft]
kind = generation
[account oulu]
key = k
mix = draft 1
";

fn workload() -> Workload {
    WORKLOAD.parse().expect("the text is valid")
}

/// Returns the record of a complete answer of three tokens with gaps of 30 ms and `gap`.
fn complete_record(arrival: Arrival, gap: Duration) -> Record {
    let short = Duration::from_millis(30);
    let first = arrival.at + Duration::from_millis(200);
    let gaps = vec![
        Gap {
            end: first + short,
            duration: short,
        },
        Gap {
            end: first + short + gap,
            duration: gap,
        },
    ];
    Record {
        arrival,
        key: String::new(),
        sends: Vec::new(),
        text: None,
        sent_at: arrival.at,
        first_token: Some(first),
        gaps,
        tokens: 3,
        resumed: 0,
        end: first + short + gap,
        outcome: Outcome::Whole,
        violations: Vec::new(),
    }
}

/// Returns a report over ten seconds in which each answer has a gap of 30 ms and one of `gap`. The first
/// exchange was refused late.
fn report(gap: Duration) -> Report {
    let workload = workload();
    let mut stats = RunStats::new(&workload);
    for arrival in Arrivals::new(&workload, 1) {
        let mut record = complete_record(arrival, gap);
        if arrival.number == 0 {
            record.outcome = Outcome::Refused(Problem::not_run(Code::Overloaded, "full"));
            record.violations.push(Violation::LateRefusal);
        }
        stats.record(&record);
    }
    Report::new(&workload, 1, Duration::from_secs(10), 2, stats)
}

#[test]
fn stall_time_is_the_excess_over_the_threshold() {
    let report = report(Duration::from_millis(250));
    let answers = report.total.sent as u32;
    assert_eq!(report.total.stall_time, Duration::from_millis(150) * answers);
    assert_eq!(report.total.gaps.count(), u64::from(2 * answers));
    assert_eq!(report.class("draft").complete, report.total.sent - 1);
    assert_eq!(report.violation_count(), 1);
    assert_eq!(
        report.windows.iter().map(|w| w.tokens).sum::<u64>(),
        report.total.tokens
    );
}

#[test]
fn text_and_csv_name_what_happened() {
    let report = report(Duration::from_millis(250));
    let text = report.to_text();
    for part in [
        "workload candles",
        "2 arrivals left out",
        "Overloaded",
        "late-refusal: 1",
    ] {
        assert!(text.contains(part), "{part} in\n{text}");
    }
    let csv = report.to_csv();
    assert!(csv.starts_with("# carob-load report 1\nphase,class,measure,unit,value\n"));
    assert!(csv.contains("ordinary,draft,refused.Overloaded,,1\n"), "{csv}");
    assert!(csv.contains("all,all,violation.late-refusal,,1\n"), "{csv}");
    assert!(
        csv.lines().skip(1).all(|line| line.split(',').count() == 5),
        "{csv}"
    );
}

/// Returns whether all elements of an SVG image are closed in order and no bare `&` occurs.
fn is_well_formed(svg: &str) -> bool {
    let mut open = Vec::new();
    for tag in svg.split('<').skip(1) {
        let Some((tag, text)) = tag.split_once('>') else {
            return false;
        };
        let name = tag.split([' ', '/']).next().unwrap_or_default();
        if let Some(closed) = tag.strip_prefix('/') {
            if open.pop() != Some(closed) {
                return false;
            }
        } else if !tag.ends_with('/') {
            open.push(name);
        }
        if text.contains('&') && !text.contains("&amp;") {
            return false;
        }
    }
    open.is_empty()
}

#[test]
fn plots_are_balanced_and_have_units() {
    let fast = report(Duration::from_millis(40));
    let slow = report(Duration::from_millis(400));
    for svg in [
        plot::svg(&fast),
        plot::compare_svg(&[("a & b", &fast), ("slow", &slow)]),
    ] {
        assert!(is_well_formed(&svg), "{svg}");
        assert!(!svg.contains("NaN") && !svg.contains("inf"), "{svg}");
        assert!(svg.contains("gap, ms") && svg.contains("polyline"), "{svg}");
    }
}

#[test]
fn plot_of_an_empty_run_is_valid() {
    let workload = workload();
    let report = Report::new(&workload, 1, Duration::ZERO, 0, RunStats::new(&workload));
    let svg = plot::svg(&report);
    assert!(is_well_formed(&svg) && !svg.contains("NaN"), "{svg}");
}

#[test]
fn experiment_gives_ratios_over_seeds() {
    let base = report(Duration::from_millis(50));
    let half = report(Duration::from_millis(100));
    let experiment = Experiment::new()
        .with_variant("direct", vec![base.clone(), base])
        .with_variant("product", vec![half.clone(), half]);
    let gap = METRICS
        .iter()
        .find(|m| m.name == "gap p99, ms")
        .expect("it is listed");
    let ratio = Spread::new(experiment.ratios(1, gap)).expect("there are two seeds");
    assert!((ratio.median - 2.0).abs() < 0.02, "{ratio:?}");
    let text = experiment.to_text();
    assert!(
        text.contains("ratio to direct") && text.contains("violations in product: 2"),
        "{text}"
    );
}

#[test]
fn spread_has_the_middle_of_an_even_number() {
    let spread = Spread::new(vec![4.0, 1.0, 2.0, 3.0]).expect("there are values");
    assert_eq!((spread.min, spread.median, spread.max), (1.0, 2.5, 4.0));
    assert_eq!(Spread::new(Vec::new()), None);
}
