//! Logs and metrics of gateways: what operators see, and that writing them does not affect clients.

mod fleet;

use std::{collections::HashSet, thread, time::Duration};

use carob_platform_standin::client::{self, Request};
use fleet::{Fleet, request, wait_until};
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
    let answer = client::send(
        fleet.gateways[0].admin_address,
        &Request::new("m", "GET", "/metrics"),
    );
    let text = String::from_utf8(answer.body).expect("metrics are text");
    let scrape = Scrape::parse(text.lines().map(|line| Ok(line.to_owned())))
        .expect("the metrics are in the Prometheus text format");
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
        let has_unit = ["_total", "_seconds", "_bytes"].iter().any(|unit| {
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
