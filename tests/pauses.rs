//! Upstreams that reject requests and ask for a pause.

mod fleet;

use std::{
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{AnswerMode, Link, Upstream};
use fleet::{Fleet, request};

const GATEWAYS: usize = 3;
const INTERVAL: Duration = Duration::from_millis(20);

/// Time that rejections name, and the part of it after which nothing may come any more.
const PAUSE: Duration = Duration::from_secs(3);
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// Requests that may come from one gateway nevertheless.
const MAX_LATE: usize = 2;

struct Rig {
    fleet: Fleet,
    upstreams: Vec<Upstream>,
}

impl Rig {
    fn start() -> Self {
        let fleet = Fleet::start(GATEWAYS);
        let upstreams = (0..2)
            .map(|number| fleet.start_plain(&format!("p{number}"), Duration::from_millis(5)))
            .collect();
        fleet.configure();
        Self { fleet, upstreams }
    }

    /// Lets an upstream reject everything.
    fn reject(&self, upstream: usize, pause: &str) {
        self.upstreams[upstream].set_pause(Some(pause));
        self.upstreams[upstream].set_answer_mode(AnswerMode::Rejection);
    }

    /// Sends orders to one gateway for `time`; returns the outcomes' statuses, delays and times taken.
    fn send(&self, prefix: &str, time: Duration) -> Vec<(u16, Option<String>, Duration)> {
        let end = Instant::now() + time;
        let mut seen = Vec::new();
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let order = request(&format!("{prefix}{number}"), "POST", "/order/1")
                .with_timeout(Duration::from_secs(2));
            let sent = Instant::now();
            let outcome = self.fleet.send(0, &order);
            seen.push((outcome.status, outcome.retry_after, sent.elapsed()));
            thread::sleep(INTERVAL);
        }
        seen
    }

    /// Times of arrivals at an upstream.
    fn arrivals(&self, upstream: usize) -> Vec<Instant> {
        let id = self.upstreams[upstream].id();
        let arrivals = self.fleet.ledger.arrivals();
        let found = arrivals.iter().filter(|arrival| arrival.upstream == id);
        found.map(|arrival| arrival.at).collect()
    }
}

#[test]
fn an_upstream_that_asks_for_a_pause_gets_requests() {
    let rig = Rig::start();
    rig.fleet.earn_repeats(0, 3);
    rig.reject(0, "3");
    let start = Instant::now();
    let seen = rig.send("a", 2 * PAUSE);
    assert!(
        seen.iter().all(|(status, ..)| *status == 200),
        "the other upstream has room"
    );
    let times: Vec<Instant> = rig.arrivals(0).into_iter().filter(|at| *at >= start).collect();
    let first = *times.first().expect("it got a request");
    let late = times
        .iter()
        .filter(|at| **at > first + ON_THE_WAY && **at < first + PAUSE);
    assert!(late.count() <= MAX_LATE);
    assert!(times.iter().any(|at| *at >= first + PAUSE), "it is asked again");
}

#[test]
fn a_request_waits_although_all_upstreams_ask_for_a_pause() {
    let rig = Rig::start();
    rig.reject(0, "3");
    rig.reject(1, "2.5");
    rig.send("a", Duration::from_millis(200));
    let seen = rig.send("b", Duration::from_secs(1));
    let mut delays = Vec::new();
    for (status, delay, took) in seen {
        assert_eq!(status, 503);
        assert!(took < Duration::from_millis(500), "refused after {took:?}");
        let delay: f64 = delay.and_then(|delay| delay.parse().ok()).expect("a delay");
        assert!((0.3..=6.0).contains(&delay), "{delay}");
        delays.push((delay * 100.0) as u32);
    }
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 5, "{delays:?}");
    assert!(rig.arrivals(0).len() + rig.arrivals(1).len() <= 4);
}

/// Texts that are no decimal number change nothing.
#[test]
fn a_time_that_cannot_be_read_pauses_an_upstream() {
    let rig = Rig::start();
    rig.reject(0, "-5");
    rig.send("a", Duration::from_secs(1));
    let before = rig.arrivals(0).len();
    rig.send("b", Duration::from_secs(2));
    assert!(rig.arrivals(0).len() > before, "it is asked again");
    assert!(rig.fleet.gateways[0].logged("limit of an upstream cannot be read"));
}

/// The pause is meant for the gateway that the upstream has answered, not for the one that the client has asked.
#[test]
fn an_upstream_gets_requests_from_the_gateway_that_relayed_its_rejection() {
    let rig = Rig::start();
    let cut = rig.fleet.gateways[0].peer_address.ip();
    for upstream in &rig.upstreams {
        upstream.set_source_links(&[(cut, Link::Reset)]);
    }
    // The only other one relays.
    rig.fleet.gateways[2].signal("STOP");
    rig.send("a", Duration::from_secs(3));
    rig.reject(0, "3");
    rig.reject(1, "3");
    let start = Instant::now();
    for number in 0..100 {
        // To the gateway that is cut off until an upstream has rejected a request, then to the other.
        let is_rejected = (0..2).any(|upstream| rig.arrivals(upstream).iter().any(|at| *at >= start));
        let order = request(&format!("b{number}"), "POST", "/order/1").with_timeout(Duration::from_secs(2));
        let outcome = rig.fleet.send(usize::from(is_rejected), &order);
        assert_ne!(outcome.status, 200);
        thread::sleep(INTERVAL);
    }
    rig.fleet.gateways[2].signal("CONT");
    for upstream in 0..2 {
        let mut times = rig.arrivals(upstream);
        times.retain(|at| *at >= start);
        let first = *times.first().expect("it got a request");
        let late = times
            .iter()
            .filter(|at| **at > first + ON_THE_WAY && **at < first + PAUSE);
        assert!(late.count() <= MAX_LATE);
    }
}
