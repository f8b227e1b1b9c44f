//! Isolation of client accounts: none can resume or cancel another's answer, and equal keys of two accounts are
//! two orders.

mod common;

use std::thread;

use carob_wire::{Code, Execution};
use common::{OULU, Reader, TAMPERE, call, draft, open, refusal, request, start_configured, text};

#[test]
fn another_accounts_answer_can_be_neither_resumed_nor_cancelled() {
    let (platform, instance) = start_configured(1, |_| {});
    let mut reader = Reader::new(open(&instance, OULU, &draft("a long quote", 100)));
    let first = reader.next().expect("no break").expect("no end");
    let id = first.head.answer_id.expect("the first event has the id");
    let resume = format!("/v1/responses/{id}?stream=true");
    let cancel = format!("/v1/responses/{id}/cancel");
    for (method, path) in [("GET", &resume), ("POST", &cancel)] {
        let problem = refusal(&call(&request(&instance, TAMPERE, method, path)));
        assert_eq!(
            (problem.code, problem.outcome),
            (Code::NotFound, Execution::NotRun),
            "{path}"
        );
    }
    let mut changed = id.into_bytes();
    let last = changed.last_mut().expect("an id");
    *last = if *last == b'A' { b'B' } else { b'A' };
    let changed = String::from_utf8(changed).expect("ids are ASCII");
    let forged = request(
        &instance,
        OULU,
        "GET",
        &format!("/v1/responses/{changed}?stream=true"),
    );
    assert_eq!(refusal(&call(&forged)).code, Code::NotFound);
    let events = reader.read_to_end();
    text(&events, 1);
    assert_eq!(
        events.last().and_then(|event| event.head.output_tokens),
        Some(100)
    );
    instance.close();
    platform.close();
}

#[test]
fn answers_of_two_accounts_never_cross() {
    let (platform, instance) = start_configured(2, |_| {});
    let ask = |number: u32| {
        let key = if number.is_multiple_of(2) { OULU } else { TAMPERE };
        let body = draft(&format!("quote {number}"), 10 + number);
        let events = Reader::new(open(&instance, key, &body)).read_to_end();
        assert!(platform.expects(&body, &text(&events, 0)), "quote {number}");
    };
    thread::scope(|scope| {
        for number in 0..24 {
            scope.spawn(move || ask(number));
        }
    });
    instance.close();
    platform.close();
}

#[test]
fn one_key_of_two_accounts_is_two_orders() {
    let (platform, instance) = start_configured(1, |_| {});
    let key = common::fresh_key(3);
    for account in [OULU, TAMPERE] {
        let order = request(&instance, account, "POST", "/orders").with_body("{}");
        assert_eq!(
            call(&order.with_header("idempotency-key", key.as_str())).status,
            201
        );
    }
    assert_eq!(platform.orders.bookings().len(), 2);
    instance.close();
    platform.close();
}
