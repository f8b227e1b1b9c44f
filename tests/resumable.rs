//! Streams of routes whose streams may be run again from an event on, for clients that come back and for upstreams that
//! break off.

mod fleet;

use std::{
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    AnswerMode, Cut, Link, Stall, Upstream,
    client::{self, Outcome, Request},
    config::{self, Route},
};
use fleet::{CLIENT_KEY, Fleet, generation_request, request, wait_until};

const EVENTS: u64 = 20;

/// Interval between two events of a stream that ends soon, and of one that is interrupted.
const SHORT: Duration = Duration::from_millis(5);
const INTERVAL: Duration = Duration::from_millis(50);

/// Streams after which one has come to each of two upstreams, but for one case in 2^39.
const MAX_DRAWS: usize = 40;

/// Time within which an upstream's work for a client that has gone is to end.
const GONE: Duration = Duration::from_millis(500);

/// Route whose streams may be run again from an event on, at two upstreams at most.
const RESUMABLE: Route = Route::new("/answer/", "streaming", "engines")
    .with_max_attempts(2)
    .with_resumable();

/// The same at one upstream at most.
const ONCE: Route = Route::new("/once/", "streaming", "engines").with_resumable();

/// Starts `gateways` gateways before `engines` engines whose streams have [`EVENTS`] events.
fn start(gateways: usize, engines: usize, interval: Duration) -> (Fleet, Vec<Upstream>) {
    let fleet = Fleet::start(gateways);
    let engines = (0..engines)
        .map(|number| fleet.start_engine(&format!("e{number}"), EVENTS, interval))
        .collect();
    let mut routes = fleet::ROUTES.to_vec();
    routes.extend([RESUMABLE, ONCE]);
    let content = config::config(1, &routes, &[CLIENT_KEY]);
    fleet.store.put(config::KEY, &content);
    fleet.wait_ready();
    fleet.start_plain("p0", SHORT);
    (fleet, engines)
}

fn answer_request(id: &str) -> Request {
    let mut request = generation_request(id);
    "/answer/x".clone_into(&mut request.path);
    request
}

/// The request of a client that has all events up to `last`.
fn resumed_request(id: &str, last: &dyn ToString) -> Request {
    answer_request(id).with_header("Last-Event-Id", &last.to_string())
}

fn expect_events(outcome: &Outcome, from: u64, what: &str) {
    assert_eq!((outcome.status, outcome.complete), (200, true), "{what}");
    assert_eq!(outcome.events(), (from..=EVENTS).collect::<Vec<_>>(), "{what}");
}

/// Checks that all events were made for the request `id`, and that the head is that of `upstream`.
fn expect_origin(outcome: &Outcome, id: &str, what: &str) {
    let text = String::from_utf8_lossy(&outcome.body);
    let data: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    let expected: Vec<String> = outcome
        .events()
        .iter()
        .map(|event| format!("{id}:{event}"))
        .collect();
    assert_eq!(data, expected, "{what}");
    assert_eq!(outcome.id.as_deref(), Some(id), "{what}");
}

/// Permits `gateway` to send `repeats` requests again.
fn earn(fleet: &Fleet, gateway: usize, repeats: u32) {
    for number in 0..repeats * 5 {
        let id = format!("earn-{gateway}-{number}");
        assert_eq!(
            fleet.send(gateway, &answer_request(&id).with_events(1)).status,
            200
        );
    }
}

fn last_events(fleet: &Fleet, id: &str) -> Vec<Option<u64>> {
    let started = fleet.ledger.started();
    let found = started.iter().filter(|request| request.id == id);
    found.map(|request| request.last_event).collect()
}

#[test]
fn a_client_that_comes_back_to_another_gateway_gets_events_twice() {
    let (fleet, _engines) = start(2, 1, SHORT);
    let first = client::open(fleet.gateways[0].caller_address, &answer_request("a1"));
    drop(first);
    for last in [1, 7, EVENTS - 1] {
        let id = format!("b{last}");
        let outcome = fleet.send(1, &resumed_request(&id, &last));
        expect_events(&outcome, last + 1, &id);
        expect_origin(&outcome, &id, &id);
        assert_eq!(last_events(&fleet, &id), [Some(last)], "{id}");
    }
    let outcome = fleet.send(1, &resumed_request("none", &""));
    expect_events(&outcome, 1, "an empty id names no event");
}

#[test]
fn an_upstream_that_sends_earlier_events_once_more_is_passed_on() {
    let (fleet, engines) = start(1, 1, SHORT);
    for (number, shift) in [-1, -5, -100].into_iter().enumerate() {
        engines[0].set_resume_shift(shift);
        for chunked in [true, false] {
            engines[0].set_chunked(chunked);
            let id = format!("c{number}-{chunked}");
            let outcome = fleet.send(0, &resumed_request(&id, &9));
            expect_events(&outcome, 10, &id);
            expect_origin(&outcome, &id, &id);
        }
    }
}

#[test]
fn an_id_beyond_the_end_or_of_another_request_brings_events_twice() {
    let (fleet, engines) = start(1, 1, SHORT);
    for (number, last) in [EVENTS, EVENTS + 1, 1 << 40, u64::MAX].into_iter().enumerate() {
        for shift in [0, -1_000_000] {
            engines[0].set_resume_shift(shift);
            let id = format!("d{number}{shift}");
            let outcome = fleet.send(0, &resumed_request(&id, &last));
            assert_eq!((outcome.status, outcome.complete), (200, true), "{last}");
            assert_eq!(outcome.events(), Vec::<u64>::new(), "{last}");
        }
    }
}

#[test]
fn a_malformed_id_is_taken_for_the_start() {
    let (fleet, _engines) = start(1, 1, SHORT);
    let bad = [
        "x",
        "-1",
        "+1",
        "1.5",
        "0x10",
        "1 2",
        "18446744073709551616",
        "99999999999999999999999999",
        "1,2",
        "\u{e9}",
    ];
    for (number, last) in bad.into_iter().enumerate() {
        let id = format!("f{number}");
        let outcome = fleet.send(0, &resumed_request(&id, &last));
        assert_eq!(outcome.status, 400, "{last:?}");
        let body = String::from_utf8_lossy(&outcome.body);
        assert!(body.contains("id of the last event"), "{last:?}: {body}");
        assert!(!outcome.from_upstream, "{last:?}");
        assert_eq!(fleet.ledger.run_count(&id), 0, "{last:?}");
    }
    let twice = resumed_request("twice", &3).with_header("Last-Event-Id", "4");
    assert_eq!(fleet.send(0, &twice).status, 400);
    wait_until("the reason is logged", || {
        fleet.gateways[0].logged("as the id of the last event")
    });
}

/// Their streams run once at most; a client's id says nothing of what a new run would generate.
#[test]
fn other_routes_obey_a_clients_id() {
    let (fleet, _engines) = start(1, 1, SHORT);
    for (number, last) in ["7", "x"].into_iter().enumerate() {
        let id = format!("g{number}");
        let draft = generation_request(&id).with_header("Last-Event-Id", last);
        expect_events(&fleet.send(0, &draft), 1, last);
        assert_eq!(last_events(&fleet, &id), [None], "{last}");
    }
    wait_until("it is logged", || {
        fleet.gateways[0].logged("last event not obeyed")
    });
    let order = request("g2", "POST", "/order/1").with_header("Last-Event-Id", "x");
    assert_eq!(fleet.send(0, &order).status, 200);
}

/// The client has a part of the answer, and another upstream makes the rest.
#[test]
fn a_stream_that_breaks_off_is_cut() {
    for cut in [
        Cut::InLine,
        Cut::AfterId,
        Cut::AfterLine,
        Cut::InLineEnd,
        Cut::NoEvent,
    ] {
        for chunked in [true, false] {
            let (fleet, engines) = start(1, 2, SHORT);
            earn(&fleet, 0, 4);
            for engine in &engines {
                engine.set_chunked(chunked);
            }
            engines[0].set_answer_mode(AnswerMode::BrokenOff(cut));
            for number in 0..4 {
                let (id, what) = (
                    format!("h{number}"),
                    format!("{cut:?}, chunks {chunked}, {number}"),
                );
                let outcome = fleet.send(0, &answer_request(&id));
                expect_events(&outcome, 1, &what);
                expect_origin(&outcome, &id, &what);
                assert!(fleet.ledger.run_count(&id) <= 2, "{what}");
            }
        }
    }
}

/// The first upstream starts later than it is told, so that events are missing in what it sends.
#[test]
fn an_upstream_that_leaves_events_out_is_passed_on() {
    let (fleet, engines) = start(1, 2, SHORT);
    earn(&fleet, 0, 4);
    engines[0].set_answer_mode(AnswerMode::BrokenOff(Cut::InLine));
    engines[1].set_resume_shift(3);
    let mut broken = 0;
    // The gateway draws among equal upstreams.
    for number in 0..MAX_DRAWS {
        if number >= 4 && broken > 0 {
            break;
        }
        let id = format!("i{number}");
        let outcome = fleet.send(0, &answer_request(&id));
        let events = outcome.events();
        let whole: Vec<u64> = (1..=events.len() as u64).collect();
        assert_eq!((outcome.status, &events), (200, &whole), "{id}");
        assert_eq!(outcome.complete, events.len() as u64 == EVENTS, "{id}");
        broken += u32::from(!outcome.complete);
    }
    assert!(broken > 0, "no stream came to the upstream that breaks off");
    wait_until("the reason is logged", || {
        fleet.gateways[0].logged("left out events")
    });
}

#[test]
fn a_stream_that_is_lost_before_its_first_event_is_not_sent_again() {
    for mode in [
        AnswerMode::Reset,
        AnswerMode::Failure,
        AnswerMode::CutHead(30),
        AnswerMode::Foreign,
    ] {
        let (fleet, engines) = start(1, 2, SHORT);
        earn(&fleet, 0, 4);
        engines[0].set_answer_mode(mode);
        for number in 0..4 {
            let id = format!("j{number}");
            expect_events(&fleet.send(0, &answer_request(&id)), 1, &format!("{mode:?}"));
        }
    }
}

/// A client may bear a pause of four times the target latency, here four seconds.
#[test]
fn a_stream_that_stalls_stays_with_its_upstream() {
    for comments in [false, true] {
        let (fleet, engines) = start(1, 2, SHORT);
        earn(&fleet, 0, 4);
        let after = 5;
        engines[0].set_answer_mode(AnswerMode::Stalled(Stall { after, comments }));
        for number in 0..2 {
            let id = format!("k{number}");
            let outcome = fleet.send(0, &answer_request(&id));
            expect_events(&outcome, 1, &format!("comments {comments}"));
            assert!(
                outcome.max_pause < 4_000,
                "comments {comments}: {} ms",
                outcome.max_pause
            );
            wait_until("the stalled run ends", || fleet.ledger.running_engines(&id) == 0);
        }
    }
}

/// All events come half a second apart, which is far more than usual.
#[test]
fn a_slow_but_sound_stream_runs_twice() {
    let (fleet, _engines) = start(1, 2, Duration::from_millis(500));
    earn(&fleet, 0, 2);
    let outcome = fleet.send(0, &answer_request("s1").with_events(8));
    assert_eq!(outcome.events(), (1..=8).collect::<Vec<_>>());
    assert!(outcome.complete);
    assert_eq!(fleet.ledger.run_count("s1"), 1);
}

/// Its events come further apart than half of the pause that clients bear, and no repeat is permitted yet.
#[test]
fn a_slow_stream_is_cut_while_the_budget_is_spent() {
    let (fleet, _engines) = start(1, 2, Duration::from_millis(2_300));
    let outcome = fleet.send(0, &answer_request("v1").with_events(2));
    assert_eq!(outcome.events(), [1, 2]);
    assert!(outcome.complete);
    assert_eq!(fleet.ledger.run_count("v1"), 1);
}

/// A route that permits one upstream gets no second one, and its client is told that the stream is not whole.
#[test]
fn a_stream_runs_at_more_upstreams_than_its_route_permits() {
    let (fleet, engines) = start(1, 2, SHORT);
    earn(&fleet, 0, 4);
    for engine in &engines {
        engine.set_answer_mode(AnswerMode::BrokenOff(Cut::InLine));
    }
    for (path, runs) in [("/once/x", 1), ("/answer/x", 2)] {
        let mut broken = answer_request(path);
        broken.path = path.to_owned();
        let outcome = fleet.send(0, &broken);
        assert_eq!((outcome.status, outcome.complete), (200, false), "{path}");
        let events = outcome.events();
        assert_eq!(events, (1..=events.len() as u64).collect::<Vec<_>>(), "{path}");
        assert_eq!(fleet.ledger.run_count(path), runs, "{path}");
    }
}

#[test]
fn a_stream_runs_again_although_the_budget_is_spent() {
    let (fleet, engines) = start(1, 2, SHORT);
    for engine in &engines {
        engine.set_answer_mode(AnswerMode::BrokenOff(Cut::InLine));
    }
    let outcomes: Vec<Outcome> = (0..40)
        .map(|number| fleet.send(0, &answer_request(&format!("l{number}"))))
        .collect();
    assert!(outcomes.iter().all(|outcome| !outcome.complete));
    let repeats = (0..40)
        .filter(|number| fleet.ledger.run_count(&format!("l{number}")) > 1)
        .count();
    // Its share of the extra repeats is 54 / 12.5, and 40 requests earn eight.
    assert!(repeats <= 13, "{repeats} of 40 streams ran again");
    wait_until("the denial is logged", || {
        fleet.gateways[0].logged("no retry: the budget is spent")
    });
}

/// Its events come from the upstream with or without a copy of the memory, and none twice.
#[test]
fn a_resumed_stream_that_moves_gets_events_twice() {
    let (fleet, mut engines) = start(2, 1, INTERVAL);
    let address = fleet.gateways[1].caller_address;
    for (number, rejects) in [false, true].into_iter().enumerate() {
        let id = format!("m{number}");
        let resumed = resumed_request(&id, &4);
        let client = thread::spawn(move || client::send(address, &resumed));
        wait_until("the generation runs", || fleet.ledger.run_count(&id) == 1);
        thread::sleep(INTERVAL * 4);
        let source = engines.pop().expect("there is one");
        source.set_rejects_copies(rejects);
        engines.push(fleet.start_engine(&format!("t{number}"), EVENTS, INTERVAL));
        earn(&fleet, 1, 2);
        source.leave(Duration::from_millis(400));
        let outcome = client.join().expect("the client ends");
        expect_events(&outcome, 5, &id);
        expect_origin(&outcome, &id, &id);
    }
}

/// The client gives up one stream and asks another gateway for the rest of it.
#[test]
fn a_stream_that_is_resumed_twice_at_once_stays_in_work() {
    let (fleet, _engines) = start(2, 2, INTERVAL);
    let first = client::open(fleet.gateways[0].caller_address, &answer_request("n0"));
    wait_until("the generation runs", || fleet.ledger.run_count("n0") == 1);
    thread::sleep(INTERVAL * 5);
    let outcomes: Vec<_> = (1..=2)
        .map(|gateway| {
            let address = fleet.gateways[gateway - 1].caller_address;
            let resumed = resumed_request(&format!("n{gateway}"), &3);
            thread::spawn(move || client::send(address, &resumed))
        })
        .collect();
    drop(first);
    let closed = Instant::now();
    wait_until("the first run ends", || fleet.ledger.was_dropped("n0"));
    assert!(closed.elapsed() < GONE, "{:?}", closed.elapsed());
    for (number, client) in outcomes.into_iter().enumerate() {
        let id = format!("n{}", number + 1);
        let outcome = client.join().expect("the client ends");
        expect_events(&outcome, 4, &id);
        expect_origin(&outcome, &id, &id);
    }
}

/// The gateway reaches no engine itself.
#[test]
fn a_stream_that_is_resumed_through_another_gateway_gets_events_twice() {
    let (fleet, engines) = start(2, 2, SHORT);
    earn(&fleet, 0, 4);
    let source = fleet.gateways[0].peer_address.ip();
    for engine in &engines {
        engine.set_source_links(&[(source, Link::Reset)]);
    }
    wait_until("the other gateway relays", || {
        let id = format!("w{}", fleet.ledger.arrivals().len());
        fleet.send(0, &answer_request(&id).with_events(1)).complete
    });
    let outcome = fleet.send(0, &resumed_request("r1", &6));
    expect_events(&outcome, 7, "through another gateway");
    engines[0].set_answer_mode(AnswerMode::BrokenOff(Cut::InLine));
    for number in 0..4 {
        let id = format!("r2{number}");
        let outcome = fleet.send(0, &answer_request(&id));
        expect_events(&outcome, 1, &id);
        expect_origin(&outcome, &id, &id);
    }
}

/// What was accepted goes on elsewhere while the gateway shuts down.
#[test]
fn a_stream_that_breaks_off_in_a_planned_stop_is_cut() {
    let (fleet, engines) = start(1, 2, INTERVAL);
    earn(&fleet, 0, 4);
    let address = fleet.gateways[0].caller_address;
    engines[0].set_answer_mode(AnswerMode::BrokenOff(Cut::InLine));
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let request = answer_request(&format!("q{number}"));
            thread::spawn(move || client::send(address, &request))
        })
        .collect();
    wait_until("the streams run", || {
        (0..4).all(|number| fleet.ledger.run_count(&format!("q{number}")) == 1)
    });
    fleet.gateways[0].signal("TERM");
    for (number, client) in clients.into_iter().enumerate() {
        let id = format!("q{number}");
        let outcome = client.join().expect("the client ends");
        expect_events(&outcome, 1, &id);
        expect_origin(&outcome, &id, &id);
    }
}

/// A resumed stream waits for a place like any request, and its client may leave meanwhile.
#[test]
fn work_for_a_client_that_left_before_the_first_event_goes_on() {
    let (fleet, engines) = start(1, 2, SHORT);
    earn(&fleet, 0, 2);
    let stall = Stall {
        after: 0,
        comments: false,
    };
    for engine in &engines {
        engine.set_answer_mode(AnswerMode::Stalled(stall));
    }
    let client = client::open(fleet.gateways[0].caller_address, &resumed_request("u1", &2));
    wait_until("it runs", || fleet.ledger.run_count("u1") == 1);
    drop(client);
    let closed = Instant::now();
    wait_until("the run ends", || fleet.ledger.was_dropped("u1"));
    assert!(closed.elapsed() < GONE, "{:?}", closed.elapsed());
    thread::sleep(GONE);
    assert_eq!(fleet.ledger.running_engines("u1"), 0);
}
