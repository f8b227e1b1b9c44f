//! An instance that is behind must notice it, even while most reports come from instances that are behind as
//! well. [`Lag::observe`] takes the revision that a peer reports, then the own one.

use std::time::{Duration, Instant};

use carob_gateway::{Lag, era::Position};

const STEP: Duration = Duration::from_millis(50);

const fn at(revision: u64) -> Position {
    Position::new(1, revision)
}

#[test]
fn others_that_are_behind_as_well_do_not_end_the_lag() {
    let mut lag = Lag::new();
    let mut now = Instant::now();
    assert_eq!(lag.observe(at(7), at(7), now), Duration::ZERO);
    lag.observe(at(9), at(7), now);
    for _ in 0..10 {
        now += STEP;
        lag.observe(at(7), at(7), now);
    }
    assert_eq!(lag.observe(at(9), at(7), now), STEP * 10);
    assert!(lag.is_behind(at(7)));
}

#[test]
fn the_lag_ends_with_the_newest_revision_and_begins_anew() {
    let mut lag = Lag::new();
    let start = Instant::now();
    lag.observe(at(9), at(7), start);
    assert_eq!(
        lag.observe(at(8), at(8), start + STEP),
        STEP,
        "8 is not the newest"
    );
    assert_eq!(lag.observe(at(8), at(9), start + STEP * 2), Duration::ZERO);
    assert!(!lag.is_behind(at(9)));
    assert_eq!(lag.observe(at(10), at(9), start + STEP * 3), Duration::ZERO);
    assert_eq!(lag.observe(at(8), at(9), start + STEP * 4), STEP);
}

#[test]
fn a_lower_revision_of_a_later_era_is_no_lag() {
    let mut lag = Lag::new();
    let start = Instant::now();
    lag.observe(at(900), at(900), start);
    lag.observe(Position::new(2, 40), at(900), start);
    assert_eq!(lag.observe(Position::new(2, 40), at(900), start + STEP), STEP);
    assert!(lag.is_behind(at(900)));
    assert!(!lag.is_behind(Position::new(2, 40)));
}
