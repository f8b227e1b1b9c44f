//! The store, the instance list and the ordering service, over sockets.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use carob_http::client::{self, Chunk, Request, Response};
use carob_standin::{
    List, Orders, Store,
    list::{self, Instance, State},
    orders, store,
};
use serde_json::{Value, json};

/// Long enough for any step on a busy machine.
const LONG: Duration = Duration::from_secs(20);

fn post(address: SocketAddr, path: &str, body: &Value) -> Result<Response, client::Error> {
    let request = Request::post(address, path, body.to_string()).with_deadline(LONG);
    client::call(&request)
}

fn ask(store: &Store, path: &str, body: &Value) -> Value {
    let response = post(store.address(), path, body).expect("the store answers");
    serde_json::from_slice(&response.body).expect("JSON")
}

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

fn swap(key: &str, revision: &str, value: &str) -> Value {
    json!({
        "compare": [{ "key": b64(key), "target": "MOD", "result": "EQUAL", "mod_revision": revision }],
        "success": [{ "request_put": { "key": b64(key), "value": b64(value) } }],
        "failure": [{ "request_range": { "key": b64(key) } }],
    })
}

#[test]
fn store_compares_and_swaps() {
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    let first = ask(&store, "/v3/kv/txn", &swap("k", "0", "one"));
    assert_eq!(
        (&first["succeeded"], &first["header"]["revision"]),
        (&json!(true), &json!("2"))
    );
    let second = ask(&store, "/v3/kv/txn", &swap("k", "0", "two"));
    assert_eq!(second.get("succeeded"), None);
    let found = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(
        (&found["value"], &found["mod_revision"]),
        (&json!(b64("one")), &json!("2"))
    );
    let third = ask(&store, "/v3/kv/txn", &swap("k", "2", "two"));
    assert_eq!(third["succeeded"], json!(true));
    assert_eq!(store.entries(), [(b"k".to_vec(), b"two".to_vec())]);
    assert_eq!(store.call_counts()["txn"], 3);
    store.close();
}

#[test]
fn store_ends_keys_with_their_lease() {
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    let lease = ask(&store, "/v3/lease/grant", &json!({ "TTL": "60" }))["ID"].clone();
    let put = json!({ "key": b64("k"), "value": b64("v"), "lease": lease });
    ask(&store, "/v3/kv/put", &put);
    let left = ask(
        &store,
        "/v3/lease/timetolive",
        &json!({ "ID": lease, "keys": true }),
    );
    assert_eq!(
        (&left["grantedTTL"], &left["keys"]),
        (&json!("60"), &json!([b64("k")]))
    );
    let renewed = ask(&store, "/v3/lease/keepalive", &json!({ "ID": lease }));
    assert_eq!(renewed["result"]["TTL"], json!("60"));
    store.expire_leases();
    assert_eq!(store.entries(), []);
    let renewed = ask(&store, "/v3/lease/keepalive", &json!({ "ID": lease }));
    assert_eq!(renewed["result"].get("TTL"), None);
    assert_eq!(
        post(store.address(), "/v3/kv/put", &put).map(|response| response.status),
        Ok(404)
    );
    store.close();
}

/// Reads lines of a watch until one has events, and gives their keys and kinds.
fn next_events(stream: &client::Stream, buffer: &mut String) -> Vec<(String, bool)> {
    loop {
        while let Some((line, rest)) = buffer.split_once('\n') {
            let line: Value = serde_json::from_str(line).expect("JSON");
            *buffer = rest.to_owned();
            if let Some(events) = line["result"]["events"].as_array() {
                let key = |event: &Value| event["kv"]["key"].as_str().expect("a key").to_owned();
                return events
                    .iter()
                    .map(|event| (key(event), event["type"] == "DELETE"))
                    .collect();
            }
        }
        let Chunk::Data(data) = stream.next(LONG) else {
            panic!("the watch has ended");
        };
        buffer.push_str(std::str::from_utf8(&data).expect("UTF-8"));
    }
}

#[test]
fn store_watches_from_a_past_revision() {
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    for key in ["a/1", "b/1", "a/2"] {
        ask(
            &store,
            "/v3/kv/put",
            &json!({ "key": b64(key), "value": b64("v") }),
        );
    }
    let create = json!({ "key": b64("a/"), "range_end": b64("a0"), "start_revision": "2" });
    let body = json!({ "create_request": create }).to_string();
    let request = Request::post(store.address(), "/v3/watch", body).with_deadline(LONG);
    let stream = client::open(&request).expect("the store answers");
    let mut buffer = String::new();
    assert_eq!(
        next_events(&stream, &mut buffer),
        [(b64("a/1"), false), (b64("a/2"), false)]
    );
    ask(&store, "/v3/kv/deleterange", &json!({ "key": b64("a/1") }));
    assert_eq!(next_events(&stream, &mut buffer), [(b64("a/1"), true)]);
    store.stall_watches();
    ask(
        &store,
        "/v3/kv/put",
        &json!({ "key": b64("a/3"), "value": b64("v") }),
    );
    assert_eq!(stream.next(Duration::from_millis(50)), Chunk::TimedOut);
    store.set_outage(true);
    assert_eq!(stream.next(LONG), Chunk::End);
    store.close();
}

#[test]
fn store_fails_on_demand() {
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    let put = json!({ "key": b64("k"), "value": b64("v") });
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
        let shown: Value = serde_json::from_slice(&response.body).expect("JSON");
        let each = shown["instances"].as_array().expect("a list").clone();
        each.iter()
            .map(|instance| instance["state"].clone())
            .collect::<Vec<_>>()
    };
    list.upsert(instance.clone());
    assert_eq!(states(), ["live"]);
    list.set_lag(LONG);
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
