//! One table of the product's policy against simple ones, over all scenarios and several seeds.
//!
//! `cargo bench --bench policy` prints the comparison; with `-- --ablation` it prints the product's policy with one
//! mechanism taken out at a time. `-- --only TEXT` keeps the scenarios whose title contains the text.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use carob_replay::{
    Policy, Report,
    generate::{Deployment, SCENARIOS, Scenario, Spec},
    report::quantile_ms,
};
use carob_route::options::Mechanisms;

/// Seeds of the traces.
const SEEDS: std::ops::Range<u64> = 1..6;
/// Threads that replay at the same time.
const THREADS: usize = 4;

/// One replay to be made.
struct Case {
    row: usize,
    spec: Spec,
    policy: Policy,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let ablation = arguments.iter().any(|argument| argument == "--ablation");
    let only = arguments
        .iter()
        .position(|argument| argument == "--only")
        .and_then(|at| arguments.get(at + 1));
    let policies = if ablation { ablations() } else { comparison() };
    let mut rows = Vec::new();
    let mut cases = Vec::new();
    for (deployment, scenario) in situations(ablation) {
        let title = format!("{deployment:?} {scenario:?}").to_lowercase();
        if only.is_some_and(|only| !title.contains(only.as_str())) {
            continue;
        }
        for (name, policy) in &policies {
            for seed in SEEDS {
                cases.push(Case {
                    row: rows.len(),
                    spec: Spec::new(deployment, scenario, seed),
                    policy: *policy,
                });
            }
            rows.push((title.clone(), *name));
        }
    }
    let reports = replay_all(&cases);
    print_table(&rows, &cases, &reports);
}

fn situations(ablation: bool) -> Vec<(Deployment, Scenario)> {
    let mut all: Vec<_> = SCENARIOS
        .iter()
        .map(|&scenario| (Deployment::Saarela, scenario))
        .collect();
    let of_tandyr = if ablation {
        &[Scenario::Burst][..]
    } else {
        &[Scenario::Day, Scenario::Busy, Scenario::Burst]
    };
    all.extend(of_tandyr.iter().map(|&scenario| (Deployment::Tandyr, scenario)));
    all
}

fn comparison() -> Vec<(&'static str, Policy)> {
    vec![
        ("product", Policy::Product(Mechanisms::ALL)),
        ("informed", Policy::KnownLengths),
        ("home", Policy::Centralized),
        ("round robin", Policy::RoundRobin),
        ("least outstanding", Policy::LeastOutstanding),
        ("two choices", Policy::TwoChoices),
    ]
}

fn ablations() -> Vec<(&'static str, Policy)> {
    let all = Mechanisms::ALL;
    let without = [
        ("all", all),
        (
            "- lengths",
            Mechanisms {
                lengths: false,
                ..all
            },
        ),
        (
            "- forecast",
            Mechanisms {
                forecast: false,
                ..all
            },
        ),
        (
            "- feedback",
            Mechanisms {
                feedback: false,
                ..all
            },
        ),
        ("- queue", Mechanisms { queue: false, ..all }),
        (
            "- fairness",
            Mechanisms {
                fairness: false,
                ..all
            },
        ),
        (
            "- short first",
            Mechanisms {
                short_first: false,
                ..all
            },
        ),
        ("- prefix", Mechanisms { prefix: false, ..all }),
        ("- peers", Mechanisms { peers: false, ..all }),
        (
            "- priority",
            Mechanisms {
                priority: false,
                ..all
            },
        ),
        (
            "- mirror",
            Mechanisms {
                extrapolate_peers: false,
                ..all
            },
        ),
        (
            "- peers, mirror",
            Mechanisms {
                peers: false,
                extrapolate_peers: false,
                ..all
            },
        ),
    ];
    without
        .into_iter()
        .map(|(name, mechanisms)| (name, Policy::Product(mechanisms)))
        .collect()
}

/// Makes all replays on a few threads; the reports come in the order of the cases.
fn replay_all(cases: &[Case]) -> Vec<Report> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let at = next.fetch_add(1, Ordering::Relaxed);
            let Some(case) = cases.get(at) else {
                return done;
            };
            let trace = case.spec.trace();
            done.push((at, carob_replay::run(&trace, case.policy, case.spec.seed)));
        }
    };
    let mut reports = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let done = threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a replay does not panic"));
        done.collect::<Vec<_>>()
    });
    reports.sort_by_key(|(at, _)| *at);
    reports.into_iter().map(|(_, report)| report).collect()
}

fn print_table(rows: &[(String, &str)], cases: &[Case], reports: &[Report]) {
    println!(
        "mean over seeds {SEEDS:?}, with the spread (half of max - min) of stall time and preemptions\n"
    );
    println!(
        "| scenario | policy | stall s | preemptions | gap p50/p95/p99 ms | first p50/p95 ms | goodput tok/s | refused | gave up | lost |"
    );
    println!("|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
    for (row, (title, policy)) in rows.iter().enumerate() {
        let of_row: Vec<&Report> = cases
            .iter()
            .zip(reports)
            .filter(|(case, _)| case.row == row)
            .map(|(_, report)| report)
            .collect();
        print_row(title, policy, &of_row);
    }
}

fn print_row(title: &str, policy: &str, reports: &[&Report]) {
    let mean = |figure: &dyn Fn(&Report) -> f64| {
        reports.iter().map(|report| figure(report)).sum::<f64>() / reports.len() as f64
    };
    let spread = |figure: &dyn Fn(&Report) -> f64| {
        let values = reports.iter().map(|report| figure(report));
        let (low, high) = values.fold((f64::MAX, f64::MIN), |(low, high), v| (low.min(v), high.max(v)));
        (high - low) / 2.0
    };
    let stall = |report: &Report| report.stall.as_secs_f64();
    let preemptions = |report: &Report| report.preemptions as f64;
    let gap = |quantile| mean(&|report: &Report| quantile_ms(&report.gaps, quantile));
    let first = |quantile| mean(&|report: &Report| quantile_ms(&report.first_tokens, quantile));
    println!(
        "| {title} | {policy} | {:.0} ±{:.0} | {:.1} ±{:.1} | {:.1}/{:.1}/{:.1} | {:.0}/{:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |",
        mean(&stall),
        spread(&stall),
        mean(&preemptions),
        spread(&preemptions),
        gap(0.5),
        gap(0.95),
        gap(0.99),
        first(0.5),
        first(0.95),
        mean(&|report: &Report| report.goodput),
        mean(&|report: &Report| report.refused as f64),
        mean(&|report: &Report| report.abandoned as f64),
        mean(&|report: &Report| report.lost as f64),
        mean(&least_served),
        mean(&|report: &Report| 100.0 * report.cross_region as f64 / report.requests as f64),
    );
}

/// The lowest share of whole answers among the accounts with few requests, in percent.
fn least_served(report: &Report) -> f64 {
    let small = report
        .accounts
        .values()
        .filter(|tally| tally.requests * 10 < report.requests);
    let shares = small.map(|tally| tally.completed as f64 / tally.requests.max(1) as f64);
    shares.fold(1.0, f64::min) * 100.0
}
