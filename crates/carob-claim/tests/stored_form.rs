//! Bytes of stored claims, which instances of older and newer binaries have to read.

use bytes::Bytes;
use carob_claim::{
    record::{DONE, Page, RESERVED, Record},
    value,
};
use prost::Message;

/// Page with a claim without an outcome and a claim with a recorded outcome, in hexadecimal.
const STORED: &str = "\
    09f9ffffffffffffff122709080706050403020111181716151413121119282726252423222120ac0229383736353433\
    3231124209080706050403020111181716151413121119282726252423222120ad02293837363534333231300138c801\
    42106170706c69636174696f6e2f6a736f6e4a027b7d";

fn page() -> Page {
    let reserved = Record {
        id_high: 0x0102_0304_0506_0708,
        id_low: 0x1112_1314_1516_1718,
        holder: 0x2122_2324_2526_2728,
        serial: 300,
        fingerprint: 0x3132_3334_3536_3738,
        state: RESERVED,
        status: 0,
        media: String::new(),
        body: None,
    };
    let done = Record {
        state: DONE,
        serial: 301,
        status: 200,
        media: "application/json".to_owned(),
        body: Some(Bytes::from_static(b"{}")),
        ..reserved.clone()
    };
    Page {
        lease: -7,
        records: vec![reserved, done],
    }
}

fn unhex(text: &str) -> Bytes {
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal");
    (0..text.len()).step_by(2).map(byte).collect()
}

#[test]
fn a_page_is_stored_in_these_bytes() {
    assert_eq!(value::encode(&page()), unhex(STORED));
    assert_eq!(Page::decode(unhex(STORED)).expect("valid"), page());
}
