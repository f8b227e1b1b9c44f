//! Upstreams that name a limit on the requests that they take from all gateways together.

mod fleet;

use std::{
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Upstream,
    client::{self, Outcome, Request},
};
use fleet::{Fleet, generation_request, request, wait_until};

const GATEWAYS: usize = 3;
const UPSTREAMS: usize = 3;
const WORK_TIME: Duration = Duration::from_millis(15);

/// Time between two requests, and for which they are sent.
const INTERVAL: Duration = Duration::from_millis(25);
const RUN_TIME: Duration = Duration::from_secs(10);

/// Time for which a fleet may learn of a limit.
const CONTACT: Duration = Duration::from_millis(1_500);

/// Span of time in which arrivals are counted, and how many may come in it, by the platform's rules.
const SPAN: Duration = Duration::from_secs(4);
const SPAN_FACTOR: f64 = 1.5;
const SPAN_EXTRA: f64 = 5.0;

/// Share of its limit that an upstream gets at least while there is more work for it, and while others have room.
const USED_SHARE: f64 = 0.8;
const SHARED_SHARE: f64 = 0.5;

/// Time within which a request that cannot be served is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(1_500);

/// Time after which an upstream that names no limit any more has its share of the requests back.
const END_TIME: Duration = Duration::from_secs(4);

/// A request and what came of it.
struct Seen {
    sent: Instant,
    took: Duration,
    outcome: Outcome,
}

struct Rig {
    fleet: Fleet,
    upstreams: Vec<Upstream>,
    start: Instant,
    seen: Mutex<Vec<Seen>>,
}

fn read(number: usize) -> Request {
    request(&format!("aa{number:x}"), "GET", "/read/1").with_timeout(Duration::from_secs(3))
}

fn order(number: usize) -> Request {
    request(&format!("bb{number:x}"), "POST", "/order/1").with_timeout(Duration::from_secs(3))
}

fn generation(number: usize) -> Request {
    generation_request(&format!("cc{number:x}")).with_timeout(Duration::from_secs(5))
}

impl Rig {
    /// Starts upstreams of the plain service that name these limits.
    fn start(limits: [Option<&str>; UPSTREAMS]) -> Self {
        Self::start_with(limits, |fleet, id| fleet.start_plain(id, WORK_TIME))
    }

    fn start_with(
        limits: [Option<&str>; UPSTREAMS],
        start_upstream: impl Fn(&Fleet, &str) -> Upstream,
    ) -> Self {
        let fleet = Fleet::start(GATEWAYS);
        let upstreams: Vec<Upstream> = (0..UPSTREAMS)
            .map(|number| start_upstream(&fleet, &format!("u{number}")))
            .collect();
        for (upstream, limit) in upstreams.iter().zip(limits) {
            upstream.set_limit(limit);
        }
        fleet.configure();
        Self {
            fleet,
            upstreams,
            start: Instant::now(),
            seen: Mutex::default(),
        }
    }

    /// Sends requests that `make` returns for a number, to the gateways that `pick` returns for it.
    fn run(
        &self,
        time: Duration,
        make: impl Fn(usize) -> Request + Sync,
        pick: impl Fn(usize) -> usize + Sync,
    ) {
        let end = Instant::now() + time;
        thread::scope(|scope| {
            for number in 0.. {
                if Instant::now() >= end {
                    return;
                }
                let address = self.fleet.gateways[pick(number)].caller_address;
                let request = make(number);
                scope.spawn(move || {
                    let sent = Instant::now();
                    let outcome = client::send(address, &request);
                    let took = sent.elapsed();
                    let seen = Seen { sent, took, outcome };
                    self.seen.lock().expect("no client panics").push(seen);
                });
                thread::sleep(INTERVAL);
            }
        });
    }

    fn run_reads(&self) {
        self.run(RUN_TIME, read, |number| number % GATEWAYS);
    }

    /// Times at which requests reached the upstream with this number, after `from`.
    fn arrivals(&self, upstream: usize, from: Instant) -> Vec<Instant> {
        let id = self.upstreams[upstream].id();
        let arrivals = self.fleet.ledger.arrivals();
        let found = arrivals
            .iter()
            .filter(|arrival| arrival.upstream == id && arrival.at >= from);
        let mut times: Vec<Instant> = found.map(|arrival| arrival.at).collect();
        times.sort_unstable();
        times
    }

    /// Checks that the upstream got no more requests than its limit permits once the fleet had learned of it, and at
    /// least `share` of the limit.
    fn expect_limit(&self, upstream: usize, limit: f64, share: f64) {
        let from = self.start + CONTACT;
        let times = self.arrivals(upstream, from);
        let in_span = |index: usize| {
            let first = times[index];
            times[index..]
                .iter()
                .take_while(|at| **at <= first + SPAN)
                .count()
        };
        let most = (0..times.len()).map(in_span).max().unwrap_or(0);
        let allowed = SPAN_FACTOR * limit * SPAN.as_secs_f64() + SPAN_EXTRA;
        assert!(
            most as f64 <= allowed,
            "upstream {upstream} with a limit of {limit} a second got {most} requests in {SPAN:?}; allowed {allowed}"
        );
        let expected = limit * (RUN_TIME.as_secs_f64() - CONTACT.as_secs_f64()) * share;
        assert!(
            times.len() as f64 >= expected.floor(),
            "upstream {upstream} with a limit of {limit} a second got {} requests; expected {expected}",
            times.len()
        );
    }

    /// Checks that requests sent after `from` were served.
    fn expect_all_served(&self, from: Instant) {
        let seen = self.seen.lock().expect("no client panics");
        let later: Vec<&Seen> = seen.iter().filter(|seen| seen.sent >= from).collect();
        let served = later.iter().filter(|seen| seen.outcome.status == 200).count();
        assert_eq!(served, later.len(), "requests that were served");
    }

    /// Checks that requests are served or refused at once, with a delay that spreads those that come back.
    fn expect_refused_at_once(&self) {
        let seen = self.seen.lock().expect("no client panics");
        let mut delays = Vec::new();
        for Seen { took, outcome, .. } in seen.iter().filter(|seen| seen.outcome.status != 200) {
            assert_eq!(outcome.status, 503);
            assert!(*took < REFUSAL_TIME, "a request was refused after {took:?}");
            delays.push(
                outcome
                    .retry_after
                    .clone()
                    .expect("refusals say when to come back"),
            );
        }
        let count = delays.len();
        delays.sort_unstable();
        delays.dedup();
        assert!(
            delays.len() * 4 > count,
            "{count} refusals have {} delays",
            delays.len()
        );
    }
}

#[test]
fn an_upstream_gets_more_requests_than_the_limit_that_it_names() {
    let rig = Rig::start([Some("4.0"), None, None]);
    rig.run_reads();
    rig.expect_limit(0, 4.0, SHARED_SHARE);
    rig.expect_all_served(rig.start);
}

#[test]
fn two_upstreams_get_more_requests_than_the_limits_that_they_name() {
    let rig = Rig::start([Some("0.5"), Some("4.9"), None]);
    rig.run_reads();
    rig.expect_limit(0, 0.5, SHARED_SHARE);
    rig.expect_limit(1, 4.9, SHARED_SHARE);
    rig.expect_all_served(rig.start);
}

#[test]
fn all_upstreams_get_more_requests_than_the_limits_that_they_name() {
    let rig = Rig::start([Some("4.0"), Some("4.9"), Some("6")]);
    rig.run_reads();
    rig.expect_limit(0, 4.0, USED_SHARE);
    rig.expect_limit(1, 4.9, USED_SHARE);
    rig.expect_limit(2, 6.0, USED_SHARE);
    rig.expect_refused_at_once();
}

#[test]
fn upstreams_get_more_orders_than_the_limits_that_they_name() {
    let rig = Rig::start([Some("4.0"), Some("0"), Some("0.3")]);
    rig.run(RUN_TIME, order, |number| number % GATEWAYS);
    rig.expect_limit(0, 4.0, USED_SHARE);
    rig.expect_limit(1, 0.0, 0.0);
    rig.expect_limit(2, 0.3, 0.0);
    rig.expect_refused_at_once();
}

#[test]
fn engines_get_more_generations_than_the_limits_that_they_name() {
    let rig = Rig::start_with([Some("3"), Some("2.5"), None], |fleet, id| {
        fleet.start_engine(id, 3, Duration::from_millis(10))
    });
    rig.run(RUN_TIME, generation, |number| number % GATEWAYS);
    rig.expect_limit(0, 3.0, SHARED_SHARE);
    rig.expect_limit(1, 2.5, SHARED_SHARE);
    rig.expect_all_served(rig.start);
}

/// All requests come to one gateway, so that equal shares would use a third of the limits.
#[test]
fn limits_are_used_although_all_requests_come_to_one_gateway() {
    let rig = Rig::start([Some("4.0"), Some("4.9"), Some("6")]);
    rig.run(RUN_TIME, read, |_| 1);
    rig.expect_limit(0, 4.0, USED_SHARE);
    rig.expect_limit(1, 4.9, USED_SHARE);
    rig.expect_limit(2, 6.0, USED_SHARE);
}

/// A gateway that got no answer with the limit keeps to it, and one that starts does.
#[test]
fn a_gateway_that_was_not_told_sends_more_than_the_limit() {
    let mut rig = Rig::start([Some("2"), Some("2"), Some("2")]);
    rig.run(2 * CONTACT, read, |_| 0);
    let added = rig.fleet.add_gateway();
    wait_until("the new gateway is ready", || {
        rig.fleet.gateways[added].is_ready()
    });
    thread::sleep(CONTACT);
    rig.run(
        SPAN,
        |number| request(&format!("ab{number:x}"), "GET", "/read/1").with_timeout(Duration::from_secs(3)),
        |number| [1, added][number % 2],
    );
    for upstream in 0..UPSTREAMS {
        rig.expect_limit(upstream, 2.0, 0.0);
    }
}

/// The gateway that issues the permits for an upstream ends while requests come; the others go on.
#[test]
fn a_limit_is_kept_and_used_when_gateways_are_killed() {
    let rig = Rig::start([Some("6"), Some("6"), Some("6")]);
    rig.run(2 * CONTACT, read, |number| number % GATEWAYS);
    rig.fleet.gateways[2].signal("KILL");
    rig.run(
        RUN_TIME,
        |number| request(&format!("ab{number:x}"), "GET", "/read/1").with_timeout(Duration::from_secs(3)),
        |number| number % 2,
    );
    for upstream in 0..UPSTREAMS {
        // One of three registered gateways is gone, and two of them know of no other one.
        rig.expect_limit(upstream, 6.0, SHARED_SHARE);
    }
}

#[test]
fn an_upstream_that_names_no_limit_any_more_gets_its_share() {
    let rig = Rig::start([Some("1"), None, None]);
    rig.run(2 * CONTACT, read, |number| number % GATEWAYS);
    rig.upstreams[0].set_limit(None);
    let ended = Instant::now();
    rig.run(
        END_TIME + SPAN,
        |number| request(&format!("ab{number:x}"), "GET", "/read/1").with_timeout(Duration::from_secs(3)),
        |number| number % GATEWAYS,
    );
    let got = rig.arrivals(0, ended + END_TIME).len() as f64;
    let sent = SPAN.as_secs_f64() / INTERVAL.as_secs_f64();
    assert!(
        got >= sent / UPSTREAMS as f64 * 0.6,
        "{got} of about {sent} requests"
    );
}

/// Values that are no decimal number, and a limit that a client names, change nothing.
#[test]
fn a_limit_that_cannot_be_read_holds_requests_back() {
    let rig = Rig::start([None; UPSTREAMS]);
    let texts = [
        "", "-1", "+1", "1e1", "nan", "inf", "1 2", "1,2", "0x1", ".", "1.", ".5", "1.2.3", "1e308", "٣",
    ];
    let long = "1".repeat(40);
    for text in texts.iter().copied().chain([&*long, "1\r\nServer-Limit: 2"]) {
        rig.upstreams
            .iter()
            .for_each(|upstream| upstream.set_limit(Some(text)));
        let make = |number: usize| {
            let id = format!("aa{number:x}{}", text.len());
            request(&id, "GET", "/read/1")
                .with_timeout(Duration::from_secs(3))
                .with_header("Server-Limit", "0.1")
        };
        rig.run(Duration::from_millis(500), make, |number| number % GATEWAYS);
    }
    rig.expect_all_served(rig.start);
    let held = rig
        .fleet
        .gateways
        .iter()
        .any(|gateway| gateway.logged("changed its limit"));
    assert!(!held, "no limit was taken from these answers");
}
