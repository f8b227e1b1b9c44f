//! Gateways that shut down while work is under way: what the process still has to do before it exits.

mod fleet;

use std::time::{Duration, Instant};

use carob_platform_standin::client;
use fleet::{Fleet, Gateway, LONG, generation_request, request, wait_until};

const SHORT: Duration = Duration::from_millis(10);

/// Time after SIGTERM at which a gateway without any work has exited.
const PAST_EXIT: Duration = Duration::from_millis(3_500);

/// Size of an answer that the gateway reads completely before it passes it on, in bytes. A narrow connection
/// does not hold it.
const BUFFERED_ANSWER: usize = 250_000;

/// Size of an answer that the gateway passes on as it arrives, in bytes.
const LONG_ANSWER: usize = 800_000;

/// Puts a grace into force that differs from the present one.
fn set_grace(gateway: &Gateway, grace: &str) {
    let reloads = || {
        let lines = gateway.log_lines();
        lines
            .iter()
            .filter(|line| line.contains("settings reloaded"))
            .count()
    };
    let before = reloads();
    gateway.write_settings(&[], grace);
    gateway.signal("HUP");
    wait_until("the grace is in force", || reloads() > before);
}

/// A plain answer counts as passed on when its head is, and its body may still wait in the gateway.
#[test]
fn a_plain_answer_that_a_slow_client_still_reads_is_not_cut_off() {
    let mut fleet = Fleet::start(1);
    let plain = fleet.start_plain("p1", SHORT);
    plain.set_answer_bytes(BUFFERED_ANSWER);
    fleet.configure();
    let order = request("o1", "POST", "/order/1");
    let mut client =
        client::open_narrow(fleet.gateways[0].caller_address, &order).expect("the gateway listens");
    wait_until("the answer is passed on", || {
        fleet.gateways[0].logged("answer passed on")
    });
    fleet.gateways[0].signal("TERM");
    let outcome = client::read_slowly(&mut client, Instant::now() + PAST_EXIT, Instant::now() + LONG);
    assert_eq!(
        (outcome.status, outcome.complete, outcome.body.len()),
        (200, true, BUFFERED_ANSWER)
    );
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// A long answer is passed on by a task of its own.
#[test]
fn a_long_answer_that_its_upstream_still_sends_is_not_cut_off() {
    let mut fleet = Fleet::start(1);
    let plain = fleet.start_plain("p1", SHORT);
    plain.set_answer_bytes(LONG_ANSWER);
    plain.set_answer_pause(PAST_EXIT);
    fleet.configure();
    let order = request("o1", "POST", "/order/1");
    let mut client = client::open(fleet.gateways[0].caller_address, &order).expect("the gateway listens");
    wait_until("the first part is passed on", || {
        fleet.gateways[0].logged("answer passed on")
    });
    fleet.gateways[0].signal("TERM");
    let outcome = client::read(&mut client, Instant::now() + LONG);
    assert_eq!(
        (outcome.status, outcome.complete, outcome.body.len()),
        (200, true, LONG_ANSWER)
    );
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// A stream ends in the gateway when its last event is queued for the client.
#[test]
fn the_last_events_that_a_slow_client_still_reads_are_not_cut_off() {
    const EVENTS: u64 = 18;
    // The gateway's queue for the client holds most of them.
    const EVENT_BYTES: usize = 12_000;
    let mut fleet = Fleet::start(1);
    let engine = fleet.start_engine("e1", EVENTS, SHORT);
    engine.set_answer_bytes(EVENT_BYTES);
    fleet.configure();
    let mut client = client::open_narrow(fleet.gateways[0].caller_address, &generation_request("d1"))
        .expect("the gateway listens");
    wait_until("every event is queued", || {
        fleet.gateways[0].logged("stream ended")
    });
    fleet.gateways[0].signal("TERM");
    let outcome = client::read_slowly(&mut client, Instant::now() + PAST_EXIT, Instant::now() + LONG);
    assert_eq!(
        (outcome.status, outcome.complete, outcome.events().len()),
        (200, true, EVENTS as usize)
    );
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// What is left of the grace when a request is taken, and the time of the exit, follow from the same settings.
#[test]
fn a_grace_that_is_changed_during_a_shutdown_cuts_no_request_that_was_taken() {
    let mut fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 120, Duration::from_millis(40));
    fleet.configure();
    set_grace(&fleet.gateways[0], "4s");
    fleet.gateways[0].signal("TERM");
    wait_until("the gateway leaves", || fleet.gateways[0].logged("leaving"));
    set_grace(&fleet.gateways[0], "30s");
    let outcome = fleet.send(0, &generation_request("d1"));
    let runs = fleet.ledger.run_count("d1");
    assert!(
        outcome.complete || runs == 0,
        "status {}, {} of 120 events, then cut off; {runs} runs",
        outcome.status,
        outcome.events().len()
    );
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}
