//! Membership and configuration under partitions, packet loss, pauses, restarts and clocks that are set back.

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

/// The changes at all instances that `wanted` selects, as text.
fn changes<'a>(net: &'a Net, wanted: impl Fn(&Change) -> bool + 'a) -> impl Iterator<Item = String> + 'a {
    net.instances.values().flat_map(move |instance| {
        let changes = instance.changes.iter().filter(|(_, change)| wanted(change));
        let text = |(time, change): &(carob_base::Time, Change)| {
            format!("{time} {}: {change:?}", instance.entry.name)
        };
        changes.map(text).collect::<Vec<_>>()
    })
}

/// Checks that no instance counts another one as failed at any time.
fn assert_no_failures(net: &Net) {
    let failed: Vec<_> = changes(net, |change| matches!(change, Change::Failed(_))).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// Checks that no instance put an older or equal revision in force after a newer one.
fn assert_revisions_rise(net: &Net) {
    for instance in net.instances.values() {
        let rising = instance.applied.windows(2).all(|pair| pair[0].1 < pair[1].1);
        assert!(rising, "{}: {:?}", instance.entry.name, instance.applied);
    }
}

#[test]
fn one_lossy_link_kills_nobody() {
    for seed in 0..5 {
        let mut net = Net::started(seed, &fleet(&["a"], 5), 10);
        net.loss = Box::new(|from, to, _| {
            let (from, to) = (from.entry.name.as_str(), to.entry.name.as_str());
            matches!((from, to), ("a-0", "a-1") | ("a-1", "a-0"))
        });
        net.run(5 * MINUTE);
        assert_no_failures(&net);
    }
}

#[test]
fn one_way_loss_kills_nobody_and_soft_state_gets_through() {
    let mut net = Net::started(3, &fleet(&["a"], 7), 10);
    net.loss = Box::new(|from, to, _| from.entry.name == name("a-0") && to.entry.name == name("a-1"));
    net.run(MINUTE);
    assert_no_failures(&net);
    net.instance("a-0").members.set_ready(false);
    net.run(MINUTE);
    let seen = net
        .instance("a-1")
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
            (from.entry.name == lossy || to.entry.name == lossy) && rng.random_bool(0.2)
        });
        net.run(5 * MINUTE);
        assert_no_failures(&net);
    }
}

#[test]
fn loss_everywhere_kills_nobody() {
    for seed in 0..3 {
        let mut net = Net::started(seed, &fleet(&["a"], 20), 10);
        net.loss = Box::new(|_, _, rng| rng.random_bool(0.05));
        net.run(3 * MINUTE);
        assert_no_failures(&net);
    }
}

#[test]
fn a_paused_instance_wakes_with_an_old_view_and_accuses_nobody() {
    let mut net = Net::started(11, &fleet(&["a"], 5), 10);
    let wake = net.now + Duration::from_secs(30);
    net.instance("a-0").paused_until = wake;
    net.run(Duration::from_secs(29));
    let gone = changes(&net, |c| matches!(c, Change::Failed(n) if *n == name("a-0"))).count();
    assert_eq!(gone, 4, "it counts as failed at the four others");
    net.run(Duration::from_secs(31));
    let instance = net.instance("a-0");
    let (detected, _) = instance
        .changes
        .iter()
        .find(|(_, change)| matches!(change, Change::Woke(_)))
        .expect("the pause is detected");
    assert!(detected.since(wake) < Duration::from_millis(200));
    let suspects_any = instance
        .changes
        .iter()
        .any(|(_, c)| matches!(c, Change::Suspected(_) | Change::Failed(_)));
    assert!(!suspects_any, "{:?}", instance.changes);
    assert!(instance.members.is_current());
    for instance in net.instances.values() {
        assert_eq!(instance.members.alive_ids().len(), 5, "{}", instance.entry.name);
    }
}

#[test]
fn a_paused_instance_is_not_current_before_it_hears_of_others() {
    let mut net = Net::started(12, &fleet(&["a"], 3), 10);
    net.loss = Box::new(|_, _, _| true);
    let wake = net.now + Duration::from_secs(30);
    net.instance("a-0").paused_until = wake;
    net.run(Duration::from_secs(31));
    assert!(!net.instance("a-0").members.is_current());
}

#[test]
fn domains_cut_off_from_each_other_go_on_and_join_again() {
    let list = fleet(&["a", "b"], 3);
    let mut net = Net::started(13, &list, 20);
    net.loss = Box::new(|from, to, _| from.entry.domain != to.entry.domain);
    net.run(2 * MINUTE);
    assert_no_failures(&net);
    assert_eq!(
        changes(&net, |change| matches!(change, Change::Cut(_))).count(),
        6
    );
    assert!(
        net.instances
            .values()
            .all(|instance| instance.members.alive_ids().len() == 3)
    );
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
    for instance in net
        .instances
        .values_mut()
        .filter(|instance| instance.entry.domain == name("b"))
    {
        instance.reaches_store = false;
    }
    net.submit(service(1, "s", 1));
    let took = net.run_until(MINUTE, |net| net.in_force(1));
    assert!(
        took.is_some_and(|took| took < Duration::from_secs(15)),
        "{took:?}"
    );
    assert_revisions_rise(&net);
}

#[test]
fn a_domain_cut_off_from_all_keeps_its_configuration_and_catches_up() {
    let list = fleet(&["a", "b"], 3);
    let mut net = Net::started(15, &list, 20);
    net.submit(service(1, "s", 1));
    net.run(Duration::from_secs(8));
    net.loss = Box::new(|from, to, _| from.entry.domain != to.entry.domain);
    for instance in net
        .instances
        .values_mut()
        .filter(|instance| instance.entry.domain == name("b"))
    {
        instance.reaches_store = false;
    }
    net.submit(service(2, "s", 2));
    net.run(2 * MINUTE);
    for instance in net
        .instances
        .values()
        .filter(|instance| instance.entry.domain == name("b"))
    {
        assert_eq!(instance.follow.config().revision, Revision(1));
        assert!(instance.follow.is_ready());
    }
    let unconfirmed = net.instance("a-0").members.unconfirmed(Revision(2));
    assert_eq!(unconfirmed, [name("b-0"), name("b-1"), name("b-2")]);
    net.loss = Box::new(|_, _, _| false);
    net.instances
        .values_mut()
        .for_each(|instance| instance.reaches_store = true);
    let took = net.run_until(MINUTE, |net| net.in_force(2));
    assert!(
        took.is_some_and(|took| took < Duration::from_secs(20)),
        "{took:?}"
    );
    assert_revisions_rise(&net);
}

#[test]
fn instances_restarted_one_by_one_in_an_outage_keep_the_configuration() {
    let list = fleet(&["a"], 7);
    let mut net = Net::started(16, &list, 5);
    net.submit(service(1, "s", 1));
    net.run(Duration::from_secs(8));
    let digest = net.instance("a-0").follow.config().digest();
    net.store.fault = Some(Fault::Down);
    for (index, entry) in list.iter().enumerate() {
        net.close(entry.name.as_str());
        net.start(entry, 2);
        net.publish_list(&list);
        let took = net.run_until(MINUTE, |net| {
            net.instances.values().all(|instance| instance.follow.is_ready())
        });
        assert!(
            took.is_some_and(|took| took < Duration::from_secs(5)),
            "{index}: {took:?}"
        );
    }
    for instance in net.instances.values() {
        assert_eq!(
            instance.follow.config().digest(),
            digest,
            "{}",
            instance.entry.name
        );
    }
}

#[test]
fn instances_killed_at_once_in_an_outage_are_not_ready_before_the_store_is_back() {
    let list = fleet(&["a", "b"], 4);
    let mut net = Net::started(17, &list, 5);
    net.submit(service(1, "s", 1));
    net.run(Duration::from_secs(8));
    net.store.fault = Some(Fault::Down);
    for entry in &list {
        net.kill(entry.name.as_str());
        net.start(entry, 2);
    }
    net.publish_list(&list);
    net.run(2 * MINUTE);
    assert!(net.instances.values().all(|instance| !instance.follow.is_ready()));
    net.store.fault = None;
    let took = net.run_until(MINUTE, |net| net.in_force(1));
    assert!(
        took.is_some_and(|took| took < Duration::from_secs(15)),
        "{took:?}"
    );
    assert!(net.instances.values().all(|instance| instance.follow.is_ready()));
}

#[test]
fn an_outage_of_hours_changes_nothing() {
    let list = fleet(&["a"], 5);
    let mut net = Net::started(18, &list, 5);
    net.submit(service(1, "s", 1));
    net.run(Duration::from_secs(8));
    net.store.fault = Some(Fault::Down);
    let before = net.store.calls;
    net.run(30 * MINUTE);
    let calls = net.store.calls - before;
    assert!(net.instances.values().all(|instance| instance.follow.is_ready()));
    assert_no_failures(&net);
    // Each instance retries a read and a watch, each about every 5 s.
    assert!(calls < 5 * 2 * 30 * 60 / 3, "{calls} calls");
}

#[test]
fn a_clock_that_went_back_before_a_restart_is_made_good() {
    let list = fleet(&["a"], 5);
    let mut net = Net::new(19);
    for entry in &list {
        net.start(entry, 1_000);
    }
    net.publish_list(&list);
    net.run(Duration::from_secs(10));
    net.kill("a-0");
    net.start(&list[0], 10);
    net.publish_list(&list);
    let known = |net: &Net| {
        let others = net
            .instances
            .values()
            .filter(|instance| instance.entry.name != name("a-0"));
        let incarnation = |instance: &common::Instance| {
            let member = instance.members.iter().find(|m| m.name == name("a-0"));
            member.map(|member| member.incarnation)
        };
        others
            .map(incarnation)
            .all(|incarnation| incarnation == Some(1_001))
    };
    let took = net.run_until(MINUTE, known);
    assert!(
        took.is_some(),
        "no incarnation above the earlier one is known everywhere"
    );
    let alive = net.run_until(MINUTE, |net| {
        net.instances.values().all(|n| n.members.alive_ids().len() == 5)
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
                1 => net.loss = Box::new(|from, to, _| from.entry.domain != to.entry.domain),
                2 => net.instance(victim.name.as_str()).paused_until = net.now + Duration::from_secs(10),
                _ => net.loss = Box::new(|_, _, _| false),
            }
            net.run(Duration::from_secs(3));
        }
        net.loss = Box::new(|_, _, _| false);
        net.run(MINUTE);
        assert!(net.in_force(20), "seed {seed}");
        assert_revisions_rise(&net);
        let digest = net.instance("a-0").follow.config().digest();
        assert!(
            net.instances
                .values()
                .all(|instance| instance.follow.config().digest() == digest)
        );
    }
}
