//! Gateways that shut down, and clients that go on using their open connections.

mod fleet;

use std::{
    collections::BTreeMap,
    io::Write as _,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{AnswerMode, client, config};
use fleet::{CLIENT_KEY, Fleet, LONG, ROUTES, generation_request, request, wait_until};

/// Interval between two events of a generation.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Time after SIGTERM from which a request that is passed on has to be answered before the process ends.
const LATE: Duration = Duration::from_millis(3_300);

/// A gateway's estimate from `Length-Hint` fits into the grace, and the answer does not.
#[test]
fn a_stream_on_a_kept_connection_is_taken_long_after_sigterm_and_cut_off() {
    let mut fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 1_000, EVENT_INTERVAL);
    let _plain = fleet.start_plain("p1", Duration::from_millis(5));
    fleet.configure();
    fleet.gateways[0].write_settings(&[], "5s");
    fleet.gateways[0].signal("HUP");
    fleet::wait_until("the grace is in force", || {
        fleet.gateways[0].logged("settings reloaded")
    });
    let first = request("r1", "GET", "/read/1");
    let mut kept = client::open(fleet.gateways[0].caller_address, &first).expect("the gateway listens");
    let answer = client::read(&mut kept, Instant::now() + first.timeout);
    assert_eq!((answer.status, answer.complete), (200, true));
    let _keeps_running = fleet.start_generation(0, "d0");
    fleet.gateways[0].signal("TERM");
    thread::sleep(LATE);
    let late = generation_request("d1").with_header("Length-Hint", "100");
    let outcome = client::send_on(&mut kept, &late);
    let runs = fleet.ledger.run_count("d1");
    assert!(
        outcome.complete || runs == 0,
        "status {}, {} events, then cut off; {runs} runs",
        outcome.status,
        outcome.events().len()
    );
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// Size of a response that is passed on while it arrives.
const LONG_RESPONSE: usize = 600_000;

/// A plain response that is passed on while it arrives is not counted as an open request.
#[test]
fn a_long_plain_response_is_cut_off_when_the_notice_is_over() {
    let mut fleet = Fleet::start(1);
    let plain = fleet.start_plain("p1", Duration::from_millis(5));
    plain.set_answer_bytes(LONG_RESPONSE);
    plain.set_answer_pause(Duration::from_secs(4));
    fleet.configure();
    let mut client = client::open(
        fleet.gateways[0].caller_address,
        &request("o1", "POST", "/order/1"),
    )
    .expect("the gateway listens");
    let mut first = [0; 1];
    client.peek(&mut first).expect("the response has begun");
    fleet.gateways[0].signal("TERM");
    let outcome = client::read(&mut client, Instant::now() + LONG);
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
    assert!(
        outcome.complete,
        "status {}, {} of {LONG_RESPONSE} bytes",
        outcome.status,
        outcome.body.len()
    );
}

/// A request that was read and never sent to an upstream ends without an answer.
#[test]
fn a_request_in_the_queue_when_sigterm_comes_is_cut_off_at_the_exit() {
    let fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 1_000, EVENT_INTERVAL);
    let _plain = fleet.start_plain("p1", Duration::from_millis(5));
    let routes = ROUTES.map(|route| {
        route
            .with_timeout(LONG.as_millis() as u64)
            .with_target_latency(15_000)
    });
    fleet
        .store
        .put(config::KEY, &config::config(1, &routes, &[CLIENT_KEY]));
    fleet.wait_ready();
    let address = fleet.gateways[0].caller_address;
    let large = |id| generation_request(id).with_usage(33_000, 100);
    let _running = client::open(address, &large("d0")).expect("the gateway listens");
    wait_until("the generation runs", || fleet.ledger.run_count("d0") == 1);
    fleet.gateways[0].write_settings(&[], "5s");
    fleet.gateways[0].signal("HUP");
    wait_until("the grace is in force", || {
        fleet.gateways[0].logged("settings reloaded")
    });
    let mut queued = client::open(address, &large("d1")).expect("the gateway listens");
    thread::sleep(Duration::from_millis(200));
    fleet.gateways[0].signal("TERM");
    let outcome = client::read(&mut queued, Instant::now() + LONG);
    let runs = fleet.ledger.run_count("d1");
    assert_eq!((outcome.status, runs), (503, 0));
}

/// A read that was accepted before the signal has more time left than the process, but not its second attempt.
#[test]
fn a_read_whose_upstream_is_silent_is_not_retried_during_a_shutdown() {
    let mut fleet = Fleet::start(1);
    let silent = fleet.start_plain("p1", Duration::from_millis(5));
    // The first attempt is given up after the end of the notice.
    let routes = ROUTES.map(|route| {
        route
            .with_timeout(LONG.as_millis() as u64)
            .with_target_latency(1_500)
    });
    fleet
        .store
        .put(config::KEY, &config::config(1, &routes, &[CLIENT_KEY]));
    fleet.wait_ready();
    fleet.earn_repeats(0, 1);
    silent.set_answer_mode(AnswerMode::Silence);
    let address = fleet.gateways[0].caller_address;
    let read = request("r1", "GET", "/read/1").with_timeout(LONG);
    let mut client = client::open(address, &read).expect("the gateway listens");
    wait_until("the first attempt runs", || fleet.ledger.run_count("r1") == 1);
    let _other = fleet.start_plain("p2", Duration::from_millis(5));
    thread::sleep(Duration::from_millis(300));
    fleet.gateways[0].signal("TERM");
    let outcome = client::read(&mut client, Instant::now() + LONG);
    assert_eq!((outcome.status, outcome.complete), (200, true));
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// Number of requests whose deadlines are a millisecond apart; the latest is after the exit.
const REQUESTS: u32 = 400;

/// How long before the exit the gateway gets no processor time.
const STALL: Duration = Duration::from_millis(10);

/// Time from the signal to the exit with a grace of 4 s.
const EXIT: Duration = Duration::from_millis(3_600);

/// The final answer of a request whose deadline is just before the exit comes too late, if timers are.
#[test]
fn a_deadline_a_moment_before_the_exit_is_accepted_and_not_answered() {
    let fleet = Fleet::start(1);
    let plain = fleet.start_plain("p1", Duration::from_millis(5));
    fleet.configure();
    plain.set_answer_mode(AnswerMode::Silence);
    let gateway = &fleet.gateways[0];
    gateway.write_settings(&[], "4s");
    gateway.signal("HUP");
    wait_until("the grace is in force", || gateway.logged("settings reloaded"));
    let address = gateway.caller_address;
    gateway.signal("TERM");
    let signalled = Instant::now();
    // The last bytes of the bodies arrive after the notice, when only the deadline counts.
    let mut clients: Vec<(TcpStream, Vec<u8>)> = (0..REQUESTS)
        .map(|number| {
            let deadline = signalled + (EXIT + STALL).saturating_sub(Duration::from_millis(1) * number);
            let order = request(&format!("o{number}"), "POST", "/order/1")
                .with_timeout(deadline.saturating_duration_since(Instant::now()));
            client::open_half(address, &order).expect("the gateway listens")
        })
        .collect();
    let wait_for = |time: Instant| thread::sleep(time.saturating_duration_since(Instant::now()));
    wait_for(signalled + Duration::from_millis(2_800));
    for (client, rest) in &mut clients {
        client.write_all(rest).expect("the request is not answered yet");
    }
    wait_for(signalled + EXIT.saturating_sub(STALL));
    gateway.signal("STOP");
    wait_for(signalled + EXIT + STALL);
    gateway.signal("CONT");
    let statuses = clients
        .iter_mut()
        .map(|(client, _)| client::read(client, Instant::now() + LONG).status);
    let mut counts = BTreeMap::new();
    for status in statuses {
        *counts.entry(status).or_insert(0) += 1;
    }
    assert!(
        counts.contains_key(&503) && counts.contains_key(&504),
        "none around the exit: {counts:?}"
    );
    assert!(!counts.contains_key(&0), "ended without an answer: {counts:?}");
}
