//! Gateways that shut down while work is under way: what the process still has to do before it exits.

mod fleet;

use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    process::Command,
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Store,
    client::{self, Request},
    config::{self, Route},
};
use fleet::{CLIENT_KEY, Fleet, Gateway, LONG, generation_request, request, wait_until};

const SHORT: Duration = Duration::from_millis(10);

/// Time after SIGTERM at which a gateway without any work has exited.
const PAST_EXIT: Duration = Duration::from_millis(3_500);

/// Size of an answer that the gateway reads completely before it passes it on, in bytes. A narrow connection
/// does not hold it.
const BUFFERED_ANSWER: usize = 250_000;

/// Size of an answer that the gateway passes on as it arrives, in bytes.
const LONG_ANSWER: usize = 800_000;

/// Gateways that are stalled at the same time. What a single one does first when it goes on is left to chance.
const STALLED_GATEWAYS: usize = 4;

/// Gateways that start at the same time; only some get a signal before all their threads run.
const STARTING_GATEWAYS: usize = 32;

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

/// Sends SIGTERM to a gateway, and stops its process once it leaves.
fn stall_while_leaving(gateway: &Gateway) {
    gateway.signal("TERM");
    wait_until("the gateway leaves", || !gateway.is_ready());
    gateway.signal("STOP");
}

/// Continues the gateways and returns how many clients receive a complete answer.
fn count_answers(fleet: &Fleet, clients: &mut [TcpStream]) -> usize {
    for gateway in &fleet.gateways {
        gateway.signal("CONT");
    }
    let deadline = Instant::now() + LONG;
    let outcomes = clients.iter_mut().map(|client| client::read(client, deadline));
    outcomes.filter(|outcome| outcome.complete).count()
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
    const EVENTS: u64 = 300;
    let mut fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", EVENTS, Duration::from_millis(40));
    let routes = [Route::new("/draft/", "streaming", "engines").with_timeout(60_000)];
    fleet
        .store
        .put(config::KEY, &config::config(1, &routes, &[CLIENT_KEY]));
    fleet.wait_ready();
    set_grace(&fleet.gateways[0], "8s");
    let _keeps_running = fleet.start_generation(0, "d0");
    fleet.gateways[0].signal("TERM");
    wait_until("the gateway leaves", || fleet.gateways[0].logged("leaving"));
    set_grace(&fleet.gateways[0], "30s");
    let outcome = fleet.send(0, &generation_request("d1").with_usage(1_000, 1_600));
    let runs = fleet.ledger.run_count("d1");
    assert!(
        outcome.complete || runs == 0,
        "status {}, {} of {EVENTS} events, then cut off; {runs} runs",
        outcome.status,
        outcome.events().len()
    );
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// A request that could not end in time is refused before it has run, wherever it waits when the signal comes.
#[test]
fn a_queued_request_that_the_grace_is_too_short_for_is_not_sent_to_an_upstream() {
    let mut fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 1_000, SHORT);
    // Requests wait for a place for longer than the test takes.
    let routes = [Route::new("/draft/", "streaming", "engines")
        .with_timeout(60_000)
        .with_target_latency(60_000)];
    fleet
        .store
        .put(config::KEY, &config::config(1, &routes, &[CLIENT_KEY]));
    fleet.wait_ready();
    let gateway = &fleet.gateways[0];
    let whole_memory = generation_request("d1").with_usage(30_000, 800);
    let running = client::open(gateway.caller_address, &whole_memory).expect("the gateway listens");
    wait_until("the first generation runs", || fleet.ledger.run_count("d1") == 1);
    let queued = generation_request("d2").with_usage(30_000, 4_000);
    let mut waiting = client::open(gateway.caller_address, &queued).expect("the gateway listens");
    wait_until("the second request has arrived", || {
        let metrics = client::send(gateway.admin_address, &Request::new("m", "GET", "/metrics"));
        String::from_utf8_lossy(&metrics.body).contains("carobhaven_requests_total 2")
    });
    gateway.signal("TERM");
    wait_until("the gateway leaves", || !gateway.is_ready());
    drop(running);
    let outcome = client::read(&mut waiting, Instant::now() + LONG);
    assert_eq!((outcome.status, fleet.ledger.run_count("d2")), (503, 0));
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// A signal that comes again changes neither the grace nor what is under way.
#[test]
fn further_signals_during_a_shutdown_cut_nothing_off() {
    let mut fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 200, Duration::from_millis(20));
    fleet.configure();
    let client = fleet.start_generation(0, "d1");
    for signal in ["INT", "TERM", "HUP", "TERM", "INT"] {
        fleet.gateways[0].signal(signal);
    }
    let outcome = client.join().expect("the client ends");
    assert_eq!((outcome.complete, outcome.events().len()), (true, 200));
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// The settings are read again at the next check of the file, if not at once.
#[test]
fn sighup_just_after_the_first_log_line_ends_a_gateway() {
    let store = Store::new();
    let mut gateways: Vec<Gateway> = (0..STARTING_GATEWAYS)
        .map(|_| Gateway::start(&store, &[]))
        .collect();
    thread::scope(|scope| {
        for gateway in &gateways {
            scope.spawn(|| {
                while !gateway.logged("\"starting\"") {
                    thread::yield_now();
                }
                gateway.signal("HUP");
            });
        }
    });
    thread::sleep(Duration::from_millis(500));
    let ended = gateways
        .iter_mut()
        .filter_map(|gateway| gateway.child.try_wait().ok()?);
    assert_eq!(ended.collect::<Vec<_>>(), []);
}

#[test]
fn sigterm_before_a_configuration_is_known_refuses_requests_and_ends_the_process() {
    let mut fleet = Fleet::start(1);
    wait_until("the gateway listens", || fleet.gateways[0].accepts_connections());
    wait_until("it handles signals", || {
        fleet.gateways[0].logged("watching the store changed")
    });
    fleet.gateways[0].signal("TERM");
    let refused = fleet.send(0, &request("o1", "POST", "/order/1"));
    assert_eq!((refused.status, refused.retry_after.is_some()), (503, true));
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

#[test]
fn a_body_that_a_client_sends_slowly_is_read_to_its_end_and_the_request_is_answered() {
    let mut fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    let order = request("o1", "POST", "/order/1").with_body(2_000);
    let (mut client, rest) =
        client::open_half(fleet.gateways[0].caller_address, &order).expect("the gateway listens");
    fleet.gateways[0].signal("TERM");
    thread::sleep(PAST_EXIT);
    client.write_all(&rest).expect("the connection is open");
    let outcome = client::read(&mut client, Instant::now() + LONG);
    assert_eq!((outcome.status, outcome.complete), (200, true));
    assert!(
        client::is_closed(&mut client, Instant::now() + LONG),
        "the connection ends after its last answer"
    );
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// A client that keeps its connection learns with each answer that it has to open another one.
#[test]
fn answers_and_refusals_during_a_shutdown_end_their_connections() {
    let mut fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 20, SHORT);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    set_grace(&fleet.gateways[0], "5s");
    let address = fleet.gateways[0].caller_address;
    fleet.gateways[0].signal("TERM");
    wait_until("the gateway leaves", || !fleet.gateways[0].is_ready());
    let requests = [
        (request("o1", "POST", "/order/1"), 200),
        (request("n1", "GET", "/nowhere"), 404),
        (generation_request("d1").with_usage(1_000, 40), 200),
        (generation_request("d2").with_usage(1_000, 4_000), 503),
    ];
    for (request, status) in requests {
        let mut client = client::open(address, &request).expect("the gateway listens");
        let outcome = client::read(&mut client, Instant::now() + LONG);
        assert_eq!(
            (outcome.status, outcome.complete),
            (status, true),
            "{}",
            request.id
        );
        assert!(
            client::is_closed(&mut client, Instant::now() + Duration::from_secs(1)),
            "{}",
            request.id
        );
    }
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// Runners that are still at work in the last sixth of the grace may be cut off, but not before.
#[test]
fn an_answer_is_not_cut_off_before_the_last_sixth_of_a_short_grace() {
    const GRACE: Duration = Duration::from_secs(1);
    let fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 1_000, SHORT);
    fleet.configure();
    set_grace(&fleet.gateways[0], "1s");
    let client = fleet.start_generation(0, "d1");
    let signalled = Instant::now();
    fleet.gateways[0].signal("TERM");
    let outcome = client.join().expect("the client ends");
    let cut = signalled.elapsed();
    assert!(
        outcome.complete || cut >= GRACE * 5 / 6,
        "cut off {cut:?} after SIGTERM, {} events",
        outcome.events().len()
    );
}

/// Connections without a request end with the listener, so that they neither bring requests later nor hold the
/// process up.
#[test]
fn idle_connections_do_not_outlive_the_listener() {
    let mut fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 200, Duration::from_millis(20));
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    set_grace(&fleet.gateways[0], "60s");
    let address = fleet.gateways[0].caller_address;
    let read = request("r1", "GET", "/read/1");
    let mut used = client::open(address, &read).expect("the gateway listens");
    assert!(client::read(&mut used, Instant::now() + LONG).complete);
    let mut unused = TcpStream::connect(address).expect("the gateway listens");
    // Most of an interval between two checks for idle connections is left when the listener closes.
    thread::sleep(Duration::from_millis(1_500));
    let generation = fleet.start_generation(0, "d1");
    fleet.gateways[0].signal("TERM");
    wait_until("the listener is closed", || {
        fleet.gateways[0].logged("no more connections are taken")
    });
    let soon = Instant::now() + Duration::from_secs(1);
    assert!(client::is_closed(&mut used, soon), "the connection that was used");
    assert!(client::is_closed(&mut unused, soon), "the one that was not");
    let outcome = generation.join().expect("the client ends");
    assert_eq!((outcome.complete, outcome.events().len()), (true, 200));
    let child = std::cell::RefCell::new(&mut fleet.gateways[0].child);
    wait_until("the process ends well before its grace", || {
        child.borrow_mut().try_wait().is_ok_and(|ended| ended.is_some())
    });
}

/// Connections that the kernel has established are the gateway's to serve. A stall makes them wait until the
/// listener is due to close.
#[test]
fn connections_that_wait_for_a_stalled_gateway_are_answered() {
    const CLIENTS: usize = 25;
    let mut fleet = Fleet::start(STALLED_GATEWAYS);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    for gateway in &fleet.gateways {
        stall_while_leaving(gateway);
    }
    let mut clients = Vec::new();
    for gateway in &fleet.gateways {
        for number in 0..CLIENTS {
            let read = request(&format!("r{number}"), "GET", "/read/1").with_timeout(LONG);
            clients.push(client::open(gateway.caller_address, &read).expect("the kernel accepts"));
        }
    }
    thread::sleep(PAST_EXIT);
    assert_eq!(count_answers(&fleet, &mut clients), clients.len());
    for gateway in &mut fleet.gateways {
        let status = gateway.child.wait().expect("it ends");
        assert!(status.success(), "{status}");
    }
}

/// A request that has arrived on an open connection is not dropped because the connection is due to close.
#[test]
fn requests_that_wait_on_kept_connections_of_a_stalled_gateway_are_answered() {
    const CLIENTS: usize = 10;
    let mut fleet = Fleet::start(STALLED_GATEWAYS);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    let read = |id: &str| request(id, "GET", "/read/1").with_timeout(LONG);
    let mut clients = Vec::new();
    for gateway in &fleet.gateways {
        for _ in 0..CLIENTS {
            let mut client =
                client::open(gateway.caller_address, &read("first")).expect("the gateway listens");
            assert!(client::read(&mut client, Instant::now() + LONG).complete);
            clients.push(client);
        }
    }
    for gateway in &fleet.gateways {
        stall_while_leaving(gateway);
    }
    for client in &mut clients {
        client::write(client, &read("next")).expect("the connection is open");
    }
    thread::sleep(PAST_EXIT);
    assert_eq!(count_answers(&fleet, &mut clients), clients.len());
    for gateway in &mut fleet.gateways {
        let status = gateway.child.wait().expect("it ends");
        assert!(status.success(), "{status}");
    }
}

/// An HTTP/1.0 client knows the end of a stream by the end of its connection.
#[test]
fn a_stream_without_chunks_that_is_cut_off_does_not_look_whole() {
    let fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 1_000, SHORT);
    fleet.configure();
    set_grace(&fleet.gateways[0], "1s");
    let generation = generation_request("d1").with_http_1_0();
    let mut client =
        client::open(fleet.gateways[0].caller_address, &generation).expect("the gateway listens");
    wait_until("the generation runs", || fleet.ledger.run_count("d1") == 1);
    fleet.gateways[0].signal("TERM");
    client.set_read_timeout(Some(LONG)).expect("a timeout can be set");
    let mut answer = Vec::new();
    let end = client.read_to_end(&mut answer);
    assert!(
        end.is_err(),
        "{} bytes, then the end of the connection without a reset",
        answer.len()
    );
}

/// The kernel closes the connections of a process that is killed.
#[test]
fn a_stream_without_chunks_whose_process_is_killed_does_not_look_whole() {
    let fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 1_000, SHORT);
    fleet.configure();
    let generation = generation_request("d1").with_http_1_0();
    let mut client =
        client::open(fleet.gateways[0].caller_address, &generation).expect("the gateway listens");
    client.peek(&mut [0]).expect("the answer has begun");
    fleet.gateways[0].signal("KILL");
    client.set_read_timeout(Some(LONG)).expect("a timeout can be set");
    let mut answer = Vec::new();
    let end = client.read_to_end(&mut answer);
    assert!(
        end.is_err(),
        "{} bytes, then the end of the connection without a reset",
        answer.len()
    );
}

/// What the client has not read yet when the gateway closes a connection is not lost by a reset.
#[test]
fn a_whole_stream_without_chunks_ends_without_a_reset() {
    const EVENTS: u64 = 20;
    let fleet = Fleet::start(1);
    let engine = fleet.start_engine("e1", EVENTS, SHORT);
    engine.set_answer_bytes(BUFFERED_ANSWER / EVENTS as usize);
    fleet.configure();
    let generation = generation_request("d1").with_http_1_0();
    let mut client =
        client::open_narrow(fleet.gateways[0].caller_address, &generation).expect("the gateway listens");
    wait_until("the stream has ended in the gateway", || {
        fleet.gateways[0].logged("stream ended")
    });
    thread::sleep(SHORT);
    client.set_read_timeout(Some(LONG)).expect("a timeout can be set");
    let mut answer = Vec::new();
    client.read_to_end(&mut answer).expect("it ends without a reset");
    let last = format!("id: {EVENTS}\n");
    assert!(
        String::from_utf8_lossy(&answer).contains(&last),
        "{} bytes",
        answer.len()
    );
}

/// A client that stops in the middle of a request head has no request that the process has to wait for.
#[test]
fn a_client_that_never_finishes_its_request_head_does_not_hold_the_process_up() {
    let mut fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    set_grace(&fleet.gateways[0], "60s");
    let mut client = TcpStream::connect(fleet.gateways[0].caller_address).expect("the gateway listens");
    client
        .write_all(b"GET /read/1 HTTP/1.1\r\nHost: shop")
        .expect("the connection is open");
    // An answer on a later connection tells that the gateway has read what came before.
    assert_eq!(fleet.send(0, &request("r1", "GET", "/read/1")).status, 200);
    fleet.gateways[0].signal("TERM");
    let child = std::cell::RefCell::new(&mut fleet.gateways[0].child);
    wait_until("the process ends well before its grace", || {
        child.borrow_mut().try_wait().is_ok_and(|ended| ended.is_some())
    });
}

/// The exit cuts off more connections than one turn of the event loop gets to.
#[test]
fn many_streams_without_chunks_that_are_cut_off_together_do_not_look_whole() {
    const ENGINES: usize = 8;
    const CLIENTS: usize = 150;
    let fleet = Fleet::start(1);
    let _engines: Vec<_> = (0..ENGINES)
        .map(|number| fleet.start_engine(&format!("e{number}"), 1_000, SHORT))
        .collect();
    fleet.configure();
    set_grace(&fleet.gateways[0], "2s");
    let mut clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let generation = generation_request(&format!("d{number}"))
                .with_usage(100, 800)
                .with_http_1_0();
            client::open(fleet.gateways[0].caller_address, &generation).expect("the gateway listens")
        })
        .collect();
    wait_until("the generations run", || fleet.ledger.started().len() == CLIENTS);
    fleet.gateways[0].signal("TERM");
    let resets = clients
        .iter_mut()
        .filter_map(|client| {
            client.set_read_timeout(Some(LONG)).expect("a timeout can be set");
            client.read_to_end(&mut Vec::new()).err()
        })
        .count();
    assert_eq!(resets, CLIENTS);
}

/// How often a gateway looks at its settings file, and some time to spare.
const PAST_RELOAD: Duration = Duration::from_millis(2_500);

/// The thread that read the signals also read the settings file, which takes seconds while the disk is busy. Here
/// reading never ends.
#[test]
fn a_signal_is_not_read_while_the_settings_file_is() {
    let mut fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    let path = fleet.gateways[0].settings_path();
    std::fs::remove_file(&path).expect("the file exists");
    let made = Command::new("mkfifo").arg(&path).status();
    assert!(made.is_ok_and(|status| status.success()), "the pipe is made");
    thread::sleep(PAST_RELOAD);
    fleet.gateways[0].signal("TERM");
    let signalled = Instant::now();
    let child = std::cell::RefCell::new(&mut fleet.gateways[0].child);
    wait_until("the process ends", || {
        child.borrow_mut().try_wait().is_ok_and(|ended| ended.is_some())
    });
    let took = signalled.elapsed();
    assert!(
        took < PAST_EXIT,
        "ended {took:?} after the signal without any work"
    );
}

/// A gateway whose control thread could not start ran on without it until it is told to end, since the thread
/// that reads the signals kept the channel to the traffic thread open.
#[test]
fn a_gateway_whose_admin_port_is_taken_does_not_end() {
    let store = carob_platform_standin::Store::new();
    let mut gateway = Gateway::prepare(&store, &[]);
    let _taken = std::net::TcpListener::bind(gateway.admin_address).expect("the port is free");
    gateway.spawn();
    thread::sleep(PAST_EXIT);
    let ended = gateway.child.try_wait().expect("it is a child");
    assert!(ended.is_some(), "still runs {PAST_EXIT:?} after its start");
}

/// A signal that came while the settings were read at the start was caught, and not read until they were there.
#[test]
fn a_signal_is_not_read_while_the_first_settings_are() {
    let store = carob_platform_standin::Store::new();
    let mut gateway = Gateway::prepare(&store, &[]);
    let path = gateway.settings_path();
    std::fs::remove_file(&path).expect("the file exists");
    let made = Command::new("mkfifo").arg(&path).status();
    assert!(made.is_ok_and(|status| status.success()), "the pipe is made");
    gateway.spawn();
    thread::sleep(PAST_RELOAD);
    gateway.signal("TERM");
    thread::sleep(PAST_EXIT);
    let ended = gateway.child.try_wait().expect("it is a child");
    assert!(
        ended.is_some(),
        "still runs {PAST_EXIT:?} after the signal without any work"
    );
}
