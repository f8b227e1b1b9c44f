//! Several instances: confirmation of tickets, store outages, refusal of requests that crash engines,
//! resumption and cancellation of answers.

mod fleet;

use std::time::Duration;

use carob_http::client::{self, Chunk};
use carob_wire::{
    event::{Event, Kind},
    header, sse,
};
use fleet::{Fleet, KEY_ONE, get, request, wait_until};
use serde_json::Value;

/// A fleet with `engines` engines and `count` configured instances. Instances are numbered from 1, their
/// indexes in the fleet start at 0.
fn configured_fleet(engines: u64, count: u64) -> Fleet {
    let mut fleet = Fleet::new(engines);
    for number in 1..=count {
        fleet.add(number);
    }
    fleet.configure();
    fleet
}

/// Reads the events of a stream until `is_last` returns true for one or the stream ends.
fn events(stream: &client::Stream, mut is_last: impl FnMut(&Event) -> bool) -> Vec<Event> {
    let mut decoder = sse::Decoder::new(1 << 20);
    let mut events = Vec::new();
    loop {
        match stream.next(Duration::from_secs(20)) {
            Chunk::Data(data) => decoder.feed(&data),
            Chunk::End => return events,
            other => panic!("after {} events: {other:?}", events.len()),
        }
        while let Some(data) = decoder.next_data().expect("events are small") {
            events.push(Event::parse(data).expect("events are valid"));
            if is_last(&events[events.len() - 1]) {
                return events;
            }
        }
    }
}

fn text_of(events: &[Event]) -> String {
    let deltas = events.iter().filter(|event| event.kind() == Kind::Delta);
    let text = deltas.map(|event| {
        let value: Value = serde_json::from_slice(&event.data).expect("JSON");
        value["delta"].as_str().expect("text").to_owned()
    });
    text.collect()
}

#[test]
fn ticket_is_confirmed_by_every_instance() {
    let fleet = configured_fleet(1, 3);
    for index in 0..3 {
        let admin = fleet.instances[index].admin_address();
        wait_until("every instance is confirmed", || {
            get(admin, "/tickets/1").1["outcome"] == "in-force"
        });
    }
    let digests: Vec<Value> = (0..3)
        .map(|index| fleet.status(index)["digest"].clone())
        .collect();
    assert_eq!(digests[0], digests[1]);
    assert_eq!(digests[1], digests[2]);
    fleet.close();
}

#[test]
fn repeated_ticket_has_its_first_answer_and_a_changed_one_is_refused() {
    let fleet = configured_fleet(1, 2);
    let text = fleet.ticket(1);
    let (status, body) = fleet.submit(1, &text);
    assert_eq!((status, &body["revision"]), (200, &Value::from(1)));
    let (status, body) = fleet.submit(1, &text.replace("patience = 10s", "patience = 11s"));
    assert_eq!((status, &body["outcome"]), (409, &Value::from("refused")));
    fleet.close();
}

#[test]
fn instance_that_starts_during_an_outage_takes_the_configuration_of_its_peers() {
    let mut fleet = configured_fleet(1, 2);
    fleet.store.set_outage(true);
    fleet.add(3);
    fleet.wait_revision(2, 1);
    let call = request("GET", fleet.instances[2].caller_address(), "/stock", KEY_ONE);
    assert_eq!(client::call(&call).expect("an answer").status, 200);
    let order = request("POST", fleet.instances[2].caller_address(), "/orders", KEY_ONE)
        .with_header(header::IDEMPOTENCY_KEY, fresh_key())
        .with_body("{}");
    let refused = client::call(&order).expect("an answer");
    assert_eq!(
        (refused.status, refused.headers.get(header::OUTCOME)),
        (503, Some("not-run"))
    );
    assert!(fleet.orders.bookings().is_empty());
    fleet.close();
}

#[test]
fn answer_is_resumed_at_another_instance() {
    let fleet = configured_fleet(1, 2);
    let body = r#"{"input":"a long draft","stream":true,"metadata":{"tokens":"600"}}"#;
    let create = request(
        "POST",
        fleet.instances[0].caller_address(),
        "/v1/responses",
        KEY_ONE,
    )
    .with_body(body);
    let first = client::open(&create).expect("a stream");
    let mut seen = events(&first, |event| event.head.sequence >= 40);
    first.close();
    let id = seen[0]
        .head
        .answer_id
        .clone()
        .expect("the first event names the answer");
    let path = format!(
        "/v1/responses/{id}?stream=true&starting_after={}",
        seen[seen.len() - 1].head.sequence
    );
    let resume = request("GET", fleet.instances[1].caller_address(), &path, KEY_ONE);
    let second = client::open(&resume).expect("a stream");
    assert_eq!(second.status, 200);
    seen.extend(events(&second, |_| false));
    assert!(
        seen.iter()
            .enumerate()
            .all(|(index, event)| event.head.sequence == index as u64)
    );
    assert_eq!(seen[seen.len() - 1].kind(), Kind::Completed);
    assert_eq!(text_of(&seen), fleet.engines[0].expected_answer(body.as_bytes()));
    fleet.close();
}

#[test]
fn abandoned_answer_is_cancelled() {
    let fleet = configured_fleet(1, 1);
    let body = r#"{"input":"a draft nobody waits for","stream":true,"metadata":{"tokens":"20000"}}"#;
    let create = request(
        "POST",
        fleet.instances[0].caller_address(),
        "/v1/responses",
        KEY_ONE,
    )
    .with_body(body);
    let stream = client::open(&create).expect("a stream");
    events(&stream, |event| event.kind() == Kind::Delta);
    stream.close();
    wait_until("the engine is idle", || fleet.engines[0].open_count() == 0);
    let record = fleet.engines[0].records().pop().expect("one generation");
    assert_eq!(record.status, carob_standin::engine::Status::Cancelled);
    fleet.close();
}

#[test]
fn leaving_upstream_gets_no_new_work() {
    let fleet = configured_fleet(2, 2);
    let leaves = |index: usize| {
        let upstreams = fleet.status(index)["upstreams"].clone();
        upstreams
            .as_array()
            .expect("a list")
            .iter()
            .any(|upstream| upstream["name"] == "engine-0" && upstream["leaving"] == true)
    };
    fleet.engines[0].announce_leaving();
    wait_until("both instances know", || leaves(0) && leaves(1));
    let before = fleet.engines[0].records().len();
    for round in 0..8 {
        let body = format!(r#"{{"input":"draft {round}","stream":true}}"#);
        let create = request(
            "POST",
            fleet.instances[round % 2].caller_address(),
            "/v1/responses",
            KEY_ONE,
        )
        .with_body(body);
        assert_eq!(client::call(&create).expect("an answer").status, 200);
    }
    assert_eq!(fleet.engines[0].records().len(), before);
    assert_eq!(fleet.engines[1].records().len(), 8);
    fleet.close();
}

#[test]
fn request_that_crashes_engines_is_refused_at_every_instance() {
    let fleet = configured_fleet(4, 2);
    let body = r#"{"input":"a poison prompt","stream":true}"#;
    let mut crashes = 0;
    for round in 0..8 {
        let create = request(
            "POST",
            fleet.instances[round % 2].caller_address(),
            "/v1/responses",
            KEY_ONE,
        )
        .with_body(body);
        let response = client::call(&create).expect("an answer");
        assert_ne!(response.status, 200, "the prompt crashes every engine");
        crashes += restart_crashed(&fleet);
        let text = String::from_utf8_lossy(&response.body).into_owned();
        if text.contains("\"suspected\"") {
            break;
        }
    }
    assert!(crashes <= 3, "{crashes} engines crashed");
    for instance in &fleet.instances {
        let create = || request("POST", instance.caller_address(), "/v1/responses", KEY_ONE).with_body(body);
        wait_until("the request is refused", || {
            let response = client::call(&create()).expect("an answer");
            restart_crashed(&fleet);
            response.status == 422 && response.headers.get(header::OUTCOME) == Some("not-run")
        });
    }
    fleet.close();
}

/// Restarts the crashed engines; returns their number.
fn restart_crashed(fleet: &Fleet) -> usize {
    let crashed = fleet.engines.iter().filter(|engine| engine.incarnation() == 0);
    crashed
        .map(|engine| engine.restart().expect("the port is free"))
        .count()
}

/// A UUID of version 7 for the present time.
fn fresh_key() -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("after 1970");
    let millis = now.as_millis() as u64;
    format!(
        "{:08x}-{:04x}-7000-8000-{:012x}",
        millis >> 16,
        millis & 0xffff,
        now.subsec_nanos()
    )
}
