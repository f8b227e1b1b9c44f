//! Joining, failing, leaving and sharing without faults of the network.

mod common;

use std::time::Duration;

use bytes::Bytes;
use carob_base::Time;
use carob_config::Revision;
use carob_member::{Change, InFlight, Load, Status, UpstreamHealth, home};
use common::{Net, fleet, name, store::service};

const UP: u32 = 77;

fn all_alive(net: &Net) -> bool {
    net.nodes.values().all(|node| {
        let same = net
            .nodes
            .values()
            .filter(|other| other.listed.domain == node.listed.domain);
        node.members.alive_ids().len() == same.count()
    })
}

#[test]
fn a_fleet_that_starts_at_once_finds_itself() {
    for count in [1, 2, 3, 7, 20] {
        let list = fleet(&["a"], count);
        let mut net = Net::started(1, &list, 0);
        let took = net.run_until(Duration::from_secs(10), all_alive);
        assert!(
            took.is_some_and(|t| t < Duration::from_secs(5)),
            "{count}: {took:?}"
        );
    }
}

#[test]
fn a_newcomer_that_the_list_does_not_show_yet_is_known_by_its_greeting() {
    let list = fleet(&["a"], 5);
    let mut net = Net::started(2, &list[..4], 10);
    net.start(&list[4], 1);
    net.node("a-4")
        .members
        .step(carob_member::Event::List(list.clone()), Time::ZERO);
    let took = net.run_until(Duration::from_secs(10), all_alive);
    assert!(took.is_some(), "the newcomer is not known to all");
}

#[test]
fn a_killed_instance_is_failed_everywhere_within_seconds() {
    for count in [3, 7, 20] {
        let list = fleet(&["a"], count);
        let mut net = Net::started(3, &list, 20);
        net.kill("a-1");
        let took = net.run_until(Duration::from_secs(40), all_alive);
        assert!(
            took.is_some_and(|t| t < Duration::from_secs(20)),
            "{count}: {took:?}"
        );
        let failed = net.nodes.values().flat_map(|node| &node.changes);
        let failed = failed.filter(|(_, change)| matches!(change, Change::Failed(_)));
        assert_eq!(failed.count(), count - 1, "nobody else counts as failed");
    }
}

#[test]
fn a_goodbye_needs_no_suspicion() {
    let mut net = Net::started(4, &fleet(&["a"], 7), 10);
    net.close("a-3");
    net.run(Duration::from_secs(1));
    for node in net.nodes.values() {
        let status = node
            .members
            .iter()
            .find(|m| m.name == name("a-3"))
            .map(|m| m.status);
        assert_eq!(status, Some(Status::Left));
        assert!(
            !node
                .changes
                .iter()
                .any(|(_, c)| matches!(c, Change::Suspected(_)))
        );
    }
}

#[test]
fn a_restarted_instance_is_a_new_incarnation() {
    let list = fleet(&["a"], 3);
    let mut net = Net::started(5, &list, 10);
    net.kill("a-0");
    net.start(&list[0], 2);
    net.publish_list(&list);
    net.run(Duration::from_secs(5));
    assert!(all_alive(&net));
    let member = net
        .node("a-1")
        .members
        .iter()
        .find(|m| m.name == name("a-0"))
        .cloned();
    assert_eq!(member.expect("known").incarnation, 2);
}

#[test]
fn reports_signs_and_suspects_reach_everyone_in_the_domain() {
    let mut net = Net::started(6, &fleet(&["a"], 20), 10);
    let now = net.now;
    let load = Load {
        running: 9,
        used: 3_000,
        memory: 10 * 1_024,
        leaving: true,
        ..Load::default()
    };
    let members = &mut net.node("a-0").members;
    members.share_load(UP, load, now);
    members.share_health(UP, 5, UpstreamHealth::Leaving);
    members.share_evidence(&Bytes::from_static(b"fingerprint"));
    net.run(Duration::from_secs(5));
    for node in net.nodes.values().filter(|node| node.listed.name != name("a-0")) {
        assert_eq!(node.members.load(UP).map(|(load, _)| load), Some(load));
        assert!(node.signs.iter().any(|(_, upstream)| *upstream == UP));
        assert_eq!(node.suspects.len(), 1, "passed on once");
    }
}

#[test]
fn resumed_answer_is_told_in_every_domain() {
    let mut net = Net::started(12, &fleet(&["a", "b"], 3), 10);
    net.resume("a-0", "resp_1");
    net.run(Duration::from_secs(1));
    for node in net.nodes.values().filter(|node| node.listed.name != name("a-0")) {
        assert_eq!(node.resumed, ["resp_1"], "{}", node.listed.name);
    }
}

#[test]
fn signs_travel_at_once() {
    let mut net = Net::started(7, &fleet(&["a"], 20), 10);
    net.node("a-0").members.share_health(UP, 5, UpstreamHealth::Down);
    net.run(Duration::from_millis(300));
    let told = net.nodes.values().filter(|node| !node.signs.is_empty()).count();
    assert_eq!(told, 19);
}

#[test]
fn own_load_of_others_is_summed_and_forgotten_with_them() {
    let mut net = Net::started(8, &fleet(&["a"], 3), 10);
    let own = InFlight {
        running: 2,
        tokens: 500,
        sent: 1,
    };
    net.node("a-0").members.set_in_flight(UP, own);
    net.node("a-1").members.set_in_flight(UP, own);
    net.run(Duration::from_secs(4));
    assert_eq!(net.node("a-2").members.peers_in_flight(UP).running, 4);
    net.kill("a-0");
    for _ in 0..20 {
        net.node("a-1").members.set_in_flight(UP, own);
        net.run(Duration::from_secs(1));
    }
    assert_eq!(net.node("a-2").members.peers_in_flight(UP).running, 2);
    net.run(Duration::from_secs(15));
    assert_eq!(
        net.node("a-2").members.peers_in_flight(UP).running,
        0,
        "not said again"
    );
}

#[test]
fn suspects_and_revisions_cross_domains() {
    let list = fleet(&["a", "b", "c"], 3);
    let mut net = Net::started(9, &list, 10);
    net.submit(service(1, "s", 1));
    net.node("a-0")
        .members
        .share_evidence(&Bytes::from_static(b"fingerprint"));
    net.run(Duration::from_secs(40));
    for node in net.nodes.values().filter(|node| node.listed.domain != name("a")) {
        assert_eq!(node.suspects.len(), 1, "{}", node.listed.name);
        let summary = node.members.summary(&name("a")).expect("heard of");
        assert_eq!((summary.alive, summary.highest), (3, 1));
    }
}

#[test]
fn a_ticket_is_in_force_everywhere_and_confirmed_by_name() {
    let list = fleet(&["a", "b", "c"], 3);
    let mut net = Net::started(10, &list, 10);
    net.submit(service(1, "s", 1));
    let took = net.run_until(Duration::from_secs(8), |net| net.in_force(1));
    assert!(took.is_some(), "not in force within 8 s");
    let digests: Vec<_> = net.nodes.values().map(|n| n.follow.config().digest()).collect();
    assert!(digests.iter().all(|digest| *digest == digests[0]));
    let confirmed = |net: &Net| {
        let mut nodes = net.nodes.values();
        nodes.all(|node| node.members.unconfirmed(Revision(1)).is_empty())
    };
    let took = net.run_until(Duration::from_secs(8), confirmed);
    assert!(took.is_some(), "not confirmed everywhere within 8 s");
    net.kill("a-2");
    net.submit(service(2, "s", 2));
    net.run(Duration::from_mins(1));
    assert_eq!(net.node("a-1").members.unconfirmed(Revision(2)), [name("a-2")]);
}

#[test]
fn homes_move_only_from_the_member_that_is_gone() {
    let all: Vec<u32> = (0..20).collect();
    let mut moved = 0;
    for key in 0..500_u32 {
        let key = key.to_le_bytes();
        let before = home::top_ranked(&key, all.iter().copied(), 1)[0];
        let after = home::top_ranked(&key, all.iter().copied().filter(|id| *id != 7), 1)[0];
        assert!(before == 7 || before == after);
        moved += u32::from(before == 7);
    }
    assert!((10..50).contains(&moved), "{moved} of 500 keys had the home 7");
}
