//! Requests that may run in some regions only, on every way on which they leave a gateway or an upstream.

mod fleet;

use std::{
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Link,
    client::Request,
    config::{self, Route},
};
use fleet::{CLIENT_KEY, Fleet, LONG, generation_request, request, wait_until};

const WORK_TIME: Duration = Duration::from_millis(2);

/// Interval between two events of a generation.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const EVENTS: u64 = 150;

/// Time between the announcement that an upstream leaves and its end.
const NOTICE: Duration = Duration::from_millis(1_600);

const SOUTH: &[&str] = &["south"];

const ROUTES: [Route; 4] = [
    Route::new("/read/", "safe", "plain")
        .with_max_attempts(3)
        .with_regions(SOUTH),
    Route::new("/open/", "safe", "plain")
        .with_anonymous()
        .with_regions(SOUTH),
    Route::new("/both/", "safe", "plain").with_regions(&["south", "north"]),
    Route::new("/draft/", "streaming", "engines").with_regions(SOUTH),
];

/// Writes a configuration in which the account may use `regions` only, and waits until gateways are ready.
fn configure(fleet: &Fleet, version: u64, routes: &[Route], regions: &[&str]) {
    let mut config = config::config(version, routes, &[CLIENT_KEY]);
    config::restrict_account(&mut config, regions);
    fleet.store.put(config::KEY, &config);
    fleet.wait_ready();
}

fn arrived(fleet: &Fleet, upstream: &str) -> usize {
    let arrivals = fleet.ledger.arrivals();
    arrivals
        .iter()
        .filter(|arrival| arrival.upstream == upstream)
        .count()
}

/// Sends requests of `path` through all gateways, and expects `status` of each.
fn expect(fleet: &Fleet, path: &str, name: &str, status: u16) {
    for number in 0..30 {
        let mut read = request(&format!("{name}{number}"), "GET", path).with_timeout(Duration::from_secs(2));
        if path.starts_with("/open/") {
            read = Request::new(&read.id, "GET", path).with_timeout(Duration::from_secs(2));
        }
        let sent = Instant::now();
        let outcome = fleet.send(number % fleet.gateways.len(), &read);
        assert_eq!(outcome.status, status, "{path}");
        if status == 503 {
            assert!(
                sent.elapsed() < Duration::from_millis(700),
                "refused at once: {:?}",
                sent.elapsed()
            );
        }
    }
}

/// Requests were sent to the nearest upstreams, in whatever region these are.
#[test]
fn requests_run_outside_the_regions_of_their_route_or_account() {
    let fleet = Fleet::start(2);
    let _north = fleet.start_plain_in("a", "n", WORK_TIME);
    let south = fleet.start_plain_in("b", "s", WORK_TIME);
    let _unknown = fleet.start_plain_in("elsewhere", "u", WORK_TIME);
    configure(&fleet, 1, &ROUTES, &[]);
    expect(&fleet, "/read/1", "r", 200);
    expect(&fleet, "/open/1", "o", 200);
    assert_eq!((arrived(&fleet, "n"), arrived(&fleet, "u")), (0, 0));
    // The account binds as well.
    configure(&fleet, 2, &ROUTES, SOUTH);
    thread::sleep(fleet::CONFIG_APPLY);
    expect(&fleet, "/both/1", "b", 200);
    assert_eq!((arrived(&fleet, "n"), arrived(&fleet, "u")), (0, 0));
    // With both there is no region left; without an account the route's regions hold.
    configure(&fleet, 3, &ROUTES, &["north"]);
    thread::sleep(fleet::CONFIG_APPLY);
    expect(&fleet, "/read/1", "e", 503);
    expect(&fleet, "/open/1", "p", 200);
    // A region without an upstream is no reason to send requests abroad.
    south.announce_leaving();
    wait_until("the gateways know that it is gone", || {
        (0..2).all(|gateway| {
            let id = format!("g{gateway}-{}", fleet.ledger.arrivals().len());
            let read = Request::new(&id, "GET", "/open/1").with_timeout(Duration::from_secs(1));
            fleet.send(gateway, &read).status == 503
        })
    });
    expect(&fleet, "/open/1", "q", 503);
    assert_eq!((arrived(&fleet, "n"), arrived(&fleet, "u")), (0, 0));
}

/// A generation whose upstream leaves was copied to the target with the most memory, abroad.
#[test]
fn a_generation_is_moved_out_of_its_regions() {
    let fleet = Fleet::start(1);
    let source = fleet.start_engine_in("b", "e1", EVENTS, EVENT_INTERVAL);
    let abroad = fleet.start_engine_in("a", "n", EVENTS, EVENT_INTERVAL);
    configure(&fleet, 1, &ROUTES, &[]);
    let client = fleet.start_generation(0, "d1");
    let _home = fleet.start_engine_in("b", "e2", EVENTS, EVENT_INTERVAL);
    thread::sleep(Duration::from_millis(300));
    source.leave(NOTICE);
    let outcome = client.join().expect("the client ends");
    assert!(outcome.complete);
    assert_eq!(arrived(&fleet, "n"), 0);
    let involved = fleet.ledger.involved();
    assert!(
        involved.iter().all(|(_, target)| *target != abroad.address()),
        "memory was copied abroad"
    );
}

/// The regions of a running generation shrink: it may end where it is, and moves only to where it may run now.
#[test]
fn a_generation_is_moved_by_the_regions_of_an_earlier_configuration() {
    let fleet = Fleet::start(1);
    let source = fleet.start_engine_in("a", "e1", EVENTS, EVENT_INTERVAL);
    let unrestricted = [Route::new("/draft/", "streaming", "engines")];
    configure(&fleet, 1, &unrestricted, &[]);
    let client = fleet.start_generation(0, "d1");
    let near = fleet.start_engine_in("a", "n", EVENTS, EVENT_INTERVAL);
    let _home = fleet.start_engine_in("b", "e2", EVENTS, EVENT_INTERVAL);
    configure(&fleet, 2, &ROUTES, &[]);
    thread::sleep(Duration::from_millis(400));
    source.leave(NOTICE);
    let outcome = client.join().expect("the client ends");
    assert!(outcome.complete);
    assert_eq!((arrived(&fleet, "n"), arrived(&fleet, "e2")), (0, 1));
    let involved = fleet.ledger.involved();
    assert!(involved.iter().all(|(_, target)| *target != near.address()));
}

/// A request whose own link is lost passed through any other gateway, and its body with it.
#[test]
fn a_request_passes_through_a_gateway_in_another_region() {
    let fleet = Fleet::start(2);
    let home = fleet.start_plain_in("b", "s", WORK_TIME);
    let free = Route::new("/free/", "safe", "plain");
    configure(&fleet, 1, &[ROUTES[0].clone(), free], &[]);
    expect(&fleet, "/read/1", "r", 200);
    let cut = fleet.gateways[0].peer_address.ip();
    home.set_source_links(&[(cut, Link::Reset)]);
    wait_until("the other gateway relays what may pass through it", || {
        let id = format!("f{}", fleet.ledger.arrivals().len());
        let free = request(&id, "GET", "/free/1").with_timeout(Duration::from_secs(1));
        fleet.send(0, &free).status == 200
    });
    for number in 0..10 {
        let id = format!("x{number}");
        let read = request(&id, "GET", "/read/1").with_timeout(Duration::from_secs(1));
        assert_ne!(fleet.send(0, &read).status, 200);
        assert_eq!(fleet.ledger.run_count(&id), 0);
    }
    assert!(!fleet.gateways[1].logged("\"connection relayed for another instance\",\"request\":\"x"));
}

/// A generation in a region whose upstreams all leave ends there, or is cut off; it does not go on abroad.
#[test]
fn a_generation_without_another_upstream_in_its_regions_goes_abroad() {
    let fleet = Fleet::start(1);
    let source = fleet.start_engine_in("b", "e1", EVENTS, EVENT_INTERVAL);
    let _abroad = fleet.start_engine_in("a", "n", EVENTS, EVENT_INTERVAL);
    configure(&fleet, 1, &ROUTES, &[]);
    let client = fleet.start_generation(0, "d1");
    source.leave(NOTICE);
    let outcome = client.join().expect("the client ends");
    assert!(!outcome.complete, "the upstream is killed before the end");
    assert_eq!(arrived(&fleet, "n"), 0);
    let again = generation_request("d2").with_timeout(LONG);
    assert_eq!(fleet.send(0, &again).status, 503);
}
