//! The state machine of a caller's exchange: refusals, resumptions, gaps and violations that one connection
//! shows. Without these checks the load generator would report faults of its own, or miss those of the
//! system.

use bytes::Bytes;
use carob_base::Time;
use carob_load::{
    Workload,
    arrivals::{Arrival, Arrivals, Behaviour},
    caller::{
        Outcome, Record,
        exchange::{Exchange, Step},
        key::uuid_v7,
    },
    check::{Refusal, SendOutcome, Violation},
};
use carob_wire::{Code, Execution, Problem, event::Event};
use rand::{SeedableRng as _, rngs::Xoshiro256PlusPlus};

const WORKLOAD: &str = "\
[workload]
version = 1
name = one
rate = 1
[phase only]
seconds = 100
factor = 1
[class draft]
kind = generation
output = fixed 10
refusal_ms = 50
[account oulu]
key = k
mix = draft 1
";

fn exchange(behaviour: Behaviour) -> Exchange {
    let workload: Workload = WORKLOAD.parse().expect("the text is valid");
    let arrival = Arrivals::new(&workload, 1).next().expect("there is an arrival");
    let arrival = Arrival {
        behaviour,
        at: Time::ZERO,
        ..arrival
    };
    Exchange::new(arrival, &workload.classes[0], Time::ZERO)
}

fn created() -> Bytes {
    Bytes::from(r#"{"type":"response.created","sequence_number":0,"response":{"id":"a"}}"#)
}

fn delta(sequence: u64) -> Bytes {
    let data = format!(
        r#"{{"type":"response.output_text.delta","sequence_number":{sequence},"item_id":"m","delta":"x"}}"#
    );
    Bytes::from(data)
}

fn completed(sequence: u64) -> Bytes {
    let data =
        format!(r#"{{"type":"response.completed","sequence_number":{sequence},"response":{{"id":"a"}}}}"#);
    Bytes::from(data)
}

fn millis(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn into_record(exchange: Exchange) -> Record {
    exchange.into_record("tag".to_owned(), millis(1_000))
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
fn steady_caller_reads_to_the_end() {
    let mut exchange = exchange(Behaviour::Steady);
    assert_eq!(exchange.on_data(created(), millis(1)), Step::Read);
    assert_eq!(exchange.on_data(delta(1), millis(10)), Step::Read);
    assert_eq!(exchange.on_data(delta(2), millis(40)), Step::Read);
    assert_eq!(exchange.on_data(completed(3), millis(50)), Step::End);
    let record = into_record(exchange);
    assert_eq!(record.text.as_deref(), Some("xx"));
    assert_eq!((record.outcome, record.tokens), (Outcome::Whole, 2));
    assert_eq!(record.first_token, Some(millis(10)));
    assert_eq!(record.gaps[0].duration, millis(40).since(millis(10)));
    assert_eq!(record.violations, []);
}

#[test]
fn broken_connection_resumes_after_the_last_event() {
    let mut exchange = exchange(Behaviour::Steady);
    exchange.on_data(created(), millis(1));
    exchange.on_data(delta(1), millis(2));
    assert!(matches!(exchange.on_disconnect(), Step::Reconnect(_)));
    let path = exchange.resume_path().expect("the answer's id is known");
    assert_eq!(path, "/v1/responses/a?stream=true&starting_after=1");
    exchange.on_data(delta(2), millis(3));
    assert_eq!(exchange.on_data(completed(3), millis(4)), Step::End);
    let record = into_record(exchange);
    assert_eq!((record.outcome, record.resumed), (Outcome::Whole, 1));
    assert_eq!(record.violations, []);
}

#[test]
fn caller_that_breaks_the_connection_does_so_once() {
    let mut exchange = exchange(Behaviour::Resume { after: 1 });
    exchange.on_data(created(), millis(1));
    assert!(matches!(
        exchange.on_data(delta(1), millis(2)),
        Step::Reconnect(_)
    ));
    assert_eq!(exchange.on_data(delta(2), millis(900)), Step::Read);
    assert_eq!(into_record(exchange).gaps, [], "the caller's own pause is no gap");
}

#[test]
fn vanishing_caller_leaves() {
    let mut exchange = exchange(Behaviour::Vanish { after: 1 });
    exchange.on_data(created(), millis(1));
    assert_eq!(exchange.on_data(delta(1), millis(2)), Step::End);
    assert_eq!(into_record(exchange).outcome, Outcome::Vanished);
}

#[test]
fn attempts_to_resume_are_bounded() {
    let mut exchange = exchange(Behaviour::Steady);
    exchange.on_data(created(), millis(1));
    let attempts = std::iter::repeat_with(|| exchange.on_unreachable()).take(100);
    let attempts = attempts.take_while(|step| *step != Step::End).count();
    assert!(attempts < 20, "{attempts}");
    assert_eq!(into_record(exchange).outcome, Outcome::Broken);
}

#[test]
fn clean_end_before_the_last_event_is_a_cut() {
    let mut exchange = exchange(Behaviour::Steady);
    exchange.on_data(created(), millis(1));
    exchange.on_end();
    assert_eq!(into_record(exchange).violations, [Violation::Cut]);
}

#[test]
fn refusals_are_checked_for_type_and_time() {
    let problem = Problem::not_run(Code::Overloaded, "full");
    let mut early = exchange(Behaviour::Steady);
    assert_eq!(early.on_refusal(&refusal(&problem), millis(10)), Step::End);
    let record = into_record(early);
    assert_eq!(record.sends, [SendOutcome::Refused(Execution::NotRun)]);
    assert_eq!(
        (record.outcome, record.violations),
        (Outcome::Refused(problem.clone()), vec![])
    );

    let mut late = exchange(Behaviour::Steady);
    late.on_refusal(&refusal(&problem), millis(51));
    assert_eq!(into_record(late).violations, [Violation::LateRefusal]);

    let mut untyped = exchange(Behaviour::Steady);
    let without_type = Refusal {
        media_type: None,
        ..refusal(&problem)
    };
    untyped.on_refusal(&without_type, millis(1));
    assert_eq!(into_record(untyped).outcome, Outcome::Untyped(503));
}

#[test]
fn failure_event_carries_its_code() {
    let problem = Problem::new(Code::AnswerLost, Execution::Done, "the upstream restarted");
    let mut exchange = exchange(Behaviour::Steady);
    exchange.on_data(created(), millis(1));
    assert_eq!(
        exchange.on_data(Event::failure(1, "a", &problem).data, millis(2)),
        Step::End
    );
    assert_eq!(
        into_record(exchange).outcome,
        Outcome::Failed(Some(Code::AnswerLost))
    );
}

#[test]
fn keys_are_uuids_of_version_7() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let key = uuid_v7(0x0123_4567_89ab, &mut rng);
    assert!(key.starts_with("01234567-89ab-7"), "{key}");
    assert_eq!(key.split('-').map(str::len).collect::<Vec<_>>(), [8, 4, 4, 4, 12]);
    assert!(matches!(key.as_bytes()[19], b'8' | b'9' | b'a' | b'b'), "{key}");
    assert_ne!(key, uuid_v7(0x0123_4567_89ab, &mut rng));
}
