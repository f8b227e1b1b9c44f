//! The store, the instance list and the ordering service, over real sockets.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use carob_http::client::{self, Chunk, Request, Response};
use carob_standin::{
    List, Orders, Store,
    list::{self, Instance, State},
    orders, store,
};
use serde_json::{Value, json};

/// Timeout of a single step, long enough for a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

fn post(address: SocketAddr, path: &str, body: &Value) -> Result<Response, client::Error> {
    let request = Request::post(address, path, body.to_string()).with_deadline(STEP_TIMEOUT);
    client::call(&request)
}

fn call_store(store: &Store, path: &str, body: &Value) -> Value {
    let response = post(store.address(), path, body).expect("the store answers");
    serde_json::from_slice(&response.body).expect("JSON")
}

fn base64(text: &str) -> String {
    STANDARD.encode(text)
}

/// Transaction that writes `value` if `key` is at `revision`, and otherwise reads the key.
fn swap_body(key: &str, revision: &str, value: &str) -> Value {
    json!({
        "compare": [{ "key": base64(key), "target": "MOD", "result": "EQUAL", "mod_revision": revision }],
        "success": [{ "request_put": { "key": base64(key), "value": base64(value) } }],
        "failure": [{ "request_range": { "key": base64(key) } }],
    })
}

#[test]
fn store_compares_and_swaps() {
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    let first = call_store(&store, "/v3/kv/txn", &swap_body("k", "0", "one"));
    assert_eq!(
        (&first["succeeded"], &first["header"]["revision"]),
        (&json!(true), &json!("2"))
    );
    let second = call_store(&store, "/v3/kv/txn", &swap_body("k", "0", "two"));
    assert_eq!(second.get("succeeded"), None);
    let found = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(
        (&found["value"], &found["mod_revision"]),
        (&json!(base64("one")), &json!("2"))
    );
    let third = call_store(&store, "/v3/kv/txn", &swap_body("k", "2", "two"));
    assert_eq!(third["succeeded"], json!(true));
    assert_eq!(store.entries(), [(b"k".to_vec(), b"two".to_vec())]);
    assert_eq!(store.call_counts()["txn"], 3);
    store.close();
}

#[test]
fn store_ends_keys_with_their_lease() {
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    let lease = call_store(&store, "/v3/lease/grant", &json!({ "TTL": "60" }))["ID"].clone();
    let put = json!({ "key": base64("k"), "value": base64("v"), "lease": lease });
    call_store(&store, "/v3/kv/put", &put);
    let time_to_live = call_store(
        &store,
        "/v3/lease/timetolive",
        &json!({ "ID": lease, "keys": true }),
    );
    assert_eq!(
        (&time_to_live["grantedTTL"], &time_to_live["keys"]),
        (&json!("60"), &json!([base64("k")]))
    );
    let renewed = call_store(&store, "/v3/lease/keepalive", &json!({ "ID": lease }));
    assert_eq!(renewed["result"]["TTL"], json!("60"));
    store.expire_leases();
    assert_eq!(store.entries(), []);
    let renewed = call_store(&store, "/v3/lease/keepalive", &json!({ "ID": lease }));
    assert_eq!(renewed["result"].get("TTL"), None);
    assert_eq!(
        post(store.address(), "/v3/kv/put", &put).map(|response| response.status),
        Ok(404)
    );
    store.close();
}

/// Reads lines of a watch until one contains events. Returns the key of each event, and whether it is a
/// deletion.
fn next_events(stream: &client::Stream, buffer: &mut String) -> Vec<(String, bool)> {
    loop {
        while let Some((line, rest)) = buffer.split_once('\n') {
            let line: Value = serde_json::from_str(line).expect("JSON");
            *buffer = rest.to_owned();
            if let Some(events) = line["result"]["events"].as_array() {
                let key_of = |event: &Value| event["kv"]["key"].as_str().expect("a key").to_owned();
                return events
                    .iter()
                    .map(|event| (key_of(event), event["type"] == "DELETE"))
                    .collect();
            }
        }
        let Chunk::Data(data) = stream.next(STEP_TIMEOUT) else {
            panic!("the watch ended or sent nothing within {STEP_TIMEOUT:?}");
        };
        buffer.push_str(std::str::from_utf8(&data).expect("UTF-8"));
    }
}

#[test]
fn store_watches_from_a_past_revision() {
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    for key in ["a/1", "b/1", "a/2"] {
        call_store(
            &store,
            "/v3/kv/put",
            &json!({ "key": base64(key), "value": base64("v") }),
        );
    }
    let create = json!({ "key": base64("a/"), "range_end": base64("a0"), "start_revision": "2" });
    let body = json!({ "create_request": create }).to_string();
    let request = Request::post(store.address(), "/v3/watch", body).with_deadline(STEP_TIMEOUT);
    let stream = client::open(&request).expect("the store answers");
    let mut buffer = String::new();
    assert_eq!(
        next_events(&stream, &mut buffer),
        [(base64("a/1"), false), (base64("a/2"), false)]
    );
    call_store(&store, "/v3/kv/deleterange", &json!({ "key": base64("a/1") }));
    assert_eq!(next_events(&stream, &mut buffer), [(base64("a/1"), true)]);
    store.stall_watches();
    call_store(
        &store,
        "/v3/kv/put",
        &json!({ "key": base64("a/3"), "value": base64("v") }),
    );
    assert_eq!(stream.next(Duration::from_millis(50)), Chunk::TimedOut);
    store.set_outage(true);
    assert_eq!(stream.next(STEP_TIMEOUT), Chunk::End);
    store.close();
}

#[test]
fn store_fails_on_demand() {
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    let put = json!({ "key": base64("k"), "value": base64("v") });
    store.drop_replies(1);
    let lost = post(store.address(), "/v3/kv/put", &put);
    assert!(matches!(lost, Err(client::Error::Unknown(_))), "{lost:?}");
    assert_eq!(store.entries().len(), 1);
    store.set_outage(true);
    assert_eq!(
        post(store.address(), "/v3/kv/put", &put).map(|response| response.status),
        Ok(503)
    );
    store.set_outage(false);
    assert_eq!(
        post(store.address(), "/v3/kv/put", &put).map(|response| response.status),
        Ok(200)
    );
    store.close();
}

#[test]
fn orders_are_booked_once_for_each_call() {
    let orders = Orders::start(&orders::Options::default()).expect("loopback is free");
    let order = json!({ "item": "incense" });
    assert_eq!(
        post(orders.address(), "/orders", &order).map(|response| response.status),
        Ok(201)
    );
    orders.drop_replies(1);
    assert!(matches!(
        post(orders.address(), "/orders", &order),
        Err(client::Error::Unknown(_))
    ));
    orders.set_refusing(true);
    assert_eq!(
        post(orders.address(), "/orders", &order).map(|response| response.status),
        Ok(503)
    );
    orders.set_refusing(false);
    orders.stop();
    assert!(matches!(
        post(orders.address(), "/orders", &order),
        Err(client::Error::Refused(_))
    ));
    orders.restart().expect("the port is free");
    let stock = Request::get(orders.address(), "/stock");
    assert_eq!(client::call(&stock).map(|response| response.status), Ok(200));
    assert_eq!((orders.bookings().len(), orders.lookups()), (2, 1));
    orders.close();
}

#[test]
fn list_shows_changes_after_its_lag() {
    let list = List::start(&list::Options::default()).expect("loopback is free");
    let instance = Instance {
        name: "entry-1".to_owned(),
        address: list.address(),
        domain: "uusimaa".to_owned(),
        region: "south".to_owned(),
        state: State::Live,
    };
    let states = || {
        let response = client::call(&Request::get(list.address(), "/instances")).expect("the list answers");
        let body: Value = serde_json::from_slice(&response.body).expect("JSON");
        let instances = body["instances"].as_array().expect("a list").clone();
        instances
            .iter()
            .map(|instance| instance["state"].clone())
            .collect::<Vec<_>>()
    };
    list.upsert(instance.clone());
    assert_eq!(states(), ["live"]);
    list.set_lag(STEP_TIMEOUT);
    assert_eq!(states(), [""; 0]);
    list.set_lag(Duration::ZERO);
    list.upsert(Instance {
        state: State::Leaving,
        ..instance
    });
    assert_eq!(states(), ["leaving"]);
    list.remove("entry-1");
    assert_eq!(states(), [""; 0]);
    list.close();
}
