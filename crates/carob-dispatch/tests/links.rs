//! Links to upstreams that are lost and come back.

use std::time::Duration;

use carob_base::Time;
use carob_dispatch::fleet::{DirectoryEntry, Fleet, LinkFailure, Topology, UpstreamKey, UpstreamState};

fn fleet(upstreams: usize) -> (Fleet, Vec<UpstreamKey>) {
    let topology = Topology {
        domain: "a".into(),
        regions: std::collections::HashMap::new(),
    };
    let mut fleet = Fleet::new(topology, 7);
    for number in 0..upstreams {
        let entry = DirectoryEntry {
            id: format!("u{number}").into(),
            started_ms: 1,
            sequence: 0,
            service: "plain".into(),
            address: format!("127.0.0.1:{}", 9_000 + number)
                .parse()
                .expect("an address"),
            domain: "a".into(),
            slots: 4,
            state: UpstreamState::Ready,
            cold_left: std::time::Duration::ZERO,
        };
        fleet.update_entry(entry, Time::ZERO);
    }
    let mut keys: Vec<UpstreamKey> = fleet.upstreams().map(|(key, _)| key).collect();
    keys.sort_unstable();
    (fleet, keys)
}

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

#[test]
fn one_lost_link_cuts_a_service() {
    let (mut fleet, keys) = fleet(3);
    fleet.record_link_answer(keys[1], at(900));
    fleet.record_link_answer(keys[2], at(900));
    assert!(fleet.record_link_failure(keys[0], LinkFailure::Probe, at(1_000)));
    assert!(
        !fleet.record_link_failure(keys[0], LinkFailure::Probe, at(1_001)),
        "it was lost already"
    );
    assert!(fleet.cut_services().is_empty());
    assert!(fleet.take_probes(at(1_100)).is_empty(), "the others answer");
    assert_eq!(fleet.take_probes(at(1_600)).to_vec(), [keys[0]]);
}

#[test]
fn links_without_answers_are_not_probed_when_another_is_lost() {
    let (mut fleet, keys) = fleet(3);
    fleet.record_link_failure(keys[0], LinkFailure::Probe, at(1_000));
    let mut probed = fleet.take_probes(at(1_000)).to_vec();
    probed.sort_unstable();
    assert_eq!(probed, keys[1..]);
    fleet.record_link_failure(keys[1], LinkFailure::Probe, at(1_100));
    fleet.record_link_failure(keys[2], LinkFailure::Probe, at(1_100));
    assert!(fleet.is_cut("plain"));
    assert_eq!(fleet.cut_services().len(), 1);
}

#[test]
fn a_fleet_of_many_upstreams_is_probed_all_at_once() {
    let (mut fleet, keys) = fleet(300);
    for key in &keys {
        fleet.record_link_failure(*key, LinkFailure::Probe, at(1_000));
    }
    let mut probed = Vec::new();
    for round in 0..10 {
        let taken = fleet.take_probes(at(2_000 + 100 * round));
        assert!(taken.len() <= 3, "{} at once", taken.len());
        probed.extend(taken);
    }
    // Once one answers, the others follow soon.
    fleet.record_link_answer(keys[0], at(3_000));
    let taken = fleet.take_probes(at(3_050));
    assert!(taken.len() > 3 && taken.len() <= 8, "{} at once", taken.len());
}

#[test]
fn a_silent_upstream_that_answers_others_is_suspected() {
    let (mut fleet, keys) = fleet(2);
    fleet.record_link_answer(keys[0], at(1_500));
    assert!(!fleet.suspect_link(keys[0], at(1_000), at(1_700)));
    assert!(fleet.suspect_link(keys[0], at(1_600), at(1_700)));
    assert_eq!(fleet.take_probes(at(1_700)).to_vec(), [keys[0]]);
    assert_eq!(
        fleet.record_link_answer(keys[0], at(1_800)),
        None,
        "it was not lost"
    );
    assert!(fleet.next_probe(at(1_800)).is_none());
}

/// A probe that has to be rejected may bring the upstream down.
#[test]
fn an_upstream_that_is_brittle_is_probed_in_doubt() {
    let (mut fleet, keys) = fleet(2);
    let hash = fleet.upstream_hash(keys[0]);
    fleet
        .limits_mut()
        .record_brittle(hash, Some(0.0), at(900), at(1_000));
    assert!(!fleet.suspect_link(keys[0], at(1_500), at(2_300)));
    fleet.record_link_failure(keys[1], LinkFailure::Probe, at(2_300));
    assert!(fleet.take_probes(at(2_300)).is_empty());
    assert!(
        fleet
            .next_probe(at(2_300))
            .is_some_and(|time| time > Duration::from_millis(100))
    );
}

#[test]
fn upstreams_that_leave_or_ask_for_a_pause_are_probed() {
    let (mut fleet, keys) = fleet(2);
    fleet.record_link_failure(keys[0], LinkFailure::Probe, at(1_000));
    fleet.record_link_failure(keys[1], LinkFailure::Probe, at(1_000));
    fleet.mark_leaving(keys[0], at(1_000));
    fleet.pause(keys[1], at(5_000));
    assert!(fleet.take_probes(at(3_000)).is_empty());
    assert_eq!(fleet.take_probes(at(6_000)).to_vec(), [keys[1]]);
}

/// Each run at an upstream that could not be reached was called to stop by itself, and all waited on after one call had
/// come through.
#[test]
fn calls_to_an_upstream_that_cannot_be_reached_are_made_by_all_that_wait() {
    let (mut fleet, keys) = fleet(2);
    let key = keys[0];
    assert!(
        fleet.try_start_call(key, at(0)) && fleet.try_start_call(key, at(0)),
        "nothing failed"
    );
    fleet.end_call(key, Some(at(200)));
    assert!(!fleet.try_start_call(key, at(199)));
    assert!(fleet.try_start_call(keys[1], at(199)), "the other one is called");
    assert!(fleet.try_start_call(key, at(200)));
    assert!(!fleet.try_start_call(key, at(201)), "one call is under way");
    assert!(
        fleet.try_start_call(key, at(1_200)),
        "nothing is known of the one under way"
    );
    fleet.end_call(key, None);
    assert!(fleet.try_start_call(key, at(1_201)) && fleet.try_start_call(key, at(1_201)));
    fleet.end_call(key, Some(at(1_400)));
    fleet.record_link_answer(key, at(1_210));
    assert!(fleet.try_start_call(key, at(1_210)), "it has answered");
}

/// Every call to an upstream that has gone asked three other instances, five times a second.
#[test]
fn other_instances_are_asked_at_every_call_to_an_upstream_that_has_gone() {
    let (mut fleet, keys) = fleet(2);
    assert!(fleet.try_ask_peers(keys[0], at(0)));
    assert!(!fleet.try_ask_peers(keys[0], at(999)));
    assert!(
        fleet.try_ask_peers(keys[1], at(999)),
        "they are asked for the other one"
    );
    assert!(fleet.try_ask_peers(keys[0], at(1_000)));
    fleet.end_call(keys[0], Some(at(1_200)));
    assert!(!fleet.try_ask_peers(keys[0], at(1_001)));
    // One of them has connected a call, so that the others need not wait.
    fleet.end_call(keys[0], None);
    assert!(fleet.try_ask_peers(keys[0], at(1_002)));
}

/// An upstream that serves on after its entry was removed was taken to have ended.
#[test]
fn an_upstream_without_an_entry_has_ended() {
    let (mut fleet, keys) = fleet(2);
    let entry = |fleet: &Fleet, key: UpstreamKey| fleet.upstream(key).expect("it is known").entry.clone();
    let (mut named, mut placed) = (entry(&fleet, keys[0]), entry(&fleet, keys[1]));
    fleet.remove_entry("u0", at(0));
    fleet.remove_entry("u1", at(0));
    assert!(!fleet.is_probed(keys[0]));
    assert!(!fleet.has_ended(keys[0]) && !fleet.has_ended(keys[1]));
    // The next process of the first one has another address.
    named.address = "127.0.0.1:9100".parse().expect("an address");
    named.started_ms = 2;
    fleet.update_entry(named, at(10));
    assert!(fleet.has_ended(keys[0]) && !fleet.has_ended(keys[1]));
    // Another process has the address of the second one.
    placed.id = "u9".into();
    placed.started_ms = 3;
    fleet.update_entry(placed, at(20));
    assert!(fleet.has_ended(keys[1]));
}
