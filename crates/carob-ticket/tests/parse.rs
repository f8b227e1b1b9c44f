//! Parsing tickets: every error names the file, line, section and key, what was expected and what was found.

use carob_ticket::parse;

const FULL_TICKET: &str = "\
; stock answers
[ticket]
number = 17

[service stock]
kind = generation
model = tern-7b
stall = 3
patience = 250ms

[account parish]
key-sha256 = 00000000000000000000000000000000000000000000000000000000000000ff
services = stock, orders

[route answers]
path = /v1/responses
methods = POST,GET
service = stock
idempotent = yes

[upstream uus-1]
service = stock
address = 10.1.0.1:8000
domain = uusimaa
region = south
fencing = checks
memory = 400000
slots = 64

[route old]
state = absent
";

#[test]
fn reads_a_whole_ticket_and_its_canonical_text() {
    let ticket = parse::ticket(FULL_TICKET, "17.ini").expect("valid");
    assert_eq!(ticket.number, 17);
    assert_eq!(ticket.changes.len(), 5);
    let text = ticket.canonical_text();
    let again = parse::ticket(&text, "canonical").expect("canonical text is valid");
    assert_eq!(again, ticket);
    assert_eq!(again.digest(), ticket.digest());
}

#[test]
fn the_order_of_sections_and_blanks_do_not_count() {
    let first = "[ticket]\nnumber=1\n[service a]\nkind=plain\n[service b]\nkind=plain\n";
    let second = "[ticket]\nnumber = 1\n\n[service b]\nkind = plain\n# a\n[service a]\nkind = plain\n";
    let digest = |text| parse::ticket(text, "t").expect("valid").digest();
    assert_eq!(digest(first), digest(second));
}

#[test]
fn errors_name_the_place_and_what_was_expected() {
    let cases = [
        ("number = 1\n", "t.ini:1: number: expected a [section]"),
        (
            "[ticket]\n[service a]\nkind = plain\n",
            "t.ini:1: [ticket] expected the key number",
        ),
        (
            "[ticket]\nnumber = 0\n",
            "t.ini:2: [ticket] number: expected the ticket's number, from 1, got \"0\"",
        ),
        ("[ticket]\nnumber = 1\n", "expected at least one object"),
        (
            "[ticket]\nnumber = 1\n[zone a]\n",
            "t.ini:3: [zone a] expected [ticket], [service NAME]",
        ),
        (
            "[ticket]\nnumber = 1\n[service A]\n",
            "t.ini:3: [service A] expected [ticket], [service NAME]",
        ),
        (
            "[ticket]\nnumber = 1\n\n; note\n[service a]\nkind = plain\npatience = 10\n",
            "t.ini:7: [service a] patience: expected a time such as 10s or 250ms, got \"10\"",
        ),
        (
            "[ticket]\nnumber = 1\n[service a]\nkind = plain\ncolour = red\n",
            "t.ini:5: [service a] colour: expected no such key",
        ),
        (
            "[ticket]\nnumber = 1\n[service a]\nkind = plain\nkind = plain\n",
            "t.ini:5: [service a] kind: expected each key once",
        ),
        (
            "[ticket]\nnumber = 1\n[service a]\nkind = plain\n[service a]\nkind = plain\n",
            "t.ini:5: [service a] expected each object once",
        ),
        (
            "[ticket]\nnumber = 1\n[account a]\nkey-sha256 = beef\n",
            "t.ini:4: [account a] key-sha256: expected 64 hexadecimal digits",
        ),
        (
            "[ticket]\nnumber = 1\n[service a]\nstate = absent\nkind = plain\n",
            "t.ini:5: [service a] kind: expected no such key",
        ),
        ("[ticket]\nnumber = 1\n[service a\n", "t.ini:3"),
    ];
    for (text, expected) in cases {
        let error = parse::ticket(text, "t.ini").expect_err(text).to_string();
        assert!(
            error.contains(expected),
            "{text:?} gave {error:?}, not {expected:?}"
        );
    }
}
