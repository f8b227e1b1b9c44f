//! Gateways whose configuration may be outdated, and requests that may run in some regions only.

mod fleet;

use std::{
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Outage, Upstream,
    client::{self, Outcome, Request},
    config::{self, Route},
};
use fleet::{CLIENT_KEY, CONFIG_APPLY, Fleet, LONG, generation_request, request, wait_until};

const WORK_TIME: Duration = Duration::from_millis(2);
const INTERVAL: Duration = Duration::from_millis(50);

/// Longest time in which a gateway refuses a request that it does not hold.
const REFUSAL_TIME: Duration = Duration::from_millis(700);

/// Events of a generation, which goes on for longer than it takes to notice a cut.
const EVENTS: u64 = 400;

/// Interval between two events of a generation that is to reach its end.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which a gateway stands still, longer than it takes to doubt its configuration.
const STANDSTILL: Duration = Duration::from_secs(2);

/// Time between the announcement that an upstream leaves and its end.
const NOTICE: Duration = Duration::from_millis(1_600);

/// Number of outages that spread, each later by [`SPREAD_STEP`]; together they are longer than the calls of one read.
const SPREADS: u32 = 6;
const SPREAD_STEP: Duration = Duration::from_millis(350);

/// API keys of a version that is too large to be passed on to other gateways.
const LARGE_KEYS: usize = 2_000;

/// Time in which a gateway tells others of a version; they may stand still for longer without a doubt.
const TELL_TIME: Duration = Duration::from_millis(500);

const NORTH: &[&str] = &["north"];
const SOUTH: &[&str] = &["south"];

/// Starts gateways, an upstream `n` in `north` and another one in `south`.
fn start(count: usize) -> (Fleet, [Upstream; 2]) {
    let fleet = Fleet::start(count);
    let upstreams = [("a", "n"), ("b", "s")].map(|(domain, id)| fleet.start_plain_in(domain, id, WORK_TIME));
    write(&fleet, 1, NORTH);
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(2));
    (fleet, upstreams)
}

/// Writes a version of the configuration in which reads may run in `regions` only.
fn write(fleet: &Fleet, version: u64, regions: &'static [&'static str]) {
    let routes = [
        Route::new("/read/", "safe", "plain").with_regions(regions),
        Route::new("/free/", "safe", "plain"),
    ];
    fleet
        .store
        .put(config::KEY, &config::config(version, &routes, &[CLIENT_KEY]));
}

/// Ids of reads that reached `upstream` after `from`.
fn reads_after(fleet: &Fleet, upstream: &str, from: Instant) -> Vec<String> {
    let arrivals = fleet.ledger.arrivals().into_iter();
    let late = arrivals
        .filter(|arrival| arrival.upstream == upstream && arrival.at > from && arrival.id.starts_with('r'));
    late.map(|arrival| arrival.id).collect()
}

/// Sends reads to a gateway until one is served.
fn expect_served(fleet: &Fleet, gateway: usize) {
    wait_until("reads are served again", || {
        let id = format!("r-again{}", fleet.ledger.arrivals().len());
        fleet.send(gateway, &request(&id, "GET", "/read/1")).status == 200
    });
}

/// Sends reads and requests that may run anywhere to the first gateway. Returns how many reads were refused after `from`;
/// expects that all others were served, and that refusals came at once.
fn send_for(fleet: &Fleet, time: Duration, from: Instant) -> usize {
    let (started, mut refused) = (Instant::now(), 0);
    for number in 0.. {
        if started.elapsed() >= time {
            break;
        }
        let free = request(&format!("f{number}"), "GET", "/free/1").with_timeout(LONG);
        assert_eq!(fleet.send(0, &free).status, 200, "requests that may run anywhere");
        let sent = Instant::now();
        let read = request(&format!("r{number}"), "GET", "/read/1").with_timeout(LONG);
        let status = fleet.send(0, &read).status;
        if sent > from && status == 503 {
            assert!(sent.elapsed() < REFUSAL_TIME, "held for {:?}", sent.elapsed());
            refused += 1;
        } else {
            assert_eq!(status, 200);
        }
        thread::sleep(INTERVAL);
    }
    refused
}

/// A gateway that heard neither the store nor another gateway sent reads by regions that were replaced 12 s before.
#[test]
fn a_gateway_that_is_cut_off_sends_requests_by_replaced_regions() {
    for (count, outage) in [(2, Outage::Reset), (4, Outage::Silent)] {
        let (fleet, _upstreams) = start(count);
        fleet.gateways[0].store_endpoint.set_outage(Some(outage));
        for gateway in &fleet.gateways[1..] {
            gateway.signal("STOP");
        }
        let written = Instant::now();
        write(&fleet, 2, SOUTH);
        let refused = send_for(&fleet, CONFIG_APPLY * 2, written);
        let late = reads_after(&fleet, "n", written + CONFIG_APPLY);
        assert!(late.is_empty(), "{outage:?}: {late:?}");
        assert!(refused > 0, "{outage:?}: no read was refused");
        let metrics = client::send(
            fleet.gateways[0].admin_address,
            &Request::new("m", "GET", "/metrics"),
        );
        let metrics = String::from_utf8(metrics.body).expect("metrics are text");
        assert!(
            metrics.contains("carobhaven_outdated_refusals_total{reason=\"cut-off\"}"),
            "{metrics}"
        );
        fleet.gateways[0].store_endpoint.set_outage(None);
        for gateway in &fleet.gateways[1..] {
            gateway.signal("CONT");
        }
        expect_served(&fleet, 0);
        let late = reads_after(&fleet, "n", written + CONFIG_APPLY);
        assert!(late.is_empty(), "{outage:?}: {late:?}");
        assert!(!reads_after(&fleet, "s", written).is_empty());
    }
}

/// A generation was moved by regions that a gateway which is cut off cannot rely on. It stays where it runs.
#[test]
fn a_generation_is_moved_by_replaced_regions() {
    let fleet = Fleet::start(2);
    let engines = ["e1", "e2"].map(|id| fleet.start_engine(id, EVENTS, INTERVAL));
    let routes = [Route::new("/draft/", "streaming", "engines").with_regions(NORTH)];
    fleet
        .store
        .put(config::KEY, &config::config(1, &routes, &[CLIENT_KEY]));
    fleet.wait_ready();
    let client = fleet.start_generation(0, "d1");
    let source = fleet.ledger.arrivals()[0].upstream.clone();
    fleet.gateways[0].store_endpoint.set_outage(Some(Outage::Reset));
    fleet.gateways[1].signal("STOP");
    thread::sleep(CONFIG_APPLY);
    let leaving = engines.iter().find(|engine| engine.id() == source);
    let leaving = leaving.expect("it runs there");
    leaving.leave(NOTICE);
    let outcome = client.join().expect("the client ends");
    fleet.gateways[1].signal("CONT");
    let involved = fleet.ledger.involved();
    let copied = involved.iter().find(|(_, target)| *target != leaving.address());
    assert_eq!(copied, None, "memory was copied");
    assert_eq!(fleet.ledger.arrivals().len(), 1, "it ran elsewhere");
    assert!(outcome.events().len() as u128 > CONFIG_APPLY.as_millis() / INTERVAL.as_millis());
}

/// A gateway that stood still sent what waited in its sockets by the regions that it knew before.
#[test]
fn a_gateway_that_stood_still_sends_requests_by_replaced_regions() {
    for count in [1, 3] {
        let (fleet, _upstreams) = start(count);
        fleet.gateways[0].signal("STOP");
        // Its call to the store is answered with a change before that of the regions, which the next one brings late.
        fleet.store.put_bytes("op/note", b"1");
        fleet.gateways[0]
            .store_endpoint
            .set_answer_delay(Duration::from_millis(700));
        let written = Instant::now();
        write(&fleet, 2, SOUTH);
        let address = fleet.gateways[0].caller_address;
        let clients: Vec<_> = (0..20)
            .map(|number| {
                thread::sleep(CONFIG_APPLY / 15);
                let read = request(&format!("r{number}"), "GET", "/read/1").with_timeout(LONG);
                thread::spawn(move || client::send(address, &read).status)
            })
            .collect();
        fleet.gateways[0].signal("CONT");
        let statuses: Vec<u16> = clients
            .into_iter()
            .map(|client| client.join().expect("it ends"))
            .collect();
        assert!(
            statuses.iter().all(|status| [200, 503].contains(status)),
            "{statuses:?}"
        );
        expect_served(&fleet, 0);
        let late = reads_after(&fleet, "n", written + CONFIG_APPLY);
        assert!(late.is_empty(), "{count} gateways: {late:?}");
    }
}

/// Starts two gateways and a generation at the first one that may run again in the north, where a second engine can take it.
fn start_resumable() -> (Fleet, [Upstream; 2], JoinHandle<Outcome>) {
    let fleet = Fleet::start(2);
    let first = fleet.start_engine("e1", EVENTS, EVENT_INTERVAL);
    write_resumable(&fleet, 1, NORTH);
    fleet.wait_ready();
    for number in 0..10 {
        let mut earning = generation_request(&format!("earn{number}")).with_events(1);
        "/earn/x".clone_into(&mut earning.path);
        assert_eq!(fleet.send(0, &earning).status, 200);
    }
    let client = fleet.start_generation(0, "d1");
    let second = fleet.start_engine("e2", EVENTS, EVENT_INTERVAL);
    thread::sleep(Duration::from_secs(1));
    (fleet, [first, second], client)
}

/// Writes a version of the configuration in which generations may run, and run again, in `regions` only.
fn write_resumable(fleet: &Fleet, version: u64, regions: &'static [&'static str]) {
    let routes = [
        Route::new("/draft/", "streaming", "engines")
            .with_regions(regions)
            .with_timeout(20_000)
            .with_max_attempts(2)
            .with_resumable(),
        Route::new("/earn/", "streaming", "engines").with_anonymous(),
    ];
    let config = config::config(version, &routes, &[CLIENT_KEY]);
    fleet.store.put(config::KEY, &config);
}

/// A stream that broke off while its gateway stood still was not run again, although the gateway soon knew where it may run.
#[test]
fn a_stream_that_breaks_off_during_a_standstill_ends() {
    let (fleet, [first, _second], client) = start_resumable();
    fleet.gateways[0].signal("STOP");
    thread::sleep(STANDSTILL);
    first.kill();
    fleet.gateways[0].signal("CONT");
    let outcome = client.join().expect("the client ends");
    assert!(fleet.gateways[0].logged("\"reason\":\"stood-still\""));
    assert_eq!((outcome.status, outcome.complete), (200, true));
    assert_eq!(outcome.events(), (1..=EVENTS).collect::<Vec<_>>());
}

/// A stream that broke off ran again where regions that were replaced during a cut permit it.
#[test]
fn a_stream_of_a_gateway_that_is_cut_off_runs_again_by_replaced_regions() {
    let (fleet, [first, _second], client) = start_resumable();
    fleet.gateways[0].store_endpoint.set_outage(Some(Outage::Reset));
    fleet.gateways[1].signal("STOP");
    write_resumable(&fleet, 2, SOUTH);
    thread::sleep(CONFIG_APPLY);
    first.kill();
    let outcome = client.join().expect("the client ends");
    fleet.gateways[1].signal("CONT");
    assert!(fleet.gateways[0].logged("\"reason\":\"cut-off\""));
    assert!(!outcome.complete);
    assert_eq!(fleet.ledger.run_count("d1"), 1, "it ran again");
}

/// While the store answers nobody, nobody knows better regions: reads are served.
#[test]
fn an_outage_of_the_store_for_all_gateways_refuses_requests() {
    for count in [1, 3] {
        let (fleet, _upstreams) = start(count);
        for gateway in &fleet.gateways {
            gateway.store_endpoint.set_outage(Some(Outage::Silent));
        }
        let refused = send_for(&fleet, CONFIG_APPLY * 2, Instant::now());
        assert_eq!(refused, 0, "{count} gateways");
        assert!(!fleet.gateways[0].logged("configuration may be outdated"));
    }
}

/// A gateway that reads all content of a silent store did not notice that the last one that watched the store lost it as well,
/// and refused reads.
#[test]
fn an_outage_of_the_store_that_spreads_refuses_requests() {
    let trials: Vec<_> = (0..SPREADS)
        .map(|number| {
            thread::spawn(move || {
                let (fleet, _upstreams) = start(2);
                let endpoints = [0, 1].map(|gateway| &fleet.gateways[gateway].store_endpoint);
                endpoints[0].set_outage(Some(Outage::Silent));
                thread::sleep(CONFIG_APPLY + SPREAD_STEP * number);
                endpoints[1].set_outage(Some(Outage::Silent));
                (number, send_for(&fleet, CONFIG_APPLY * 2, Instant::now()))
            })
        })
        .collect();
    let refused: Vec<_> = trials
        .into_iter()
        .map(|trial| trial.join().expect("the trial ends"))
        .filter(|(_, refused)| *refused > 0)
        .collect();
    assert!(refused.is_empty(), "refused reads of each trial: {refused:?}");
}

/// Gateways that heard of a version, and could not fetch it before the only one that had it ended, sent reads by the one before.
#[test]
fn a_version_that_is_lost_with_its_gateway_is_passed_over() {
    let (fleet, _upstreams) = start(4);
    let [others @ .., last] = &fleet.gateways[..] else {
        unreachable!("four were started");
    };
    for gateway in others {
        gateway.store_endpoint.set_outage(Some(Outage::Reset));
    }
    thread::sleep(CONFIG_APPLY);
    // They find its message when it is gone.
    for gateway in others {
        gateway.signal("STOP");
    }
    let routes = [
        Route::new("/read/", "safe", "plain").with_regions(SOUTH),
        Route::new("/free/", "safe", "plain"),
    ];
    // Too large to be passed on in a message.
    let others_keys: Vec<String> = (0..LARGE_KEYS).map(|number| format!("key-{number:04}")).collect();
    let keys: Vec<&str> = std::iter::once(CLIENT_KEY)
        .chain(others_keys.iter().map(String::as_str))
        .collect();
    fleet.store.put(config::KEY, &config::config(2, &routes, &keys));
    thread::sleep(TELL_TIME);
    last.signal("KILL");
    last.store_endpoint.set_outage(Some(Outage::Reset));
    for gateway in others {
        gateway.signal("CONT");
    }
    let heard = Instant::now();
    let refused = send_for(&fleet, CONFIG_APPLY * 3, heard);
    assert!(
        !fleet.gateways[0].logged("\"configuration in force\",\"version\":2"),
        "it was fetched"
    );
    let late = reads_after(&fleet, "n", heard + CONFIG_APPLY);
    assert!(late.is_empty(), "{late:?}");
    assert!(refused > 0, "no read was refused");
    assert!(fleet.gateways[0].logged("\"reason\":\"behind\""));
}

/// A gateway that was cut off sent requests abroad whose route was restricted to regions meanwhile.
#[test]
fn a_route_is_restricted_first_while_a_gateway_is_cut_off() {
    let (fleet, _upstreams) = start(2);
    write(&fleet, 2, &[]);
    thread::sleep(CONFIG_APPLY);
    fleet.gateways[0].store_endpoint.set_outage(Some(Outage::Reset));
    fleet.gateways[1].signal("STOP");
    let written = Instant::now();
    write(&fleet, 3, SOUTH);
    send_for(&fleet, CONFIG_APPLY * 2, written);
    fleet.gateways[1].signal("CONT");
    let late = reads_after(&fleet, "n", written + CONFIG_APPLY);
    assert!(late.is_empty(), "{} reads in the north", late.len());
}
