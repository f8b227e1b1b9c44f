//! Generations whose upstream leaves or ends: what their callers see.

mod fleet;

use std::{
    thread::{self, JoinHandle},
    time::Duration,
};

use carob_platform_standin::{AnswerMode, Outage, Upstream, client::Outcome};
use fleet::{Fleet, LONG, until};

/// Time of an event; generations of 150 take three seconds and more.
const EVENT: Duration = Duration::from_millis(20);

/// Notice of an upstream that leaves.
const NOTICE: Duration = Duration::from_millis(1_600);

/// A generation at the first of two engines.
struct Draft {
    fleet: Fleet,
    first: Upstream,
    second: Upstream,
    caller: JoinHandle<Outcome>,
    events: u64,
}

impl Draft {
    /// Starts a generation of `events` events, at an engine that `prepare` has set up.
    fn start(events: u64, prepare: impl Fn(&Upstream)) -> Self {
        let fleet = Fleet::start(1);
        let first = fleet.engine("e1", events, EVENT);
        prepare(&first);
        fleet.configure();
        Self::start_at(fleet, 0, first, events)
    }

    fn start_at(fleet: Fleet, gateway: usize, first: Upstream, events: u64) -> Self {
        let caller = fleet.start_draft_at(gateway, "d1");
        let second = fleet.engine("e2", events, EVENT);
        thread::sleep(Duration::from_millis(300));
        Self {
            fleet,
            first,
            second,
            caller,
            events,
        }
    }

    /// Waits for the end, which must be whole, of one run, after `moves` moves.
    fn close_whole(self, moves: u64) -> Fleet {
        let outcome = self.caller.join().expect("the caller ends");
        let last = outcome.events().last().copied();
        assert_eq!(
            (outcome.status, outcome.complete, last),
            (200, true, Some(self.events))
        );
        assert_eq!(outcome.events(), (1..=self.events).collect::<Vec<_>>());
        assert_eq!(self.fleet.ledger.run_count("d1"), 1, "it is one run");
        assert_eq!(self.fleet.ledger.migrations(), moves);
        self.fleet
    }
}

#[test]
fn a_generation_moves_off_an_upstream_that_leaves_without_loss() {
    let draft = Draft::start(150, |_| {});
    draft.first.leave(NOTICE);
    draft.close_whole(1);
}

#[test]
fn a_generation_moves_when_its_upstream_ends_after_half_a_second() {
    let draft = Draft::start(150, |_| {});
    draft.first.leave(Duration::from_millis(500));
    draft.close_whole(1);
}

#[test]
fn a_generation_that_cannot_move_goes_on_where_it_is() {
    let draft = Draft::start(100, |first| first.set_rejects_copies(true));
    draft.first.leave(LONG);
    draft.close_whole(0);
}

/// Found on saarela-tukku, mix with seed 701360881773: a copy met a generation that had just ended, and the whole
/// stream was taken for a stopped one.
#[test]
fn a_generation_that_ends_before_its_copy_is_whole() {
    for framed in [true, false] {
        let draft = Draft::start(120, |first| {
            first.set_chunked(framed);
            first.set_reports_ended(true);
        });
        draft.first.leave(LONG);
        let fleet = draft.close_whole(0);
        assert!(fleet.gateways[0].logged("the source runs no such generation"));
    }
}

#[test]
fn a_generation_that_ends_during_its_move_is_whole() {
    for framed in [true, false] {
        let draft = Draft::start(120, |first| first.set_chunked(framed));
        // It takes the generation and says nothing, until the first one is through.
        draft.second.set_answer_mode(AnswerMode::Silence);
        thread::sleep(Duration::from_millis(500));
        draft.first.leave(LONG);
        draft.close_whole(1);
    }
}

#[test]
fn a_copy_that_its_upstream_rejected_at_first_is_used_when_the_source_ends() {
    let draft = Draft::start(150, |_| {});
    draft.second.set_answer_mode(AnswerMode::Rejection);
    draft.first.leave(NOTICE);
    until("it was rejected", || {
        draft.fleet.gateways[0].logged("generation could not continue elsewhere")
    });
    draft.second.set_answer_mode(AnswerMode::Normal);
    draft.close_whole(1);
}

/// Found on saarela-tukku-grown, scale-1: the second copy waited on the link until the source ended, and the first
/// one was not used.
#[test]
fn the_first_copy_is_used_when_the_source_ends_during_the_second() {
    let draft = Draft::start(150, |first| first.set_copy_delay(LONG));
    draft.first.leave(NOTICE);
    draft.close_whole(1);
}

/// Most engines drop a generation when its connection closes; one that does not must not work on it while another
/// does.
#[test]
fn an_engine_that_ignores_closed_connections_is_stopped_after_a_move() {
    let draft = Draft::start(150, |first| first.set_ignores_close(true));
    draft.first.leave(LONG);
    until("the generation has moved", || {
        draft.fleet.ledger.migrations() == 1
    });
    thread::sleep(Duration::from_millis(400));
    assert_eq!(draft.fleet.ledger.running_engines("d1"), 1);
    draft.close_whole(1);
}

#[test]
fn a_departure_that_the_store_does_not_tell_is_learned_from_the_upstream() {
    let draft = Draft::start(200, |_| {});
    draft.fleet.gateways[0].way.set_outage(Some(Outage::Busy));
    thread::sleep(Duration::from_secs(1));
    draft.first.leave_unannounced();
    until("the generation has moved", || {
        draft.fleet.ledger.migrations() == 1
    });
    draft.close_whole(1);
}

/// Found on tandyr-enrol-grown, inc-2b73: engines left just after the store went silent. Instances that do not watch
/// it noticed that news did not come only after calls of their own had failed, and their drafts were cut.
#[test]
fn a_departure_just_after_the_store_went_silent_is_learned_in_time() {
    let fleet = Fleet::start(4);
    let first = fleet.engine("e1", 200, EVENT);
    fleet.configure();
    thread::sleep(Duration::from_secs(3));
    let rests = fleet.gateways.iter().position(|gateway| !gateway.watches());
    let draft = Draft::start_at(fleet, rests.expect("two watch"), first, 200);
    for gateway in &draft.fleet.gateways {
        gateway.way.set_outage(Some(Outage::Silent));
    }
    draft.first.leave_unannounced();
    thread::sleep(Duration::from_millis(2_500));
    draft.first.kill();
    draft.close_whole(1);
}
