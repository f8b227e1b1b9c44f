//! Gateways that some or all upstreams cannot be reached from, while the other gateways reach them.

mod fleet;

use std::{
    net::IpAddr,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Link, Upstream,
    client::{self, Outcome, Request},
    config::{self, Route},
};
use fleet::{CLIENT_KEY, Fleet, generation_request, request, wait_until};

const GATEWAYS: usize = 4;
const UPSTREAMS: usize = 3;
const WORK_TIME: Duration = Duration::from_millis(15);
const INTERVAL: Duration = Duration::from_millis(25);

/// Time before a cut, of the cut, and after it.
const CALM: Duration = Duration::from_secs(1);
const CUT: Duration = Duration::from_secs(9);
const AFTER: Duration = Duration::from_secs(4);

/// Time from the beginning of a cut on which its gateways have to serve, and from its end on which they connect
/// directly again.
const CONTACT: Duration = Duration::from_secs(4);
const RETURN: Duration = Duration::from_secs(2);

/// Share of the other gateways' requests that gateways serve which are cut off, and share of what arrives after the
/// cut that comes directly.
const SERVED_SHARE: f64 = 0.9;
const DIRECT_SHARE: f64 = 0.5;

struct Seen {
    gateway: usize,
    sent: Instant,
    outcome: Outcome,
}

impl Seen {
    fn is_served(&self) -> bool {
        self.outcome.status == 200 && self.outcome.complete
    }
}

struct Rig {
    fleet: Fleet,
    upstreams: Vec<Upstream>,
    seen: Mutex<Vec<Seen>>,
}

fn read(number: usize) -> Request {
    request(&format!("ca{number:x}"), "GET", "/read/1").with_timeout(Duration::from_secs(3))
}

fn order(number: usize) -> Request {
    request(&format!("cb{number:x}"), "POST", "/order/1").with_timeout(Duration::from_secs(3))
}

fn generation(number: usize) -> Request {
    generation_request(&format!("cc{number:x}"))
        .with_events(10)
        .with_timeout(Duration::from_secs(5))
}

impl Rig {
    fn start() -> Self {
        Self::start_with(|fleet, id| fleet.start_plain(id, WORK_TIME))
    }

    fn start_engines() -> Self {
        Self::start_with(|fleet, id| fleet.start_engine(id, 10, WORK_TIME))
    }

    fn start_with(start_upstream: impl Fn(&Fleet, &str) -> Upstream) -> Self {
        let fleet = Fleet::start(GATEWAYS);
        let upstreams: Vec<Upstream> = (0..UPSTREAMS)
            .map(|number| start_upstream(&fleet, &format!("u{number}")))
            .collect();
        fleet.configure();
        Self {
            fleet,
            upstreams,
            seen: Mutex::default(),
        }
    }

    /// Changes the links between the first gateways and the first upstreams.
    fn set_links(&self, gateways: usize, upstreams: usize, link: Link) {
        let links: Vec<(IpAddr, Link)> = self.fleet.gateways[..gateways]
            .iter()
            .map(|gateway| (gateway.peer_address.ip(), link))
            .collect();
        for upstream in &self.upstreams[..upstreams] {
            upstream.set_source_links(&links);
        }
    }

    /// Sends requests to all gateways in turn, and calls `poll` with each.
    fn run(&self, time: Duration, make: impl Fn(usize) -> Request, poll: impl Fn(Duration)) {
        let start = Instant::now();
        thread::scope(|scope| {
            for number in 0.. {
                if start.elapsed() >= time {
                    return;
                }
                poll(start.elapsed());
                let gateway = number % GATEWAYS;
                let address = self.fleet.gateways[gateway].caller_address;
                let request = make(number);
                scope.spawn(move || {
                    let sent = Instant::now();
                    let outcome = client::send(address, &request);
                    let seen = Seen {
                        gateway,
                        sent,
                        outcome,
                    };
                    self.seen.lock().expect("no client panics").push(seen);
                });
                thread::sleep(INTERVAL);
            }
        });
    }

    /// Share of the first tries sent to the gateways with these numbers between two times that were served.
    fn served(&self, gateways: std::ops::Range<usize>, from: Instant, to: Instant) -> f64 {
        let seen = self.seen.lock().expect("no client panics");
        let tries: Vec<&Seen> = seen
            .iter()
            .filter(|seen| gateways.contains(&seen.gateway) && seen.sent >= from && seen.sent < to)
            .collect();
        let served = tries.iter().filter(|seen| seen.is_served()).count();
        eprintln!("gateways {gateways:?}: {served} of {} served", tries.len());
        served as f64 / tries.len().max(1) as f64
    }

    /// Cuts the first `cut` gateways off from all upstreams while requests go to all, and expects that they serve as
    /// many as the others, and run nothing twice.
    fn expect_service(&self, cut: usize, link: Link, make: impl Fn(usize) -> Request) {
        let start = Instant::now();
        let state = Mutex::new(Link::Open);
        self.run(CALM + CUT + AFTER, make, |elapsed| {
            let wanted = if elapsed >= CALM && elapsed < CALM + CUT {
                link
            } else {
                Link::Open
            };
            let mut present = state.lock().expect("no client panics");
            if *present != wanted {
                *present = wanted;
                self.set_links(cut, UPSTREAMS, wanted);
            }
        });
        let (from, to) = (start + CALM + CONTACT, start + CALM + CUT);
        let others = self.served(cut..GATEWAYS, from, to);
        let own = self.served(0..cut, from, to);
        assert!(others > 0.95, "the others served {others}");
        assert!(own >= SERVED_SHARE * others, "{own} served, the others {others}");
        let after = self.served(0..cut, to + RETURN, to + AFTER);
        assert!(after > 0.95, "{after} served after the cut");
        self.expect_direct(cut, to + RETURN);
        let mut ids: Vec<String> = self
            .fleet
            .ledger
            .started()
            .into_iter()
            .map(|run| run.id)
            .collect();
        let count = ids.len();
        ids.sort_unstable();
        ids.dedup();
        assert!(count - ids.len() <= self.repeatable(), "requests ran twice");
    }

    /// Number of requests that may have run twice: reads.
    fn repeatable(&self) -> usize {
        let started = self.fleet.ledger.started();
        started.iter().filter(|run| run.id.starts_with("ca")).count()
    }

    /// Expects that most requests at the first gateways come directly from `from` on.
    fn expect_direct(&self, gateways: usize, from: Instant) {
        let seen = self.seen.lock().expect("no client panics");
        let sent = seen
            .iter()
            .filter(|seen| seen.gateway < gateways && seen.sent >= from)
            .count();
        let connections = |source: IpAddr| -> usize {
            let upstreams = self.upstreams.iter();
            upstreams.map(|upstream| upstream.connections(source, from)).sum()
        };
        let arrived: usize = self.fleet.gateways[..gateways]
            .iter()
            .map(|gateway| connections(gateway.peer_address.ip()))
            .sum();
        assert!(
            arrived as f64 >= DIRECT_SHARE * sent as f64,
            "{arrived} direct connections for {sent} requests"
        );
    }
}

#[test]
fn reads_fail_while_connections_of_three_of_four_gateways_hang() {
    Rig::start().expect_service(3, Link::Silent, read);
}

#[test]
fn reads_fail_while_connections_of_three_of_four_gateways_are_reset() {
    Rig::start().expect_service(3, Link::Reset, read);
}

#[test]
fn reads_fail_while_three_of_four_gateways_get_no_new_connections() {
    Rig::start().expect_service(3, Link::ClosedToNew, read);
}

#[test]
fn reads_fail_while_one_of_four_gateways_gets_no_answers() {
    Rig::start().expect_service(1, Link::OneWay, read);
}

#[test]
fn orders_fail_while_connections_of_a_gateway_are_reset() {
    Rig::start().expect_service(1, Link::Reset, order);
}

#[test]
fn orders_fail_while_connections_of_two_gateways_hang() {
    Rig::start().expect_service(2, Link::Silent, order);
}

#[test]
fn generations_fail_while_connections_of_two_gateways_hang() {
    Rig::start_engines().expect_service(2, Link::Silent, generation);
}

#[test]
fn generations_fail_while_connections_of_three_gateways_are_reset() {
    Rig::start_engines().expect_service(3, Link::Reset, generation);
}

/// Nobody can help, so that waiting has no use; and nothing is lost once the links are back.
#[test]
fn requests_wait_while_no_gateway_reaches_an_upstream() {
    let rig = Rig::start();
    let start = Instant::now();
    rig.set_links(GATEWAYS, UPSTREAMS, Link::Reset);
    rig.run(CUT, read, |_| {});
    let from = start + CONTACT;
    let seen = rig.seen.lock().expect("no client panics");
    let refused: Vec<&Seen> = seen.iter().filter(|seen| seen.sent >= from).collect();
    assert!(refused.iter().all(|seen| !seen.is_served()));
    let delays: std::collections::BTreeSet<_> = refused
        .iter()
        .filter_map(|seen| seen.outcome.retry_after.clone())
        .collect();
    assert!(delays.len() > 5, "Retry-After is spread: {delays:?}");
    drop(seen);
    rig.set_links(GATEWAYS, UPSTREAMS, Link::Open);
    thread::sleep(RETURN);
    for gateway in 0..GATEWAYS {
        assert_eq!(rig.fleet.send(gateway, &read(90_000 + gateway)).status, 200);
    }
}

/// The other upstreams are reached directly and have room.
#[test]
fn requests_fail_while_a_gateway_is_cut_off_from_two_of_three_upstreams() {
    let rig = Rig::start();
    let start = Instant::now();
    rig.set_links(1, 2, Link::Silent);
    rig.run(CUT, read, |_| {});
    let end = start + CUT;
    assert!(rig.served(0..1, start + CONTACT, end) > SERVED_SHARE);
    assert!(rig.served(1..GATEWAYS, start, end) > 0.95);
}

/// What a cut instance sees of upstreams says nothing about them.
#[test]
fn sound_requests_are_refused_for_crashes_after_a_cut() {
    let rig = Rig::start_engines();
    for round in 0..4 {
        rig.set_links(2, UPSTREAMS, Link::Reset);
        rig.run(
            Duration::from_secs(1),
            |number| generation(number + 1_000 * round),
            |_| {},
        );
        rig.set_links(2, UPSTREAMS, Link::Open);
        rig.run(
            Duration::from_millis(1_500),
            |number| generation(number + 1_000 * round + 500),
            |_| {},
        );
    }
    for gateway in &rig.fleet.gateways {
        assert!(!gateway.logged("upstream ended under requests"));
        assert!(!gateway.logged("request refused: upstreams crash under a part of it"));
    }
}

/// A gateway that relays ends in the middle of a cut; the rest of them take over.
#[test]
fn requests_fail_for_long_after_a_gateway_that_relays_is_killed() {
    let mut rig = Rig::start();
    rig.set_links(2, UPSTREAMS, Link::Reset);
    rig.run(Duration::from_secs(3), read, |_| {});
    rig.fleet.gateways[3].signal("KILL");
    let killed = Instant::now();
    rig.run(Duration::from_secs(6), |number| read(number + 10_000), |_| {});
    assert!(
        rig.served(
            0..2,
            killed + Duration::from_secs(3),
            killed + Duration::from_secs(6)
        ) > SERVED_SHARE
    );
    rig.fleet.gateways[3]
        .child
        .wait()
        .expect("the process was killed");
    rig.fleet.gateways[3].spawn();
    wait_until("the gateway is ready", || rig.fleet.gateways[3].is_ready());
}

/// A client that leaves a relayed request ends the upstream's work.
#[test]
fn an_upstream_works_on_after_the_client_of_a_relayed_generation_has_left() {
    let rig = Rig::start_engines();
    rig.set_links(1, UPSTREAMS, Link::Reset);
    rig.run(Duration::from_secs(3), generation, |_| {});
    let long = generation_request("dd1").with_events(800);
    let connection = client::open(rig.fleet.gateways[0].caller_address, &long);
    wait_until("the generation runs", || rig.fleet.ledger.run_count("dd1") == 1);
    drop(connection);
    let left = Instant::now();
    wait_until("the upstream's work is dropped", || {
        rig.fleet.ledger.was_dropped("dd1")
    });
    assert!(
        left.elapsed() < Duration::from_millis(500),
        "{:?}",
        left.elapsed()
    );
}

/// Engines go on behind the cut, and what they have generated can be had through another gateway.
#[test]
fn generations_are_lost_when_the_links_of_their_gateway_hang() {
    let rig = Rig::start_with(|fleet, id| fleet.start_engine(id, 150, Duration::from_millis(40)));
    let route = Route::new("/draft/", "streaming", "engines").with_timeout(20_000);
    rig.fleet
        .store
        .put(config::KEY, &config::config(2, &[route], &[CLIENT_KEY]));
    wait_until("the configuration is in force", || {
        rig.fleet.gateways[0].logged("\"version\":2")
    });
    let address = rig.fleet.gateways[0].caller_address;
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let request = generation_request(&format!("ee{number}"));
            thread::spawn(move || client::send(address, &request))
        })
        .collect();
    for number in 0..6 {
        wait_until("the generation runs", || {
            rig.fleet.ledger.run_count(&format!("ee{number}")) == 1
        });
    }
    thread::sleep(Duration::from_secs(1));
    rig.set_links(1, UPSTREAMS, Link::Silent);
    for client in clients {
        let outcome = client.join().expect("clients do not panic");
        assert!(
            outcome.status == 200 && outcome.complete,
            "status {}",
            outcome.status
        );
        let text = String::from_utf8_lossy(&outcome.body);
        let ids: Vec<u64> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
        assert_eq!(ids, (1..=150).collect::<Vec<u64>>(), "each event once, in order");
        assert!(outcome.max_pause < 3_000, "{} ms", outcome.max_pause);
    }
}

/// The end of the connection is not the end of the answer, although the answer has no framing of its own.
#[test]
fn a_stream_looks_complete_when_the_gateway_that_relays_it_is_killed() {
    let rig = Rig::start_engines();
    for upstream in &rig.upstreams {
        upstream.set_chunked(false);
    }
    rig.set_links(1, UPSTREAMS, Link::Reset);
    rig.run(Duration::from_secs(2), generation, |_| {});
    let address = rig.fleet.gateways[0].caller_address;
    let long = generation_request("ff1").with_events(100);
    let stream = thread::spawn(move || client::send(address, &long));
    wait_until("the generation runs", || rig.fleet.ledger.run_count("ff1") == 1);
    thread::sleep(Duration::from_millis(500));
    let relaying =
        rig.fleet.gateways.iter().find(|gateway| {
            gateway.logged("\"connection relayed for another instance\",\"request\":\"ff1\"")
        });
    relaying.expect("a gateway relays it").signal("KILL");
    let outcome = stream.join().expect("the client does not panic");
    assert!(!outcome.complete && outcome.status == 200);
}
