//! Requests whose regions change while they wait or run, whatever route or account they belong to by then.

mod fleet;

use std::{thread, time::Duration};

use carob_platform_standin::{
    client,
    config::{self, Route},
};
use fleet::{CLIENT_KEY, Fleet, generation_request, wait_until};

/// Interval between two events of a generation, which goes on for longer than a change of the configuration takes.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const EVENTS: u64 = 200;

/// Time between the announcement that an upstream leaves and its end.
const NOTICE: Duration = Duration::from_millis(1_600);

const SOUTH: &[&str] = &["south"];
const NORTH: &[&str] = &["north"];

const DRAFT: Route = Route::new("/draft/", "streaming", "engines").with_timeout(20_000);
const DEEP: Route = Route::new("/draft/deep/", "streaming", "engines")
    .with_timeout(20_000)
    .with_regions(SOUTH);

/// Routes that have the name of [`DRAFT`] and do not serve its requests.
const OTHER_HOST: Route = DRAFT.with_host("other.example").with_regions(NORTH);
const OTHER_PREFIX: Route = Route::new("/drafts/", "streaming", "engines")
    .with_name("r-draft-")
    .with_regions(NORTH);

/// Writes a configuration in which the account may use `regions` only, and waits until the gateway has it.
fn configure(fleet: &Fleet, version: u64, routes: &[Route], regions: &[&str]) {
    let mut config = config::config(version, routes, &[CLIENT_KEY]);
    config::restrict_account(&mut config, regions);
    fleet.store.put(config::KEY, &config);
    let version = format!("\"version\":{version},");
    wait_until("the configuration is in force", || {
        let lines = fleet.gateways[0].log_lines();
        let mut lines = lines.iter();
        lines.any(|line| line.contains("\"configuration in force\"") && line.contains(&version))
    });
    thread::sleep(Duration::from_millis(100));
}

/// Runs a generation that `/draft/` admits, for any region, until its upstream leaves after `routes` and the account's
/// `regions` are in force. Returns what is wrong.
fn move_after(routes: &[Route], regions: &[&str]) -> Option<String> {
    let fleet = Fleet::start(1);
    let source = fleet.start_engine_in("a", "e1", EVENTS, EVENT_INTERVAL);
    configure(&fleet, 1, &[DRAFT], &[]);
    fleet.wait_ready();
    let mut generation = generation_request("d1");
    "/draft/deep/x".clone_into(&mut generation.path);
    let address = fleet.gateways[0].caller_address;
    let client = thread::spawn(move || client::send(address, &generation));
    wait_until("the generation runs", || fleet.ledger.run_count("d1") == 1);
    let near = fleet.start_engine_in("a", "n", EVENTS, EVENT_INTERVAL);
    let _home = fleet.start_engine_in("b", "e2", EVENTS, EVENT_INTERVAL);
    configure(&fleet, 2, routes, regions);
    thread::sleep(Duration::from_millis(300));
    source.leave(NOTICE);
    let outcome = client.join().expect("the client ends");
    let arrivals = fleet.ledger.arrivals();
    let arrived: Vec<&str> = arrivals.iter().map(|arrival| &*arrival.upstream).collect();
    let copied = fleet.ledger.involved();
    let copied = copied.iter().any(|(_, target)| *target == near.address());
    let is_right = outcome.complete && arrived == ["e1", "e2"] && !copied;
    (!is_right).then(|| {
        format!(
            "complete: {}, arrived at {arrived:?}, copied to n: {copied}",
            outcome.complete
        )
    })
}

/// A generation moved on by the regions of its route's name, or by those of its admission if that name was gone: to the
/// nearest upstream, outside of its regions.
#[test]
fn a_generation_moves_by_the_regions_of_a_route_that_no_longer_matches() {
    let cases: [(&str, &'static [Route], &'static [&str]); 5] = [
        ("a longer prefix beside it", &[DRAFT, DEEP], &[]),
        ("a longer prefix in its place", &[DEEP], &[]),
        ("no route, the account restricted", &[], SOUTH),
        ("its name at another host", &[OTHER_HOST, DEEP], &[]),
        ("its name at another prefix", &[OTHER_PREFIX, DEEP], &[]),
    ];
    let runs =
        cases.map(|(name, routes, regions)| thread::spawn(move || (name, move_after(routes, regions))));
    let wrong = runs.map(|run| run.join().expect("it ends"));
    let wrong: Vec<_> = wrong
        .into_iter()
        .filter_map(|(name, wrong)| Some((name, wrong?)))
        .collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
}
