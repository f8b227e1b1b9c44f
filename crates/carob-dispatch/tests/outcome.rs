//! No sequence of attempts runs a request more often than permitted, or is answered with "not run" after the
//! request may have run.

use carob_dispatch::{
    outcome::{AttemptResult, NextAction, next_action},
    table::RouteKind,
};
use proptest::prelude::*;

fn attempt() -> impl Strategy<Value = AttemptResult> {
    prop::sample::select(vec![
        AttemptResult::Unsent,
        AttemptResult::Rejected,
        AttemptResult::Failed,
        AttemptResult::Unknown,
    ])
}

proptest! {
    #[test]
    fn outcomes_are_truthful(
        kind in prop::sample::select(vec![
            RouteKind::Safe, RouteKind::Unsafe, RouteKind::Stream, RouteKind::ResumableStream,
        ]),
        attempts in 1..4u32,
        sequence in prop::collection::vec(attempt(), 1..20),
    ) {
        let (mut ran, mut rejected) = (0, 0);
        for attempt in sequence {
            match attempt {
                AttemptResult::Unsent | AttemptResult::Rejected => rejected += 1,
                AttemptResult::Failed | AttemptResult::Unknown => ran += 1,
            }
            let may_repeat = matches!(kind, RouteKind::Safe | RouteKind::ResumableStream);
            let max_runs = if may_repeat { attempts } else { 1 };
            prop_assert!(ran <= max_runs);
            match next_action(kind, attempt, ran, rejected, attempts) {
                NextAction::Retry => {}
                NextAction::Refuse => {
                    prop_assert_eq!(ran, 0);
                    return Ok(());
                }
                NextAction::ForwardFailure => {
                    prop_assert_eq!(attempt, AttemptResult::Failed);
                    return Ok(());
                }
                NextAction::OutcomeUnknown => {
                    prop_assert!(ran > 0);
                    return Ok(());
                }
            }
        }
    }
}

/// Whether a send counts for the retry budget depends on what arrived before, whatever comes next.
#[test]
fn only_an_unsent_request_has_not_arrived() {
    assert!(!AttemptResult::Unsent.may_have_arrived());
    for attempt in [
        AttemptResult::Rejected,
        AttemptResult::Failed,
        AttemptResult::Unknown,
    ] {
        assert!(attempt.may_have_arrived());
    }
}

#[test]
fn attempts_end() {
    let mut rejected = 0;
    while let NextAction::Retry = next_action(RouteKind::Safe, AttemptResult::Rejected, 0, rejected, 9) {
        rejected += 1;
        assert!(rejected < 10, "retries after rejections must end");
    }
}
