//! The gateway as a separate process, with stand-ins for the platform: what clients and upstreams see.

mod fleet;

use std::{thread, time::Duration};

use carob_platform_standin::{
    AnswerMode,
    client::{self, Request},
    config::{self, Route},
};
use fleet::{
    BODY_MEMORY, CLIENT_KEY, Fleet, LONG, ROUTES, free_ports, generation_request, request, wait_until,
};

const SHORT: Duration = Duration::from_millis(10);

#[test]
fn plain_calls_and_streams_come_whole() {
    let fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", SHORT);
    let _engine = fleet.start_engine("e1", 20, SHORT);
    fleet.configure();
    let order = fleet.send(0, &request("o1", "POST", "/order/1"));
    assert_eq!(
        (order.status, order.from_upstream, order.complete),
        (200, true, true)
    );
    assert_eq!(order.body, b"done o1");
    wait_until("the gateway knows the engine", || {
        fleet.send(0, &generation_request("warm")).status == 200
    });
    let stream = fleet.send(0, &generation_request("d1"));
    assert_eq!((stream.status, stream.complete), (200, true));
    assert_eq!(stream.events(), (1..=20).collect::<Vec<_>>());
    let started = fleet.ledger.started();
    let order = started.iter().find(|started| started.id == "o1").expect("it ran");
    assert_eq!(order.account.as_deref(), Some("parish"));
    assert!(!order.has_key, "the client's key is not forwarded");
    assert!(
        order.time_left <= 5_000 && order.time_left > 3_000,
        "the remaining time is forwarded: {}",
        order.time_left
    );
}

#[test]
fn without_a_configuration_requests_are_refused_and_the_gateway_is_not_ready() {
    let fleet = Fleet::start(1);
    let gateway = &fleet.gateways[0];
    wait_until("the gateway listens", || gateway.accepts_connections());
    assert!(!gateway.is_ready());
    let refused = fleet.send(0, &request("o1", "POST", "/order/1"));
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after.is_some(), "the refusal says when to retry");
    assert!(!refused.from_upstream);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    assert_eq!(fleet.send(0, &request("o2", "POST", "/order/1")).status, 200);
}

#[test]
fn keys_routes_and_limits_are_kept() {
    let fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    let status = |request: &Request| fleet.send(0, request).status;
    assert_eq!(status(&Request::new("a", "GET", "/read/1")), 401);
    assert_eq!(
        status(&Request::new("b", "GET", "/read/1").with_key("another")),
        401
    );
    assert_eq!(status(&Request::new("c", "GET", "/open/1")), 200);
    assert_eq!(status(&request("d", "GET", "/elsewhere/1")), 404);
    assert_eq!(status(&request("", "GET", "/read/1")), 400);
    let started: Vec<String> = fleet
        .ledger
        .started()
        .into_iter()
        .map(|started| started.id)
        .collect();
    assert_eq!(started, ["c"]);
}

#[test]
fn headers_that_the_gateway_sets_are_not_taken_from_clients() {
    let fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    let forged = request("f1", "POST", "/order/1").with_forged_headers();
    assert_eq!(fleet.send(0, &forged).status, 200);
    assert_eq!(fleet.ledger.started()[0].account.as_deref(), Some("parish"));
}

/// An order whose response is lost may have run, so it is neither retried nor refused as not run.
#[test]
fn an_order_whose_answer_is_lost_runs_once_and_is_not_said_not_to_have_run() {
    for mode in [AnswerMode::Reset, AnswerMode::Foreign, AnswerMode::Truncated] {
        let fleet = Fleet::start(1);
        let upstream = fleet.start_plain("p1", SHORT);
        let other = fleet.start_plain("p2", SHORT);
        fleet.configure();
        upstream.set_answer_mode(mode);
        other.set_answer_mode(mode);
        let outcome = fleet.send(0, &request("o1", "POST", "/order/1"));
        assert!(matches!(outcome.status, 0 | 502 | 504), "{mode:?}: {outcome:?}");
        assert!(!outcome.from_upstream);
        assert_eq!(fleet.ledger.run_count("o1"), 1, "{mode:?}");
    }
}

#[test]
fn a_rejected_order_goes_to_another_upstream_and_is_refused_truthfully_in_the_end() {
    let fleet = Fleet::start(1);
    let upstream = fleet.start_plain("p1", SHORT);
    let other = fleet.start_plain("p2", SHORT);
    fleet.configure();
    let order = |id: &str| fleet.send(0, &request(id, "POST", "/order/1")).status;
    wait_until("the gateway knows both upstreams", || {
        order("warm");
        let started = fleet.ledger.started();
        ["p1", "p2"]
            .iter()
            .all(|id| started.iter().any(|started| started.upstream == *id))
    });
    fleet.earn_repeats(0, 6);
    upstream.set_answer_mode(AnswerMode::Rejection);
    for number in 0..5 {
        assert_eq!(
            order(&format!("o{number}")),
            200,
            "the other upstream runs the order"
        );
    }
    other.set_answer_mode(AnswerMode::Rejection);
    let refused = fleet.send(0, &request("last", "POST", "/order/1"));
    assert_eq!((refused.status, refused.from_upstream), (503, false));
    assert!(refused.retry_after.is_some());
    assert_eq!(fleet.ledger.run_count("last"), 0);
}

#[test]
fn a_failed_read_is_retried_once_elsewhere() {
    let fleet = Fleet::start(1);
    let upstream = fleet.start_plain("p1", SHORT);
    let _other = fleet.start_plain("p2", SHORT);
    fleet.configure();
    wait_until("the gateway knows both upstreams", || {
        fleet.send(0, &request("warm", "GET", "/read/1"));
        fleet
            .ledger
            .started()
            .iter()
            .any(|started| started.upstream == "p2")
    });
    fleet.earn_repeats(0, 6);
    upstream.set_answer_mode(AnswerMode::Failure);
    for number in 0..10 {
        let id = format!("r{number}");
        assert_eq!(fleet.send(0, &request(&id, "GET", "/read/1")).status, 200);
        assert!(fleet.ledger.run_count(&id) <= 2);
    }
}

#[test]
fn an_order_that_failed_at_its_upstream_is_passed_on_as_it_is() {
    let fleet = Fleet::start(1);
    let upstream = fleet.start_plain("p1", SHORT);
    fleet.configure();
    upstream.set_answer_mode(AnswerMode::Failure);
    let outcome = fleet.send(0, &request("o1", "POST", "/order/1"));
    assert_eq!((outcome.status, outcome.from_upstream), (500, true));
    assert_eq!(fleet.ledger.run_count("o1"), 1);
}

#[test]
fn a_stream_that_breaks_off_does_not_look_whole() {
    let fleet = Fleet::start(1);
    let engine = fleet.start_engine("e1", 10, SHORT);
    fleet.configure();
    engine.set_answer_mode(AnswerMode::Truncated);
    let outcome = fleet.send(0, &generation_request("d1"));
    assert!(!outcome.complete);
    assert_eq!(
        outcome.events(),
        (1..=5).collect::<Vec<_>>(),
        "only complete events are forwarded"
    );
    assert_eq!(fleet.ledger.run_count("d1"), 1);
}

#[test]
fn the_work_of_a_client_that_has_gone_is_stopped() {
    let fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 1_000, SHORT);
    let _plain = fleet.start_plain("p1", LONG);
    fleet.configure();
    for (id, request) in [
        ("d1", generation_request("d1")),
        ("o1", request("o1", "POST", "/order/1")),
    ] {
        let stream = client::open(fleet.gateways[0].caller_address, &request).expect("the gateway listens");
        wait_until("the request runs", || fleet.ledger.run_count(id) == 1);
        drop(stream);
        wait_until("the gateway closes its connection to the upstream", || {
            fleet.ledger.was_dropped(id)
        });
    }
}

#[test]
fn sigterm_answers_what_was_read_and_sends_others_elsewhere() {
    let mut fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", Duration::from_millis(800));
    fleet.configure();
    let address = fleet.gateways[0].caller_address;
    let client = thread::spawn(move || client::send(address, &request("o1", "POST", "/order/1")));
    wait_until("the order runs", || fleet.ledger.run_count("o1") == 1);
    fleet.gateways[0].signal("TERM");
    wait_until("the gateway is not ready", || !fleet.gateways[0].is_ready());
    let long = fleet.send(0, &generation_request("d1").with_usage(1_000, 4_000));
    assert_eq!(long.status, 503, "a stream that could not end in time is refused");
    let outcome = client.join().expect("the client ends");
    assert_eq!((outcome.status, outcome.complete), (200, true));
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// After SIGTERM, connections are accepted only while the load balancer still sends them; one that is
/// accepted later could be cut off at the end of the grace period.
#[test]
fn a_leaving_gateway_takes_no_connection_that_it_could_not_serve_to_the_end() {
    let mut fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 220, Duration::from_millis(20));
    // On a busy machine a generation may take longer than the usual time limit of its route.
    let routes = ROUTES.map(|route| route.with_timeout(LONG.as_millis() as u64));
    fleet
        .store
        .put(config::KEY, &config::config(1, &routes, &[CLIENT_KEY]));
    fleet.wait_ready();
    let address = fleet.gateways[0].caller_address;
    let client = thread::spawn(move || client::send(address, &generation_request("d1")));
    wait_until("the generation runs", || fleet.ledger.run_count("d1") == 1);
    fleet.gateways[0].signal("TERM");
    assert!(
        fleet.gateways[0].accepts_connections(),
        "the load balancer still sends connections"
    );
    thread::sleep(Duration::from_millis(3_200));
    assert!(!fleet.gateways[0].accepts_connections());
    let outcome = client.join().expect("the client ends");
    assert_eq!(
        outcome.events().len(),
        220,
        "a request that was read is answered in full"
    );
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// A request whose body does not arrive in time has not run, and may be sent again.
#[test]
fn a_body_that_comes_too_late_is_not_called_malformed() {
    let fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    let order = request("o1", "POST", "/order/1").with_timeout(Duration::from_millis(700));
    let (mut client, _rest) =
        client::open_half(fleet.gateways[0].caller_address, &order).expect("the gateway listens");
    let outcome = client::read(&mut client, std::time::Instant::now() + LONG);
    assert_eq!((outcome.status, fleet.ledger.run_count("o1")), (408, 0));
}

#[test]
fn all_bodies_together_have_a_bound_and_the_newest_request_is_refused() {
    const BODY_BYTES: usize = 60_000;
    let fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", Duration::from_millis(1_500));
    fleet.configure();
    let address = fleet.gateways[0].caller_address;
    let order = |id: &str| request(id, "POST", "/order/1").with_body(BODY_BYTES);
    let held: Vec<_> = (0..BODY_MEMORY / BODY_BYTES)
        .map(|number| order(&format!("held-{number}")))
        .map(|order| thread::spawn(move || client::send(address, &order)))
        .collect();
    wait_until("all held requests run", || {
        fleet.ledger.started().len() == held.len()
    });
    let refused = fleet.send(0, &order("newest"));
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after.is_some(), "the refusal says when to retry");
    assert_eq!(fleet.send(0, &request("small", "POST", "/order/1")).status, 200);
    for held in held {
        assert_eq!(held.join().expect("the client ends").status, 200);
    }
    assert_eq!(fleet.send(0, &order("later")).status, 200);
    assert_eq!(fleet.ledger.run_count("newest"), 0);
}

#[test]
fn a_route_gives_up_in_time() {
    let fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", LONG);
    let routes = [Route::new("/order/", "unsafe", "plain").with_timeout(400)];
    fleet
        .store
        .put(config::KEY, &config::config(1, &routes, &[CLIENT_KEY]));
    fleet.wait_ready();
    let outcome = fleet.send(0, &request("o1", "POST", "/order/1"));
    assert_eq!(outcome.status, 504);
    assert_eq!(fleet.ledger.run_count("o1"), 1);
}

#[test]
fn settings_are_taken_over_and_bad_ones_refused() {
    let fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    let gateway = &fleet.gateways[0];
    std::fs::write(gateway.settings_path(), "[instance]\nname =\n").expect("the file is writable");
    gateway.signal("HUP");
    wait_until("the invalid file is refused", || {
        gateway.logged("settings refused")
    });
    assert_eq!(fleet.send(0, &request("o1", "POST", "/order/1")).status, 200);
    gateway.write_settings(&[], "7s");
    wait_until("the change is loaded without a signal", || {
        gateway.logged("settings reloaded")
    });
}

/// Guards against request smuggling: a second request in the body of one whose head gives two contradicting
/// lengths.
#[test]
fn a_request_inside_anothers_body_runs_as_no_request_without_its_own_key() {
    let fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    let inner = Request::new("inner", "POST", "/order/2").with_key("another");
    client::send_smuggled(
        fleet.gateways[0].caller_address,
        &request("outer", "POST", "/order/1"),
        &inner,
    );
    thread::sleep(Duration::from_millis(300));
    assert_eq!(fleet.ledger.run_count("inner"), 0);
    assert!(fleet.ledger.run_count("outer") <= 1);
}

/// Two directory entries name one address; requests that are sent there for the former upstream must not run.
#[test]
fn an_address_that_is_used_again_runs_nothing_for_its_former_upstream() {
    let fleet = Fleet::start(1);
    let plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    fleet.earn_repeats(0, 6);
    plain.register_as("former");
    wait_until("the gateway knows both entries", || {
        fleet.gateways[0].logged("\"upstream\":\"former\"")
    });
    for number in 0..10 {
        let id = format!("o{number}");
        assert_eq!(fleet.send(0, &request(&id, "POST", "/order/1")).status, 200);
        assert_eq!(fleet.ledger.run_count(&id), 1);
    }
    let lines = fleet.gateways[0].log_lines();
    let is_sent_there =
        |line: &String| line.contains("sent to an upstream") && line.contains("\"upstream\":\"former\"");
    assert_eq!(lines.iter().find(|line| is_sent_there(line)), None);
}

/// Two clients leave at the same time: one whose request runs, and one whose request is granted its place.
#[test]
fn a_place_granted_to_a_client_that_leaves_is_never_free_again() {
    let fleet = Fleet::start(1);
    let engine = fleet.start_engine("e1", 5, SHORT);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    wait_until("the gateway knows the engine", || {
        fleet.send(0, &generation_request("warm")).status == 200
    });
    let gateway = &fleet.gateways[0];
    // Two of them do not fit on the engine.
    let large = |id| generation_request(id).with_usage(33_000, 100);
    engine.set_answer_mode(AnswerMode::Silence);
    let runs = client::open(gateway.caller_address, &large("d0")).expect("the gateway listens");
    wait_until("the generation runs", || fleet.ledger.run_count("d0") == 1);
    let queued = client::open(gateway.caller_address, &large("d1")).expect("the gateway listens");
    thread::sleep(Duration::from_millis(200));
    // The gateway notices both ends in the same turn of its event loop.
    gateway.signal("STOP");
    drop(runs);
    drop(queued);
    gateway.signal("CONT");
    engine.set_answer_mode(AnswerMode::Normal);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(fleet.ledger.run_count("d1"), 0);
    let next = fleet.send(0, &large("d2"));
    assert_eq!((next.status, next.complete), (200, true));
}

/// A gateway of a test did not start: another one of its ports was the one at which its fleet's peers listen.
#[test]
fn a_gateway_is_given_the_port_of_its_fleet_twice() {
    // No gateway of a test has such an address.
    let ip = "127.252.0.1";
    let [fleet_port] = free_ports(ip, None);
    for _ in 0..20_000 {
        let [peer, others @ ..] = free_ports::<4>(ip, Some(fleet_port));
        assert_eq!(peer, fleet_port);
        assert!(!others.contains(&fleet_port), "{others:?} and {fleet_port}");
    }
}
