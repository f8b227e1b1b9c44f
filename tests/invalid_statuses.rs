//! Answers whose status is none of a final answer: `HTTP/1.1 000` was seen from an upstream in trouble. None is passed
//! on; each counts as no answer of the upstream or the store.

mod fleet;

use std::time::Duration;

use carob_platform_standin::{AnswerMode, Link, Outage, Upstream};
use fleet::{Fleet, generation_request, request, wait_until};

const SHORT: Duration = Duration::from_millis(5);

/// What stands for the status and its reason, separated by bars.
const STATUSES: &str =
    " 000| 000 Trouble| 099 x| 101 Switching| 600 x| 799 x| 999 | 1000 x| 20 x| 2xx x| abc x| -200 OK|| ";

fn statuses() -> impl Iterator<Item = (usize, &'static str)> {
    STATUSES.split('|').enumerate()
}

fn start(gateways: usize) -> (Fleet, Vec<Upstream>) {
    let fleet = Fleet::start(gateways);
    let upstreams = vec![fleet.start_plain("p0", SHORT), fleet.start_engine("e0", 3, SHORT)];
    fleet.configure();
    wait_until("both upstreams are known", || {
        fleet.send(0, &generation_request("warm")).status == 200
            && fleet.send(0, &request("warm", "POST", "/order/1")).status == 200
    });
    (fleet, upstreams)
}

/// Sends an order and a generation for each status, and asserts that no status of an upstream's is passed on.
fn expect_unanswered(fleet: &Fleet, upstreams: &[Upstream], what: &str) {
    let mut passed_on = Vec::new();
    for (number, status) in statuses() {
        for upstream in upstreams {
            upstream.set_answer_mode(AnswerMode::Status(status));
        }
        for request in [
            request(&format!("{what}-o{number}"), "POST", "/order/1"),
            generation_request(&format!("{what}-s{number}")).with_timeout(Duration::from_secs(2)),
        ] {
            let outcome = fleet.send(0, &request);
            if outcome.status != 502 || outcome.from_upstream {
                passed_on.push((request.path, status, outcome.status));
            }
        }
    }
    assert!(passed_on.is_empty(), "{what}: {passed_on:?}");
    for upstream in upstreams {
        upstream.set_answer_mode(AnswerMode::Normal);
    }
    for (id, path) in [("after-o", "/order/1"), ("after-r", "/read/1")] {
        let outcome = fleet.send(0, &request(&format!("{what}-{id}"), "POST", path));
        assert_eq!(outcome.status, 200, "{what}: {path} afterwards");
    }
}

#[test]
fn an_invalid_status_is_passed_on() {
    let (fleet, upstreams) = start(1);
    expect_unanswered(&fleet, &upstreams, "direct");
}

#[test]
fn an_invalid_status_is_passed_on_through_another_gateway() {
    let (fleet, upstreams) = start(2);
    let source = fleet.gateways[0].peer_address.ip();
    for upstream in &upstreams {
        upstream.set_source_links(&[(source, Link::Reset)]);
    }
    wait_until("the other gateway relays both services", || {
        let relayed = |request| fleet.send(0, &request).complete;
        relayed(generation_request("warm2")) && relayed(request("warm2", "GET", "/read/1"))
    });
    expect_unanswered(&fleet, &upstreams, "relayed");
}

/// A repeat at a sound upstream follows, as after an answer that broke off.
#[test]
fn a_safe_request_fails_because_of_an_invalid_status() {
    let (fleet, upstreams) = start(1);
    let _sound = fleet.start_plain("p1", SHORT);
    fleet.earn_repeats(0, 14);
    for (number, status) in statuses() {
        upstreams[0].set_answer_mode(AnswerMode::Status(status));
        let outcome = fleet.send(0, &request(&format!("r{number}"), "GET", "/read/1"));
        assert_eq!(outcome.status, 200, "{status:?}");
    }
}

/// A reason may be empty or absent, and interim answers precede the final one.
#[test]
fn a_valid_status_counts_as_none() {
    let (fleet, upstreams) = start(1);
    for (status, expected) in [(" 404", 404), (" 404 ", 404), (" 200 OK", 200), (" 599 x", 599)] {
        upstreams[0].set_answer_mode(AnswerMode::Status(status));
        let id = format!("v{expected}-{}", status.len());
        assert_eq!(fleet.send(0, &request(&id, "POST", "/order/1")).status, expected);
    }
}

#[test]
fn an_invalid_status_of_the_store_or_of_a_control_call_ends_service() {
    let (fleet, upstreams) = start(1);
    let endpoint = &fleet.gateways[0].store_endpoint;
    for (number, status) in statuses() {
        endpoint.set_outage(Some(Outage::Status(status)));
        for upstream in &upstreams {
            upstream.set_control_status(Some(status));
        }
        std::thread::sleep(Duration::from_millis(150));
        for request in [
            request(&format!("c-o{number}"), "POST", "/order/1"),
            generation_request(&format!("c-s{number}")),
        ] {
            assert_eq!(fleet.send(0, &request).status, 200, "{status:?}");
        }
        assert!(fleet.gateways[0].is_ready(), "{status:?}");
    }
    endpoint.set_outage(None);
    fleet.expect_version(2, true);
}
