//! Bytes of messages between instances, which instances of older and newer binaries have to read.

use bytes::Bytes;
use carob_peer::{
    Ack, Body, Bundle, ConfigReply, ConfigRequest, CrashEvidence, DomainSummary, HealthReport, Hello, Loads,
    NewerIncarnation, OwnLoads, Packet, Ping, PingRequest, Resumed, ServiceLoad, State, Suspicion, decode,
    encode,
    suspect::{Cleared, Crash},
};

/// A packet with every part, in hexadecimal.
const PACKET: &str = "\
    0a240a07656e7472792d3112056e6f7274681a026669220e3132372e302e302e313a37303030120208011a0408021001\
    2207080315040000002a02080532be010d060000001007180820012ab0010a1108291108070605040302011801200128\
    01122e0a080100000002000000120803000000040000001a020506220207082a04ac02ad023202090a3a020b0c420200\
    011a0f0a04010000001201021a0103220104220c0d01000000150200000018022a090d01000000100218033208657669\
    64656e63653a370a056e6f727468100318022028282935040302013a07656e7472792d323a07656e7472792d33420c0d\
    141312111005180620bc054a01733a370a056e6f727468100318022028282935040302013a07656e7472792d323a0765\
    6e7472792d33420c0d141312111005180620bc054a017342120a086b61696e75752d311206726573705f37";
/// A body with every part, in hexadecimal.
const BODY: &str = "\
    0a110829110807060504030201180120012801122e0a080100000002000000120803000000040000001a020506220207\
    082a04ac02ad023202090a3a020b0c420200011a0f0a04010000001201021a0103220104220c0d010000001502000000\
    18022a090d0100000010021803320865766964656e63653a370a056e6f727468100318022028282935040302013a0765\
    6e7472792d323a07656e7472792d33420c0d141312111005180620bc054a0173";
/// Crash evidence with both parts, in hexadecimal.
const EVIDENCE: &str = "\
    0a280901000000000000001102000000000000001a100300000000000000040000000000000020012805120b09060000\
    00000000001007";
/// A request for the configuration, in hexadecimal.
const REQUEST: &str = "08ac02";
/// A reply to it, in hexadecimal.
const REPLY: &str = "0a04686561640a046e657874";

fn summary() -> DomainSummary {
    DomainSummary {
        domain: "north".to_owned(),
        alive: 3,
        ready: 2,
        lowest: 40,
        highest: 41,
        holder: 0x0102_0304,
        behind: vec!["entry-2".to_owned(), "entry-3".to_owned()],
        services: vec![ServiceLoad {
            service: 0x1112_1314,
            upstreams: 5,
            waiting: 6,
            usage: 700,
        }],
        suspects: vec![Bytes::from_static(b"s")],
    }
}

fn body() -> Body {
    Body {
        state: Some(State {
            revision: 41,
            digest: 0x0102_0304_0506_0708,
            ready: true,
            leaving: true,
            left: true,
        }),
        loads: Some(Loads {
            upstreams: vec![1, 2],
            incarnations: vec![3, 4],
            running: vec![5, 6],
            waiting: vec![7, 8],
            used: vec![300, 301],
            memory: vec![9, 10],
            preemptions: vec![11, 12],
            leaving: vec![0, 1],
        }),
        own_loads: Some(OwnLoads {
            upstreams: vec![1],
            running: vec![2],
            tokens: vec![3],
            sent: vec![4],
        }),
        health_reports: vec![HealthReport {
            upstream: 1,
            incarnation: 2,
            kind: 2,
        }],
        suspicions: vec![Suspicion {
            member: 1,
            incarnation: 2,
            version: 3,
        }],
        suspects: vec![Bytes::from_static(b"evidence")],
        summaries: vec![summary()],
    }
}

fn packet() -> Packet {
    Packet {
        hello: Some(Hello {
            name: "entry-1".to_owned(),
            domain: "north".to_owned(),
            region: "fi".to_owned(),
            address: "127.0.0.1:7000".to_owned(),
        }),
        ping: Some(Ping { number: 1 }),
        ack: Some(Ack {
            number: 2,
            needs_hello: true,
        }),
        ping_request: Some(PingRequest { number: 3, target: 4 }),
        newer_incarnation: Some(NewerIncarnation { incarnation: 5 }),
        bundles: vec![Bundle {
            origin: 6,
            incarnation: 7,
            version: 8,
            urgent: true,
            body: encode(&body()),
        }],
        summary: Some(summary()),
        resumed: vec![Resumed {
            upstream: "kainuu-1".to_owned(),
            answer: "resp_7".to_owned(),
        }],
    }
}

fn evidence() -> CrashEvidence {
    CrashEvidence {
        crash: Some(Crash {
            id: 1,
            reporter: 2,
            running: vec![3, 4],
            isolated: true,
            age: 5,
        }),
        cleared: Some(Cleared {
            fingerprint: 6,
            age: 7,
        }),
    }
}

fn unhex(text: &str) -> Bytes {
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal");
    (0..text.len()).step_by(2).map(byte).collect()
}

#[track_caller]
fn assert_form<M: prost::Message + Default + PartialEq + std::fmt::Debug>(message: &M, form: &str) {
    assert_eq!(encode(message), unhex(form));
    assert_eq!(&decode::<M>(unhex(form)).expect("readable"), message);
}

#[test]
fn a_body_is_sent_in_these_bytes() {
    assert_form(&body(), BODY);
}

#[test]
fn a_packet_is_sent_in_these_bytes() {
    assert_form(&packet(), PACKET);
}

#[test]
fn crash_evidence_is_sent_in_these_bytes() {
    assert_form(&evidence(), EVIDENCE);
}

#[test]
fn requests_for_the_configuration_are_sent_in_these_bytes() {
    assert_form(&ConfigRequest { held: 300 }, REQUEST);
    let reply = ConfigReply {
        values: vec![Bytes::from_static(b"head"), Bytes::from_static(b"next")],
    };
    assert_form(&reply, REPLY);
}
