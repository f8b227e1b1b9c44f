//! Large configurations whose versions follow each other faster than a narrow link carries them.

mod fleet;

use std::{
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::config;
use fleet::{CLIENT_KEY, CONFIG_APPLY, DRAIN, Fleet, Gateway, ROUTES, request, wait_until};
use serde_json::Value;

const GATEWAYS: usize = 5;

const SHORT: Duration = Duration::from_millis(10);

/// Bytes a second that the store gets of a link of 10 Mbit/s, beside requests.
const NARROW: u64 = 625_000;

/// Time between two versions.
const VERSION_INTERVAL: Duration = Duration::from_millis(100);

/// A configuration with `added` routes more.
fn large_config(version: u64, added: u64) -> Value {
    let mut found = config::config(version, &ROUTES, &[CLIENT_KEY]);
    config::add_routes(&mut found, added);
    found
}

/// The newest version that a gateway has logged as in force.
fn version_in_force(gateway: &Gateway) -> u64 {
    let lines = gateway.log_lines();
    let found = lines.iter().rev().find_map(|line| {
        let (_, rest) = line.split_once("\"configuration in force\",\"version\":")?;
        rest.split(',').next()?.parse().ok()
    });
    found.unwrap_or(0)
}

/// Writes versions of a configuration with `added` routes more for `time`, while `check` is called between them.
fn write_versions(fleet: &Fleet, added: u64, time: Duration, mut check: impl FnMut(Duration)) {
    let start = Instant::now();
    let mut written = Vec::new();
    for version in 2.. {
        if start.elapsed() >= time {
            return;
        }
        let next = start + VERSION_INTERVAL * (version as u32 - 1);
        fleet.store.put(config::KEY, &large_config(version, added));
        written.push((version, Instant::now()));
        check(start.elapsed());
        let due = written
            .iter()
            .filter(|(_, at)| at.elapsed() > CONFIG_APPLY)
            .map(|(version, _)| *version)
            .max();
        for (index, gateway) in fleet.gateways.iter().enumerate() {
            let found = version_in_force(gateway);
            assert!(
                found >= due.unwrap_or(0),
                "gateway {index}: version {found} in force after {:?}, expected {due:?}",
                start.elapsed()
            );
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn start() -> Fleet {
    let fleet = Fleet::start(GATEWAYS);
    fleet.start_plain("p1", SHORT);
    fleet.configure();
    thread::sleep(Duration::from_secs(2));
    fleet
}

#[test]
fn versions_of_a_large_configuration_are_late_on_narrow_links() {
    let fleet = start();
    for gateway in &fleet.gateways {
        gateway.store_endpoint.set_rate(Some(NARROW));
    }
    write_versions(&fleet, 1_200, Duration::from_secs(8), |_| ());
}

#[test]
fn a_departure_waits_behind_a_large_configuration() {
    let fleet = start();
    let (leaving, began) = (fleet.start_plain("p2", SHORT), Instant::now());
    wait_until("the new upstream is used", || {
        fleet.send(0, &request("r", "GET", "/read/1"));
        fleet.arrivals_after("p2", began) > 0
    });
    for gateway in &fleet.gateways {
        gateway.store_endpoint.set_rate(Some(NARROW));
    }
    let mut announced = None;
    let mut known = [None; GATEWAYS];
    write_versions(&fleet, 1_200, Duration::from_secs(6), |since| {
        if since >= Duration::from_secs(2) && announced.is_none() {
            leaving.announce_leaving();
            announced = Some(Instant::now());
        }
        for (known, gateway) in known.iter_mut().zip(&fleet.gateways) {
            if known.is_none() && gateway.logged("\"state\":\"Leaving\"") {
                *known = Some(Instant::now());
            }
        }
    });
    let announced = announced.expect("it was announced");
    for (index, known) in known.iter().enumerate() {
        let late = known.map(|known| known.saturating_duration_since(announced));
        assert!(
            late.is_some_and(|late| late < DRAIN / 2),
            "gateway {index} knew after {late:?} that the upstream leaves"
        );
    }
}

#[test]
fn two_versions_in_one_answer_are_passed_on_to_nobody() {
    let fleet = start();
    let refused = |gateway: &Gateway| gateway.logged("changes not taken from the message");
    for version in (2..42).step_by(2) {
        fleet.store.put(config::KEY, &large_config(version, 50));
        fleet.store.put(config::KEY, &large_config(version + 1, 50));
        thread::sleep(VERSION_INTERVAL);
    }
    let found = fleet.gateways.iter().filter(|gateway| refused(gateway)).count();
    assert_eq!(found, 0, "gateways that refused a message");
}

/// The version is read instead of the changes, which hold the end of the evacuation.
#[test]
fn an_evacuation_that_ended_beside_a_large_version_goes_on() {
    const KEY: &str = "op/evacuate/b";
    let fleet = start();
    let told = |gateway: &Gateway, is_evacuated: bool| {
        let text = format!("\"domain\":\"b\",\"evacuated\":{is_evacuated}");
        let lines = gateway.log_lines();
        lines.iter().filter(|line| line.contains(&text)).count()
    };
    let expect_told = |is_evacuated: bool, times: usize| {
        let written = Instant::now();
        for (index, gateway) in fleet.gateways.iter().enumerate() {
            while told(gateway, is_evacuated) < times {
                let late = written.elapsed();
                assert!(
                    late < CONFIG_APPLY,
                    "gateway {index}: evacuated {is_evacuated} not known after {late:?}"
                );
                thread::sleep(SHORT);
            }
        }
    };
    for gateway in &fleet.gateways {
        gateway.store_endpoint.set_rate(Some(NARROW));
    }
    for round in 1..=8_usize {
        fleet.store.put_bytes(KEY, b"{}");
        expect_told(true, round);
        fleet.store.put(config::KEY, &large_config(1 + round as u64, 600));
        fleet.store.remove(KEY);
        let _arrived = fleet.start_plain(&format!("p{}", 1 + round), SHORT);
        expect_told(false, round);
    }
}
