//! Membership and configuration under partitions, loss, pauses, restarts and clock jumps.

mod common;

use std::time::Duration;

use carob_config::Revision;
use carob_member::Change;
use common::{
    Net, fleet, name,
    store::{Fault, service},
};
use rand::RngExt as _;

const MINUTE: Duration = Duration::from_mins(1);

fn changes<'a>(net: &'a Net, wanted: impl Fn(&Change) -> bool + 'a) -> impl Iterator<Item = String> + 'a {
    net.nodes.values().flat_map(move |node| {
        let changes = node.changes.iter().filter(|(_, change)| wanted(change));
        let text =
            |(time, change): &(carob_base::Time, Change)| format!("{time} {}: {change:?}", node.listed.name);
        changes.map(text).collect::<Vec<_>>()
    })
}

fn no_failures(net: &Net) {
    let failed: Vec<_> = changes(net, |change| matches!(change, Change::Failed(_))).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

fn never_back(net: &Net) {
    for node in net.nodes.values() {
        let rising = node.applied.windows(2).all(|pair| pair[0].1 < pair[1].1);
        assert!(rising, "{}: {:?}", node.listed.name, node.applied);
    }
}

#[test]
fn one_lossy_link_kills_nobody() {
    for seed in 0..5 {
        let mut net = Net::started(seed, &fleet(&["a"], 5), 10);
        net.loss = Box::new(|from, to, _| {
            let (from, to) = (from.listed.name.as_str(), to.listed.name.as_str());
            matches!((from, to), ("a-0", "a-1") | ("a-1", "a-0"))
        });
        net.run(5 * MINUTE);
        no_failures(&net);
    }
}

#[test]
fn one_way_loss_kills_nobody_and_soft_state_gets_through() {
    let mut net = Net::started(3, &fleet(&["a"], 7), 10);
    net.loss = Box::new(|from, to, _| from.listed.name == name("a-0") && to.listed.name == name("a-1"));
    net.run(MINUTE);
    no_failures(&net);
    net.node("a-0").members.set_ready(false);
    net.run(MINUTE);
    let seen = net
        .node("a-1")
        .members
        .iter()
        .find(|m| m.name == name("a-0"))
        .map(|m| m.ready);
    assert_eq!(seen, Some(false));
}

#[test]
fn a_lossy_instance_is_not_failed() {
    for seed in 0..5 {
        let mut net = Net::started(seed, &fleet(&["a"], 7), 10);
        net.loss = Box::new(|from, to, rng| {
            let lossy = name("a-0");
            (from.listed.name == lossy || to.listed.name == lossy) && rng.random_bool(0.2)
        });
        net.run(5 * MINUTE);
        no_failures(&net);
    }
}

#[test]
fn loss_everywhere_kills_nobody() {
    for seed in 0..3 {
        let mut net = Net::started(seed, &fleet(&["a"], 20), 10);
        net.loss = Box::new(|_, _, rng| rng.random_bool(0.05));
        net.run(3 * MINUTE);
        no_failures(&net);
    }
}

#[test]
fn a_paused_instance_wakes_with_an_old_view_and_accuses_nobody() {
    let mut net = Net::started(11, &fleet(&["a"], 5), 10);
    let wake = net.now + Duration::from_secs(30);
    net.node("a-0").paused_until = wake;
    net.run(Duration::from_secs(29));
    let gone = changes(&net, |c| matches!(c, Change::Failed(n) if *n == name("a-0"))).count();
    assert_eq!(gone, 4, "the others take it for failed");
    net.run(Duration::from_secs(31));
    let node = net.node("a-0");
    let (woke, _) = node
        .changes
        .iter()
        .find(|(_, change)| matches!(change, Change::Woke(_)))
        .expect("the pause is noticed");
    assert!(woke.since(wake) < Duration::from_millis(200));
    let accused = node
        .changes
        .iter()
        .any(|(_, c)| matches!(c, Change::Suspected(_) | Change::Failed(_)));
    assert!(!accused, "{:?}", node.changes);
    assert!(node.members.is_current());
    for node in net.nodes.values() {
        assert_eq!(node.members.alive_ids().len(), 5, "{}", node.listed.name);
    }
}

#[test]
fn a_paused_instance_is_not_current_before_it_hears_of_others() {
    let mut net = Net::started(12, &fleet(&["a"], 3), 10);
    net.loss = Box::new(|_, _, _| true);
    let wake = net.now + Duration::from_secs(30);
    net.node("a-0").paused_until = wake;
    net.run(Duration::from_secs(31));
    assert!(!net.node("a-0").members.is_current());
}

#[test]
fn domains_cut_off_from_each_other_go_on_and_join_again() {
    let list = fleet(&["a", "b"], 3);
    let mut net = Net::started(13, &list, 20);
    net.loss = Box::new(|from, to, _| from.listed.domain != to.listed.domain);
    net.run(2 * MINUTE);
    no_failures(&net);
    assert_eq!(
        changes(&net, |change| matches!(change, Change::Cut(_))).count(),
        6
    );
    assert!(net.nodes.values().all(|node| node.members.alive_ids().len() == 3));
    net.loss = Box::new(|_, _, _| false);
    net.run(MINUTE);
    assert_eq!(
        changes(&net, |change| matches!(change, Change::Joint(_))).count(),
        6
    );
}

#[test]
fn a_domain_cut_off_from_the_store_gets_tickets_from_other_domains() {
    let list = fleet(&["a", "b", "c"], 3);
    let mut net = Net::started(14, &list, 20);
    for node in net
        .nodes
        .values_mut()
        .filter(|node| node.listed.domain == name("b"))
    {
        node.store = false;
    }
    net.submit(service(1, "s", 1));
    let took = net.run_until(MINUTE, |net| net.in_force(1));
    assert!(
        took.is_some_and(|took| took < Duration::from_secs(15)),
        "{took:?}"
    );
    never_back(&net);
}

#[test]
fn a_domain_cut_off_from_all_keeps_its_configuration_and_catches_up() {
    let list = fleet(&["a", "b"], 3);
    let mut net = Net::started(15, &list, 20);
    net.submit(service(1, "s", 1));
    net.run(Duration::from_secs(8));
    net.loss = Box::new(|from, to, _| from.listed.domain != to.listed.domain);
    for node in net
        .nodes
        .values_mut()
        .filter(|node| node.listed.domain == name("b"))
    {
        node.store = false;
    }
    net.submit(service(2, "s", 2));
    net.run(2 * MINUTE);
    for node in net.nodes.values().filter(|node| node.listed.domain == name("b")) {
        assert_eq!(node.follow.config().revision, Revision(1));
        assert!(node.follow.ready());
    }
    let unconfirmed = net.node("a-0").members.unconfirmed(Revision(2));
    assert_eq!(unconfirmed, [name("b-0"), name("b-1"), name("b-2")]);
    net.loss = Box::new(|_, _, _| false);
    net.nodes.values_mut().for_each(|node| node.store = true);
    let took = net.run_until(MINUTE, |net| net.in_force(2));
    assert!(
        took.is_some_and(|took| took < Duration::from_secs(20)),
        "{took:?}"
    );
    never_back(&net);
}

#[test]
fn instances_restarted_one_by_one_in_an_outage_keep_the_configuration() {
    let list = fleet(&["a"], 7);
    let mut net = Net::started(16, &list, 5);
    net.submit(service(1, "s", 1));
    net.run(Duration::from_secs(8));
    let digest = net.node("a-0").follow.config().digest();
    net.platform.fault = Some(Fault::Down);
    for (index, listed) in list.iter().enumerate() {
        net.close(listed.name.as_str());
        net.start(listed, 2);
        net.publish_list(&list);
        let took = net.run_until(MINUTE, |net| net.nodes.values().all(|node| node.follow.ready()));
        assert!(
            took.is_some_and(|took| took < Duration::from_secs(5)),
            "{index}: {took:?}"
        );
    }
    for node in net.nodes.values() {
        assert_eq!(node.follow.config().digest(), digest, "{}", node.listed.name);
    }
}

#[test]
fn instances_killed_at_once_in_an_outage_are_not_ready_before_the_store_is_back() {
    let list = fleet(&["a", "b"], 4);
    let mut net = Net::started(17, &list, 5);
    net.submit(service(1, "s", 1));
    net.run(Duration::from_secs(8));
    net.platform.fault = Some(Fault::Down);
    for listed in &list {
        net.kill(listed.name.as_str());
        net.start(listed, 2);
    }
    net.publish_list(&list);
    net.run(2 * MINUTE);
    assert!(net.nodes.values().all(|node| !node.follow.ready()));
    net.platform.fault = None;
    let took = net.run_until(MINUTE, |net| net.in_force(1));
    assert!(
        took.is_some_and(|took| took < Duration::from_secs(15)),
        "{took:?}"
    );
    assert!(net.nodes.values().all(|node| node.follow.ready()));
}

#[test]
fn an_outage_of_hours_changes_nothing() {
    let list = fleet(&["a"], 5);
    let mut net = Net::started(18, &list, 5);
    net.submit(service(1, "s", 1));
    net.run(Duration::from_secs(8));
    net.platform.fault = Some(Fault::Down);
    let before = net.platform.calls;
    net.run(30 * MINUTE);
    let calls = net.platform.calls - before;
    assert!(net.nodes.values().all(|node| node.follow.ready()));
    no_failures(&net);
    // Each instance tries a read and a watch, each about every 5 s.
    assert!(calls < 5 * 2 * 30 * 60 / 3, "{calls} calls");
}

#[test]
fn a_clock_that_went_back_before_a_restart_is_made_good() {
    let list = fleet(&["a"], 5);
    let mut net = Net::new(19);
    for listed in &list {
        net.start(listed, 1_000);
    }
    net.publish_list(&list);
    net.run(Duration::from_secs(10));
    net.kill("a-0");
    net.start(&list[0], 10);
    net.publish_list(&list);
    let known = |net: &Net| {
        let others = net.nodes.values().filter(|node| node.listed.name != name("a-0"));
        let incarnation = |node: &common::Node| {
            let member = node.members.iter().find(|m| m.name == name("a-0"));
            member.map(|member| member.incarnation)
        };
        others
            .map(incarnation)
            .all(|incarnation| incarnation == Some(1_001))
    };
    let took = net.run_until(MINUTE, known);
    assert!(took.is_some(), "the restarted instance is not taken for alive");
    let alive = net.run_until(MINUTE, |net| {
        net.nodes.values().all(|n| n.members.alive_ids().len() == 5)
    });
    assert!(alive.is_some());
}

#[test]
fn tickets_race_partitions_and_restarts_without_going_back() {
    for seed in 0..4 {
        let list = fleet(&["a", "b", "c"], 3);
        let mut net = Net::started(seed, &list, 10);
        for number in 1..=20 {
            net.submit(service(number, &format!("s{}", number % 4), number));
            let victim = list[(seed as usize * 5 + number as usize * 7) % list.len()].clone();
            match number % 4 {
                0 => {
                    net.kill(victim.name.as_str());
                    net.start(&victim, number + 1);
                    net.publish_list(&list);
                }
                1 => net.loss = Box::new(|from, to, _| from.listed.domain != to.listed.domain),
                2 => net.node(victim.name.as_str()).paused_until = net.now + Duration::from_secs(10),
                _ => net.loss = Box::new(|_, _, _| false),
            }
            net.run(Duration::from_secs(3));
        }
        net.loss = Box::new(|_, _, _| false);
        net.run(MINUTE);
        assert!(net.in_force(20), "seed {seed}");
        never_back(&net);
        let digest = net.node("a-0").follow.config().digest();
        assert!(
            net.nodes
                .values()
                .all(|node| node.follow.config().digest() == digest)
        );
    }
}
