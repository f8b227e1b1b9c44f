//! Requests that may run in some regions only, on every way on which they leave a gateway or an upstream.

mod fleet;

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Link, Upstream,
    client::{self, Outcome, Request},
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

/// Route whose streams may run again from an event on, in `south`, in `north`, or anywhere.
const RESUMABLE: Route = Route::new("/answer/", "streaming", "engines")
    .with_max_attempts(2)
    .with_timeout(20_000)
    .with_resumable();

/// Events of such a stream, which goes on for longer than [`fleet::CONFIG_APPLY`].
const ANSWER_EVENTS: u64 = 400;
const ANSWER_INTERVAL: Duration = Duration::from_millis(10);

/// Starts a gateway in the failure domain `a`, one in `b`, and an engine `n` in `a`, `s` in `b` and `u` in none that the
/// settings name.
fn start_in_both_regions() -> (Fleet, Vec<Upstream>) {
    let mut fleet = Fleet::start(1);
    fleet.add_gateway_in("b");
    let engines = [("a", "n"), ("b", "s"), ("elsewhere", "u")]
        .map(|(domain, id)| fleet.start_engine_in(domain, id, ANSWER_EVENTS, ANSWER_INTERVAL));
    (fleet, engines.into())
}

/// A request for a stream of [`RESUMABLE`], of which its client has the events up to `last`. All of them have a prompt in
/// common, so that the upstream that ran one is a better choice for the next.
fn answer_request(id: &str, last: u64) -> Request {
    let mut answer = generation_request(id).with_prompt(&format!("c0ffee:900,{id}:100"));
    "/answer/x".clone_into(&mut answer.path);
    if last == 0 {
        answer
    } else {
        answer.with_header("Last-Event-Id", &last.to_string())
    }
}

/// Begins a stream at a gateway and loses its connection after some events. Returns the last event that the client has.
fn begin_and_lose(fleet: &Fleet, gateway: usize, id: &str, before_loss: impl FnOnce()) -> u64 {
    let address = fleet.gateways[gateway].caller_address;
    let mut stream = client::open(address, &answer_request(id, 0)).expect("the gateway listens");
    wait_until("the generation runs", || fleet.ledger.run_count(id) == 1);
    before_loss();
    let part = client::read(&mut stream, Instant::now() + ANSWER_INTERVAL * 10);
    drop(stream);
    assert!(part.status == 200 && !part.complete);
    part.events().last().copied().expect("it has begun")
}

/// Names of the upstreams to which the requests with these ids were sent, or memory of which was copied.
fn reached_by(fleet: &Fleet, engines: &[Upstream], ids: &[String]) -> BTreeSet<String> {
    let arrivals = fleet.ledger.arrivals();
    let arrived = arrivals.iter().filter(|arrival| ids.contains(&arrival.id));
    let involved = fleet.ledger.involved();
    let involved = involved.iter().filter(|(id, _)| ids.contains(id));
    let copied = involved.map(|(_, address)| {
        let found = engines.iter().find(|engine| engine.address() == *address);
        found.expect("all engines are known").id().to_owned()
    });
    arrived
        .map(|arrival| arrival.upstream.clone())
        .chain(copied)
        .collect()
}

fn expect_rest(outcome: &Outcome, from: u64) {
    assert_eq!((outcome.status, outcome.complete), (200, true));
    assert_eq!(outcome.events(), (from + 1..=ANSWER_EVENTS).collect::<Vec<_>>());
}

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

/// A gateway went by the regions of failure domains that it had read when it started.
#[test]
fn regions_of_reloaded_settings_are_not_obeyed() {
    let fleet = Fleet::start(1);
    let _upstreams = [("a", "n"), ("b", "s")].map(|(domain, id)| fleet.start_plain_in(domain, id, WORK_TIME));
    configure(&fleet, 1, &ROUTES, &[]);
    expect(&fleet, "/read/", "before", 200);
    assert_eq!([arrived(&fleet, "n"), arrived(&fleet, "s")], [0, 30]);
    let gateway = &fleet.gateways[0];
    let settings = std::fs::read_to_string(gateway.settings_path()).expect("it was written");
    let exchanged = settings.replace("a:north, b:south", "a:south, b:north");
    std::fs::write(gateway.settings_path(), exchanged).expect("the directory is writable");
    gateway.signal("HUP");
    wait_until("they are reloaded", || gateway.logged("settings reloaded"));
    thread::sleep(Duration::from_millis(100));
    expect(&fleet, "/read/", "after", 200);
    assert_eq!([arrived(&fleet, "n"), arrived(&fleet, "s")], [30, 30]);
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

/// The log did not say by which regions a request was sent, nor where to.
#[test]
fn a_log_does_not_tell_by_which_regions_a_request_was_sent() {
    let fleet = Fleet::start(1);
    let _home = fleet.start_plain_in("b", "s", WORK_TIME);
    configure(&fleet, 1, &ROUTES, &[]);
    let read = request("r", "GET", "/read/1").with_timeout(Duration::from_secs(2));
    assert_eq!(fleet.send(0, &read).status, 200);
    let sent = [
        "\"request\":\"r\"",
        "\"domain\":\"b\"",
        "\"regions\":\"south\"",
        "\"version\":1",
    ];
    let written = [
        "\"region\":\"south\"",
        "\"peer\":\"none\"",
        "\"config_age_ms\":",
        "\"current\":true",
    ];
    let is_told = |message: &str, fields: &[&str]| {
        let lines = fleet.gateways[0].log_lines();
        let found = lines.iter().find(|line| line.contains(message));
        found.is_some_and(|line| fields.iter().all(|field| line.contains(field)))
    };
    let written = [&sent[..], &written].concat();
    wait_until("the placement is logged", || {
        is_told("\"sent to an upstream\"", &sent)
    });
    wait_until("the send is logged", || {
        is_told("\"restricted request written to an upstream\"", &written)
    });
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

/// A stream whose client came back, to whichever gateway, ran on at the nearest upstream or at one that had its prompt cached.
#[test]
fn a_stream_is_resumed_outside_its_regions() {
    let (fleet, engines) = start_in_both_regions();
    configure(&fleet, 1, &[RESUMABLE.with_regions(SOUTH)], &[]);
    for first in 0..2 {
        for second in 0..2 {
            let ids = [format!("f{first}{second}"), format!("r{first}{second}")];
            let last = begin_and_lose(&fleet, first, &ids[0], || {});
            let rest = fleet.send(second, &answer_request(&ids[1], last));
            expect_rest(&rest, last);
            assert_eq!(
                reached_by(&fleet, &engines, &ids),
                BTreeSet::from(["s".to_owned()])
            );
        }
    }
}

/// The regions change while a stream runs, by the route or by the account. When its client comes back, the upstream that ran it
/// may not get the rest any more, although it has the prompt cached and may be nearest; nothing names the request there.
#[test]
fn a_stream_is_resumed_where_it_may_not_run_any_more() {
    const NORTH: &[&str] = &["north"];
    let (fleet, engines) = start_in_both_regions();
    // Regions of the route and of the account, and the only upstream that is left by them.
    let configurations: [(&[&str], &[&str], Option<&str>); 6] = [
        (SOUTH, &[], Some("s")),
        (NORTH, &[], Some("n")),
        (SOUTH, &[], Some("s")),
        (&[], NORTH, Some("n")),
        (&[], SOUTH, Some("s")),
        (SOUTH, NORTH, None),
    ];
    let mut before = None;
    for (version, (route, account, upstream)) in configurations.into_iter().enumerate() {
        let change = || {
            configure(
                &fleet,
                1 + version as u64,
                &[RESUMABLE.with_regions(route)],
                account,
            );
            thread::sleep(fleet::CONFIG_APPLY);
        };
        let Some(earlier) = before.replace(upstream) else {
            change();
            continue;
        };
        let ids = [format!("f{version}"), format!("r{version}")];
        let last = begin_and_lose(&fleet, (version + 1) % 2, &ids[0], change);
        let rest = fleet.send(version % 2, &answer_request(&ids[1], last));
        let names = |upstream: Option<&str>| upstream.into_iter().map(str::to_owned).collect::<BTreeSet<_>>();
        assert_eq!(
            reached_by(&fleet, &engines, &ids[..1]),
            names(earlier),
            "{route:?} {account:?}"
        );
        assert_eq!(
            reached_by(&fleet, &engines, &ids[1..]),
            names(upstream),
            "{route:?} {account:?}"
        );
        if upstream.is_some() {
            expect_rest(&rest, last);
        } else {
            assert_eq!(rest.status, 503);
        }
    }
}

/// An upstream breaks a stream off after its regions have changed. The gateway has the rest made by itself, where the request
/// may run now.
#[test]
fn a_stream_that_breaks_off_runs_on_where_it_may_not_run_any_more() {
    let (fleet, mut engines) = start_in_both_regions();
    engines.push(fleet.start_engine_in("b", "s2", ANSWER_EVENTS, ANSWER_INTERVAL));
    configure(&fleet, 1, &[RESUMABLE], &[]);
    // What has been served permits a repeat.
    for number in 0..10 {
        let earning = answer_request(&format!("earn{number}"), 0).with_events(1);
        assert_eq!(fleet.send(0, &earning).status, 200);
    }
    configure(&fleet, 2, &[RESUMABLE.with_regions(SOUTH)], &[]);
    thread::sleep(fleet::CONFIG_APPLY);
    let address = fleet.gateways[0].caller_address;
    let client = thread::spawn(move || client::send(address, &answer_request("d1", 0)));
    wait_until("the generation runs", || fleet.ledger.run_count("d1") == 1);
    configure(&fleet, 3, &[RESUMABLE.with_regions(&["north"])], &[]);
    thread::sleep(fleet::CONFIG_APPLY);
    let first = fleet
        .ledger
        .arrivals()
        .into_iter()
        .find(|arrival| arrival.id == "d1");
    let first = first.expect("it runs").upstream;
    let source = engines
        .iter()
        .find(|engine| engine.id() == first)
        .expect("it is known");
    source.kill();
    expect_rest(&client.join().expect("the client ends"), 0);
    assert_eq!(
        reached_by(&fleet, &engines, &["d1".to_owned()]),
        BTreeSet::from([first, "n".to_owned()])
    );
}
