//! Large configurations whose versions follow each other closely.

mod fleet;

use std::{thread, time::Duration};

use carob_platform_standin::config;
use fleet::{CLIENT_KEY, Fleet, Gateway, ROUTES};
use serde_json::{Value, json};

const GATEWAYS: usize = 5;

const SHORT: Duration = Duration::from_millis(10);

/// Time between two versions.
const VERSION_INTERVAL: Duration = Duration::from_millis(100);

/// A configuration with `added` routes more. Version and one of the timeouts differ between versions.
fn large_config(version: u64, added: u64) -> Value {
    let mut found = config::config(version, &ROUTES, &[CLIENT_KEY]);
    let rows = (1..=added).map(|number| {
        let id = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let timeout = if number == 1 + version % added {
            4_000 + version
        } else {
            3_000
        };
        json!({
            "Name": format!("r-{id:x}"), "Host": format!("{id:x}.example"), "Prefix": format!("/{number}/"),
            "Kind": "safe", "TimeoutMs": timeout, "TargetLatencyMs": 150, "Priority": 2, "Service": "plain",
            "MaxAttempts": 2, "AllowAnonymous": false, "Resumable": false, "AllowedRegions": [],
        })
    });
    let routes = found["Routes"].as_array_mut().expect("routes are a list");
    routes.extend(rows);
    found
}

fn start() -> Fleet {
    let fleet = Fleet::start(GATEWAYS);
    fleet.start_plain("p1", SHORT);
    fleet.configure();
    thread::sleep(Duration::from_secs(2));
    fleet
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
