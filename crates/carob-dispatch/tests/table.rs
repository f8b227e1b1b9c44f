//! Lookup of routes and API keys, and the traffic split by weight.

use std::time::Duration;

use carob_dispatch::{
    regions::Regions,
    table::{Account, Denial, Limits, Route, RouteKind, RoutingConfig, RoutingTable},
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        gap_target: Duration::ZERO,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        priority: 0,
        services: [("s".into(), 1)].into_iter().collect(),
        max_attempts: 1,
        anonymous: false,
        regions: Regions::any(),
    }
}

fn table(routes: Vec<Route>, accounts: Option<Vec<(Account, Vec<Box<str>>)>>) -> RoutingTable {
    RoutingTable::new(RoutingConfig {
        version: 1,
        routes,
        services: Vec::new(),
        accounts,
        limits: Limits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ];
    let table = table(routes, None);
    let name = |host, path| {
        table
            .lookup(host, path, None)
            .map(|found| found.route.name.to_string())
    };
    assert_eq!(name("a.example", "/x/y/z/1").as_deref(), Ok("long"));
    assert_eq!(name("A.Example:8080", "/x/1").as_deref(), Ok("short"));
    assert_eq!(name("a.example", "/x").unwrap_err(), Denial::NoRoute);
    assert_eq!(name("c.example", "/x/1").unwrap_err(), Denial::NoRoute);
}

#[test]
fn keys_are_asked_for_unless_a_route_is_anonymous() {
    let mut open = route("open", "a", "/open/");
    open.anonymous = true;
    let account = Account {
        name: "parish".into(),
        priority: Some(2),
        regions: Regions::any(),
    };
    let table = table(
        vec![open, route("closed", "a", "/closed/")],
        Some(vec![(account, vec!["k1".into(), "k2".into()])]),
    );
    let account = |path, key| {
        let found = table.lookup("a", path, key)?;
        Ok::<_, Denial>(found.account.map(|account| account.name.to_string()))
    };
    assert_eq!(account("/closed/", Some("k2")), Ok(Some("parish".to_owned())));
    assert_eq!(account("/closed/", Some("k3")), Err(Denial::InvalidKey));
    assert_eq!(account("/closed/", None), Err(Denial::InvalidKey));
    assert_eq!(account("/open/", None), Ok(None));
    assert_eq!(account("/open/", Some("k1")), Ok(Some("parish".to_owned())));
}

#[test]
fn services_are_drawn_by_weight() {
    let mut split = route("split", "a", "/");
    split.services = [("big".into(), 90), ("none".into(), 0), ("small".into(), 10)]
        .into_iter()
        .collect();
    let count = |name| {
        (0..100)
            .filter(|n| split.pick_service(f64::from(*n) / 100.0) == Some(name))
            .count()
    };
    assert_eq!((count("big"), count("none"), count("small")), (90, 0, 10));
    assert_eq!(split.pick_service(0.999_999), Some("small"));
    split.services.clear();
    assert_eq!(split.pick_service(0.5), None);
}

fn regions(names: &[&str]) -> Regions {
    Regions::listed(names.iter().map(|name| Box::from(*name)).collect())
}

/// A request must not leave the regions of its route or of its account; an intersection without any region is not the same
/// as no restriction.
#[test]
fn regions_of_route_and_account_both_bind() {
    let mut restricted = route("restricted", "a", "/r/");
    restricted.regions = regions(&["north", "south"]);
    restricted.anonymous = true;
    let account = |names| Account {
        name: "parish".into(),
        priority: None,
        regions: regions(names),
    };
    let table = table(
        vec![restricted, route("open", "a", "/o/")],
        Some(vec![
            (account(&["south", "west"]), vec!["k1".into()]),
            (account(&["west"]), vec!["k2".into()]),
            (account(&[]), vec!["k3".into()]),
        ]),
    );
    let permitted = |path, key: Option<&str>| {
        let found = table.lookup("a", path, key).unwrap().regions();
        let names = ["north", "south", "west"];
        let permitted = names.into_iter().filter(|name| found.permits(Some(name)));
        permitted.collect::<Vec<_>>()
    };
    assert_eq!(permitted("/r/", Some("k1")), ["south"]);
    assert_eq!(permitted("/r/", Some("k2")), Vec::<&str>::new());
    assert_eq!(permitted("/r/", Some("k3")), ["north", "south"]);
    assert_eq!(permitted("/r/", None), ["north", "south"]);
    assert_eq!(permitted("/o/", Some("k2")), ["west"]);
    assert_eq!(permitted("/o/", Some("k3")), ["north", "south", "west"]);
    assert!(
        !table
            .lookup("a", "/r/", Some("k1"))
            .unwrap()
            .regions()
            .permits(None)
    );
}

/// Engines are told priorities only where those differ: otherwise urgent requests would not be told from others, and builds
/// that send none would be served differently.
#[test]
fn priorities_of_a_service_are_known_where_they_differ() {
    let with = |name: &str, priority, seconds| {
        let mut route = route(name, "a", "/");
        route.priority = priority;
        route.target_latency = Duration::from_secs(seconds);
        route
    };
    let account = |priority| {
        let account = Account {
            name: "parish".into(),
            priority,
            regions: Regions::any(),
        };
        (account, vec!["k".into()])
    };
    let classes = |routes: &[Route], accounts| {
        let table = table(routes.to_vec(), accounts);
        let classes = table.priority_classes("s").iter();
        classes
            .map(|class| (class.priority, class.target.as_secs()))
            .collect::<Vec<_>>()
    };
    let routes = [with("long", 2, 4), with("short", 0, 1), with("medium", 2, 3)];
    assert_eq!(classes(&routes, None), [(0, 1), (2, 3)]);
    assert_eq!(classes(&routes[..1], None), []);
    let both = Some(vec![account(None), account(Some(1))]);
    assert_eq!(classes(&routes[..2], both), [(0, 1), (1, 1), (2, 4)]);
    // Nobody can wait for anybody where targets are about equal.
    assert_eq!(classes(&[with("long", 2, 3), with("short", 0, 2)], None), []);
    // Nobody has the routes' own priorities.
    assert_eq!(classes(&routes, Some(vec![account(Some(1))])), []);
}
