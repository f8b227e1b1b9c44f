//! An instance that is behind must notice it, even while most reports come from instances that are behind as
//! well. [`Lag::observe`] takes the revision that a peer reports, then the own one.

use std::time::{Duration, Instant};

use carob_gateway::Lag;

const STEP: Duration = Duration::from_millis(50);

#[test]
fn others_that_are_behind_as_well_do_not_end_the_lag() {
    let mut lag = Lag::new();
    let mut now = Instant::now();
    assert_eq!(lag.observe(7, 7, now), Duration::ZERO);
    lag.observe(9, 7, now);
    for _ in 0..10 {
        now += STEP;
        lag.observe(7, 7, now);
    }
    assert_eq!(lag.observe(9, 7, now), STEP * 10);
    assert!(lag.is_behind(7));
}

#[test]
fn the_lag_ends_with_the_newest_revision_and_begins_anew() {
    let mut lag = Lag::new();
    let start = Instant::now();
    lag.observe(9, 7, start);
    assert_eq!(lag.observe(8, 8, start + STEP), STEP, "8 is not the newest");
    assert_eq!(lag.observe(8, 9, start + STEP * 2), Duration::ZERO);
    assert!(!lag.is_behind(9));
    assert_eq!(lag.observe(10, 9, start + STEP * 3), Duration::ZERO);
    assert_eq!(lag.observe(8, 9, start + STEP * 4), STEP);
}
