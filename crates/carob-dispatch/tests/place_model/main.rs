//! All instances together give an upstream that falls over no more requests than it can run.
//!
//! A scenario is an upstream that lets nothing wait, and instances that want more than it can do, unevenly, while some are
//! killed, start again or are cut off from the others. `CAROB_MODEL_STEPS` sets the number of steps of 5 ms,
//! `CAROB_MODEL_SEED` the first seed.

mod fleet;
#[path = "../budget_model/random.rs"]
mod random;

use fleet::{Fleet, Kind};
use random::Random;

/// Steps of one scenario.
const SCENARIO_STEPS: u64 = 4_000;
/// Steps in all scenarios, unless the environment says otherwise.
const STEPS: u64 = 20_000;
const SEED: u64 = 1;

/// Share of what the upstream can do that is used at least without disturbances.
const USED_SHARE: f64 = 0.7;
/// Falls of the upstream in one scenario that are permitted.
const FALLS: u32 = 2;

fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run(seed: u64, kind: Kind) -> Fleet {
    let mut fleet = Fleet::new(Random::new(seed), kind);
    for _ in 0..SCENARIO_STEPS {
        fleet.step();
    }
    fleet
}

/// Instances together sent more than the upstream could run.
#[test]
fn a_brittle_upstream_falls_under_the_requests_of_a_disturbed_fleet() {
    let first = number("CAROB_MODEL_SEED", SEED);
    let scenarios = number("CAROB_MODEL_STEPS", STEPS).div_ceil(SCENARIO_STEPS);
    let mut beyond = Vec::new();
    let (mut falls, mut served) = (0, 0);
    for seed in first..first + scenarios {
        let fleet = run(seed, Kind::Disturbed);
        falls += fleet.falls;
        served += fleet.served;
        if fleet.falls > FALLS {
            beyond.push((seed, fleet.falls, fleet.describe()));
        }
    }
    println!("{scenarios} scenarios: {falls} falls, {served} served");
    assert!(beyond.is_empty(), "beyond the rule: {beyond:?}");
    assert!(
        served > 0,
        "a fleet that sends nothing would keep to the rule as well"
    );
}

/// Room of the upstream was not used although there was work for it.
#[test]
fn room_of_a_brittle_upstream_is_wasted() {
    let first = number("CAROB_MODEL_SEED", SEED);
    let scenarios = number("CAROB_MODEL_STEPS", STEPS).div_ceil(SCENARIO_STEPS);
    let mut below = Vec::new();
    let mut least: f64 = 1.0;
    for seed in first..first + scenarios {
        let fleet = run(seed, Kind::Calm);
        least = least.min(fleet.used());
        if fleet.used() < USED_SHARE || fleet.falls > 0 {
            below.push((seed, fleet.used(), fleet.falls, fleet.describe()));
        }
    }
    println!("{scenarios} scenarios: at least {least:.3} of the room is used");
    assert!(below.is_empty(), "less than {USED_SHARE} is used: {below:?}");
}
