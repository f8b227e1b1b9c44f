//! Moves of generations whose targets do not answer in order: no two upstreams go on with one generation, and its client
//! gets the whole stream.

mod fleet;

use std::{
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use carob_platform_standin::{
    AnswerMode, Cut, Link, Upstream,
    client::Outcome,
    config::{self, Route},
};
use fleet::{CLIENT_KEY, Fleet, LONG, wait_until};

/// Interval between two events.
const INTERVAL: Duration = Duration::from_millis(20);

/// Events of a generation; it takes four seconds and more.
const EVENTS: u64 = 200;

/// Time for which two upstreams may work on one generation.
const OVERLAP: Duration = Duration::from_millis(400);

/// A generation at an engine that leaves, and the engine that it moves to.
struct Move {
    fleet: Fleet,
    source: Upstream,
    target: Upstream,
    client: JoinHandle<Outcome>,
}

impl Move {
    /// Starts a generation at the first of `gateways`, and a target that goes on with what it runs when a connection closes.
    fn start(gateways: usize, framed: bool) -> Self {
        let fleet = Fleet::start(gateways);
        let source = fleet.start_engine("source", EVENTS, INTERVAL);
        source.set_chunked(framed);
        let route = Route::new("/draft/", "streaming", "engines").with_timeout(LONG.as_millis() as u64);
        fleet
            .store
            .put(config::KEY, &config::config(1, &[route], &[CLIENT_KEY]));
        fleet.wait_ready();
        let client = fleet.start_generation(0, "m1");
        let target = fleet.start_engine("target", EVENTS, INTERVAL);
        target.set_chunked(framed);
        target.set_ignores_close(true);
        wait_until("the gateway knows the target", || {
            fleet.gateways[0].logged("\"directory entry\",\"upstream\":\"target\"")
        });
        Self {
            fleet,
            source,
            target,
            client,
        }
    }

    /// Waits until the target has the request.
    fn wait_request(&self) {
        wait_until("the target has the request", || {
            let arrivals = self.fleet.ledger.arrivals();
            let mut moved = arrivals.iter().filter(|arrival| arrival.upstream == "target");
            moved.any(|arrival| arrival.id == "m1")
        });
    }

    /// Watches until the client has its stream, and calls `step` meanwhile with the time since now. Returns the longest time
    /// for which more than one upstream worked on the generation while `is_reached` by `step`.
    fn watch(self, mut step: impl FnMut(&Upstream, Duration) -> bool) -> (Fleet, Outcome, Duration) {
        let start = Instant::now();
        let mut both_since: Option<Instant> = None;
        let mut longest = Duration::ZERO;
        while !self.client.is_finished() {
            let is_reached = step(&self.target, start.elapsed());
            if is_reached && self.fleet.ledger.running_engines("m1") > 1 {
                longest = longest.max(both_since.get_or_insert_with(Instant::now).elapsed());
            } else {
                both_since = None;
            }
            thread::sleep(Duration::from_millis(2));
        }
        let outcome = self.client.join().expect("no client panics");
        (self.fleet, outcome, longest)
    }
}

/// The stream is whole, and the generation was started once.
fn expect_whole(fleet: &Fleet, outcome: &Outcome) {
    assert_eq!((outcome.status, outcome.complete), (200, true));
    assert_eq!(outcome.events(), (1..=EVENTS).collect::<Vec<_>>());
    assert_eq!(fleet.ledger.run_count("m1"), 1, "the generation starts once");
}

/// Two upstreams worked on a generation for seconds: its target was silent for a moment and then did what it was asked.
#[test]
fn a_target_that_is_silent_for_a_second_runs_a_generation_beside_its_source() {
    for framed in [true, false] {
        let moved = Move::start(1, framed);
        moved.target.set_link(Link::Silent);
        moved.source.leave(LONG);
        let (fleet, outcome, longest) = moved.watch(|target, elapsed| {
            if elapsed > Duration::from_millis(1_100) {
                target.set_link(Link::Open);
            }
            true
        });
        assert!(longest < OVERLAP, "both ran for {longest:?}");
        expect_whole(&fleet, &outcome);
    }
}

/// The source went on beside its target where no upstream had room for its memory, so that the call to stop it was refused.
#[test]
fn a_source_whose_memory_has_no_room_anywhere_goes_on_beside_its_target() {
    let moved = Move::start(1, true);
    moved.source.set_refuses_stops(true);
    moved.target.set_link(Link::Silent);
    moved.source.leave(LONG);
    let (fleet, outcome, longest) = moved.watch(|target, elapsed| {
        if elapsed > Duration::from_millis(1_100) {
            target.set_link(Link::Open);
        }
        true
    });
    assert!(longest < OVERLAP, "both ran for {longest:?}");
    expect_whole(&fleet, &outcome);
}

/// Two upstreams worked on a generation for as long as it took, since the target got the request and was cut off with it.
#[test]
fn a_target_that_is_cut_off_with_the_request_runs_a_generation_beside_its_source() {
    for cut in [Duration::from_millis(500), Duration::from_millis(2_500)] {
        let moved = Move::start(1, true);
        moved.target.set_link(Link::OneWay);
        moved.source.leave(LONG);
        moved.wait_request();
        moved.target.set_link(Link::Silent);
        let (fleet, outcome, longest) = moved.watch(|target, elapsed| {
            let is_over = elapsed > cut;
            if is_over {
                target.set_link(Link::Open);
            }
            is_over
        });
        assert!(
            longest < OVERLAP,
            "both ran for {longest:?} after a cut of {cut:?}"
        );
        expect_whole(&fleet, &outcome);
    }
}

/// A client lost its stream when the source ended: the copy at the target counted as unused, although the target that had
/// been cut off with the request had used it.
#[test]
fn a_copy_that_a_cut_off_target_has_used_is_used_again() {
    let moved = Move::start(1, true);
    let _spare = moved.fleet.start_engine("spare", EVENTS, INTERVAL);
    wait_until("the gateway knows the third engine", || {
        moved.fleet.gateways[0].logged("\"directory entry\",\"upstream\":\"spare\"")
    });
    moved.target.set_link(Link::OneWay);
    moved.source.leave(Duration::from_millis(2_500));
    let (fleet, outcome, longest) = moved.watch(|target, elapsed| {
        let is_over = elapsed > Duration::from_millis(1_500);
        if is_over {
            target.set_link(Link::Open);
        }
        is_over
    });
    assert!(longest < OVERLAP, "both ran for {longest:?}");
    expect_whole(&fleet, &outcome);
}

/// The source was left alone with a generation whose target had begun it and then broke off without a sign that it ended.
#[test]
fn a_target_that_breaks_off_before_its_first_event_takes_the_stream_with_it() {
    for mode in [
        AnswerMode::Reset,
        AnswerMode::BrokenOff(Cut::NoEvent),
        AnswerMode::Failure,
        AnswerMode::Foreign,
    ] {
        let moved = Move::start(1, true);
        moved.target.set_answer_mode(mode);
        moved.source.leave(LONG);
        let (fleet, outcome, longest) = moved.watch(|_, _| true);
        assert!(longest < OVERLAP, "{mode:?}: both ran for {longest:?}");
        expect_whole(&fleet, &outcome);
    }
}

/// A target that never comes back must not take the stream with it.
#[test]
fn a_target_that_stays_silent_takes_the_stream_with_it() {
    for has_spare in [false, true] {
        let moved = Move::start(1, true);
        let spare = has_spare.then(|| moved.fleet.start_engine("spare", EVENTS, INTERVAL));
        thread::sleep(Duration::from_millis(200));
        moved.target.set_link(Link::Silent);
        moved.source.leave(LONG);
        let (fleet, outcome, longest) = moved.watch(|_, _| true);
        assert!(longest < OVERLAP, "both ran for {longest:?}");
        expect_whole(&fleet, &outcome);
        drop(spare);
    }
}

/// A target got the request and was cut off from the gateway alone: nothing but a call through another gateway could end its
/// run, which went on beside the source's.
#[test]
fn a_target_that_only_another_gateway_reaches_runs_a_generation_beside_its_source() {
    let moved = Move::start(2, true);
    let own = moved.fleet.gateways[0].peer_address.ip();
    moved.target.set_source_links(&[(own, Link::OneWay)]);
    moved.source.leave(LONG);
    moved.wait_request();
    moved.target.set_source_links(&[(own, Link::Silent)]);
    let (fleet, outcome, longest) = moved.watch(|_, _| true);
    assert!(longest < OVERLAP, "both ran for {longest:?}");
    expect_whole(&fleet, &outcome);
    assert_eq!(
        fleet.ledger.running_engines("m1"),
        0,
        "the run of the target was stopped"
    );
}

/// The second move of a generation whose targets are silent for a second each time.
#[test]
fn a_second_move_leaves_a_run_behind() {
    const SILENCE: Duration = Duration::from_millis(1_100);
    let moved = Move::start(1, true);
    let spare = moved.fleet.start_engine("spare", EVENTS, INTERVAL);
    spare.set_ignores_close(true);
    wait_until("the gateway knows the third engine", || {
        moved.fleet.gateways[0].logged("\"directory entry\",\"upstream\":\"spare\"")
    });
    let ledger = moved.fleet.ledger.clone();
    moved.target.set_link(Link::Silent);
    spare.set_link(Link::Silent);
    moved.source.leave(LONG);
    let mut second: Option<(Upstream, Duration)> = None;
    let (fleet, outcome, longest) = moved.watch(|target, elapsed| {
        match &second {
            None if elapsed > SILENCE => {
                target.set_link(Link::Open);
                spare.set_link(Link::Open);
                let arrivals = ledger.arrivals();
                let last = arrivals.iter().rfind(|arrival| arrival.id == "m1");
                let (from, to) = match last.map(|arrival| &*arrival.upstream) {
                    Some("target") => (target, &spare),
                    Some("spare") => (&spare, target),
                    _ => return true,
                };
                if ledger.running_engines("m1") == 1 {
                    to.set_link(Link::Silent);
                    from.leave(LONG);
                    second = Some((to.clone(), elapsed));
                }
            }
            Some((to, since)) if elapsed > *since + SILENCE => to.set_link(Link::Open),
            None | Some(_) => {}
        }
        true
    });
    assert!(longest < OVERLAP, "both ran for {longest:?}");
    expect_whole(&fleet, &outcome);
    let arrivals = fleet.ledger.arrivals();
    let mut places: Vec<&str> = arrivals
        .iter()
        .filter(|arrival| arrival.id == "m1")
        .map(|arrival| &*arrival.upstream)
        .collect();
    places.dedup();
    assert_eq!(places.len(), 3, "{places:?}");
}
