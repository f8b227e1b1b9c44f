//! Runs against stand-in upstreams without an instance: a healthy engine passes all checks, and each injected
//! fault is reported. They guard against a load generator that misses faults.

use std::sync::Arc;

use carob_load::{Report, Target, Workload, check::Violation};
use carob_standin::{
    Engine, Orders,
    engine::{Fault, Options},
    orders,
};

mod common {
    pub mod record;
}

const WORKLOAD: &str = "\
[workload]
version = 1
name = direct
rate = 60
limit = 40
[phase only]
seconds = 10
factor = 1
[class draft]
kind = generation
prompt = uniform 10 60
output = uniform 10 40
[account oulu]
key = k
mix = draft 1
";

fn engine() -> Arc<Engine> {
    Arc::new(Engine::start(Options::default()).expect("a port is free"))
}

/// Sends the workload `text` to `engine`, which applies each of `faults` to one of its first streams.
fn run(engine: &Arc<Engine>, text: &str, faults: &[Fault]) -> Report {
    for fault in faults {
        engine.inject(*fault);
    }
    let workload: Workload = text.parse().expect("the workload is valid");
    let engines = [Arc::clone(engine)];
    let target = Target::new(vec![engine.address()])
        .with_record(move || common::record::upstream_record(&engines, None));
    carob_load::run(&workload, &target, 7).expect("threads can be started")
}

#[test]
fn healthy_engine_gives_whole_answers() {
    let report = run(&engine(), WORKLOAD, &[]);
    assert_eq!(report.total.complete, 40, "{}", report.to_text());
    assert_eq!(report.violation_count(), 0, "{}", report.to_text());
    assert_eq!(report.total.first_token.count(), 40);
    assert!(report.total.gaps.count() > 40);
}

#[test]
fn broken_streams_are_resumed_whole() {
    let text = WORKLOAD.replace("output =", "patience_ms = 5000\nresume_percent = 50\noutput =");
    let report = run(&engine(), &text, &[Fault::Cut(3), Fault::Cut(5), Fault::Cut(9)]);
    assert_eq!(report.total.complete, 40, "{}", report.to_text());
    assert_eq!(report.violation_count(), 0, "{}", report.to_text());
    assert!(report.total.resumed >= 3, "{}", report.to_text());
}

#[test]
fn each_fault_of_a_stream_is_reported() {
    for (fault, violations) in [
        (Fault::Repeat(4), vec![Violation::Repeat]),
        (Fault::Skip(4), vec![Violation::Gap, Violation::Mismatch]),
        (
            Fault::Swap(4),
            vec![Violation::Gap, Violation::Repeat, Violation::Mismatch],
        ),
    ] {
        let report = run(&engine(), WORKLOAD, &[fault]);
        let expected = violations.into_iter().map(|violation| (violation, 1));
        assert_eq!(report.violations, expected.collect(), "{}", report.to_text());
    }
}

#[test]
fn vanished_callers_and_a_silent_stream_end() {
    let text = WORKLOAD.replace("output =", "patience_ms = 2000\nvanish_percent = 50\noutput =");
    let report = run(&engine(), &text, &[Fault::Stall(1)]);
    let total = &report.total;
    assert!(total.vanished > 5 && total.expired + total.vanished + total.complete == 40);
    assert_eq!(report.violation_count(), 0, "{}", report.to_text());
}

#[test]
fn unprotected_orders_are_seen_to_run_twice() {
    let orders = Orders::start(&orders::Options::default()).expect("a port is free");
    let orders = Arc::new(orders);
    let text = WORKLOAD
        .replace(
            "kind = generation",
            "kind = order\npath = /orders\ntwin_percent = 100",
        )
        .replace("output = uniform 10 40\n", "");
    let workload: Workload = text.parse().expect("the workload is valid");
    let record = Arc::clone(&orders);
    let target = Target::new(vec![orders.address()])
        .with_record(move || common::record::upstream_record(&[], Some(&record)));
    let report = carob_load::run(&workload, &target, 7).expect("threads can be started");
    assert_eq!(
        report.violations.get(&Violation::RanTwice),
        Some(&40),
        "{}",
        report.to_text()
    );
}

#[test]
fn untyped_refusals_are_reported() {
    let text = WORKLOAD.replace("[class draft]", "[class draft]\npath = /elsewhere");
    let report = run(&engine(), &text, &[]);
    assert_eq!(report.total.untyped, 40, "{}", report.to_text());
    assert_eq!(report.violations.get(&Violation::Untyped), Some(&40));
}
