//! Invalid requests get a problem response with `not-run` and reach no upstream; orders with one key run
//! once.

mod common;

use std::time::Duration;

use carob_http::client::Request;
use carob_wire::{Code, Execution};
use common::{OULU, call, draft, fresh_key, refusal, request, send_raw, start_configured};

#[test]
fn requests_that_are_refused_before_they_run() {
    let (platform, instance) = start_configured(1, |options| options.caller_listener.body_limit = 4096);
    let of_oulu = |method, path| request(&instance, OULU, method, path);
    let post = |body: Vec<u8>| of_oulu("POST", "/v1/responses").with_body(body);
    let without_key = Request::post(instance.caller_address(), "/v1/responses", draft("x", 1));
    let wrong_key = without_key
        .clone()
        .with_header("authorization", "Bearer nobody's-key");
    let wrong_scheme = without_key.clone().with_header("authorization", "Basic cGFyaXNo");
    let unknown_mode = post(draft("x", 1).into_bytes()).with_header("carob-delivery", "pigeon");
    let cases = [
        ("no key", without_key, Code::Unauthorized),
        ("a wrong key", wrong_key, Code::Unauthorized),
        ("a wrong scheme", wrong_scheme, Code::Unauthorized),
        ("an unknown route", of_oulu("GET", "/invoices"), Code::NotFound),
        (
            "an unknown method",
            of_oulu("DELETE", "/orders"),
            Code::MethodNotAllowed,
        ),
        (
            "an unknown resource",
            of_oulu("PUT", "/v1/responses/a/b/c"),
            Code::NotFound,
        ),
        (
            "a body that is not UTF-8",
            post(b"{\"input\":\"\xff\"}".to_vec()),
            Code::BadRequest,
        ),
        (
            "a body that is not JSON",
            post(b"an Advent quote".to_vec()),
            Code::BadRequest,
        ),
        (
            "a body without a prompt",
            post(b"{\"stream\":true}".to_vec()),
            Code::BadRequest,
        ),
        (
            "a body over the limit",
            post(vec![b' '; 4097]),
            Code::BodyTooLarge,
        ),
        ("an unknown delivery", unknown_mode, Code::BadRequest),
        (
            "an id that is none",
            of_oulu("GET", "/v1/responses/resp_1"),
            Code::NotFound,
        ),
        (
            "an order without a key",
            of_oulu("POST", "/orders").with_body("{}"),
            Code::KeyMissing,
        ),
    ];
    for (what, request, code) in cases {
        let problem = refusal(&call(&request));
        assert_eq!(
            (problem.code, problem.outcome),
            (code, Execution::NotRun),
            "{what}"
        );
    }
    assert!(platform.engines[0].records().is_empty());
    assert!(platform.orders.bookings().is_empty());
    instance.close();
    platform.close();
}

#[test]
fn malformed_oversized_and_slow_heads_and_bodies() {
    let (platform, instance) = start_configured(1, |options| {
        options.caller_listener.head_limit = 1024;
        options.caller_listener.head_timeout = Duration::from_millis(100);
        options.caller_listener.body_timeout = Duration::from_millis(100);
    });
    let long = format!(
        "GET /stock HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n",
        "y".repeat(2048)
    );
    let half = "POST /orders HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf";
    let cases = [
        ("no HTTP", "ORDER ONE PALLET\r\n\r\n", 400, "bad-request"),
        ("a large head", long.as_str(), 431, "head-too-large"),
        (
            "a slow head",
            "GET /stock HTTP/1.1\r\nhost",
            408,
            "request-timeout",
        ),
        ("a slow body", half, 408, "request-timeout"),
    ];
    for (what, bytes, status, code) in cases {
        let text = send_raw(&instance, bytes.as_bytes());
        assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{what}: {text}");
        assert!(text.contains("carob-outcome: not-run"), "{what}: {text}");
        assert!(text.contains(&format!(r#""code":"{code}""#)), "{what}: {text}");
    }
    assert!(platform.orders.bookings().is_empty());
    instance.close();
    platform.close();
}

#[test]
fn order_sent_again_runs_once() {
    let (platform, instance) = start_configured(1, |_| {});
    let key = fresh_key(1);
    let order = |body: &'static str| {
        let request = request(&instance, OULU, "POST", "/orders").with_body(body);
        call(&request.with_header("idempotency-key", key.as_str()))
    };
    let first = order("{\"item\":\"incense\"}");
    assert_eq!(first.status, 201);
    let again = order("{\"item\":\"incense\"}");
    assert_eq!((again.status, &again.body), (201, &first.body));
    let other = refusal(&order("{\"item\":\"tapers\"}"));
    assert_eq!((other.code, other.outcome), (Code::KeyReused, Execution::NotRun));
    assert_eq!(platform.orders.bookings().len(), 1);
    instance.close();
    platform.close();
}

#[test]
fn order_whose_reply_is_lost_is_unknown_and_never_repeated() {
    let (platform, instance) = start_configured(1, |_| {});
    let order = request(&instance, OULU, "POST", "/orders").with_body("{}");
    let order = order.with_header("idempotency-key", fresh_key(2));
    platform.orders.drop_replies(1);
    for _ in 0..2 {
        let problem = refusal(&call(&order));
        assert_eq!(problem.outcome, Execution::Unknown);
    }
    assert_eq!(platform.orders.bookings().len(), 1);
    instance.close();
    platform.close();
}
