//! Upstreams of unequal speed: what is learned of them, and where requests go by it.

use std::{collections::HashMap, time::Duration};

use carob_base::Time;
use carob_dispatch::fleet::{
    DirectoryEntry, Fleet, PaceReport, Placement, RequestSize, Requirements, SentLoad, Topology, UpstreamKey,
    UpstreamState,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const NOW: Time = Time::from_millis(1_000);
const LONG: RequestSize = RequestSize {
    tokens: 3_748,
    prefill: 3_000,
};
const FAST: f64 = 0.55;
const SLOW: f64 = 1.2;

fn fleet(seed: u64) -> Fleet {
    let regions = (0..6).map(|number| (domain(number), if number < 3 { "north" } else { "south" }.into()));
    Fleet::new(
        Topology {
            domain: domain(0),
            regions: regions.collect(),
        },
        seed,
    )
}

fn domain(number: usize) -> Box<str> {
    format!("d{number}").into()
}

fn add(
    fleet: &mut Fleet,
    service: &str,
    number: usize,
    (started_ms, domains): (u64, usize),
    now: Time,
) -> UpstreamKey {
    let id: Box<str> = format!("{service}{number}").into();
    let address = ([10, 0, (started_ms % 251) as u8, number as u8], 80).into();
    fleet.update_entry(
        DirectoryEntry {
            id: id.clone(),
            started_ms,
            sequence: 1,
            service: service.into(),
            address,
            domain: domain(number % domains),
            slots: if service == "engines" { 24 } else { 6 },
            state: UpstreamState::Ready,
            cold_left: Duration::ZERO,
        },
        now,
    );
    let mut upstreams = fleet.upstreams();
    upstreams
        .find(|(_, found)| found.entry.id == id && found.entry.started_ms == started_ms)
        .unwrap()
        .0
}

/// Engines with these paces, each learned from `gaps` gaps.
fn engines(fleet: &mut Fleet, paces: &[f64], gaps: usize) -> Vec<UpstreamKey> {
    let add_one = |(number, pace): (usize, &f64)| {
        let key = add(fleet, "engines", number, (7, 1), NOW);
        for step in 0..gaps {
            // Every third gap is two and a half times as long, as after a delay on the way.
            let delay = if step % 3 == 2 { 2.5 } else { 1.0 };
            fleet.record_gap(
                key,
                Duration::from_secs_f64(0.0285 * pace * delay),
                NOW + Duration::from_millis(30 * step as u64),
            );
        }
        key
    };
    paces.iter().enumerate().map(add_one).collect()
}

fn requirements(size: RequestSize) -> Requirements {
    Requirements::new("engines".into(), size, 26_872).with_gap_target(Duration::from_millis(180))
}

fn place(fleet: &Fleet, requirements: &Requirements, now: Time) -> UpstreamKey {
    match fleet.place(requirements, now) {
        Placement::Upstream(key) => key,
        other => panic!("{other:?}"),
    }
}

#[test]
fn three_gaps_with_a_delay_among_them_show_the_pace() {
    let mut fleet = fleet(1);
    let keys = engines(&mut fleet, &[FAST, SLOW, SLOW, SLOW], 3);
    let now = NOW + Duration::from_millis(100);
    fleet.evict_stale(now);
    let factor = |key| fleet.known_pace(key, now).unwrap().factor;
    assert!(factor(keys[0]) < 0.6, "{}", factor(keys[0]));
    assert!(keys[1..].iter().all(|key| (factor(*key) - 1.0).abs() < 1e-9));
    // Gaps while a prompt may be prefilled, and the first event, show that an engine is fast, but never that it is slow.
    for (number, pace, is_known) in [(8, FAST, true), (9, SLOW, false)] {
        let new = add(&mut fleet, "engines", number, (7, 1), now);
        fleet.start_request(new, LONG);
        let now = now + Duration::from_millis(30 * (number as u64 - 7));
        fleet.evict_stale(now);
        let sent = SentLoad {
            prefill: 3_000,
            requests: 1,
        };
        fleet.record_first_event(new, Duration::from_secs_f64(0.249 * pace), (LONG, sent, 4), now);
        for _ in 0..3 {
            fleet.record_gap(new, Duration::from_secs_f64(0.0285 * pace), now);
        }
        assert_eq!(fleet.known_pace(new, now).is_some(), is_known);
    }
}

#[test]
fn equal_paces_that_are_learned_with_noise_change_no_choice() {
    let mut random = SmallRng::seed_from_u64(3);
    let (mut informed, mut plain) = (fleet(5), fleet(5));
    for number in 0..20 {
        let key = add(&mut informed, "engines", number, (7, 6), NOW);
        add(&mut plain, "engines", number, (7, 6), NOW);
        for _ in 0..12 {
            informed.record_gap(
                key,
                Duration::from_secs_f64(0.0285 * random.random_range(0.9..1.2)),
                NOW,
            );
        }
    }
    let now = NOW + Duration::from_millis(50);
    informed.evict_stale(now);
    for _ in 0..120 {
        let size = RequestSize {
            tokens: 900,
            prefill: random.random_range(0..900),
        };
        let key = place(&informed, &requirements(size), now);
        assert_eq!(key, place(&plain, &requirements(size), now));
        informed.start_request(key, size);
        plain.start_request(key, size);
    }
}

#[test]
fn a_new_incarnation_is_unknown_and_what_is_told_of_the_old_one_is_ignored() {
    let mut fleet = fleet(1);
    let keys = engines(&mut fleet, &[FAST, SLOW, SLOW, SLOW], 6);
    let mut told = fleet.take_pace_reports(true, 0, NOW);
    assert_eq!(told.len(), 4);
    assert!(fleet.take_pace_reports(false, 0, NOW).is_empty());
    told.retain(|report| report.upstream_hash == fleet.upstream_hash(keys[0]));
    let new = add(&mut fleet, "engines", 0, (8, 1), NOW);
    told.push(PaceReport {
        upstream_hash: fleet.upstream_hash(new),
        pace_ms: f64::NAN,
        ..told[0]
    });
    fleet.apply_pace_reports(([10, 1, 0, 1], 80).into(), &told, NOW);
    assert!(fleet.known_pace(new, NOW).is_none());
    // What nobody has confirmed for long is forgotten as well.
    assert!(fleet.known_pace(keys[1], NOW + Duration::from_secs(40)).is_none());
}

/// Guards against paces that are repeated to all other regions once a second, whose bytes then grow with the square of the
/// number of instances.
#[test]
fn unchanged_paces_are_repeated_to_other_regions_the_less_often_the_more_instances_are_there() {
    let mut fleet = fleet(1);
    engines(&mut fleet, &[FAST, SLOW, SLOW, SLOW], 6);
    let mut count = |remote, seconds| {
        let now = NOW + Duration::from_secs(seconds);
        let told = fleet.take_pace_reports(true, remote, now);
        assert_eq!(told.len(), 4);
        told.iter().filter(|report| report.is_global).count()
    };
    assert_eq!(
        [count(200, 0), count(200, 1), count(200, 4), count(200, 5)],
        [4, 0, 0, 4]
    );
    assert_eq!([count(20, 6), count(20, 7)], [4, 4]);
}

#[test]
fn an_engine_of_unknown_pace_gets_work_soon_and_no_more_than_others() {
    let mut fleet = fleet(1);
    let keys = engines(&mut fleet, &[FAST, SLOW, SLOW, SLOW, SLOW, SLOW], 6);
    let now = NOW + Duration::from_millis(300);
    for key in &keys {
        fleet.start_request(*key, RequestSize { prefill: 0, ..LONG });
    }
    let new = add(&mut fleet, "engines", 6, (9, 1), now);
    fleet.evict_stale(now);
    let mut taken: HashMap<UpstreamKey, usize> = HashMap::new();
    let order: Vec<UpstreamKey> = (0..14)
        .map(|_| {
            let key = place(&fleet, &requirements(LONG), now);
            fleet.start_request(key, LONG);
            *taken.entry(key).or_default() += 1;
            key
        })
        .collect();
    assert!(order[..3].contains(&new));
    let most = keys[1..]
        .iter()
        .map(|key| taken.get(key).copied().unwrap_or(0))
        .max()
        .unwrap();
    assert!(taken[&new] <= most, "{taken:?}");
    assert!(taken[&keys[0]] > most, "{taken:?}");
}

#[test]
fn moves_prefer_fast_targets_and_take_those_with_long_gaps_last() {
    let mut fleet = fleet(1);
    let keys = engines(&mut fleet, &[SLOW, FAST, SLOW, SLOW, 6.5], 6);
    let now = NOW + Duration::from_millis(300);
    fleet.evict_stale(now);
    let moved = requirements(RequestSize { prefill: 0, ..LONG });
    let mut drawn: HashMap<UpstreamKey, u32> = HashMap::new();
    for draw in 0..600 {
        *drawn
            .entry(fleet.migration_target(keys[0], &moved, draw, now).unwrap())
            .or_default() += 1;
    }
    assert!(drawn[&keys[1]] > drawn[&keys[2]] * 3 / 2, "{drawn:?}");
    assert!(!drawn.contains_key(&keys[4]), "{drawn:?}");
    let others = moved.with_excluded(keys[1..4].iter().copied().collect());
    assert_eq!(fleet.migration_target(keys[0], &others, 1, now), Some(keys[4]));
}

#[test]
fn slow_plain_upstreams_get_fewer_calls() {
    let mut fleet = fleet(1);
    let now = NOW + Duration::from_millis(300);
    let keys: Vec<UpstreamKey> = (0..4)
        .map(|number| add(&mut fleet, "plain", number, (7, 1), NOW))
        .collect();
    for (number, key) in keys.iter().enumerate() {
        for _ in 0..5 {
            fleet.record_call(
                *key,
                Duration::from_millis(if number == 0 { 240 } else { 60 }),
                NOW,
            );
        }
    }
    fleet.evict_stale(now);
    let call = Requirements::new(
        "plain".into(),
        RequestSize {
            tokens: 0,
            prefill: 0,
        },
        0,
    );
    for _ in 0..16 {
        let key = place(&fleet, &call, now);
        fleet.start_request(key, call.size);
    }
    let running: Vec<u32> = keys
        .iter()
        .map(|key| fleet.upstream(*key).unwrap().local_requests)
        .collect();
    assert!(running[0] > 0 && running[0] < 3, "{running:?}");
}

#[test]
fn a_domain_with_three_times_the_demand_finds_room_elsewhere_before_its_own_is_full() {
    let mut fleet = fleet(1);
    let keys: Vec<UpstreamKey> = (0..42)
        .map(|number| add(&mut fleet, "engines", number, (7, 6), NOW))
        .collect();
    for (number, key) in keys.iter().enumerate() {
        let pace = if number % 4 == 0 { FAST } else { SLOW };
        for _ in 0..4 {
            fleet.record_gap(*key, Duration::from_secs_f64(0.0285 * pace), NOW);
        }
        fleet.start_request(*key, RequestSize { prefill: 0, ..LONG });
    }
    let now = NOW + Duration::from_millis(300);
    fleet.evict_stale(now);
    // Seven engines are in the own domain, and seven in each of the others.
    let mut own = 0;
    for _ in 0..30 {
        let key = place(&fleet, &requirements(LONG), now);
        own += usize::from(*fleet.upstream(key).unwrap().entry.domain == *domain(0));
        fleet.start_request(key, LONG);
    }
    assert!((5..=12).contains(&own), "{own} of 30 in the own domain");
    let mut upstreams = fleet
        .upstreams()
        .filter(|(_, found)| *found.entry.domain == *domain(0));
    assert!(upstreams.all(|(key, _)| fleet.exclusion(key, &requirements(LONG), now).is_none()));
}
