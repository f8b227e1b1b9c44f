//! Messages are read back as written, and malformed or forged ones are rejected.

use bytes::Bytes;
use carob_wire::{
    Code, Execution, Problem,
    answer::{AnswerId, Error},
    create::CreateRequest,
    event::{Event, Kind},
    load::Report,
    prefix, sse,
};

fn answer() -> AnswerId {
    AnswerId {
        upstream: "uusimaa-1".to_owned(),
        incarnation: 42,
        engine_id: "resp_7".to_owned(),
        account: "parish-oulu".to_owned(),
    }
}

#[test]
fn answer_id_round_trips() {
    let id = answer().encode(b"key");
    assert_eq!(AnswerId::decode(&id, b"key"), Ok(answer()));
}

#[test]
fn answer_id_of_another_key_is_forged() {
    let id = answer().encode(b"other");
    assert_eq!(AnswerId::decode(&id, b"key"), Err(Error::Forged));
}

#[test]
fn answer_id_with_any_changed_character_is_refused() {
    let id = answer().encode(b"key");
    for index in 0..id.len() {
        let mut bytes = id.clone().into_bytes();
        bytes[index] = if bytes[index] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(bytes).expect("ids are ASCII");
        assert!(AnswerId::decode(&changed, b"key").is_err(), "position {index}");
    }
}

#[test]
fn decoder_splits_events_at_any_chunk_size() {
    let wire = b": hello\n\nevent: a\ndata: one\n\ndata: two\ndata: lines\r\n\r\ndata:three\n\n";
    for size in 1..wire.len() {
        let mut decoder = sse::Decoder::new(64);
        let mut found = Vec::new();
        for chunk in wire.chunks(size) {
            decoder.feed(chunk);
            while let Some(data) = decoder.next_data().expect("events are small") {
                found.push(data);
            }
        }
        assert_eq!(
            found,
            [
                Bytes::from("one"),
                Bytes::from("two\nlines"),
                Bytes::from("three")
            ],
            "{size}"
        );
    }
}

#[test]
fn decoder_refuses_an_endless_event() {
    let mut decoder = sse::Decoder::new(8);
    decoder.feed(b"data: 123456789");
    assert_eq!(decoder.next_data(), Err(sse::Error { limit: 8 }));
}

#[test]
fn event_head_skips_what_it_does_not_need() {
    let data = r#"{"type":"response.completed","x":[1,{"y":2}],"sequence_number":9,"response":{"id":"r","usage":{"output_tokens":7}}}"#;
    let event = Event::parse(Bytes::from(data)).expect("the event is valid");
    assert_eq!(event.kind(), Kind::Completed);
    assert_eq!((event.head.sequence, event.head.output_tokens), (9, Some(7)));
    let passed_on = event.data_for_caller("resp_caller");
    assert!(
        std::str::from_utf8(&passed_on)
            .expect("JSON")
            .contains(r#""id":"resp_caller""#)
    );
}

#[test]
fn event_without_a_sequence_number_is_refused() {
    let error = Event::parse(Bytes::from(r#"{"type":"response.created"}"#)).unwrap_err();
    assert!(error.reason.contains("sequence_number"), "{error}");
}

#[test]
fn create_needs_a_prompt() {
    let error = CreateRequest::parse(Bytes::from(r#"{"stream":true}"#)).unwrap_err();
    assert_eq!(error, carob_wire::create::Error::NoInput);
    let create = CreateRequest::parse(Bytes::from(r#"{"input":"12345678","stream":true}"#)).expect("valid");
    assert_eq!(create.prompt_tokens, 2);
}

#[test]
fn load_report_round_trips() {
    let report = Report {
        incarnation: 1_700_000_000_123,
        running: 3,
        waiting: 1,
        used_tokens: 500,
        memory_tokens: 1_000,
        preemptions: 4,
        leaving: true,
    };
    assert_eq!(Report::parse(&report.to_text()), Ok(report));
}

#[test]
fn problem_says_whether_it_ran() {
    let problem = Problem::not_run(Code::Overloaded, "full");
    let json = String::from_utf8(problem.to_json()).expect("JSON");
    assert!(json.contains(r#""code":"overloaded","outcome":"not-run","status":503"#));
    assert_eq!(Execution::Unknown.as_str(), "unknown");
}

#[test]
fn prompts_with_a_common_beginning_share_its_landmarks() {
    let beginning = "a".repeat(16 * prefix::BLOCK_BYTES);
    let one = prefix::prefix_hashes(&format!("{beginning}{}", "b".repeat(64 * prefix::BLOCK_BYTES)));
    let other = prefix::prefix_hashes(&format!("{beginning}{}", "c".repeat(64 * prefix::BLOCK_BYTES)));
    assert_eq!((one.len(), other.len()), (3, 3));
    assert_eq!(one[..2], other[..2]);
    assert_ne!(one[2], other[2]);
    let blocks: Vec<u64> = prefix::block_hashes(&beginning).collect();
    assert_eq!(one[1], blocks[15]);
}
