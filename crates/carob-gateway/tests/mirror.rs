//! Whatever the order in which changes arrive, a mirror converges to the store's content and never goes back.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use carob_gateway::{Change, Mirror};
use proptest::prelude::*;

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
        for at in order.iter().map(|at| at.index(history.len())).chain(0..history.len()) {
            let (key, revision, value) = &history[at];
            let change = mirror.apply(key, *revision, value.clone());
            let before = newest.get(key).copied().unwrap_or(0);
            if change.is_some() {
                prop_assert!(*revision > before, "an older change must have no effect");
            }
            newest.insert(key.clone(), before.max(*revision));
        }
        let found: BTreeMap<String, (u64, Bytes)> = mirror
            .items()
            .map(|(key, item)| (key.to_owned(), (item.revision, item.value.clone())))
            .collect();
        prop_assert_eq!(found, store);
    }
}

#[test]
fn a_list_removes_what_it_does_not_hold_but_not_what_is_newer() {
    let mut mirror = Mirror::new();
    let value = || Some(Bytes::from_static(b"v"));
    mirror.apply("s/old", 3, value());
    mirror.apply("s/kept", 4, value());
    mirror.apply("s/new", 9, value());
    mirror.apply("t/other", 2, value());
    let present = BTreeSet::from(["s/kept".to_owned()]);
    assert_eq!(mirror.retain("s/", 5, &present), ["s/old"]);
    let keys: Vec<&str> = mirror.items().map(|(key, _)| key).collect();
    assert_eq!(keys, ["s/kept", "s/new", "t/other"]);
    assert_eq!(
        mirror.apply("s/old", 3, value()),
        None,
        "a late read must not bring a removed key back"
    );
    assert!(matches!(mirror.apply("s/old", 6, value()), Some(Change::Set(_))));
}

#[test]
fn the_revision_never_falls() {
    let mut mirror = Mirror::new();
    mirror.advance_to(8);
    mirror.advance_to(3);
    assert_eq!(mirror.revision(), 8);
}
