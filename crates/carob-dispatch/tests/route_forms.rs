//! Forms of one host and path, which must not match a route that restricts requests less than their own.

use std::time::Duration;

use carob_dispatch::{
    regions::Regions,
    table::{Limits, Route, RouteKind, RoutingConfig, RoutingTable},
};

fn route(host: &str, prefix: &str, region: &str) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
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
        regions: Regions::listed(vec![region.into()]),
    }
}

/// Guards against requests that get the regions of another route by the form of their host or path.
#[test]
fn hosts_and_paths_match_as_they_are_written() {
    let table = RoutingTable::new(RoutingConfig {
        version: 1,
        routes: vec![
            route("shop.example", "/r/", "wide"),
            route("shop.example", "/r/home/", "home"),
            route("other.example", "/", "other"),
        ],
        services: Vec::new(),
        accounts: None,
        limits: Limits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
    });
    let shop = "shop.example";
    let cases = [
        (shop, "/r/home/1", Some("home")),
        ("SHOP.Example", "/r/home/1", Some("home")),
        ("shop.example:8080", "/r/home/1", Some("home")),
        ("Shop.Example:", "/r/home/1", Some("home")),
        ("shop.example.", "/r/home/1", None),
        ("shop.example.:80", "/r/home/1", None),
        ("[shop.example]", "/r/home/1", None),
        ("[::1]:80", "/r/home/1", None),
        ("other.example@shop.example", "/r/home/1", None),
        ("other.example,shop.example", "/r/home/1", None),
        (" shop.example", "/r/home/1", None),
        ("", "/r/home/1", None),
        (shop, "/r/home/", Some("home")),
        (shop, "/r/home", Some("wide")),
        (shop, "/r", None),
        (shop, "", None),
        (shop, "*", None),
        (shop, "//r/home/1", None),
        (shop, "/r//home/1", Some("wide")),
        (shop, "/r/home//1", Some("home")),
        (shop, "/r/%68ome/1", Some("wide")),
        (shop, "/%72/home/1", None),
        (shop, "/r%2fhome/1", None),
        (shop, "/r/home%2F1", Some("wide")),
        (shop, "/R/home/1", None),
        (shop, "/r/Home/1", Some("wide")),
        (shop, "/r/./home/1", Some("wide")),
        (shop, "/r/x/../home/1", Some("wide")),
        (shop, "/r/home/../1", Some("home")),
        (shop, "/r/home/%2e%2e/1", Some("home")),
    ];
    for (host, path, region) in cases {
        let found = table.route(host, path).map(|route| route.regions.to_string());
        assert_eq!(found.as_deref(), region, "{host:?} {path:?}");
    }
}
