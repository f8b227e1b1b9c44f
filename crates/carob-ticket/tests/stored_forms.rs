//! The bytes in which tickets, configurations, the head and the snapshot are stored.
//!
//! Instances of different versions read each other's values from the store and compare digests of the
//! canonical text, so a change of a single byte breaks a rolling upgrade. The files in `stored_forms` hold
//! the expected bytes: a test that only reads back what the same binary wrote would not notice such a change.

use carob_config::Revision;
use carob_ticket::{Ledger, Ticket, head::Head, parse};

const FIRST_TICKET: &str = include_str!("stored_forms/ticket-17.txt");
const SECOND_TICKET: &str = include_str!("stored_forms/ticket-18.txt");
const CONFIG: &str = include_str!("stored_forms/config.txt");
const HEAD: &str = include_str!("stored_forms/head.txt");
const SNAPSHOT: &str = include_str!("stored_forms/snapshot.txt");

/// A ticket with two objects of each kind, one of them with every key and one with the defaults.
fn first() -> Ticket {
    parse::ticket(include_str!("stored_forms/17.ini"), "17.ini").expect("valid")
}

/// A ticket that changes one object and removes another.
fn second() -> Ticket {
    parse::ticket(include_str!("stored_forms/18.ini"), "18.ini").expect("valid")
}

/// The ledger after both tickets, and the head of a store whose snapshot was taken between them.
fn ledger_and_head() -> (Ledger, Head) {
    let (mut ledger, mut head) = (Ledger::new(), Head::default());
    ledger.apply(&first()).expect("accepted");
    head.push(first(), &ledger);
    head.compact();
    ledger.apply(&second()).expect("accepted");
    head.push(second(), &ledger);
    (ledger, head)
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("stored values are UTF-8")
}

#[test]
fn tickets_keep_their_canonical_text_and_digest() {
    let cases = [
        (first(), FIRST_TICKET, 0xe589_8dc0_7a4d_c8a7),
        (second(), SECOND_TICKET, 0x9bcf_8843_73a9_e4e5),
    ];
    for (ticket, expected, digest) in cases {
        assert_eq!(ticket.canonical_text(), expected);
        assert_eq!(ticket.digest(), digest);
        assert_eq!(parse::ticket(expected, "stored"), Ok(ticket));
    }
}

#[test]
fn configuration_keeps_its_canonical_text_and_digest() {
    let (ledger, _) = ledger_and_head();
    assert_eq!(ledger.config().canonical_text(), CONFIG);
    assert_eq!(ledger.config().digest().to_string(), "4abecaaa0ad79936");
}

#[test]
fn head_keeps_its_bytes() {
    let (ledger, head) = ledger_and_head();
    assert_eq!(text(&head.to_bytes()), HEAD);
    assert_eq!(
        text(&Head::default().to_bytes()),
        "[head]\nversion = 1\nsnapshot = 0\n"
    );

    let read = Head::from_bytes(HEAD.as_bytes()).expect("readable");
    assert_eq!(read, head);
    assert_eq!(read.revision(), Revision(2));
    let mut applied = Ledger::new();
    read.apply_to(&mut applied).expect("the digests agree");
    assert_eq!(applied, ledger);
}

#[test]
fn snapshot_keeps_its_bytes() {
    let (ledger, _) = ledger_and_head();
    assert_eq!(text(&ledger.to_bytes()), SNAPSHOT);
    assert_eq!(Ledger::from_bytes(SNAPSHOT.as_bytes()), Ok(ledger));

    // A floor is written only after thousands of removals; here it is read from a stored value.
    let floor = SNAPSHOT.replace("floor = 0", "floor = 16");
    let read = Ledger::from_bytes(floor.as_bytes()).expect("readable");
    assert_eq!(text(&read.to_bytes()), floor);
}
