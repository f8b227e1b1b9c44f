//! Compatibility between messages of older and newer versions.

use bytes::Bytes;
use carob_peer::{Body, Bundle, Packet, Ping, State, decode, encode};
use prost::Message;

/// A [`State`] as a newer version may send it: with a field unknown here and without some known ones.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct NewerState {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(bool, tag = "3")]
    ready: bool,
    #[prost(uint32, tag = "99")]
    added: u32,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct NewerBody {
    #[prost(message, optional, tag = "1")]
    state: Option<NewerState>,
    #[prost(string, tag = "50")]
    added: String,
}

fn newer() -> NewerBody {
    NewerBody {
        state: Some(NewerState {
            revision: 7,
            ready: true,
            added: 5,
        }),
        added: "text".to_owned(),
    }
}

#[test]
fn an_older_reader_skips_fields_that_it_does_not_know() {
    let body: Body = decode(encode(&newer())).expect("readable");
    let state = body.state.expect("present");
    assert_eq!((state.revision, state.ready, state.left), (7, true, false));
}

#[test]
fn a_newer_reader_takes_defaults_for_missing_fields() {
    let state = State {
        revision: 7,
        ready: true,
        ..State::default()
    };
    let body = Body {
        state: Some(state),
        ..Body::default()
    };
    let read: NewerBody = decode(encode(&body)).expect("readable");
    assert_eq!(read.state.expect("present").added, 0);
    assert_eq!(read.added, "");
}

#[test]
fn an_older_instance_passes_newer_fields_on() {
    let bundle = Bundle {
        origin: 3,
        body: encode(&newer()),
        ..Bundle::default()
    };
    let packet = Packet {
        ping: Some(Ping { number: 1 }),
        bundles: vec![bundle],
        ..Packet::default()
    };
    let received: Packet = decode(encode(&packet)).expect("readable");
    let passed: Packet = decode(encode(&received)).expect("readable");
    let body: NewerBody = decode(passed.bundles[0].body.clone()).expect("readable");
    assert_eq!(body, newer());
}

#[test]
fn garbage_is_an_error() {
    decode::<Packet>(Bytes::from_static(b"\xff\xff\xff")).expect_err("not a valid message");
}
