//! Statements about limits, and permits.

use std::{net::SocketAddr, time::Duration};

use carob_base::Time;
use carob_dispatch::{
    fleet::{DirectoryEntry, Fleet, Placement, RequestSize, Requirements, Topology, UpstreamState},
    limits::{Access, Content, Limits, Members, Options, Origin, Report},
};

const UPSTREAM: u64 = 7;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7200))
}

fn alone() -> Members<'static> {
    Members {
        own: address(1),
        heard: &[],
        registered: 1,
    }
}

/// Lets an instance that is alone issue permits for `millis`, and returns how many it got while it wanted more.
fn issue(limits: &mut Limits, members: Members<'_>, from: u64, millis: u64) -> u32 {
    let polls = (from..from + millis).step_by(10).map(|now| {
        for _ in 0..4 {
            limits.record_demand(UPSTREAM, at(now));
        }
        let permits = limits.poll(members, at(now)).1;
        while limits.take_permit(UPSTREAM, at(now)).is_some() {}
        permits
    });
    polls.sum()
}

fn limited(rate: f64) -> Limits {
    let mut limits = Limits::new(Options::default(), 1);
    limits.record_answer(UPSTREAM, Some(rate), at(990), at(1_000));
    limits
}

fn report(rate: Option<f64>, age: u64, origin: u64) -> Report {
    Report {
        incarnation: UPSTREAM,
        rate,
        age: Duration::from_millis(age),
        origin: Origin {
            boot_id: origin,
            number: 1,
        },
    }
}

#[test]
fn a_request_is_sent_without_a_permit() {
    let mut limits = limited(10.0);
    assert_eq!(limits.access(UPSTREAM, at(1_000)), Access::Held);
    assert_eq!(limits.access(UPSTREAM + 1, at(1_000)), Access::Open);
    let permits = issue(&mut limits, alone(), 1_000, 2_000);
    assert!((19..=21).contains(&permits), "{permits} permits in 2 s");
}

#[test]
fn permits_pile_up_while_nobody_wants_them() {
    let mut limits = limited(4.0);
    limits.poll(alone(), at(1_000));
    for now in (1_000..60_000).step_by(100) {
        assert_eq!(limits.poll(alone(), at(now)).1, 0);
    }
    let permits = issue(&mut limits, alone(), 60_000, 10);
    assert!(permits <= 2, "{permits} permits at once");
}

#[test]
fn a_permit_is_valid_for_ever() {
    let mut limits = limited(4.0);
    limits.receive(address(2), UPSTREAM, Content::Permits(1), at(1_100));
    assert_ne!(limits.access(UPSTREAM, at(1_200)), Access::Held);
    assert_eq!(limits.access(UPSTREAM, at(1_100 + 1_500)), Access::Held);
    assert!(limits.take_permit(UPSTREAM, at(1_100 + 1_500)).is_none());
}

#[test]
fn a_permit_whose_request_is_not_sent_is_lost() {
    let mut limits = limited(4.0);
    limits.receive(address(2), UPSTREAM, Content::Permits(1), at(1_100));
    let permit = limits.take_permit(UPSTREAM, at(1_200)).expect("there is one");
    assert_eq!(limits.access(UPSTREAM, at(1_200)), Access::Held);
    limits.give_back(permit);
    assert_ne!(limits.access(UPSTREAM, at(1_200)), Access::Held);
}

/// The request of an answer without a limit was sent before the limit was named.
#[test]
fn an_answer_that_is_overtaken_ends_a_limit() {
    let mut limits = limited(4.0);
    assert!(limits.record_answer(UPSTREAM, None, at(995), at(1_100)).is_none());
    assert!(limits.limit(UPSTREAM).is_some());
    assert!(
        limits
            .record_answer(UPSTREAM, None, at(1_001), at(1_100))
            .is_some()
    );
    assert!(limits.limit(UPSTREAM).is_none());
    assert_eq!(limits.access(UPSTREAM, at(1_100)), Access::Open);
}

#[test]
fn an_older_statement_of_another_instance_replaces_a_later_one() {
    let mut limits = limited(4.0);
    assert!(
        limits
            .merge(&report(Some(9.0), 500, 2), address(2), at(1_100))
            .is_none()
    );
    assert!(
        limits
            .merge(&report(None, 500, 3), address(2), at(1_100))
            .is_none()
    );
    assert!(
        limits
            .merge(&report(Some(9.0), 50, 2), address(2), at(1_100))
            .is_some()
    );
    // It comes back from a third instance, somewhat younger.
    assert!(
        limits
            .merge(&report(None, 40, 4), address(2), at(1_100))
            .is_some()
    );
    assert!(
        limits
            .merge(&report(None, 10, 4), address(3), at(1_100))
            .is_none()
    );
    let again = limits.take_reports(true, at(1_200));
    assert_eq!(again[0].age, Duration::from_millis(140));
}

#[test]
fn a_limit_of_zero_is_never_asked_about_again() {
    let mut limits = limited(0.0);
    let permits = issue(&mut limits, alone(), 1_000, 20_000);
    assert!((4..=6).contains(&permits), "{permits} permits in 20 s");
}

#[test]
fn broken_rates_of_other_instances_are_taken() {
    let mut limits = Limits::new(Options::default(), 1);
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        assert!(
            limits
                .merge(&report(Some(rate), 0, 2), address(2), at(1_000))
                .is_none()
        );
    }
    assert!(limits.is_empty());
    limits.merge(&report(Some(1e300), 0, 2), address(2), at(1_000));
    assert!(issue(&mut limits, alone(), 1_000, 100) > 0);
}

/// An instance that hears of one of two others may be on one side of a cut, with an issuer on the other side.
#[test]
fn both_sides_of_a_cut_issue_the_whole_limit() {
    let heard = [address(2)];
    let mut limits = limited(12.0);
    let mut members = Members {
        own: address(1),
        heard: &heard,
        registered: 4,
    };
    limits.record_wait(UPSTREAM, at(1_100));
    let asked = limits.poll(members, at(1_000)).0;
    if asked.iter().any(|message| message.to != address(1)) {
        members.own = address(2);
        members.heard = &[];
        members.registered = 2;
    }
    let permits = issue(&mut limits, members, 1_000, 2_000);
    assert!((11..=13).contains(&permits), "{permits} permits in 2 s");
}

#[test]
fn an_issuer_gives_permits_to_others_than_those_that_want_them() {
    let mut limits = limited(30.0);
    let members = alone();
    let mut got = [0; 2];
    for now in (1_000..11_000).step_by(10) {
        limits.receive(address(2), UPSTREAM, Content::Want(30), at(now));
        limits.receive(address(3), UPSTREAM, Content::Want(10), at(now));
        for message in limits.poll(members, at(now)).0 {
            let Content::Permits(count) = message.content else {
                continue;
            };
            got[usize::from(message.to == address(3))] += count;
        }
    }
    assert!(
        (220..=230).contains(&got[0]) && (70..=80).contains(&got[1]),
        "{got:?}"
    );
}

/// An idle upstream with a small limit is always the better choice than a busy one with a large limit.
#[test]
fn upstreams_with_larger_limits_are_never_wanted() {
    let topology = Topology {
        domain: "a".into(),
        regions: std::iter::once(("a".into(), "north".into())).collect(),
    };
    let mut fleet = Fleet::new(topology, 1);
    for id in ["idle", "busy"] {
        fleet.update_entry(
            DirectoryEntry {
                id: id.into(),
                started_ms: 1,
                sequence: 0,
                service: "plain".into(),
                address: address(9),
                domain: "a".into(),
                slots: 6,
                state: UpstreamState::Ready,
                cold_left: std::time::Duration::ZERO,
            },
            at(0),
        );
    }
    let size = RequestSize {
        tokens: 0,
        prefill: 0,
    };
    let requirements = Requirements::new("plain".into(), size, 0);
    let keys: Vec<_> = fleet.upstreams().map(|(key, _)| key).collect();
    for (key, rate) in keys.iter().zip([0.5, 100.0]) {
        let hash = fleet.upstream_hash(*key);
        fleet
            .limits_mut()
            .record_answer(hash, Some(rate), at(900), at(1_000));
    }
    fleet.start_request(keys[1], requirements.size);
    let hash = fleet.upstream_hash(keys[1]);
    for now in (1_000..2_000).step_by(10) {
        fleet.record_demand(&requirements, at(now));
        fleet.limits_mut().poll(alone(), at(now));
    }
    assert_eq!(
        fleet.place(&requirements, at(2_000)),
        Placement::Upstream(keys[1])
    );
    assert_ne!(fleet.limits().access(hash, at(2_000)), Access::Held);
}
