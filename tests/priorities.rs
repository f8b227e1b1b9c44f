//! Generations with different priorities before one engine.

mod fleet;

use std::{thread, time::Duration};

use carob_platform_standin::{
    client::{self, Outcome, Request},
    config::{self, Route},
};
use fleet::{CLIENT_KEY, Fleet, generation_request, wait_until};

/// Time in which the engine prefills a prompt, and between its events.
const INTERVAL: Duration = Duration::from_millis(700);

const EVENTS: u64 = 2;

const LONG: Route = Route::new("/long/", "streaming", "engines")
    .with_priority(2)
    .with_target_latency(4_000);

const SHORT: Route = Route::new("/short/", "streaming", "engines").with_target_latency(1_500);

/// Two prompts of this length and that of an urgent request are more than may be pending at once.
const PROMPT: u32 = 4_000;

fn start(routes: &[Route]) -> Fleet {
    let fleet = Fleet::start(1);
    let mut configured = fleet::ROUTES.to_vec();
    configured.retain(|route| route.service != "engines");
    configured.extend_from_slice(routes);
    fleet
        .store
        .put(config::KEY, &config::config(1, &configured, &[CLIENT_KEY]));
    fleet
}

fn generation(id: &str, path: &str) -> Request {
    let mut request = generation_request(id).with_usage(PROMPT, 800);
    path.clone_into(&mut request.path);
    request
}

fn send(fleet: &Fleet, request: Request) -> thread::JoinHandle<Outcome> {
    let address = fleet.gateways[0].caller_address;
    thread::spawn(move || client::send(address, &request))
}

fn priority(fleet: &Fleet, id: &str) -> Option<String> {
    let arrivals = fleet.ledger.arrivals();
    let found = arrivals.into_iter().find(|arrival| arrival.id == id);
    found.expect("it arrived").priority
}

#[test]
fn engines_are_told_priorities_only_where_these_differ() {
    for (routes, expected) in [(&[LONG, SHORT][..], Some("2")), (&[LONG][..], None)] {
        let fleet = start(routes);
        let _engine = fleet.start_engine("e1", EVENTS, Duration::from_millis(5));
        fleet.wait_ready();
        assert_eq!(fleet.send(0, &generation("a", "/long/x")).status, 200);
        assert_eq!(priority(&fleet, "a").as_deref(), expected);
    }
}

/// An urgent request must not wait behind the prompts of patient ones that were sent at once.
#[test]
fn a_patient_request_waits_until_the_one_before_is_prefilled() {
    let fleet = start(&[LONG, SHORT]);
    let _engine = fleet.start_engine("e1", EVENTS, INTERVAL);
    fleet.wait_ready();
    let gateway = &fleet.gateways[0];
    let first = send(&fleet, generation("first", "/long/x"));
    wait_until("the first one runs", || fleet.ledger.run_count("first") == 1);
    let patient = send(&fleet, generation("patient", "/long/x"));
    wait_until("the second one waits", || {
        gateway.logged("patient request waits for an engine")
    });
    let urgent = send(&fleet, generation("urgent", "/short/x"));
    for client in [first, patient, urgent] {
        let outcome = client.join().expect("the client ends");
        assert_eq!((outcome.status, outcome.complete), (200, true));
    }
    let arrivals = fleet.ledger.arrivals();
    let order: Vec<&str> = arrivals.iter().map(|arrival| arrival.id.as_str()).collect();
    assert_eq!(order, ["first", "urgent", "patient"]);
    assert!(gateway.logged("place found after waiting"));
    assert_eq!(priority(&fleet, "urgent").as_deref(), Some("0"));
}
