//! All instances together keep to the limits that upstreams name, and use them, whatever happens to the instances.
//!
//! A scenario is a fleet whose upstreams all name limits, which change and end, while instances are killed, start again,
//! join, are cut off from each other, and believe in different numbers of others. `CAROB_MODEL_STEPS` sets the number of
//! steps, `CAROB_MODEL_SEED` the first seed.

mod fleet;
#[path = "../budget_model/random.rs"]
mod random;

use fleet::{Fleet, Kind};
use random::Random;

/// Steps of one scenario.
const SCENARIO_STEPS: u64 = 3_200;

/// Steps in all scenarios, unless the environment says otherwise.
const STEPS: u64 = 16_000;

const SEED: u64 = 1;

/// Share of the limits that a fleet without disturbances uses at least, while there is more work.
const USED_SHARE: f64 = 0.8;

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

/// Upstreams got more requests than the limit that they had named, from all instances together.
#[test]
fn upstreams_get_more_requests_than_their_limit_from_the_fleet() {
    let first = number("CAROB_MODEL_SEED", SEED);
    let scenarios = number("CAROB_MODEL_STEPS", STEPS).div_ceil(SCENARIO_STEPS);
    let mut fullest: f64 = 0.0;
    let mut beyond = Vec::new();
    for seed in first..first + scenarios {
        let worst = run(seed, Kind::Disturbed).worst_span();
        fullest = fullest.max(worst);
        if worst > 1.0 {
            beyond.push((seed, worst));
        }
    }
    println!("{scenarios} scenarios: the fullest span has {fullest:.3} of what the rule permits");
    assert!(beyond.is_empty(), "beyond the rule: {beyond:?}");
    // A fleet that sends nothing would keep to the rule as well.
    assert!(fullest > 0.2, "only {fullest:.2} of what the rule permits");
}

/// Limits were not used although there was work for them.
#[test]
fn limits_are_wasted_while_load_is_uneven() {
    let first = number("CAROB_MODEL_SEED", SEED);
    let scenarios = number("CAROB_MODEL_STEPS", STEPS).div_ceil(SCENARIO_STEPS);
    let mut below = Vec::new();
    let mut least: f64 = 1.0;
    for seed in first..first + scenarios {
        let fleet = run(seed, Kind::Calm);
        let used = fleet.least_used();
        least = least.min(used);
        if used < USED_SHARE || fleet.worst_span() > 1.0 {
            below.push((seed, used, fleet.worst_span(), fleet.describe()));
        }
    }
    println!("{scenarios} scenarios: at least {least:.3} of each limit is used");
    assert!(
        below.is_empty(),
        "less than {USED_SHARE} of a limit is used: {below:?}"
    );
}
