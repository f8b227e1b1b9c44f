//! Whatever the order in which changes arrive, a mirror converges to the store's content and never goes back.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use carob_gateway::{Change, Mirror, era::Position};
use proptest::prelude::*;

const fn at(revision: u64) -> Position {
    Position::new(1, revision)
}

proptest! {
    #[test]
    fn any_order_of_changes_ends_the_same(
        changes in prop::collection::vec((0..6u8, prop::option::of(0..9u8)), 1..60),
        order in prop::collection::vec(any::<prop::sample::Index>(), 60..200),
    ) {
        let mut store: BTreeMap<String, (u64, Bytes)> = BTreeMap::new();
        let history: Vec<(String, u64, Option<Bytes>)> = changes
            .into_iter()
            .enumerate()
            .map(|(at, (key, value))| {
                let (key, revision) = (format!("k{key}"), at as u64 + 1);
                let value = value.map(|value| Bytes::from(vec![value]));
                match &value {
                    Some(value) => store.insert(key.clone(), (revision, value.clone())),
                    None => store.remove(&key),
                };
                (key, revision, value)
            })
            .collect();
        let mut mirror = Mirror::new();
        let mut newest: BTreeMap<String, u64> = BTreeMap::new();
        for index in order.iter().map(|at| at.index(history.len())).chain(0..history.len()) {
            let (key, revision, value) = &history[index];
            let change = mirror.apply(key, at(*revision), value.clone());
            let before = newest.get(key).copied().unwrap_or(0);
            if change.is_some() {
                prop_assert!(*revision > before, "an older change must have no effect");
            }
            newest.insert(key.clone(), before.max(*revision));
        }
        let found: BTreeMap<String, (u64, Bytes)> = mirror
            .items()
            .map(|(key, item)| (key.to_owned(), (item.position.revision, item.value.clone())))
            .collect();
        prop_assert_eq!(found, store);
    }
}

#[test]
fn a_list_removes_what_it_does_not_hold_but_not_what_is_newer() {
    let mut mirror = Mirror::new();
    let value = || Some(Bytes::from_static(b"v"));
    mirror.apply("s/old", at(3), value());
    mirror.apply("s/kept", at(4), value());
    mirror.apply("s/new", at(9), value());
    mirror.apply("t/other", at(2), value());
    let present = BTreeSet::from(["s/kept".to_owned()]);
    assert_eq!(mirror.retain("s/", at(5), &present), ["s/old"]);
    let keys: Vec<&str> = mirror.items().map(|(key, _)| key).collect();
    assert_eq!(keys, ["s/kept", "s/new", "t/other"]);
    assert_eq!(
        mirror.apply("s/old", at(3), value()),
        None,
        "a late read must not bring a removed key back"
    );
    assert!(matches!(
        mirror.apply("s/old", at(6), value()),
        Some(Change::Set(_))
    ));
}

#[test]
fn the_revision_never_falls() {
    let mut mirror = Mirror::new();
    mirror.advance_to(at(8));
    mirror.advance_to(at(3));
    assert_eq!(mirror.position(), at(8));
}

/// The key was created and removed before this instance knew of it.
#[test]
fn a_late_change_brings_back_a_key_that_a_list_no_longer_had() {
    let mut mirror = Mirror::new();
    mirror.retain("s/", at(9), &BTreeSet::new());
    mirror.advance_to(at(9));
    assert_eq!(mirror.apply("s/gone", at(5), Some(Bytes::new())), None);
    assert!(mirror.apply("s/gone", at(10), Some(Bytes::new())).is_some());
    assert!(mirror.apply("t/other", at(5), Some(Bytes::new())).is_some());
}
