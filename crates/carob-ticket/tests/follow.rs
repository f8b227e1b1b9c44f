//! Keeping a configuration up to date: store outages, unresponsive watches, peers with a higher revision, and
//! lower revisions, which must be ignored.

mod common;

use std::time::Duration;

use carob_base::Time;
use carob_config::Revision;
use carob_store::{Change, Entry, Failure, WatchEvent};
use carob_ticket::{
    Follower, Ledger,
    follow::{Action, Actions, Event, Options},
    head::HEAD_KEY,
};
use common::{Fault, Store, service, submit};

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn follow(seed: u64) -> Follower {
    Follower::new(Options {
        seed,
        ..Options::default()
    })
}

/// Feeds `event` and makes the calls to `store` until there are none left; returns the other actions.
fn drive(follow: &mut Follower, store: &mut Store, event: Event, now: Time) -> Vec<Action> {
    let mut other = Vec::new();
    let mut actions: Actions = follow.step(event, now);
    while !actions.is_empty() {
        let (calls, rest): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(|action| matches!(action, Action::Call(_)));
        other.extend(rest);
        actions = Actions::new();
        for call in calls {
            let Action::Call(call) = call else { continue };
            actions.extend(follow.step(Event::StoreReplied(store.call(&call)), now));
        }
    }
    other
}

fn store_with(tickets: std::ops::RangeInclusive<u64>) -> Store {
    let mut store = Store::default();
    for number in tickets {
        submit(
            &mut store,
            service(number, &format!("s{}", number % 9), number),
            Ledger::new(),
        );
    }
    store
}

/// The watch event for the current head.
fn head_changed(store: &Store) -> Event {
    Event::WatchReported(WatchEvent::Changes(vec![Change::Put(
        store.entries[HEAD_KEY].clone(),
    )]))
}

#[test]
fn a_fresh_instance_reads_the_store_then_watches() {
    let mut store = store_with(1..=3);
    let mut follow = follow(1);
    assert!(!follow.is_ready());
    let actions = drive(&mut follow, &mut store, Event::Tick, at(0));
    assert!(follow.is_ready());
    assert_eq!(follow.config().revision, Revision(3));
    assert!(matches!(actions[0], Action::Apply(_)));
    assert!(matches!(actions[1], Action::Watch { .. }));
}

#[test]
fn a_fresh_instance_far_behind_reads_the_snapshot() {
    let mut store = store_with(1..=150);
    let mut follow = follow(1);
    drive(&mut follow, &mut store, Event::Tick, at(0));
    drive(&mut follow, &mut store, Event::Tick, at(0));
    assert_eq!(follow.config().revision, Revision(150));
}

#[test]
fn an_outage_at_the_start_is_bridged_by_peers() {
    let mut store = store_with(1..=150);
    let mut peer = follow(1);
    drive(&mut peer, &mut store, Event::Tick, at(0));
    drive(&mut peer, &mut store, Event::Tick, at(0));

    store.fault = Some(Fault::Down);
    let mut fresh = follow(2);
    drive(&mut fresh, &mut store, Event::Tick, at(0));
    assert!(!fresh.is_ready());
    let actions = drive(&mut fresh, &mut store, Event::PeerRevision(Revision(150)), at(1));
    assert!(actions.contains(&Action::FetchFromPeer { held: Revision(0) }));
    drive(
        &mut fresh,
        &mut store,
        Event::PeerReplied(peer.updates_since(Revision(0))),
        at(1),
    );
    assert!(fresh.is_ready());
    assert_eq!(fresh.config().digest(), peer.config().digest());
}

#[test]
fn an_instance_behind_its_peers_is_not_ready() {
    let mut low = follow(1);
    drive(&mut low, &mut store_with(1..=2), Event::Tick, at(0));
    let mut down = Store {
        fault: Some(Fault::Down),
        ..Store::default()
    };
    let mut fresh = follow(2);
    drive(&mut fresh, &mut down, Event::PeerRevision(Revision(5)), at(0));
    drive(
        &mut fresh,
        &mut down,
        Event::PeerReplied(low.updates_since(Revision(0))),
        at(0),
    );
    assert!(!fresh.is_ready());
    // The peer with the higher revision has left, so no live peer is ahead any more.
    drive(&mut fresh, &mut down, Event::PeerRevision(Revision(2)), at(1));
    assert!(fresh.is_ready());
}

#[test]
fn a_lower_revision_is_never_applied() {
    let mut store = store_with(1..=5);
    let mut follow = follow(1);
    drive(&mut follow, &mut store, Event::Tick, at(0));
    let mut restored = store_with(1..=2);
    let mut low = Store::default();
    let event = head_changed(&restored);
    let actions = drive(&mut follow, &mut restored, event, at(1));
    assert!(!actions.iter().any(|action| matches!(action, Action::Apply(_))));
    let later = at(1) + Duration::from_mins(10);
    drive(&mut follow, &mut low, Event::Tick, later);
    let deleted = Entry {
        value: bytes::Bytes::new(),
        ..store.entries[HEAD_KEY].clone()
    };
    let event = Event::WatchReported(WatchEvent::Changes(vec![Change::Deleted(deleted)]));
    drive(&mut follow, &mut low, event, later);
    assert_eq!(follow.config().revision, Revision(5));
}

#[test]
fn a_silent_watch_is_made_good_by_peers_and_by_reading_again() {
    let mut store = store_with(1..=1);
    let mut follow = follow(1);
    drive(&mut follow, &mut store, Event::Tick, at(0));
    submit(&mut store, service(2, "a", 2), Ledger::new());
    let actions = drive(&mut follow, &mut store, Event::PeerRevision(Revision(2)), at(1));
    assert_eq!(actions, [Action::FetchFromPeer { held: Revision(1) }]);
    let later = at(1) + Options::default().reread_interval;
    drive(&mut follow, &mut store, Event::Tick, later);
    assert_eq!(follow.config().revision, Revision(2));
}

#[test]
fn an_ended_watch_goes_on_where_it_ended() {
    let mut store = store_with(1..=1);
    let mut follow = follow(1);
    drive(&mut follow, &mut store, Event::Tick, at(0));
    submit(&mut store, service(2, "a", 2), Ledger::new());
    let event = head_changed(&store);
    drive(&mut follow, &mut store, event, at(1));
    let actions = drive(&mut follow, &mut store, Event::WatchEnded(Ok(3)), at(5));
    assert!(
        matches!(actions[..], [Action::Watch { from: 3, .. }]),
        "{actions:?}"
    );
    // A watch that could not be opened is retried only after a delay.
    let actions = drive(
        &mut follow,
        &mut store,
        Event::WatchEnded(Err(Failure::NotSent)),
        at(10),
    );
    assert!(actions.is_empty());
}

#[test]
fn only_watchers_watch() {
    let mut store = store_with(1..=1);
    let mut follow = follow(1);
    drive(&mut follow, &mut store, Event::Watcher(false), at(0));
    assert!(follow.is_ready());
    let actions = drive(&mut follow, &mut store, Event::Watcher(true), at(1));
    assert!(matches!(actions[..], [Action::Watch { .. }]));
}

#[test]
fn recovery_after_an_outage_is_spread_over_time() {
    let instances = 370;
    let mut down = Store {
        fault: Some(Fault::Down),
        ..Store::default()
    };
    let mut fleet: Vec<_> = (0..instances).map(follow).collect();
    for tick in 0..600 {
        for follow in &mut fleet {
            drive(follow, &mut down, Event::Tick, Time::from_millis(100 * tick));
        }
    }
    let mut up = store_with(1..=1);
    let mut peak = 0;
    for tick in 0..120 {
        let before = up.calls;
        for follow in &mut fleet {
            drive(
                follow,
                &mut up,
                Event::Tick,
                at(60) + Duration::from_millis(100 * tick),
            );
        }
        peak = peak.max(up.calls - before);
    }
    assert!(fleet.iter().all(Follower::is_ready));
    assert!(peak < 60, "{peak} calls within 100 ms");
}

#[test]
fn an_unreadable_head_leaves_the_configuration_in_force() {
    let mut store = store_with(1..=2);
    let mut follow = follow(1);
    drive(&mut follow, &mut store, Event::Tick, at(0));
    let mut entry = store.entries[HEAD_KEY].clone();
    entry.value = "[head]\nversion = 2\nsnapshot = 9\n".into();
    let event = Event::WatchReported(WatchEvent::Changes(vec![Change::Put(entry)]));
    drive(&mut follow, &mut store, event, at(1));
    assert_eq!(follow.config().revision, Revision(2));
    assert!(follow.is_ready());
}
