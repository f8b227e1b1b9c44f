//! Which instances ask a store that is away: few of a large fleet, and never none.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use carob_gateway::watchers::{CALL_SPACING, FIRST_CALLERS, MEMBER_TTL, WATCHER_TTL, Watchers};
use rand::{RngExt as _, SeedableRng, rngs::StdRng};

const SEED: u64 = 43;
const FLEETS: [u16; 4] = [7, 90, 195, 370];

/// Calls a second above which operators are alerted, for all instances together.
const ALERT_RATE: f64 = 10.0;

/// Mean pause of an instance that asks again after a failure, at its longest.
const BACKOFF: Duration = Duration::from_millis(600);

/// Time within which upstreams that leave have to be known to do so.
const NOTICE: Duration = Duration::from_millis(1_500);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 7_200))
}

/// Trials for each size, and how many of them may be late: turns are drawn.
const TRIALS: usize = 40;
const MAX_LATE: usize = 4;

/// What each instance of `count` knows when all have reported that they do not watch.
fn without_watchers(count: u16, now: Instant) -> Watchers {
    let mut watchers = Watchers::new();
    for peer in 0..count {
        watchers.record(address(peer), false, now);
    }
    watchers
}

/// Times of the calls of all instances in an outage, in order, with their instances.
fn calls(count: u16, outage: Duration, rng: &mut StdRng) -> Vec<(Duration, u16)> {
    let now = Instant::now();
    let mut calls = Vec::new();
    let watchers = without_watchers(count, now);
    for own in 0..count {
        let mut at = watchers.turn(address(own), now, rng.random());
        while at < outage {
            calls.push((at, own));
            at += BACKOFF + watchers.turn(address(own), now, rng.random());
        }
    }
    calls.sort_unstable();
    calls
}

#[test]
fn a_fleet_asks_a_store_that_is_away_as_often_as_it_is_large() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let outage = Duration::from_secs(10);
    for count in FLEETS {
        let found = calls(count, outage, &mut rng).len() as f64;
        // The first calls show the outage.
        let most = ALERT_RATE * outage.as_secs_f64() + FIRST_CALLERS as f64 + ALERT_RATE;
        assert!(
            found <= most,
            "{count} instances: {found} calls, expected at most {most}"
        );
    }
}

#[test]
fn nobody_asks_a_store_that_turns_the_first_instances_away() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let now = Instant::now();
    for count in FLEETS {
        let watchers = without_watchers(count, now);
        let first: BTreeSet<u16> = (0..count)
            .filter(|own| watchers.turn(address(*own), now, 1.0).is_zero())
            .collect();
        assert_eq!(first.len(), FIRST_CALLERS.min(usize::from(count)));
        let mut late = 0;
        for _ in 0..TRIALS {
            // A third of the others is turned away as well.
            let calls = calls(count, 2 * NOTICE, &mut rng);
            let served = calls
                .iter()
                .find(|(_, own)| !first.contains(own) && rng.random_ratio(2, 3));
            late += usize::from(served.is_none_or(|(at, _)| *at > NOTICE));
        }
        assert!(
            late <= MAX_LATE,
            "{count} instances: {late} of {TRIALS} times later than {NOTICE:?}"
        );
    }
}

#[test]
fn instances_that_are_not_heard_of_hold_others_up() {
    let now = Instant::now();
    let later = now + WATCHER_TTL;
    for own in 0..100 {
        let mut watchers = without_watchers(100, now);
        assert!(watchers.must_watch(address(own), now));
        assert!(watchers.turn(address(own), later, 1.0).is_zero(), "it is alone");
        // Registered still, but gone.
        watchers.expect((0..100).map(address), later);
        assert!(watchers.turn(address(own), later, 1.0).is_zero(), "it is alone");
    }
    let mut fresh = Watchers::new();
    fresh.expect((0..100).map(address), now);
    let longest = CALL_SPACING * 101;
    assert!(fresh.turn(address(100), now, 0.5) <= longest);
}

#[test]
fn an_instance_that_loses_the_store_is_noticed() {
    let now = Instant::now();
    let mut watchers = Watchers::new();
    assert!(!watchers.record(address(1), true, now));
    assert!(watchers.any_active(now));
    assert!(watchers.record(address(1), false, now), "it watched before");
    assert!(!watchers.any_active(now));
    assert!(!watchers.record(address(1), false, now));
}

/// An instance whose registration ended took part no longer, although it went on reporting: whether it is registered does not
/// matter to its membership, and its last report does.
#[test]
fn an_instance_takes_part_for_as_long_as_it_reports() {
    let start = Instant::now();
    let mut watchers = Watchers::new();
    watchers.expect([address(1), address(2)].into_iter(), start);
    let members = |watchers: &Watchers, now| watchers.members(now).collect::<BTreeSet<_>>();
    assert!(
        members(&watchers, start).is_empty(),
        "registered, and not heard of"
    );
    assert!(!watchers.hears_any(start));
    let mut now = start;
    for _ in 0..30 {
        now += Duration::from_secs(1);
        watchers.record(address(1), false, now);
        watchers.record(address(3), true, now);
        assert_eq!(members(&watchers, now), BTreeSet::from([address(1), address(3)]));
        assert!(watchers.hears_any(now));
    }
    let last = now;
    now = last + MEMBER_TTL.mul_f64(0.99);
    assert_eq!(members(&watchers, now).len(), 2, "a report or two may be lost");
    now = last + MEMBER_TTL;
    assert!(members(&watchers, now).is_empty());
    assert!(!watchers.hears_any(now));
}
