//! Start and operation without the store, invalid tickets, and graceful shutdown.

mod common;

use std::{thread, time::Duration};

use carob_base::Name;
use carob_http::client::{self, Request};
use carob_standin::{Store, engine::Status, store};
use carob_wire::{Code, Execution};
use common::{
    OULU, Platform, Reader, call, draft, fresh_key, open, refusal, request, start, start_configured, submit,
    text, wait_in_force, wait_until,
};

#[test]
fn store_that_is_down_at_the_start_only_delays() {
    let mut platform = Platform::start(1);
    let spare = Store::start(&store::Options::default()).expect("loopback is free");
    let address = spare.address();
    spare.close();
    let instance = start(address, |options| options.store_timeout = Duration::from_secs(1));
    let ready = Request::get(instance.admin_address(), "/readyz");
    assert_eq!(client::call(&ready).map(|response| response.status), Ok(503));
    let alive = Request::get(instance.admin_address(), "/healthz");
    assert_eq!(client::call(&alive).map(|response| response.status), Ok(200));
    let early = refusal(&call(&request(&instance, OULU, "GET", "/stock")));
    assert_eq!((early.code, early.outcome), (Code::NotReady, Execution::NotRun));
    assert!(early.retry_after.is_some());
    assert_eq!(submit(&instance, &platform.ticket(1)).status, 503);
    let options = store::Options {
        address,
        ..store::Options::default()
    };
    platform.store = Store::start(&options).expect("the port is still free");
    wait_until("the ticket is taken", || {
        submit(&instance, &platform.ticket(1)).status == 200
    });
    wait_in_force(&instance, 1);
    assert_eq!(call(&request(&instance, OULU, "GET", "/stock")).status, 200);
    instance.close();
    platform.close();
}

#[test]
fn store_outage_stops_orders_but_not_the_rest() {
    let (platform, instance) = start_configured(1, |options| options.store_timeout = Duration::from_secs(1));
    platform.store.set_outage(true);
    let order = request(&instance, OULU, "POST", "/orders").with_body("{}");
    let order = order.with_header("idempotency-key", fresh_key(4));
    let problem = refusal(&call(&order));
    assert_eq!(
        (problem.code, problem.outcome),
        (Code::StoreUnavailable, Execution::NotRun)
    );
    assert_eq!(call(&request(&instance, OULU, "GET", "/stock")).status, 200);
    let body = draft("a quote", 5);
    let events = Reader::new(open(&instance, OULU, &body)).read_to_end();
    assert!(platform.expects(&body, &text(&events, 0)));
    platform.store.set_outage(false);
    wait_until("orders are taken again", || call(&order).status == 201);
    assert_eq!(platform.orders.bookings().len(), 1);
    instance.close();
    platform.close();
}

#[test]
fn bad_ticket_is_refused_and_changes_nothing() {
    let (platform, instance) = start_configured(1, |_| {});
    let complete = platform.ticket(2);
    let bad = complete.replace("idempotent = no", "idempotent = maybe");
    let answer = submit(&instance, &bad);
    let error = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!(answer.status, 400, "{error}");
    assert!(
        error.contains("[route orders]") && error.contains("idempotent"),
        "{error}"
    );
    let without_key = Request::post(instance.admin_address(), "/tickets", complete);
    assert_eq!(
        client::call(&without_key).map(|response| response.status),
        Ok(401)
    );
    let other = platform.ticket(1).replace("patience = 5s", "patience = 6s");
    assert_eq!(
        submit(&instance, &other).status,
        409,
        "the number is taken by another content"
    );
    assert_eq!(
        submit(&instance, &platform.ticket(1)).status,
        200,
        "the same ticket again"
    );
    let status = client::call(&Request::get(instance.admin_address(), "/status")).expect("an answer");
    let status: serde_json::Value = serde_json::from_slice(&status.body).expect("JSON");
    assert_eq!(status["revision"], 1, "{status}");
    instance.close();
    platform.close();
}

#[test]
fn closing_cuts_no_stream_off() {
    let (platform, instance) = start_configured(2, |_| {});
    let bodies: Vec<String> = (0..8).map(|at| draft(&format!("quote {at}"), 200)).collect();
    let mut readers: Vec<Reader> = bodies
        .iter()
        .map(|body| Reader::new(open(&instance, OULU, body)))
        .collect();
    let mut firsts: Vec<_> = readers
        .iter_mut()
        .map(|reader| vec![reader.next().expect("no break").expect("no end")])
        .collect();
    let address = instance.caller_address();
    let closing = thread::spawn(move || instance.close());
    for ((reader, body), events) in readers.into_iter().zip(&bodies).zip(&mut firsts) {
        events.extend(reader.read_to_end());
        assert!(platform.expects(body, &text(events, 0)));
    }
    closing.join().expect("closed");
    let late = client::call(&Request::get(address, "/stock"));
    assert!(
        matches!(late, Err(client::Error::NotSent(_) | client::Error::Refused(_))),
        "{late:?}"
    );
    platform.close();
}

/// An instance that shut down forgot the cancellations that it had promised to repeat.
#[test]
fn closing_repeats_cancellations_until_they_are_confirmed() {
    let (platform, instance) = start_configured(1, |_| {});
    let other = start(platform.store.address(), |options| {
        options.name = Name::new("entry-2").expect("a valid name");
    });
    wait_in_force(&other, 1);
    let mut reader = Reader::new(open(&instance, OULU, &draft("x", 1_000_000)));
    let first = reader.next().expect("no break").expect("no end");
    let id = first.head.answer_id.expect("the first event has the id");
    platform.engines[0].refuse_connections();
    let path = format!("/v1/responses/{id}/cancel");
    let problem = refusal(&call(&request(&other, OULU, "POST", &path)));
    assert_eq!(
        (problem.code, problem.outcome),
        (Code::UpstreamFailed, Execution::Unknown)
    );
    let closing = thread::spawn(move || other.close());
    // Longer than the shutdown of an instance without any request takes.
    thread::sleep(Duration::from_secs(1));
    platform.engines[0]
        .accept_connections()
        .expect("the port is free");
    closing.join().expect("closed");
    wait_until("the generation ends", || platform.open_count() == 0);
    assert_eq!(platform.engines[0].records()[0].status, Status::Cancelled);
    reader.read_to_end();
    instance.close();
    platform.close();
}

/// An instance that was shut down before its first configuration told callers that their key was wrong.
#[test]
fn instance_without_configuration_refuses_as_not_ready_while_it_leaves() {
    let platform = Platform::start(1);
    let instance = start(platform.store.address(), |options| {
        options.leave_delay = Duration::from_secs(1);
    });
    let stock = request(&instance, OULU, "GET", "/stock");
    let ready = Request::get(instance.admin_address(), "/readyz");
    let closing = thread::spawn(move || instance.close());
    wait_until("the instance leaves", || {
        let answer = client::call(&ready).expect("the instance answers");
        &answer.body[..] == b"leaving\n"
    });
    let early = refusal(&call(&stock));
    assert_eq!((early.code, early.outcome), (Code::NotReady, Execution::NotRun));
    assert!(early.retry_after.is_some());
    closing.join().expect("closed");
    platform.close();
}
