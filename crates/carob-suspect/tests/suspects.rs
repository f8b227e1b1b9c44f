//! Requests that crash upstreams are refused after two or three crashes; requests that ran beside them are
//! not.

use std::time::Duration;

use carob_base::Time;
use carob_suspect::{Fingerprint, Options, Suspects, Verdict};
use proptest::{collection::vec, prelude::*};

fn suspects(reporter: u64) -> Suspects {
    Suspects::new(Options::new(), reporter)
}

fn at(secs: u64) -> Time {
    Time::from_millis(secs * 1_000)
}

const CULPRIT: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);

#[test]
fn a_request_that_dies_alone_after_a_first_death_is_refused_on_every_instance() {
    let mut first = suspects(1);
    first.on_crash(10, &[CULPRIT, INNOCENT], false, at(0));
    assert_eq!(first.verdict(CULPRIT, at(1)), Verdict::Isolated);
    first.on_finish(INNOCENT, at(2));
    first.on_crash(11, &[CULPRIT], true, at(3));
    let mut second = suspects(2);
    second.merge(&first.export(at(4)), at(1_000));
    for (known, now) in [(&first, at(4)), (&second, at(1_000))] {
        assert!(matches!(known.verdict(CULPRIT, now), Verdict::Refuse { .. }));
        assert_eq!(known.verdict(INNOCENT, now), Verdict::Clear);
    }
    assert_eq!(first.verdict(CULPRIT, at(3 + 1_800)), Verdict::Isolated);
}

#[test]
fn of_many_requests_only_those_in_two_deaths_are_isolated() {
    let mut known = suspects(1);
    let requests: Vec<_> = (1..=20).map(Fingerprint).collect();
    let other: Vec<_> = [1].into_iter().chain(100..120).map(Fingerprint).collect();
    known.on_crash(10, &requests, false, at(0));
    assert_eq!(known.verdict(CULPRIT, at(1)), Verdict::Clear);
    known.on_crash(11, &other, false, at(10));
    assert_eq!(known.verdict(CULPRIT, at(11)), Verdict::Isolated);
    assert_eq!(known.verdict(INNOCENT, at(11)), Verdict::Clear);
    known.on_crash(12, &[CULPRIT], true, at(20));
    assert!(matches!(known.verdict(CULPRIT, at(21)), Verdict::Refuse { .. }));
}

#[test]
fn a_rack_that_fails_makes_no_suspects() {
    let mut known = suspects(1);
    for upstream in 0..4 {
        let running = [Fingerprint(100 + upstream), Fingerprint(200 + upstream)];
        known.on_crash(upstream, &running, false, at(0));
    }
    assert_eq!(known.verdict(Fingerprint(100), at(1)), Verdict::Clear);
}

#[test]
fn copies_of_one_culprit_that_kill_together_are_still_suspected() {
    let mut known = suspects(1);
    for upstream in 0..4 {
        known.on_crash(upstream, &[CULPRIT, Fingerprint(200 + upstream)], false, at(0));
    }
    assert_eq!(known.verdict(CULPRIT, at(1)), Verdict::Isolated);
}

#[test]
fn instances_that_shared_the_upstream_do_not_mistake_it_for_a_death_alone() {
    let (mut first, mut second) = (suspects(1), suspects(2));
    first.on_crash(9, &[INNOCENT], false, at(0));
    first.on_crash(10, &[INNOCENT], true, at(10));
    second.on_crash(10, &[CULPRIT], true, at(10));
    first.merge(&second.export(at(11)), at(11));
    assert_eq!(first.verdict(INNOCENT, at(12)), Verdict::Isolated);
}

#[test]
fn an_instance_that_just_started_keeps_the_order_of_what_it_learns() {
    let mut old = suspects(1);
    old.on_crash(10, &[CULPRIT], false, at(100));
    old.on_finish(CULPRIT, at(200));
    old.on_crash(11, &[CULPRIT], false, at(300));
    let mut young = suspects(2);
    young.merge(&old.export(at(400)), at(0));
    assert_eq!(young.verdict(CULPRIT, at(0)), Verdict::Isolated);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: prop::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever requests run beside the culprit, it causes at most three crashes and no other request is
    /// refused, as long as each request runs as its verdict says.
    #[test]
    fn at_most_three_deaths_and_no_innocent_refused(groups in vec(vec(2_u64..400, 0..40), 1..12)) {
        let mut known = suspects(1);
        let mut crashes = 0;
        let mut now = Time::ZERO;
        for (id, others) in groups.iter().enumerate() {
            now = now + Duration::from_secs(30);
            let isolated = match known.verdict(CULPRIT, now) {
                Verdict::Refuse { .. } => continue,
                Verdict::Isolated => true,
                Verdict::Clear => false,
            };
            let mut running = vec![CULPRIT];
            if !isolated {
                let others = others.iter().copied().map(Fingerprint);
                running.extend(others.filter(|other| known.verdict(*other, now) == Verdict::Clear));
            }
            known.on_crash(id as u64, &running, isolated, now);
            crashes += 1;
            for innocent in (2..400).map(Fingerprint) {
                let refused = matches!(known.verdict(innocent, now), Verdict::Refuse { .. });
                prop_assert!(!refused, "{innocent:?}");
            }
        }
        prop_assert!(crashes <= 3, "{crashes} crashes");
    }

    /// The order in which reports are merged, and how often, does not matter.
    #[test]
    fn merging_is_idempotent_and_commutative(ids in vec((0_u64..6, 1_u64..6), 1..12)) {
        let mut sources = [suspects(1), suspects(2)];
        for (at_secs, (id, print)) in ids.iter().enumerate() {
            let source = &mut sources[at_secs % 2];
            source.on_crash(*id, &[Fingerprint(*print)], at_secs % 3 == 0, at(at_secs as u64 * 10));
        }
        let now = at(500);
        let reports = [sources[0].export(now), sources[1].export(now)];
        let mut forward = suspects(8);
        let mut backward = suspects(9);
        forward.merge(&reports[0], now);
        forward.merge(&reports[1], now);
        backward.merge(&reports[1], now);
        backward.merge(&reports[0], now);
        backward.merge(&reports[1], now);
        for print in (1..6).map(Fingerprint) {
            prop_assert_eq!(forward.verdict(print, now), backward.verdict(print, now));
        }
    }
}
