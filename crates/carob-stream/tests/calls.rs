//! Retries of plain idempotent calls, cancellation, and the event intervals of an engine.

use std::time::Duration;

use carob_base::{Name, Time};
use carob_stream::{
    EventIntervals, Generation, Options,
    call::{Call, Failure, Options as CallOptions, Step},
    cancel::{Cancellation, Outcome},
};
use carob_wire::{Code, Execution};

fn upstreams() -> [Name; 3] {
    ["a", "b", "c"].map(|name| Name::new(name).expect("a valid name"))
}

#[test]
fn an_abandoned_attempts_late_answer_is_dropped() {
    let [first, second, _] = upstreams();
    let mut call = Call::new(CallOptions::default(), Time::ZERO);
    let slow = call.start(first.clone(), Time::ZERO);
    assert_eq!(call.deadline(), Time::from_millis(3_000));
    assert_eq!(call.on_tick(Time::from_millis(3_000)), Step::Retry);
    assert_eq!(call.failed(), [first]);
    let quick = call.start(second, Time::from_millis(3_000));
    assert_eq!(call.on_answer(slow), Step::Drop);
    assert_eq!(call.on_answer(quick), Step::Answer);
    assert_eq!(call.on_answer(quick), Step::Drop);
}

#[test]
fn every_failed_upstream_is_avoided_and_the_attempts_end() {
    let all = upstreams();
    let mut call = Call::new(CallOptions::default(), Time::ZERO);
    for upstream in &all[..2] {
        let attempt = call.start(upstream.clone(), Time::ZERO);
        assert_eq!(
            call.on_failure(attempt, Failure::Refused, Time::ZERO),
            Step::Retry
        );
    }
    assert_eq!(call.failed(), &all[..2]);
    let last = call.start(all[2].clone(), Time::ZERO);
    let Step::Fail(problem) = call.on_failure(last, Failure::Refused, Time::ZERO) else {
        panic!("three attempts are the limit");
    };
    assert_eq!(
        (problem.code, problem.outcome),
        (Code::NoUpstream, Execution::NotRun)
    );
}

#[test]
fn nothing_is_retried_past_the_callers_patience() {
    let [first, ..] = upstreams();
    let mut call = Call::new(CallOptions::default(), Time::ZERO);
    let attempt = call.start(first.clone(), Time::ZERO);
    let Step::Fail(problem) = call.on_failure(attempt, Failure::NoAnswer, Time::from_millis(10_000)) else {
        panic!("the retry window has passed");
    };
    assert_eq!(
        (problem.code, problem.outcome),
        (Code::UpstreamFailed, Execution::Unknown)
    );
}

#[test]
fn a_call_whose_budget_is_spent_says_what_is_certain() {
    let [first, ..] = upstreams();
    let mut call = Call::new(CallOptions::default(), Time::ZERO);
    let attempt = call.start(first.clone(), Time::ZERO);
    assert_eq!(call.on_failure(attempt, Failure::Busy, Time::ZERO), Step::Retry);
    let problem = call.into_problem();
    assert_eq!(
        (problem.code, problem.outcome),
        (Code::Overloaded, Execution::NotRun)
    );
    assert!(problem.retry_after.is_some());
}

#[test]
fn a_cancellation_is_repeated_until_it_is_certain() {
    let mut cancellation = Cancellation::new(Generation::from_answer_id(7, "r1"), Time::ZERO);
    assert_eq!(cancellation.poll(Time::ZERO), Some("r1"));
    assert_eq!(cancellation.poll(Time::ZERO), None);
    cancellation.on_outcome(Outcome::Failed, Time::from_millis(10));
    assert!(!cancellation.is_over());
    assert_eq!(cancellation.deadline(), Time::from_millis(210));
    assert_eq!(cancellation.poll(Time::from_millis(210)), Some("r1"));
    // Without a report, the next try is due when this one times out.
    assert_eq!(cancellation.poll(Time::from_millis(2_210)), Some("r1"));
    cancellation.on_outcome(Outcome::Confirmed { incarnation: 7 }, Time::from_millis(2_220));
    assert!(cancellation.is_over());
    assert_eq!(cancellation.deadline(), Time::NEVER);
}

#[test]
fn a_cancellation_ends_with_the_engines_process() {
    let mut cancellation = Cancellation::new(Generation::from_answer_id(7, "r1"), Time::ZERO);
    cancellation.on_incarnation(7);
    assert!(!cancellation.is_over());
    cancellation.on_incarnation(8);
    assert!(cancellation.is_over());
}

#[test]
fn the_99th_percentile_is_never_below_the_true_one_and_less_than_a_fifth_above() {
    let mut intervals = EventIntervals::new();
    assert_eq!(intervals.p99(), None);
    for millis in 1..=1_000 {
        intervals.record(Duration::from_millis(millis));
    }
    let found = intervals.p99().expect("1,000 intervals are enough").as_secs_f64();
    assert!((0.990..0.990 * 1.2).contains(&found), "{found}");
    let limit = Options::new().silence_timeout(&intervals);
    assert!(limit < Duration::from_millis(990) * 3, "{limit:?}");
}
