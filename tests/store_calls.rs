//! How many calls a fleet makes to the store when its configuration changes and while the store is away.

mod fleet;

use std::{thread, time::Duration};

use carob_platform_standin::{Outage, config};
use fleet::{CLIENT_KEY, Fleet, Gateway, ROUTES, wait_until};

const SERVICE_TIME: Duration = Duration::from_millis(10);
const GATEWAYS: usize = 20;

/// Time in which instances learn who watches the store.
const SETTLE: Duration = Duration::from_secs(4);

/// Calls a second above which operators are alerted, for all instances together.
const ALERT_RATE: u64 = 10;

fn start() -> Fleet {
    let fleet = Fleet::start(GATEWAYS);
    let _plain = fleet.start_plain("p1", SERVICE_TIME);
    fleet.configure();
    thread::sleep(SETTLE);
    fleet
}

/// API keys that compress about as badly as random ones.
fn keys(count: u64) -> Vec<String> {
    let key = |number: u64| format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    (1..=count).map(key).collect()
}

#[test]
fn every_gateway_reads_a_large_configuration_from_the_store() {
    let fleet = start();
    let reads = |gateway: &Gateway| {
        let lines = gateway.log_lines();
        lines
            .iter()
            .filter(|line| line.contains("caught up with the store"))
            .count()
    };
    let before: usize = fleet.gateways.iter().map(reads).sum();
    for (version, count) in [(2, 400), (3, 700)] {
        let keys = keys(count);
        let keys: Vec<&str> = keys.iter().map(String::as_str).chain([CLIENT_KEY]).collect();
        fleet
            .store
            .put(config::KEY, &config::config(version, &ROUTES, &keys));
        for gateway in &fleet.gateways {
            wait_until("the version is in force", || {
                gateway.logged(&format!("\"configuration in force\",\"version\":{version}"))
            });
        }
    }
    thread::sleep(SETTLE / 4);
    let after: usize = fleet.gateways.iter().map(reads).sum();
    // Datagrams may be lost, if rarely.
    let (found, most) = (after - before, 2 * GATEWAYS / 10);
    assert!(
        found <= most,
        "{found} reads of two versions, expected at most {most}"
    );
}

#[test]
fn all_gateways_ask_a_store_that_is_away() {
    let fleet = start();
    for outage in [Outage::Busy, Outage::Reset] {
        let before = fleet.store.calls();
        for gateway in &fleet.gateways {
            gateway.store_endpoint.set_outage(Some(outage));
        }
        let time = Duration::from_secs(6);
        thread::sleep(time);
        let calls = fleet.store.calls() - before;
        // Renewals of leases are made all the same, three in ten seconds each; and the first calls show the outage.
        let renewals = GATEWAYS as u64 * 3 * time.as_secs() / 10;
        let most = ALERT_RATE * time.as_secs() + renewals + GATEWAYS as u64;
        assert!(
            calls <= most,
            "{outage:?}: {calls} calls in {time:?}, expected at most {most}"
        );
        for gateway in &fleet.gateways {
            gateway.store_endpoint.set_outage(None);
        }
        thread::sleep(SETTLE);
        let watching = fleet
            .gateways
            .iter()
            .filter(|gateway| gateway.watches_store())
            .count();
        assert!(
            (1..=4).contains(&watching),
            "{outage:?}: {watching} watch the store"
        );
    }
}

/// A gateway that the store refuses leaves the watch to others, and they need not all try.
#[test]
fn a_fleet_is_uninformed_while_the_store_turns_its_watchers_away() {
    let fleet = start();
    let watchers: Vec<_> = fleet
        .gateways
        .iter()
        .filter(|gateway| gateway.watches_store())
        .collect();
    for gateway in &watchers {
        gateway.store_endpoint.set_outage(Some(Outage::Busy));
    }
    wait_until("others watch", || {
        let others = fleet.gateways.iter().filter(|gateway| {
            gateway.watches_store() && !watchers.iter().any(|old| std::ptr::eq(*old, *gateway))
        });
        others.count() >= 2
    });
    fleet.write_version(2, true);
    for gateway in &fleet.gateways {
        wait_until("the version is in force", || {
            gateway.logged("\"configuration in force\",\"version\":2")
        });
    }
}
