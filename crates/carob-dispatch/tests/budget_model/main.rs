//! The repeats of all instances and all their processes keep to a service's budget, whatever happens to them.
//!
//! A scenario is a fleet that serves requests, and sends as many repeats as it is permitted, while its instances
//! are killed, start again, join, leave, freeze and are cut off from news of each other. Afterwards every sliding
//! window is checked. `CAROB_MODEL_STEPS` sets the number of steps, `CAROB_MODEL_SEED` the first seed.

mod fleet;
mod random;
mod windows;

use fleet::Fleet;
use random::Random;

/// Steps of one scenario.
const SCENARIO_STEPS: u64 = 1_250;

/// Steps in all scenarios, unless the environment says otherwise.
const STEPS: u64 = 10_000;

const SEED: u64 = 1;

fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Services saw more repeats from all instances and their processes than their budgets allow.
#[test]
fn upstreams_get_more_repeats_than_the_budget_of_the_fleet() {
    let first = number("CAROB_MODEL_SEED", SEED);
    let scenarios = number("CAROB_MODEL_STEPS", STEPS).div_ceil(SCENARIO_STEPS);
    let (mut broken, mut beyond, mut largest, mut fullest) = (0, Vec::new(), 0.0, 0.0);
    for seed in first..first + scenarios {
        let mut fleet = Fleet::new(Random::new(seed));
        for _ in 0..SCENARIO_STEPS {
            fleet.step();
        }
        let worst = fleet.worst_window();
        largest = worst.part_of_rule.max(largest);
        fullest = worst.part_of_promise.max(fullest);
        broken += u64::from(worst.part_of_rule > 1.0);
        if worst.part_of_rule > 1.0 || worst.part_of_promise > 1.0 {
            beyond.push((seed, worst));
        }
    }
    println!(
        "{scenarios} scenarios, {broken} beyond the rule: the fullest window has {largest:.3} of what the rule permits, \
         and {fullest:.3} of the budget by its own requests"
    );
    assert!(
        beyond.is_empty(),
        "{} of {scenarios} scenarios are beyond the budget, up to {largest:.2} times; the first: {:?}",
        beyond.len(),
        beyond[0]
    );
    // A budget that permits nothing would keep to the rule as well.
    assert!(fullest > 0.7, "only {fullest:.2} of the budget was used");
}
