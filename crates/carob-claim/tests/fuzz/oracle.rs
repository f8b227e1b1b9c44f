//! The oracle: the call of a key runs at most once, an attempt answered with `not-run` has not run, and one
//! answered with an outcome belongs to a key whose call ran.

use std::collections::BTreeMap;

use carob_wire::Execution;

use crate::world::{Answer, Attempt};

pub fn check(attempts: &[Attempt]) {
    let mut runs = BTreeMap::<usize, u32>::new();
    for attempt in attempts {
        *runs.entry(attempt.key_index).or_default() += attempt.runs;
    }
    for attempt in attempts {
        let runs_of_key = runs[&attempt.key_index];
        assert!(runs_of_key <= 1, "ran twice: {attempts:#?}");
        match &attempt.answer {
            Some(Answer::Refused(Execution::NotRun)) => {
                assert_eq!(attempt.runs, 0, "answered not-run, but it ran: {attempt:?}");
            }
            Some(Answer::Refused(Execution::Done) | Answer::Outcome) => {
                assert_eq!(runs_of_key, 1, "{attempt:?}");
            }
            Some(Answer::Refused(Execution::Unknown)) | None => {}
        }
    }
}
