//! Generations whose upstream leaves or ends: what their callers see.

mod fleet;

use std::{thread, time::Duration};

use carob_platform_standin::{Answer, Outage};
use fleet::{Fleet, LONG, until};

#[test]
fn a_generation_moves_off_an_upstream_that_leaves_without_loss() {
    let fleet = Fleet::start(1);
    let first = fleet.engine("e1", 150, Duration::from_millis(20));
    fleet.configure();
    let caller = fleet.start_draft("d1");
    let _second = fleet.engine("e2", 150, Duration::from_millis(20));
    thread::sleep(Duration::from_millis(300));
    first.leave(Duration::from_millis(1_600));
    let outcome = caller.join().expect("the caller ends");
    assert_eq!((outcome.status, outcome.whole), (200, true));
    assert_eq!(outcome.events(), (1..=150).collect::<Vec<_>>());
    assert_eq!(fleet.ledger.runs("d1"), 1, "it is one run");
    assert_eq!(fleet.ledger.moves(), 1);
}

#[test]
fn a_generation_moves_when_its_upstream_ends_after_half_a_second() {
    let fleet = Fleet::start(1);
    let first = fleet.engine("e1", 150, Duration::from_millis(20));
    fleet.configure();
    let caller = fleet.start_draft("d1");
    let _second = fleet.engine("e2", 150, Duration::from_millis(20));
    thread::sleep(Duration::from_millis(300));
    first.leave(Duration::from_millis(500));
    let outcome = caller.join().expect("the caller ends");
    assert!(outcome.whole, "{:?}", outcome.events().last());
    assert_eq!(outcome.events(), (1..=150).collect::<Vec<_>>());
    assert_eq!(fleet.ledger.runs("d1"), 1);
}

#[test]
fn a_generation_that_cannot_move_goes_on_where_it_is() {
    let fleet = Fleet::start(1);
    let first = fleet.engine("e1", 100, Duration::from_millis(20));
    fleet.configure();
    let caller = fleet.start_draft("d1");
    let _second = fleet.engine("e2", 100, Duration::from_millis(20));
    first.set_full(true);
    first.leave(LONG);
    let outcome = caller.join().expect("the caller ends");
    assert!(outcome.whole);
    assert_eq!(outcome.events(), (1..=100).collect::<Vec<_>>());
    assert_eq!(fleet.ledger.runs("d1"), 1);
}

/// Found on saarela-tukku, mix with seed 701360881773: a generation ended while it was about to be moved, and its
/// whole stream was taken for a stopped one.
#[test]
fn a_generation_that_ends_during_its_move_is_whole() {
    for framed in [true, false] {
        let fleet = Fleet::start(1);
        let first = fleet.engine("e1", 120, Duration::from_millis(20));
        first.set_framed(framed);
        fleet.configure();
        let caller = fleet.start_draft("d1");
        let second = fleet.engine("e2", 120, Duration::from_millis(20));
        // It takes the generation and says nothing, until the first one is through.
        second.set_answer(Answer::Silence);
        thread::sleep(Duration::from_millis(800));
        first.leave(LONG);
        let outcome = caller.join().expect("the caller ends");
        assert!(outcome.whole, "{:?}", outcome.events().last());
        assert_eq!(outcome.events(), (1..=120).collect::<Vec<_>>());
        assert_eq!(fleet.ledger.moves(), 1, "the second one was asked to continue");
    }
}

#[test]
fn a_copy_that_its_upstream_rejected_at_first_is_used_when_the_source_ends() {
    let fleet = Fleet::start(1);
    let first = fleet.engine("e1", 150, Duration::from_millis(20));
    fleet.configure();
    let caller = fleet.start_draft("d1");
    let second = fleet.engine("e2", 150, Duration::from_millis(20));
    second.set_answer(Answer::Rejection);
    first.leave(Duration::from_millis(1_600));
    until("it was rejected", || {
        fleet.gateways[0].logged("generation could not continue elsewhere")
    });
    second.set_answer(Answer::Good);
    let outcome = caller.join().expect("the caller ends");
    assert!(
        outcome.whole,
        "{:?}, moves {}",
        outcome.events().len(),
        fleet.ledger.moves()
    );
    assert_eq!(outcome.events(), (1..=150).collect::<Vec<_>>());
    assert_eq!(fleet.ledger.runs("d1"), 1);
}

/// Found on saarela-tukku-grown, scale-1: the second copy waited on the link until the source ended, and the first
/// one was not used.
#[test]
fn the_first_copy_is_used_when_the_source_ends_during_the_second() {
    let fleet = Fleet::start(1);
    let first = fleet.engine("e1", 150, Duration::from_millis(20));
    first.set_queue(LONG);
    fleet.configure();
    let caller = fleet.start_draft("d1");
    let _second = fleet.engine("e2", 150, Duration::from_millis(20));
    first.leave(Duration::from_millis(1_600));
    let outcome = caller.join().expect("the caller ends");
    assert!(outcome.whole, "{:?}", outcome.events().last());
    assert_eq!(outcome.events(), (1..=150).collect::<Vec<_>>());
    assert_eq!(fleet.ledger.runs("d1"), 1);
}

/// Most engines drop a generation when its connection closes; one that does not must not work on it while another
/// does.
#[test]
fn an_engine_that_ignores_closed_connections_is_stopped_after_a_move() {
    let fleet = Fleet::start(1);
    let first = fleet.engine("e1", 150, Duration::from_millis(20));
    first.set_deaf(true);
    fleet.configure();
    let caller = fleet.start_draft("d1");
    let _second = fleet.engine("e2", 150, Duration::from_millis(20));
    first.leave(LONG);
    until("the generation has moved", || fleet.ledger.moves() == 1);
    thread::sleep(Duration::from_millis(400));
    assert_eq!(fleet.ledger.working("d1"), 1);
    let outcome = caller.join().expect("the caller ends");
    assert!(outcome.whole);
    assert_eq!(outcome.events(), (1..=150).collect::<Vec<_>>());
}

#[test]
fn a_departure_that_the_store_does_not_tell_is_learned_from_the_upstream() {
    let fleet = Fleet::start(1);
    let first = fleet.engine("e1", 200, Duration::from_millis(20));
    fleet.configure();
    let caller = fleet.start_draft("d1");
    let _second = fleet.engine("e2", 200, Duration::from_millis(20));
    thread::sleep(Duration::from_millis(300));
    fleet.gateways[0].way.set_outage(Some(Outage::Busy));
    thread::sleep(Duration::from_secs(1));
    first.leave_unannounced();
    until("the generation has moved", || fleet.ledger.moves() == 1);
    let outcome = caller.join().expect("the caller ends");
    assert_eq!(outcome.events(), (1..=200).collect::<Vec<_>>());
    assert_eq!(fleet.ledger.runs("d1"), 1);
}

/// Found on tandyr-enrol-grown, inc-2b73: engines left just after the store went silent. Instances that do not watch
/// it noticed that news did not come only after calls of their own had failed, and their drafts were cut.
#[test]
fn a_departure_just_after_the_store_went_silent_is_learned_in_time() {
    let fleet = Fleet::start(4);
    let first = fleet.engine("e1", 200, Duration::from_millis(20));
    fleet.configure();
    thread::sleep(Duration::from_secs(3));
    let rests = fleet.gateways.iter().position(|gateway| !gateway.watches());
    let caller = fleet.start_draft_at(rests.expect("two watch"), "d1");
    let _second = fleet.engine("e2", 200, Duration::from_millis(20));
    thread::sleep(Duration::from_millis(300));
    for gateway in &fleet.gateways {
        gateway.way.set_outage(Some(Outage::Silent));
    }
    first.leave_unannounced();
    thread::sleep(Duration::from_millis(2_500));
    first.kill();
    let outcome = caller.join().expect("the caller ends");
    assert!(outcome.whole, "{:?}", outcome.events().last());
    assert_eq!(outcome.events(), (1..=200).collect::<Vec<_>>());
}
