//! Regions of one request through a sequence of configurations.

use std::time::Duration;

use carob_dispatch::{
    regions::Regions,
    residence::Residence,
    table::{Account, Limits, Route, RouteKind, RoutingConfig, RoutingTable},
};

/// Routes by host, prefix and regions.
type Routes = &'static [(&'static str, &'static str, &'static [&'static str])];

/// Accounts by key and regions.
type Accounts = &'static [(&'static str, &'static [&'static str])];

const HOST: &str = "a.example";
const REQUEST: (&str, &str) = ("A.Example:8080", "/d/deep/1");
const ANY: &[&str] = &[];
const NORTH: &[&str] = &["north"];
const SOUTH: &[&str] = &["south"];
const WEST: &[&str] = &["west"];
const NAMED: &[&str] = &["north", "south", "west"];

fn regions(names: &[&str]) -> Regions {
    Regions::listed(names.iter().map(|name| Box::from(*name)).collect())
}

fn table(version: u64, (routes, accounts): (Routes, Accounts)) -> RoutingTable {
    let route = |(host, prefix, names): &(&str, &str, &[&str])| Route {
        name: "r".into(),
        host: (*host).into(),
        prefix: (*prefix).into(),
        kind: RouteKind::Safe,
        gap_target: Duration::ZERO,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        priority: 0,
        services: [("s".into(), 1)].into_iter().collect(),
        max_attempts: 1,
        anonymous: true,
        regions: regions(names),
    };
    let account = |(key, names): &(&str, &[&str])| {
        // A key with a name in front belongs to the account of that name.
        let (name, key) = key.split_once('=').unwrap_or(("", key));
        let account = Account {
            name: if name.is_empty() {
                format!("of {key} in {names:?}").into()
            } else {
                name.into()
            },
            priority: None,
            regions: regions(names),
        };
        (account, vec![Box::from(key)])
    };
    RoutingTable::new(RoutingConfig {
        version,
        routes: routes.iter().map(route).collect(),
        services: Vec::new(),
        accounts: Some(accounts.iter().map(account).collect()),
        limits: Limits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
    })
}

/// Regions among [`NAMED`] that are permitted, and `unknown` if one that is not known is.
fn permitted(residence: &Residence) -> Vec<&'static str> {
    let found = residence.regions();
    let named = NAMED.iter().copied().filter(|name| found.permits(Some(name)));
    named.chain(found.permits(None).then_some("unknown")).collect()
}

/// Admits [`REQUEST`] with `key` by the first configuration and expects its regions after each.
fn expect(key: Option<&str>, steps: &[((Routes, Accounts), &[&str])]) {
    let first = table(1, steps[0].0);
    let found = first
        .lookup(REQUEST.0, REQUEST.1, key)
        .expect("the first admits it");
    let mut residence = Residence::new(&found, 1);
    assert_eq!(permitted(&residence), steps[0].1, "at first");
    for (version, pair) in (2..).zip(steps.windows(2)) {
        let later = table(version, pair[1].0);
        let is_changed = residence.update(&later, REQUEST, later.account(key));
        assert_eq!(permitted(&residence), pair[1].1, "by version {version}");
        assert_eq!(is_changed, pair[0].1 != pair[1].1, "by version {version}");
        assert_eq!(residence.version(), version);
    }
}

/// A request that waits while its regions change must follow the newer configuration, and stays bound by its last regions when
/// its route is gone.
#[test]
fn regions_of_a_later_configuration_replace_the_earlier_ones() {
    let steps: [((Routes, Accounts), &[&str]); 5] = [
        ((&[(HOST, "/d/", &["north", "south"])], &[]), &["north", "south"]),
        ((&[(HOST, "/d/", SOUTH)], &[]), SOUTH),
        ((&[(HOST, "/x/", NORTH)], &[]), SOUTH),
        ((&[], &[]), SOUTH),
        (
            (&[(HOST, "/d/", ANY)], &[]),
            &["north", "south", "west", "unknown"],
        ),
    ];
    expect(None, &steps);
}

/// The regions of admission held again once the route was gone, however often they had changed.
#[test]
fn a_route_that_changed_twice_and_is_gone_binds_by_its_last_regions() {
    let steps: [((Routes, Accounts), &[&str]); 4] = [
        ((&[(HOST, "/d/", NORTH)], &[]), NORTH),
        ((&[(HOST, "/d/", WEST)], &[]), WEST),
        ((&[(HOST, "/d/", SOUTH)], &[]), SOUTH),
        ((&[("b.example", "/d/", NORTH)], &[]), SOUTH),
    ];
    expect(None, &steps);
}

/// The regions of the route that had admitted the request held beside a longer prefix.
#[test]
fn a_longer_prefix_binds_while_it_is_there() {
    let steps: [((Routes, Accounts), &[&str]); 4] = [
        ((&[(HOST, "/d/", NORTH)], &[]), NORTH),
        ((&[(HOST, "/d/", NORTH), (HOST, "/d/deep/", SOUTH)], &[]), SOUTH),
        ((&[(HOST, "/d/", NORTH), (HOST, "/d/deeper/", WEST)], &[]), NORTH),
        ((&[(HOST, "/d/deep/", WEST)], &[]), WEST),
    ];
    expect(None, &steps);
}

/// A key's account was lost together with the key, and with it what the account had come to permit; a route that is gone hid
/// changes of the account.
#[test]
fn a_key_binds_by_the_last_account_that_had_it() {
    let all: Routes = &[(HOST, "/d/", ANY)];
    let steps: [((Routes, Accounts), &[&str]); 6] = [
        ((all, &[("k", NORTH), ("l", WEST)]), NORTH),
        // The key moves to another account.
        ((all, &[("l", NORTH), ("k", SOUTH)]), SOUTH),
        ((all, &[("k", WEST)]), WEST),
        // It is gone, then all accounts and the route.
        ((all, &[("l", NORTH)]), WEST),
        ((&[], &[]), WEST),
        // Back, without a route.
        ((&[], &[("k", SOUTH)]), SOUTH),
    ];
    expect(Some("k"), &steps);
    // An account gets a key that was unknown when the request was admitted.
    let unknown: [((Routes, Accounts), &[&str]); 2] = [
        ((all, &[]), &["north", "south", "west", "unknown"]),
        ((all, &[("k", SOUTH)]), SOUTH),
    ];
    expect(Some("k"), &unknown);
}

/// A request kept the regions that its account had when the key was taken away, however the account changed after that.
#[test]
fn an_account_that_loses_the_key_still_binds() {
    let all: Routes = &[(HOST, "/d/", ANY)];
    let steps: [((Routes, Accounts), &[&str]); 4] = [
        ((all, &[("acme=k", NORTH)]), NORTH),
        ((all, &[("acme=l", NORTH)]), NORTH),
        ((all, &[("acme=l", SOUTH)]), SOUTH),
        ((all, &[]), SOUTH),
    ];
    expect(Some("k"), &steps);
}

/// Where route and account have nothing in common, nothing is permitted, which is not the same as no restriction.
#[test]
fn route_and_account_bind_both_and_may_leave_nothing() {
    let steps: [((Routes, Accounts), &[&str]); 5] = [
        (
            (&[(HOST, "/d/", ANY)], &[("k", &["north", "west"])]),
            &["north", "west"],
        ),
        (
            (&[(HOST, "/d/", &["south", "west"])], &[("k", &["north", "west"])]),
            WEST,
        ),
        ((&[(HOST, "/d/", SOUTH)], &[("k", NORTH)]), &[]),
        // Each keeps its own last regions: the account's are gone, the route's change.
        ((&[(HOST, "/d/", &["north", "south"])], &[]), NORTH),
        ((&[], &[("k", SOUTH)]), SOUTH),
    ];
    expect(Some("k"), &steps);
}

/// The same regions in another order counted as a change, for which a waiting request lost its place.
#[test]
fn the_order_of_regions_does_not_matter() {
    let reversed = table(2, (&[(HOST, "/d/", &["west", "south", "north", "west"])], &[]));
    let mut residence = Residence::with_regions(regions(NAMED), Regions::any(), 1);
    assert!(!residence.update(&reversed, REQUEST, None));
}

/// A configuration that arrives late, or once more, took a request back to regions that are not its own any more.
#[test]
fn an_earlier_configuration_changes_nothing() {
    let mut residence = Residence::with_regions(regions(SOUTH), Regions::any(), 7);
    for version in [1, 6, 7] {
        let earlier = table(version, (&[(HOST, "/d/", NORTH)], &[("k", WEST)]));
        assert!(!residence.update(&earlier, REQUEST, earlier.account(Some("k"))));
        assert_eq!((permitted(&residence), residence.version()), (SOUTH.to_vec(), 7));
    }
}
