//! A sound runner falls silent for a second while it resets new connections, after a SIGHUP of a gateway: does the gateway end
//! the answers that it passes on?

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
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

/// `ConfigApplyMs`: requests sent up to this time after the SIGHUP count.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);

const REQUESTS: usize = 24;

/// Events of a request, of 40 ms each.
const EVENTS: u64 = 150;

/// Time for which the runner is silent, and for which it resets new connections.
const SILENT: Duration = Duration::from_millis(1_200);
const CROWDED: Duration = Duration::from_millis(1_500);

/// Requests to the gateway with the SIGHUP: when each was sent, and when its answer ended incomplete.
type Ends = Arc<Mutex<HashMap<String, (Instant, Option<Instant>)>>>;

fn main() {
    let record = Record::open();
    let store = Store::new();
    let route = Route::new("/draft/", "streaming", "engines")
        .with_timeout(39_000)
        .with_target_latency(1_800);
    store.put(config::KEY, &config::config(1, &[route], &["key-1"]));
    let pool = Pool::default();
    let engines: Vec<Engine> = ["e1", "e2", "e3"]
        .iter()
        .map(|id| Engine::start(id, EVENTS, &pool, &store, &record))
        .collect();
    let mut gateways = gateway::start(&store, 4);
    wait_until("the gateways are ready", Duration::from_secs(10), || {
        gateways.iter().all(gateway::Gateway::is_ready)
    });
    thread::sleep(CONTACT + Duration::from_millis(500));
    record.line("4 gateways are in touch, 3 runners are ready");
    gateways[0].signal("HUP");
    let hup = Instant::now();
    record.line("SIGHUP to gateway 0; its settings have not changed");
    let ends: Ends = Arc::default();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            // Half of the requests go to the gateway with the SIGHUP.
            let gateway = if number % 2 == 0 { 0 } else { 1 + number / 2 % 3 };
            let (address, record, ends) = (gateways[gateway].callers, record.clone(), Arc::clone(&ends));
            thread::sleep(Duration::from_millis(60));
            thread::spawn(move || {
                let id = format!("draft-{number:02}");
                let sent = Instant::now();
                record.line_at(sent, &format!("client sends {id} to gateway {gateway}"));
                let request = Request::new(&id, "POST", "/draft/1")
                    .with_key("key-1")
                    .with_usage(1_000, 1_000)
                    .with_prompt(&format!("{:08x}:79,{:08x}:921", 7, 1_000 + number))
                    .with_timeout(Duration::from_millis(39_000));
                let outcome = client::send(address, &request);
                let events = outcome.events();
                let whole = outcome.complete && events == (1..=EVENTS).collect::<Vec<_>>();
                record.line(&format!(
                    "client has {} events of {id}, status {}, {}",
                    events.len(),
                    outcome.status,
                    if whole { "whole" } else { "cut off" }
                ));
                if gateway == 0 {
                    let cut = (!outcome.complete).then(Instant::now);
                    ends.lock().expect("no holder panics").insert(id, (sent, cut));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    let Some(runner) = engines.iter().max_by_key(|engine| engine.running().len()) else {
        cannot_run("no runner");
    };
    let running = runner.running();
    if has_trouble() {
        runner.set_crowded(true);
        runner.set_silent(true);
        thread::sleep(SILENT);
        runner.set_silent(false);
        thread::sleep(CROWDED - SILENT);
        runner.set_crowded(false);
    }
    for client in clients {
        let _ended = client.join();
    }
    let is_up = gateways[0].ended().is_none();
    for engine in &engines {
        engine.exit();
    }
    drop(gateways);
    let _removed = std::fs::remove_dir_all(gateway::folder());
    let spans = pool.spans();
    let ends = ends.lock().expect("no holder panics");
    let mut lost = 0;
    for (id, (sent, cut)) in ends.iter() {
        let Some(cut) = cut else { continue };
        let works_on = spans
            .iter()
            .any(|span| span.id == *id && span.engine == runner.id() && span.to.is_some_and(|to| to > *cut));
        if running.contains(id) && works_on && *sent <= hup + CONFIG_APPLY {
            lost += 1;
            record.line(&format!(
                "{id}: sent {:.2} s after the SIGHUP, cut off after {:.2} s; its runner works on",
                (*sent - hup).as_secs_f64(),
                (*cut - *sent).as_secs_f64()
            ));
        }
    }
    record.line(&format!("{lost} requests lost; gateway 0 runs: {is_up}"));
    if lost > 0 {
        record.line("LOST is broken: connections ended without a complete answer, once passed on to a runner that works on");
        std::process::exit(1);
    }
    record.line("LOST held");
}
