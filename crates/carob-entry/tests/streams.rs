//! Streams while the engine or the caller fails.

mod common;

use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    time::Duration,
};

use carob_standin::engine::{Fault, Status};
use carob_wire::{Code, Execution, event::Kind};
use common::{
    OULU, Reader, STEP_TIMEOUT, call, draft, open, refusal, request, start_configured, text, wait_until,
};

#[test]
fn every_token_comes_once_whatever_the_engine_does() {
    let (platform, instance) = start_configured(1, |_| {});
    let faults = [
        None,
        Some(Fault::Cut(1)),
        Some(Fault::Cut(10)),
        Some(Fault::Repeat(5)),
        Some(Fault::Skip(5)),
        Some(Fault::Swap(5)),
        Some(Fault::Stall(8)),
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        if let Some(fault) = fault {
            platform.engines[0].inject(fault);
        }
        let body = draft(&format!("quote {index}"), 30);
        let events = Reader::new(open(&instance, OULU, &body)).read_to_end();
        assert!(platform.expects(&body, &text(&events, 0)), "{fault:?}");
        assert_eq!(
            events.last().map(carob_wire::event::Event::kind),
            Some(Kind::Completed)
        );
    }
    instance.close();
    platform.close();
}

#[test]
fn whole_answer_comes_in_one_body() {
    let (platform, instance) = start_configured(1, |_| {});
    let body = draft("a whole quote", 20).replace("\"stream\":true", "\"stream\":false");
    let response = call(&request(&instance, OULU, "POST", "/v1/responses").with_body(body.clone()));
    let answer: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
    assert_eq!(
        (response.status, &answer["status"]),
        (200, &serde_json::json!("completed"))
    );
    let text = answer["output"][0]["content"][0]["text"].as_str().expect("text");
    assert!(platform.expects(&body, text));
    instance.close();
    platform.close();
}

#[test]
fn caller_resumes_where_it_was_cut_off() {
    let (platform, instance) = start_configured(1, |_| {});
    let body = draft("a long quote", 60);
    let mut reader = Reader::new(open(&instance, OULU, &body));
    let mut events = Vec::new();
    while events.len() < 10 {
        events.push(reader.next().expect("no break").expect("no end"));
    }
    let id = events[0]
        .head
        .answer_id
        .clone()
        .expect("the first event has the id");
    reader.stream.close();
    let path = format!("/v1/responses/{id}?stream=true&starting_after=9");
    let resumed =
        carob_http::client::open(&request(&instance, OULU, "GET", &path)).expect("the instance answers");
    events.extend(Reader::new(resumed).read_to_end());
    assert!(platform.expects(&body, &text(&events, 0)));
    assert_eq!(platform.engines[0].records().len(), 1);
    instance.close();
    platform.close();
}

#[test]
fn answer_whose_caller_vanished_is_cancelled() {
    let (platform, instance) = start_configured(1, |_| {});
    let mut reader = Reader::new(open(&instance, OULU, &draft("x", 1_000_000)));
    assert!(reader.next().expect("no break").is_some());
    reader.stream.close();
    wait_until("the engine is told", || platform.open_count() == 0);
    assert_eq!(platform.engines[0].records()[0].status, Status::Cancelled);
    instance.close();
    platform.close();
}

#[test]
fn caller_that_stops_reading_is_cut_off_and_its_answer_cancelled() {
    let (platform, instance) = start_configured(1, |options| {
        options.caller_listener.send_timeout = Duration::from_millis(200);
        options.caller_listener.send_bytes = 4096;
        options.caller_listener.socket_buffer = 4096;
    });
    let mut stalled = TcpStream::connect(instance.caller_address()).expect("the instance accepts");
    socket2::SockRef::from(&stalled)
        .set_recv_buffer_size(4096)
        .expect("a valid size");
    let body = draft("x", 1_000_000);
    let head = format!(
        "POST /v1/responses HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {OULU}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stalled.write_all(head.as_bytes()).expect("the instance reads");
    stalled.write_all(body.as_bytes()).expect("the instance reads");
    let body = draft("a quote", 20);
    let events = Reader::new(open(&instance, OULU, &body)).read_to_end();
    assert!(
        platform.expects(&body, &text(&events, 0)),
        "others are served meanwhile"
    );
    wait_until("the engine is told", || platform.open_count() == 0);
    let mut received = Vec::new();
    stalled
        .set_read_timeout(Some(STEP_TIMEOUT))
        .expect("a valid timeout");
    // The connection may end with a reset, which is an error here.
    let _ended = stalled.read_to_end(&mut received);
    assert!(
        !received.ends_with(b"0\r\n\r\n"),
        "a cut answer never looks whole"
    );
    instance.close();
    platform.close();
}

#[test]
fn upstream_that_refuses_connections_is_avoided() {
    let (platform, instance) = start_configured(2, |_| {});
    platform.engines[0].refuse_connections();
    for index in 0..4 {
        let body = draft(&format!("quote {index}"), 5);
        let events = Reader::new(open(&instance, OULU, &body)).read_to_end();
        assert_eq!(
            text(&events, 0),
            platform.engines[1].expected_answer(body.as_bytes())
        );
    }
    platform.engines[1].refuse_connections();
    let body = draft("a last quote", 5);
    let response = call(&request(&instance, OULU, "POST", "/v1/responses").with_body(body));
    let problem = refusal(&response);
    assert_eq!(problem.outcome, Execution::NotRun, "{problem:?}");
    assert!(
        matches!(problem.code, Code::NoUpstream | Code::Overloaded),
        "{problem:?}"
    );
    instance.close();
    platform.close();
}

#[test]
fn answer_of_an_engine_that_died_fails_and_never_ends_cleanly() {
    let (platform, instance) = start_configured(1, |_| {});
    let mut reader = Reader::new(open(&instance, OULU, &draft("x", 1_000_000)));
    for _ in 0..5 {
        assert!(reader.next().expect("no break").is_some());
    }
    platform.engines[0].restart().expect("the port is free");
    let events = reader.read_to_end();
    let last = events.last().expect("a last event");
    assert_eq!(last.kind(), Kind::Failed);
    assert!(
        std::str::from_utf8(&last.data)
            .expect("JSON")
            .contains("answer-lost")
    );
    // Panics unless the sequence numbers go on from 5.
    text(&events, 5);
    instance.close();
    platform.close();
}
