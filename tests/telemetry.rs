//! Logs and metrics of gateways: what operators see, and that writing them does not affect clients.

mod fleet;

use std::{
    cell::Cell,
    collections::HashSet,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    AnswerMode, Link,
    client::{self, Request},
};
use fleet::{Fleet, LONG, request, wait_until};
use prometheus_parse::{Scrape, Value};

const SHORT: Duration = Duration::from_millis(10);

/// More requests than can be logged: each has two lines, and at most 150 lines per second are written, on
/// average over four seconds.
const FLOOD: usize = 2_000;

/// Maximum number of distinct label sets, over all routes and accounts; the status has the most values.
const MAX_LABEL_SETS: usize = 12;

#[test]
fn a_stalled_standard_output_changes_nothing_for_callers() {
    let mut fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", Duration::ZERO);
    fleet.configure();
    let gateway = &mut fleet.gateways[0];
    gateway.signal("KILL");
    let _ended = gateway.child.wait();
    gateway.spawn_unread();
    fleet.wait_ready();
    // Far more lines than the pipe and the queues can hold.
    let address = fleet.gateways[0].caller_address;
    let clients: Vec<_> = (0..8)
        .map(|client| {
            thread::spawn(move || {
                (0..300)
                    .filter(|n| {
                        let id = format!("o{client}-{n}-{}", "x".repeat(400));
                        client::send(address, &request(&id, "GET", "/read/1")).status == 200
                    })
                    .count()
            })
        })
        .collect();
    let served: usize = clients
        .into_iter()
        .map(|client| client.join().expect("clients end"))
        .sum();
    assert_eq!(served, 2_400);
    fleet.gateways[0].signal("TERM");
    let child = std::cell::RefCell::new(&mut fleet.gateways[0].child);
    wait_until("the process ends", || {
        child.borrow_mut().try_wait().is_ok_and(|ended| ended.is_some())
    });
}

/// Size of an answer that is passed on as it arrives, in bytes.
const LONG_ANSWER: usize = 600_000;

/// Time for which a long answer stops halfway.
const PAUSE: Duration = Duration::from_secs(1);

/// A long answer that broke off left no line about who ended it.
#[test]
fn a_long_answer_that_breaks_off_is_logged_with_its_reason() {
    let fleet = Fleet::start(1);
    let plain = fleet.start_plain("p1", SHORT);
    plain.set_answer_bytes(LONG_ANSWER);
    plain.set_answer_pause(PAUSE);
    fleet.configure();
    let begin = |order: &Request| -> TcpStream {
        let client = client::open(fleet.gateways[0].caller_address, order).expect("the gateway listens");
        client.peek(&mut [0]).expect("the answer has begun");
        client
    };
    let expect_line = |id: &str, reason: &str| {
        let is_expected = |line: &String| {
            line.contains("\"long answer cut off\"") && line.contains(id) && line.contains(reason)
        };
        wait_until(&format!("{id} is logged with {reason}"), || {
            fleet.gateways[0].log_lines().iter().any(is_expected)
        });
    };

    let mut late = begin(&request("o1", "POST", "/order/1").with_timeout(PAUSE / 2));
    assert!(!client::read(&mut late, Instant::now() + LONG).complete);
    expect_line("o1", "no answer in time");

    drop(begin(&request("o2", "POST", "/order/2")));
    expect_line("o2", "the client has disconnected");

    let mut broken = begin(&request("o3", "POST", "/order/3"));
    plain.set_link(Link::Reset);
    assert!(!client::read(&mut broken, Instant::now() + LONG).complete);
    expect_line("o3", "reset by peer");

    let metrics = client::send(
        fleet.gateways[0].admin_address,
        &Request::new("m", "GET", "/metrics"),
    );
    let text = String::from_utf8(metrics.body).expect("metrics are text");
    assert!(text.contains("carobhaven_answers_cut_total 3"), "{text}");
}

#[test]
fn lines_of_failures_survive_when_those_of_served_requests_are_thinned() {
    let fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", Duration::ZERO);
    fleet.configure();
    for number in 0..FLOOD {
        let served = fleet.send(0, &request(&format!("ok-{number}"), "GET", "/read/1"));
        assert_eq!(served.status, 200);
        if number % 100 == 0 {
            let denied = fleet.send(0, &request(&format!("denied-{number}"), "GET", "/elsewhere/1"));
            assert_eq!(denied.status, 404);
        }
    }
    let gateway = &fleet.gateways[0];
    wait_until("dropped lines are counted", || {
        gateway.logged("log lines were dropped")
    });
    wait_until("every denial is logged", || {
        (0..FLOOD)
            .step_by(100)
            .all(|number| gateway.logged(&format!("\"denied-{number}\"")))
    });
    let lines = gateway.log_lines();
    let sent = lines.iter().filter(|line| line.contains("sent to an upstream"));
    assert!(
        sent.count() < FLOOD,
        "only a part of the lines of served requests is written"
    );
}

/// Reads the metrics of the first gateway.
fn scrape(fleet: &Fleet) -> Scrape {
    let answer = client::send(
        fleet.gateways[0].admin_address,
        &Request::new("m", "GET", "/metrics"),
    );
    let text = String::from_utf8(answer.body).expect("metrics are text");
    Scrape::parse(text.lines().map(|line| Ok(line.to_owned())))
        .expect("the metrics are in the Prometheus text format")
}

/// The value of a metric of the plain service and, unless it is empty, a reason.
fn service_value(scrape: &Scrape, name: &str, reason: &str) -> f64 {
    let found = scrape.samples.iter().find(|sample| {
        sample.metric == name
            && sample.labels.get("service") == Some("plain")
            && sample.labels.get("reason").unwrap_or_default() == reason
    });
    match found.map(|sample| &sample.value) {
        Some(Value::Counter(value) | Value::Gauge(value)) => *value,
        _ => 0.0,
    }
}

/// Operators ran a fleet whose upstreams saw more repeats than the budget allows, and no line or metric said
/// how many, for which service, or why.
#[test]
fn repeats_are_told_by_service_and_reason() {
    let fleet = Fleet::start(1);
    let upstreams = ["p1", "p2"].map(|id| fleet.start_plain(id, Duration::ZERO));
    fleet.configure();
    let gateway = &fleet.gateways[0];
    let sent = Cell::new(0);
    // A process may have to learn of the others and get requests before it may repeat any.
    wait_until("the budget permits a repeat", || {
        sent.set(sent.get() + 1);
        fleet.send(0, &request(&format!("ok-{}", sent.get()), "GET", "/read/1"));
        service_value(&scrape(&fleet), "carobhaven_budget_left_repeats", "") >= 1.0
    });
    for upstream in &upstreams {
        upstream.set_answer_mode(AnswerMode::Rejection);
    }
    for number in 0..30 {
        let refused = fleet.send(0, &request(&format!("again-{number}"), "GET", "/read/1"));
        assert_eq!(refused.status, 503);
    }
    let values = scrape(&fleet);
    let count = |message: &str| {
        let has = |line: &&String| {
            line.contains(message)
                && line.contains("\"service\":\"plain\"")
                && line.contains("\"reason\":\"rejected\"")
                && ["left", "share", "instances", "requests"]
                    .iter()
                    .all(|field| line.contains(&format!("\"{field}\":")))
        };
        gateway.log_lines().iter().filter(has).count()
    };
    let repeats = service_value(&values, "carobhaven_repeats_total", "rejected") as usize;
    let denied = service_value(&values, "carobhaven_repeats_denied_total", "rejected") as usize;
    assert!(repeats >= 1 && denied >= 1, "{repeats} repeats, {denied} denied");
    // Lines are written in batches, after the answers and in another order.
    wait_until("all repeats and denials are logged", || {
        count("\"request sent again\"") >= repeats && count("\"no retry: the budget is spent\"") >= denied
    });
    assert_eq!(count("\"request sent again\""), repeats);
    assert_eq!(count("\"no retry: the budget is spent\""), denied);
    assert_eq!(
        service_value(&values, "carobhaven_service_requests_total", "") as u32,
        sent.get() + 30
    );
    assert!(service_value(&values, "carobhaven_budget_left_repeats", "") < 1.0);
    let lines = gateway.log_lines();
    let first_sends = lines.iter().filter(|line| {
        line.contains("\"sent to an upstream\"")
            && line.contains("\"service\":\"plain\"")
            && line.contains("\"attempts_before\":0")
    });
    assert_eq!(first_sends.count() as u32, sent.get() + 30);
}

#[test]
fn metrics_are_read_by_a_parser_and_their_labels_are_bounded() {
    let fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    for number in 0..50 {
        let order = request(&format!("o{number}"), "POST", &format!("/order/{number}"));
        assert_eq!(fleet.send(0, &order).status, 200);
        let unknown = request(&format!("u{number}"), "GET", &format!("/unknown/{number}"));
        assert_eq!(fleet.send(0, &unknown).status, 404);
    }
    let scrape = scrape(&fleet);
    let value = |name: &str| {
        let found = scrape.samples.iter().find(|sample| sample.metric == name);
        found.map(|sample| sample.value.clone())
    };
    assert_eq!(value("carobhaven_requests_total"), Some(Value::Counter(100.0)));
    assert!(matches!(
        value("carobhaven_answer_seconds"),
        Some(Value::Histogram(_))
    ));
    assert!(matches!(value("carobhaven_bodies_bytes"), Some(Value::Gauge(_))));
    for sample in &scrape.samples {
        let has_unit = ["_total", "_seconds", "_bytes", "_repeats"].iter().any(|unit| {
            sample
                .metric
                .trim_end_matches("_count")
                .trim_end_matches("_sum")
                .ends_with(unit)
        });
        assert!(has_unit, "{} names its unit", sample.metric);
    }
    let labels: HashSet<String> = scrape
        .samples
        .iter()
        .map(|sample| sample.labels.to_string())
        .collect();
    assert!(labels.len() <= MAX_LABEL_SETS, "{labels:?}");
}
