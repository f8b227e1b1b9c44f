//! Checks of outcomes: each accepts valid outcomes and detects the violation it is for.

use std::time::Duration;

use bytes::Bytes;
use carob_load::check::{self, Refusal, SendOutcome, SequenceCheck, Violation};
use carob_wire::{Code, Execution, Problem, event::Event};

fn event(text: &str) -> Event {
    Event::parse(Bytes::from(text.to_owned())).expect("the event is valid")
}

fn created(sequence: u64, id: &str) -> Event {
    event(&format!(
        r#"{{"type":"response.created","sequence_number":{sequence},"response":{{"id":"{id}"}}}}"#
    ))
}

fn delta(sequence: u64, item: &str, text: &str) -> Event {
    event(&format!(
        r#"{{"type":"response.output_text.delta","sequence_number":{sequence},"item_id":"{item}","delta":"{text}"}}"#
    ))
}

fn completed(sequence: u64) -> Event {
    event(&format!(
        r#"{{"type":"response.completed","sequence_number":{sequence},"response":{{"id":"a"}}}}"#
    ))
}

/// Feeds the events to a new check; returns one result for each event.
fn check_events(events: &[Event]) -> (SequenceCheck, Vec<Result<(), Violation>>) {
    let mut sequence = SequenceCheck::new();
    let results = events.iter().map(|event| sequence.check_event(event)).collect();
    (sequence, results)
}

#[test]
fn whole_answer_has_no_violation() {
    let (sequence, results) = check_events(&[
        created(0, "a"),
        delta(1, "m", "one "),
        delta(2, "m", "two"),
        completed(3),
    ]);
    assert!(results.iter().all(Result::is_ok));
    let text = sequence.into_text();
    let other = "one too".to_owned();
    assert_eq!(
        check::compare_answer(&text, &[other.clone(), "one two".to_owned()]),
        Ok(())
    );
    assert_eq!(check::compare_answer(&text, &[other]), Err(Violation::Mismatch));
    assert_eq!(check::compare_answer(&text, &[]), Err(Violation::Mismatch));
}

#[test]
fn each_fault_of_a_stream_is_seen() {
    let start = || vec![created(0, "a"), delta(1, "m", "x")];
    for (next, violation) in [
        (delta(1, "m", "x"), Violation::Repeat),
        (delta(3, "m", "x"), Violation::Gap),
        (delta(2, "other", "x"), Violation::Spliced),
        (created(2, "b"), Violation::Spliced),
    ] {
        let mut events = start();
        events.push(next);
        assert_eq!(check_events(&events).1.last(), Some(&Err(violation)));
    }
    let late = [created(0, "a"), completed(1), delta(2, "m", "x")];
    assert_eq!(check_events(&late).1[2], Err(Violation::Extra));
}

fn refusal(problem: &Problem) -> Refusal {
    Refusal {
        status: problem.status,
        media_type: Some("application/problem+json".to_owned()),
        outcome: Some(problem.outcome.as_str().to_owned()),
        body: Bytes::from(problem.to_json()),
    }
}

#[test]
fn refusals_must_be_typed_and_agree() {
    let problem = Problem::not_run(Code::Overloaded, "full");
    let valid = refusal(&problem);
    assert_eq!(valid.problem(), Ok(problem));
    for invalid in [
        Refusal {
            media_type: Some("text/plain".to_owned()),
            ..valid.clone()
        },
        Refusal {
            outcome: None,
            ..valid.clone()
        },
        Refusal {
            outcome: Some("done".to_owned()),
            ..valid.clone()
        },
        Refusal {
            status: 500,
            ..valid.clone()
        },
        Refusal {
            body: Bytes::new(),
            ..valid
        },
    ] {
        assert_eq!(invalid.problem(), Err(Violation::Untyped), "{invalid:?}");
    }
    let limit = Duration::from_secs(1);
    assert_eq!(check::check_refusal_time(limit, limit), Ok(()));
    assert_eq!(
        check::check_refusal_time(limit * 2, limit),
        Err(Violation::LateRefusal)
    );
}

#[test]
fn runs_are_compared_with_what_was_said() {
    let not_run = SendOutcome::Refused(Execution::NotRun);
    let unknown = SendOutcome::Refused(Execution::Unknown);
    let one = SendOutcome::Answered(200, Bytes::from("order 1"));
    let two = SendOutcome::Answered(200, Bytes::from("order 2"));
    for (sends, runs, expected) in [
        (vec![one.clone()], 1, vec![]),
        (vec![one.clone(), one.clone()], 1, vec![]),
        (vec![not_run.clone(), one.clone()], 1, vec![]),
        (vec![not_run.clone()], 0, vec![]),
        (vec![unknown.clone()], 1, vec![]),
        (vec![SendOutcome::Lost], 1, vec![]),
        (vec![one.clone()], 2, vec![Violation::RanTwice]),
        (vec![not_run.clone(), not_run], 1, vec![Violation::RanRefused]),
        (vec![one.clone()], 0, vec![Violation::NotRecorded]),
        (vec![one, two], 1, vec![Violation::Differs]),
    ] {
        assert_eq!(check::compare_runs(&sends, runs, true), expected, "{sends:?}");
    }
    assert_eq!(check::compare_runs(&[unknown], 2, false), []);
}
