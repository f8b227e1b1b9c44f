//! A client that comes back any number of times, and upstreams that break off, repeat and leave out events: what the client
//! has is one sequence.

use std::fmt::Write as _;

use carob_dispatch::position::{Position, Step};
use carob_gateway::events::Splitter;
use rand::{Rng, RngExt as _, SeedableRng, rngs::StdRng};

const SEED: u64 = 40;
const CASES: usize = 100_000;
const MAX_EVENTS: u64 = 12;

/// Bytes that upstreams send between two events and that belong to none.
const FILLERS: [&str; 4] = ["", ": waiting\n\n", "retry: 1000\n\n", "\n"];

/// Writes the events after `from` as a run does, and cuts them at any byte if the run breaks off.
fn run_bytes(rng: &mut StdRng, from: u64, count: u64, breaks: bool) -> Vec<u8> {
    let end = if rng.random_bool(0.5) { "\r\n" } else { "\n" };
    let mut text = String::new();
    for event in from.saturating_add(1)..=count {
        if rng.random_ratio(1, 4) {
            text.push_str(&FILLERS[rng.random_range(0..FILLERS.len())].replace('\n', end));
        }
        write!(text, "id: {event}{end}data: part {event}{end}{end}").expect("a string takes any text");
    }
    if breaks {
        text.truncate(rng.random_range(0..=text.len()));
    }
    text.into_bytes()
}

/// Feeds a run to a response in pieces of any size. Returns the events that the client gets, and whether the run left out
/// none.
fn feed(rng: &mut impl Rng, position: &mut Position, bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut splitter = Splitter::new();
    let mut passed = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let (piece, later) = rest.split_at(rng.random_range(1..=rest.len()));
        rest = later;
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            match position.step(event.id, event.has_fields()) {
                Step::Pass => passed.extend_from_slice(&event.bytes),
                Step::Drop => {}
                Step::Gap => return (passed, false),
            }
        }
    }
    (passed, true)
}

fn ids(bytes: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(bytes);
    let lines = text.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}

#[test]
fn what_a_client_has_after_any_breaks_is_one_sequence() {
    let mut rng = StdRng::seed_from_u64(SEED);
    for case in 0..CASES {
        let count = rng.random_range(1..=MAX_EVENTS);
        let mut client: Vec<u64> = Vec::new();
        for response in 0..rng.random_range(1..4) {
            let mut position = Position::new(client.last().copied());
            let mut in_response = 0;
            for run in 0..rng.random_range(1..4) {
                if run > 0 {
                    position.begin_run();
                }
                let last = position.last().unwrap_or(0);
                // That a run starts too late shows once two events of the response had consecutive ids.
                let shift = if in_response >= 2 {
                    rng.random_range(-20..4)
                } else {
                    rng.random_range(-20..=0)
                };
                let bytes = run_bytes(&mut rng, last.saturating_add_signed(shift), count, true);
                let (passed, is_gapless) = feed(&mut rng, &mut position, &bytes);
                assert!(is_gapless || shift > 0, "case {case}: no event was left out");
                let events = ids(&passed);
                in_response += events.len();
                client.extend(events);
                let what = format!("case {case}, response {response}, run {run}, shift {shift}");
                assert_eq!(client, (1..=client.len() as u64).collect::<Vec<_>>(), "{what}");
                assert_eq!(position.last(), client.last().copied(), "{what}");
            }
        }
        let mut position = Position::new(client.last().copied());
        let from = client.last().copied().unwrap_or(0);
        let bytes = run_bytes(&mut rng, from, count, false);
        client.extend(ids(&feed(&mut rng, &mut position, &bytes).0));
        assert_eq!(client, (1..=count).collect::<Vec<_>>(), "case {case}");
    }
}

#[test]
fn ids_that_rise_in_steps_are_passed_on() {
    let mut position = Position::new(None);
    for id in [10, 20, 30] {
        assert_eq!(position.step(Some(id), true), Step::Pass);
    }
    position.begin_run();
    assert_eq!(position.step(Some(30), true), Step::Drop);
    assert_eq!(position.step(Some(40), true), Step::Pass);
}

#[test]
fn an_event_without_an_id_after_a_return_is_passed_on_twice() {
    let mut position = Position::new(None);
    assert_eq!(position.step(Some(1), true), Step::Pass);
    assert_eq!(position.step(None, false), Step::Pass);
    assert!(position.is_resumable(), "a comment is no event");
    assert_eq!(position.step(None, true), Step::Pass);
    assert!(!position.is_resumable(), "the client's position has no id");
    assert_eq!(position.step(Some(2), true), Step::Pass);
    position.begin_run();
    assert_eq!(position.step(None, true), Step::Drop);
    assert_eq!(position.step(Some(3), true), Step::Pass);
    assert_eq!(position.step(None, true), Step::Pass);
}

#[test]
fn an_id_at_the_end_of_the_numbers_wraps() {
    let mut position = Position::new(Some(u64::MAX));
    for id in [0, 1, u64::MAX] {
        assert_eq!(position.step(Some(id), true), Step::Drop);
    }
    assert_eq!(position.last(), Some(u64::MAX));
}
