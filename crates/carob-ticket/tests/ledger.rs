//! Which tickets a ledger accepts: repeated, reused and superseded numbers, and invalid configurations.

mod common;

use carob_config::Revision;
use carob_ticket::{Ledger, Refusal, ledger::MAX_TOMBSTONES, parse};
use common::{removal, service};

#[test]
fn a_repeated_ticket_has_its_first_answer() {
    let mut ledger = Ledger::new();
    let first = ledger.apply(&service(1, "a", 1)).expect("accepted");
    ledger.apply(&service(2, "a", 2)).expect("accepted");
    let digest = ledger.config().digest();
    assert_eq!(ledger.apply(&service(1, "a", 1)), Ok(first));
    assert_eq!(ledger.config().digest(), digest);
    assert_eq!(ledger.revision(), Revision(2));
}

#[test]
fn a_reused_number_is_refused() {
    let mut ledger = Ledger::new();
    ledger.apply(&service(1, "a", 1)).expect("accepted");
    let refusal = ledger.apply(&service(1, "a", 2)).expect_err("other content");
    assert!(matches!(refusal, Refusal::Reused { number: 1, .. }));
}

#[test]
fn an_overtaken_ticket_is_refused_unless_its_objects_are_untouched() {
    let mut ledger = Ledger::new();
    ledger.apply(&service(5, "a", 1)).expect("accepted");
    let refusal = ledger.apply(&service(4, "a", 2)).expect_err("overtaken");
    assert!(matches!(refusal, Refusal::Superseded { by: 5, .. }));
    ledger.apply(&service(3, "b", 2)).expect("another object");
}

#[test]
fn a_removed_object_does_not_come_back_by_an_older_ticket() {
    let mut ledger = Ledger::new();
    ledger.apply(&service(1, "a", 1)).expect("accepted");
    ledger.apply(&removal(9, "a")).expect("accepted");
    let refusal = ledger.apply(&service(8, "a", 1)).expect_err("tombstone");
    assert!(matches!(refusal, Refusal::Superseded { by: 9, .. }));
    ledger.apply(&service(10, "a", 1)).expect("a newer ticket");
}

#[test]
fn forgotten_tombstones_leave_a_floor() {
    let mut ledger = Ledger::new();
    let count = MAX_TOMBSTONES as u64 + 5;
    for index in 1..=count {
        ledger
            .apply(&removal(2 * index, &format!("s{index}")))
            .expect("accepted");
    }
    let refusal = ledger
        .apply(&service(9, "unseen", 1))
        .expect_err("below the floor");
    assert!(matches!(refusal, Refusal::Superseded { by: 10, .. }));
    ledger.apply(&service(11, "unseen", 1)).expect("above the floor");
}

#[test]
fn objects_must_fit_together() {
    let base = "[ticket]\nnumber = 1\n";
    let upstream = "address = 10.0.0.1:80\ndomain = d\nregion = r\n";
    let generation = "[service g]\nkind = generation\nmodel = m\n";
    let cases = [
        (
            "[route r]\npath = /\nservice = nowhere\nidempotent = no\n".to_owned(),
            "nowhere does not exist",
        ),
        (
            format!("[upstream u]\nservice = nowhere\n{upstream}"),
            "nowhere does not exist",
        ),
        (
            format!("{generation}[upstream u]\nservice = g\n{upstream}"),
            "memory and slots",
        ),
        (
            format!(
                "[account a]\nkey-sha256 = {0}\n[account b]\nkey-sha256 = {0}\n",
                "ab".repeat(32)
            ),
            "same key as account a",
        ),
    ];
    for (objects, expected) in cases {
        let ticket = parse::ticket(&format!("{base}{objects}"), "t").expect("parses");
        let mut ledger = Ledger::new();
        let refusal = ledger.apply(&ticket).expect_err(expected).to_string();
        assert!(refusal.contains(expected), "{refusal}");
        assert_eq!(ledger, Ledger::new());
    }
}

#[test]
fn a_service_in_use_cannot_be_removed() {
    let text = "[ticket]\nnumber = 1\n[service s]\nkind = plain\n[route r]\npath = /\nservice = s\nidempotent = no\n";
    let mut ledger = Ledger::new();
    ledger
        .apply(&parse::ticket(text, "t").expect("parses"))
        .expect("fits");
    assert!(matches!(
        ledger.apply(&removal(2, "s")),
        Err(Refusal::Unfit { .. })
    ));
}

#[test]
fn a_ledger_survives_its_encoding() {
    let mut ledger = Ledger::new();
    for number in 1..40 {
        ledger
            .apply(&service(number, &format!("s{}", number % 7), number))
            .expect("accepted");
    }
    ledger.apply(&removal(50, "s1")).expect("accepted");
    let read = Ledger::from_bytes(&ledger.to_bytes()).expect("readable");
    assert_eq!(read, ledger);
    assert_eq!(read.config().digest(), ledger.config().digest());
}

/// Instances of different versions compare digests, so the canonical text must never change.
#[test]
fn the_digest_of_a_known_configuration_is_fixed() {
    let mut ledger = Ledger::new();
    ledger.apply(&service(1, "orders", 20)).expect("accepted");
    let text = "[service orders]\nkind = plain\nstall = 1\npreempt = 1\npatience = 20000ms\nmax-tokens = 32768\n\
                retry-percent = 10\n";
    assert_eq!(ledger.config().canonical_text(), text);
    assert_eq!(ledger.config().digest().to_string(), "8e8e2514bcbd80a9");
}
