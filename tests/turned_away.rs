//! Gateways that the store turns away for longer than their registration lasts, while it serves the others.

mod fleet;

use std::{
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{Flood, Outage, config};
use fleet::{ADDED_ROUTE, CLIENT_KEY, CONTACT, DRAIN, Fleet, Gateway, ROUTES, request, wait_until};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

const SHORT: Duration = Duration::from_millis(10);

/// Time after a start within which an instance serves if the store answers.
const START_TIME: Duration = Duration::from_secs(1);

fn is_registered(fleet: &Fleet, gateway: usize) -> bool {
    let key = format!(
        "carobhaven/instances/{}",
        fleet.gateways[gateway].peer_address.ip()
    );
    fleet.store.text(&key).is_some()
}

/// Checks that the last gateway follows the configuration and the directory as the others do.
fn expect_follows(fleet: &Fleet) {
    let last = fleet.gateways.len() - 1;
    fleet.expect_version(2, true);
    fleet.expect_version(3, false);
    let start = Instant::now();
    let leaving = fleet.start_plain("p2", SHORT);
    wait_until("the new upstream is used", || {
        fleet.send(last, &request("r", "GET", "/read/1"));
        fleet.arrivals_after("p2", start) > 0
    });
    leaving.announce_leaving();
    thread::sleep(DRAIN);
    let announced = Instant::now();
    for number in 0..20 {
        let read = request(&format!("r{number}"), "GET", "/read/1");
        assert_eq!(fleet.send(last, &read).status, 200);
    }
    assert_eq!(
        fleet.arrivals_after("p2", announced),
        0,
        "requests to an upstream that leaves"
    );
    fleet.expect_version(4, true);
}

/// Has the store turn the last gateway away with `outage` until its registration has ended.
fn turn_away(fleet: &Fleet, outage: Outage) {
    let last = fleet.gateways.len() - 1;
    fleet.gateways[last].store_endpoint.set_outage(Some(outage));
    wait_until("its registration has ended", || !is_registered(fleet, last));
    // What ends with the registration has ended.
    thread::sleep(Duration::from_secs(3));
}

/// A gateway that the store turned away was dropped by the others when its registration ended, although it ran and reached
/// them: it heard of no change any more, and served requests by an old configuration.
#[test]
fn a_gateway_that_is_turned_away_for_longer_than_its_lease_falls_behind() {
    for outage in [Outage::Busy, Outage::Silent] {
        let fleet = Fleet::start(4);
        let _plain = fleet.start_plain("p1", SHORT);
        fleet.configure();
        thread::sleep(Duration::from_secs(2));
        turn_away(&fleet, outage);
        expect_follows(&fleet);
    }
}

/// A gateway that started while the store turned it away was unknown to the others, which told it nothing.
#[test]
fn a_gateway_that_starts_while_it_is_turned_away_falls_behind() {
    let mut fleet = Fleet::start(3);
    let _plain = fleet.start_plain("p1", SHORT);
    fleet.configure();
    let seeds: Vec<_> = fleet
        .gateways
        .iter()
        .map(|gateway| gateway.peer_address)
        .collect();
    let mut gateway = Gateway::prepare(&fleet.store, &seeds);
    gateway.store_endpoint.set_outage(Some(Outage::Busy));
    gateway.spawn();
    fleet.gateways.push(gateway);
    fleet.wait_ready();
    thread::sleep(CONTACT);
    expect_follows(&fleet);
}

/// Writes a version of the configuration with so many new keys that the change is too large for a datagram.
fn write_large_version(fleet: &Fleet, version: u64, is_added: bool) {
    let mut rng = StdRng::seed_from_u64(version);
    let keys: Vec<String> = (0..400)
        .map(|_| format!("{:032x}", rng.random::<u128>()))
        .collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).chain([CLIENT_KEY]).collect();
    let mut routes = ROUTES.to_vec();
    if is_added {
        routes.push(ADDED_ROUTE);
    }
    fleet
        .store
        .put(config::KEY, &config::config(version, &routes, &keys));
}

/// A change that was too large to be passed on came 2.6 s late to gateways that the store had just stopped answering: they
/// waited for a second report of the one that had it, and for the store.
#[test]
fn a_large_change_is_late_at_gateways_that_the_store_turns_away() {
    for outage in [Outage::Silent, Outage::Busy] {
        let fleet = Fleet::start(6);
        let _plain = fleet.start_plain("p1", SHORT);
        fleet.configure();
        thread::sleep(Duration::from_secs(2));
        let mut others = fleet.gateways.iter();
        let served = others.find(|gateway| !gateway.watches_store());
        let served = served.expect("not all watch").peer_address;
        fleet.expect_version(2, true);
        // Those that watch have just begun another call.
        thread::sleep(Duration::from_millis(300));
        for gateway in &fleet.gateways {
            let outage = Some(outage).filter(|_| gateway.peer_address != served);
            gateway.store_endpoint.set_outage(outage);
        }
        for version in 3..6 {
            let is_added = version % 2 == 0;
            write_large_version(&fleet, version, is_added);
            fleet.expect_added(version, is_added);
        }
    }
}

/// A gateway without seeds that was started again while the store turned it away was not ready until the store served it,
/// although the others told it that they had content.
#[test]
fn a_gateway_without_seeds_waits_for_the_store_beside_others_with_content() {
    for outage in [Outage::Busy, Outage::Reset, Outage::Silent] {
        let mut fleet = Fleet::start(3);
        let _plain = fleet.start_plain("p1", SHORT);
        fleet.configure();
        let gateway = &mut fleet.gateways[0];
        gateway.signal("KILL");
        let _ended = gateway.child.wait();
        gateway.store_endpoint.set_outage(Some(outage));
        gateway.spawn();
        let started = Instant::now();
        fleet.wait_ready();
        let time = started.elapsed();
        assert!(
            time < CONTACT,
            "{outage:?}: expected to be ready within {CONTACT:?}, found {time:?}"
        );
        fleet.expect_version(2, true);
    }
}

/// A gateway that started while the store sent it a head without end was not ready for another 1.5 s after the store answered
/// again: it waited for the answer to its first call.
#[test]
fn a_gateway_without_content_waits_for_a_call_that_is_never_answered() {
    let outages = [Outage::Silent, Outage::Flood(Flood::HeadDrip)];
    let lengths = [200, 700, 1_200].map(Duration::from_millis);
    for (outage, length) in outages
        .into_iter()
        .flat_map(|outage| lengths.map(|length| (outage, length)))
    {
        let fleet = Fleet::start(0);
        let _plain = fleet.start_plain("p1", SHORT);
        fleet
            .store
            .put(config::KEY, &config::config(1, &ROUTES, &[CLIENT_KEY]));
        let mut gateway = Gateway::prepare(&fleet.store, &[]);
        gateway.store_endpoint.set_outage(Some(outage));
        gateway.spawn();
        wait_until("it has called the store", || fleet.store.calls() > 0);
        thread::sleep(length);
        gateway.store_endpoint.set_outage(None);
        let answering = Instant::now();
        wait_until("the gateway is ready", || gateway.is_ready());
        let time = answering.elapsed();
        assert!(
            time < START_TIME,
            "{outage:?} for {length:?}: expected to be ready within {START_TIME:?} of its end, found {time:?}"
        );
    }
}
