//! A runner that drains is cut off for a moment while its requests move: does it go on beside the next one?

use std::{
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Store,
    client::{self, Request},
    config::{self, Route},
};
use review_standins_2::{
    gateway,
    platform::engine::{Engine, Pool},
    record::{Record, cannot_run, has_trouble, wait_until},
};

/// `ContactMs`: gateways are in touch after this time.
const CONTACT: Duration = Duration::from_millis(4_000);

/// Requests.
const REQUESTS: usize = 48;

/// Events of a request, of 40 ms each.
const EVENTS: u64 = 250;

/// Time for which a runner serves after its report that it drains: `DrainMs` and a little longer.
const DRAIN: Duration = Duration::from_millis(3_500);

/// Time for which the runner is cut off.
const CUT: Duration = Duration::from_millis(1_500);

/// Time for which the rule permits the runner before to go on.
const PERMITTED: Duration = Duration::from_millis(400);

fn main() {
    let record = Record::open();
    let store = Store::new();
    let route = Route::new("/draft/", "streaming", "engines")
        .with_timeout(39_000)
        .with_target_latency(1_800);
    store.put(config::KEY, &config::config(1, &[route], &["key-1"]));
    let pool = Pool::default();
    let engines: Vec<Engine> = ["e1", "e2", "e3", "e4", "e5", "e6"]
        .iter()
        .map(|id| Engine::start(id, EVENTS, &pool, &store, &record))
        .collect();
    let gateways = gateway::start(&store, 2, gateway::SAARELA);
    wait_until("the gateways are ready", Duration::from_secs(10), || {
        gateways.iter().all(gateway::Gateway::is_ready)
    });
    thread::sleep(CONTACT + Duration::from_millis(500));
    record.line("2 gateways are in touch, 6 runners are ready");
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (address, record) = (gateways[number % gateways.len()].callers, record.clone());
            thread::sleep(Duration::from_millis(30));
            thread::spawn(move || {
                let id = format!("draft-{number:02}");
                record.line(&format!("client sends {id}"));
                let request = Request::new(&id, "POST", "/draft/1")
                    .with_key("key-1")
                    .with_usage(1_000, 1_000)
                    .with_prompt(&format!("{:08x}:79,{:08x}:921", 7, 1_000 + number))
                    .with_timeout(Duration::from_millis(39_000));
                let outcome = client::send(address, &request);
                let events = outcome.events();
                let whole = events == (1..=EVENTS).collect::<Vec<_>>() && outcome.complete;
                record.line(&format!(
                    "client has {} events of {id}, status {}, {}",
                    events.len(),
                    outcome.status,
                    if whole { "whole" } else { "not whole" }
                ));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    let Some(source) = engines.iter().max_by_key(|engine| engine.running().len()) else {
        cannot_run("no runner");
    };
    source.drain();
    let drained = Instant::now();
    if has_trouble() {
        // When the first requests are copied.
        thread::sleep(Duration::from_millis(300));
        source.set_cut(true);
        thread::sleep(CUT);
        source.set_cut(false);
    }
    let reached = Instant::now();
    // `DrainMs` after its report and a little longer, it exits.
    thread::sleep((drained + DRAIN).saturating_duration_since(Instant::now()));
    source.exit();
    for client in clients {
        let _ended = client.join();
    }
    let overlap = pool.longest_overlap(reached);
    for engine in &engines {
        engine.exit();
    }
    drop(gateways);
    let _removed = std::fs::remove_dir_all(gateway::folder());
    let Some((both, one, other)) = overlap else {
        cannot_run("no request went on at another runner");
    };
    record.line(&format!(
        "longest time for which two runners worked on one request: {} ms, {} at {} and {}",
        both.as_millis(),
        one.id,
        one.engine,
        other.engine
    ));
    if both > PERMITTED {
        record.line("TWICE is broken: the runner before still works on it over 400 ms later");
        std::process::exit(1);
    }
    record.line("TWICE held");
}
