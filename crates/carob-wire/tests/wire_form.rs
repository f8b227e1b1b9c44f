//! Texts of the messages with callers and upstreams, byte for byte.

use std::time::Duration;

use bytes::Bytes;
use carob_wire::{
    Code, Execution, Problem,
    answer::{self, AnswerId},
    create::CreateRequest,
    event::{Event, Kind},
    header,
    load::Report,
    prefix, problem, sse,
};

/// An answer's id under the key `key`.
const ANSWER_ID: &str = "resp_AQAAAAAAAAAqAAhrYWludXUtMQALcGFyaXNoLW91bHUABnJlc3BfN0Be5jdjAevK5OpuOFb--lA";

#[test]
fn problems_have_this_json() {
    let plain = Problem::not_run(Code::Overloaded, "full");
    let json = r#"{"code":"overloaded","outcome":"not-run","status":503,"detail":"full"}"#;
    assert_eq!(plain.to_json(), json.as_bytes());
    assert_eq!(serde_json::from_str::<Problem>(json).expect("valid"), plain);

    let delayed = Problem::new(Code::UpstreamFailed, Execution::Unknown, "lost")
        .with_retry_after(Duration::from_millis(1_001));
    let json =
        r#"{"code":"upstream-failed","outcome":"unknown","status":502,"detail":"lost","retry_after":2}"#;
    assert_eq!(delayed.to_json(), json.as_bytes());
    assert_eq!(serde_json::from_str::<Problem>(json).expect("valid"), delayed);
    assert_eq!(problem::MEDIA_TYPE, "application/problem+json");
}

#[test]
fn codes_have_these_names_and_statuses() {
    let codes = [
        (Code::BadRequest, "bad-request", 400),
        (Code::Unauthorized, "unauthorized", 401),
        (Code::Forbidden, "forbidden", 403),
        (Code::NotFound, "not-found", 404),
        (Code::MethodNotAllowed, "method-not-allowed", 405),
        (Code::RequestTimeout, "request-timeout", 408),
        (Code::BodyTooLarge, "body-too-large", 413),
        (Code::HeadTooLarge, "head-too-large", 431),
        (Code::KeyMissing, "key-missing", 400),
        (Code::KeyRejected, "key-rejected", 400),
        (Code::KeyReused, "key-reused", 422),
        (Code::KeyInProgress, "key-in-progress", 409),
        (Code::AccountBusy, "account-busy", 429),
        (Code::Overloaded, "overloaded", 503),
        (Code::TooLong, "too-long", 413),
        (Code::NoUpstream, "no-upstream", 503),
        (Code::StoreUnavailable, "store-unavailable", 503),
        (Code::Suspected, "suspected", 422),
        (Code::NotReady, "not-ready", 503),
        (Code::UpstreamFailed, "upstream-failed", 502),
        (Code::AnswerLost, "answer-lost", 502),
        (Code::SlowCaller, "slow-caller", 408),
        (Code::Cancelled, "cancelled", 409),
        (Code::OutcomeLost, "outcome-lost", 410),
    ];
    for (code, name, status) in codes {
        let json = format!("\"{name}\"");
        assert_eq!(serde_json::to_string(&code).expect("JSON"), json);
        assert_eq!(serde_json::from_str::<Code>(&json).expect("valid"), code);
        assert_eq!(code.status(), status, "{name}");
    }
    for (ran, name) in [
        (Execution::NotRun, "not-run"),
        (Execution::Unknown, "unknown"),
        (Execution::Done, "done"),
    ] {
        let json = format!("\"{name}\"");
        assert_eq!(serde_json::to_string(&ran).expect("JSON"), json);
        assert_eq!(serde_json::from_str::<Execution>(&json).expect("valid"), ran);
        assert_eq!(ran.as_str(), name);
    }
}

#[test]
fn headers_have_these_names() {
    let names = [
        (header::OUTCOME, "carob-outcome"),
        (header::REQUEST_ID, "carob-request"),
        (header::DELIVERY, "carob-delivery"),
        (header::IDEMPOTENCY_KEY, "idempotency-key"),
        (header::INCARNATION, "x-engine-incarnation"),
        (header::FENCING, "x-fencing-number"),
        (header::RETRY_AFTER, "retry-after"),
    ];
    for (name, expected) in names {
        assert_eq!(name, expected);
    }
}

#[test]
fn an_answer_has_this_id() {
    let answer = AnswerId {
        upstream: "kainuu-1".to_owned(),
        incarnation: 42,
        engine_id: "resp_7".to_owned(),
        account: "parish-oulu".to_owned(),
    };
    assert_eq!(answer.encode(b"key"), ANSWER_ID);
    assert_eq!(AnswerId::decode(ANSWER_ID, b"key"), Ok(answer));
    assert_eq!(answer::PREFIX, "resp_");
}

#[test]
fn events_of_each_kind_are_read() {
    let read = |data: &'static str| {
        let event = Event::parse(Bytes::from_static(data.as_bytes())).expect("valid");
        assert_eq!(event.data, data);
        event
    };
    let created = read(
        r#"{"type":"response.created","sequence_number":0,"response":{"id":"resp_7","status":"in_progress"}}"#,
    );
    assert_eq!((created.kind(), created.head.sequence), (Kind::Created, 0));
    assert_eq!(created.head.answer_id.as_deref(), Some("resp_7"));
    assert_eq!((created.head.item_id, created.head.output_tokens), (None, None));

    let delta = read(
        r#"{"type":"response.output_text.delta","sequence_number":2,"item_id":"msg_7","output_index":0,"content_index":0,"delta":"moi"}"#,
    );
    assert_eq!((delta.kind(), delta.head.sequence), (Kind::Delta, 2));
    assert_eq!(delta.head.item_id.as_deref(), Some("msg_7"));
    assert_eq!((delta.head.answer_id, delta.head.output_tokens), (None, None));

    let other = read(
        r#"{"type":"response.output_item.added","sequence_number":1,"output_index":0,"item":{"id":"msg_7"}}"#,
    );
    assert_eq!((other.kind(), other.head.sequence), (Kind::Other, 1));
    assert_eq!(
        (other.head.item_id, other.head.answer_id, other.head.output_tokens),
        (None, None, None)
    );

    let completed = read(
        r#"{"type":"response.completed","sequence_number":9,"response":{"id":"resp_7","usage":{"input_tokens":3,"output_tokens":7}}}"#,
    );
    assert_eq!(
        (completed.kind(), completed.head.output_tokens),
        (Kind::Completed, Some(7))
    );
    let incomplete = read(
        r#"{"type":"response.incomplete","sequence_number":9,"response":{"id":"resp_7","usage":{"output_tokens":7}}}"#,
    );
    assert_eq!(
        (incomplete.kind(), incomplete.head.output_tokens),
        (Kind::Incomplete, Some(7))
    );
    let failed = read(r#"{"type":"response.failed","sequence_number":9,"response":{"id":"resp_7"}}"#);
    assert_eq!((failed.kind(), failed.head.output_tokens), (Kind::Failed, None));
    let last = [
        Kind::Created,
        Kind::Delta,
        Kind::Other,
        Kind::Completed,
        Kind::Incomplete,
        Kind::Failed,
    ];
    assert_eq!(last.map(Kind::is_last), [false, false, false, true, true, true]);
}

#[test]
fn events_are_written_in_these_texts() {
    let created = r#"{"type":"response.created","sequence_number":0,"response":{"id":"resp_7"}}"#;
    let created = Event::parse(Bytes::from(created)).expect("valid");
    assert_eq!(
        created.data_for_caller("resp_x"),
        r#"{"response":{"id":"resp_x"},"sequence_number":0,"type":"response.created"}"#
    );
    let problem = Problem::new(Code::AnswerLost, Execution::Unknown, "lost");
    let failure = Event::failure(9, "resp_x", &problem);
    let data = r#"{"response":{"error":{"code":"answer-lost","message":"lost","outcome":"unknown"},"id":"resp_x","status":"failed"},"sequence_number":9,"type":"response.failed"}"#;
    assert_eq!(failure.data, data);
    assert_eq!(Event::parse(Bytes::from(data)), Ok(failure));
    assert_eq!(
        sse::encode("response.created", b"{}"),
        "event: response.created\ndata: {}\n\n"
    );
    assert_eq!(sse::KEEP_ALIVE, b": keep-alive\n\n");
}

#[test]
fn a_request_is_read_and_passed_on_in_this_text() {
    let body = r#"{"model":"m","input":"12345678","instructions":"1234","max_output_tokens":5,"extra":1}"#;
    let create = CreateRequest::parse(Bytes::from(body)).expect("valid");
    assert_eq!((create.model.as_deref(), create.stream), (Some("m"), false));
    assert_eq!((create.max_tokens, create.prompt_tokens), (Some(5), 3));
    assert_eq!(
        create.body_for_engine(-2),
        r#"{"extra":1,"input":"12345678","instructions":"1234","max_output_tokens":5,"model":"m","priority":-2,"stream":true}"#
    );
}

#[test]
fn prefixes_have_these_hashes() {
    let prompt = "a".repeat(4 * prefix::BLOCK_BYTES);
    let hashes: Vec<u64> = prefix::block_hashes(&prompt).collect();
    assert_eq!(hashes, HASHES);
    assert_eq!(prefix::prefix_hashes(&prompt)[..], HASHES[3..]);
}

/// Hashes of the prefixes of one to four blocks.
const HASHES: [u64; 4] = [
    3_305_025_233_846_988_428,
    298_704_837_528_572_388,
    12_753_758_328_745_752_241,
    13_677_228_283_549_653_334,
];

#[test]
fn a_load_report_has_this_text() {
    let report = Report {
        incarnation: 1_700_000_000_123,
        running: 3,
        waiting: 1,
        used_tokens: 500,
        memory_tokens: 1_000,
        preemptions: 4,
        leaving: true,
    };
    let text = "process_start_time_seconds 1700000000.123\n\
                vllm:num_requests_running 3\n\
                vllm:num_requests_waiting 1\n\
                vllm:kv_cache_usage_perc 0.5\n\
                vllm:kv_cache_tokens 1000\n\
                vllm:num_preemptions_total 4\n\
                engine_leaving 1\n";
    assert_eq!(report.to_text(), text);
    let labelled = text.replace("running 3", "running{model=\"m\"} 3");
    assert_eq!(Report::parse(&labelled), Ok(report));
}
