//! Settings files: defaults, checks, errors and the reference page.

use std::{fs, path::Path, time::Duration};

use carob_settings::{Settings, reference};

/// The required keys and no others.
const MINIMAL: &str = "\
[instance]
name = entry-1
domain = uusimaa-a
region = uusimaa
[peers]
address = 127.0.0.1:7000
key = 0123456789abcdef
[store]
endpoints = 127.0.0.1:2379, [::1]:2379
[answers]
key = fedcba9876543210
";

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(text, "x.ini", Path::new("")).map_err(|errors| errors.to_string())
}

#[test]
fn defaults_fill_what_is_left_out() {
    let settings = parse(MINIMAL).expect("valid");
    assert_eq!(settings.instance.name.as_str(), "entry-1");
    assert_eq!(settings.instance.leave_delay, Duration::from_secs(5));
    assert_eq!(settings.store.endpoints.len(), 2);
    assert_eq!(settings.callers.head_limit, 16 * 1024);
    assert_eq!(
        (settings.callers.tls, settings.list.address, settings.admin.key),
        (None, None, None)
    );
    assert_eq!(format!("{:?}", settings.answers.key), "Secret(16 bytes)");
}

#[test]
fn values_have_units() {
    let text = format!("{MINIMAL}[callers]\nbody_limit = 2MiB\nhead_timeout = 250ms\nidle_timeout = 5m\n");
    let callers = parse(&text).expect("valid").callers;
    assert_eq!(callers.body_limit, 2 << 20);
    assert_eq!(callers.head_timeout, Duration::from_millis(250));
    assert_eq!(callers.idle_timeout, Duration::from_mins(5));
}

#[test]
fn every_error_is_reported_with_its_line() {
    let text = "\
[instance]
name = Entry 1
domian = uusimaa-a
[callers]
head_timeout = 10
body_limit = 5
max_requests = 0
max_requests = 1
[cluster]
[peers]
address = 0.0.0.0:7000
key = short";
    let expected = "\
x.ini:2: [instance] name: expected a name: 1 to 63 of `a-z`, `0-9`, `-`, `_` and `.`, starting with a letter or digit
x.ini:3: [instance] domian: expected one of the keys `name`, `domain`, `region`, `leave_delay`
x.ini:5: [callers] head_timeout: expected a duration such as `250ms`, `10s`, `5m` or `1h`, from 1ms to 3600s
x.ini:6: [callers] body_limit: expected a size such as `512B`, `64KiB` or `4MiB`, from 1024B to 1073741824B
x.ini:7: [callers] max_requests: expected a whole number from 1 to 100000
x.ini:8: [callers] max_requests: expected each key once
x.ini:9: cluster: expected one of the sections `instance`, `callers`, `admin`, `peers`, `store`, `list`, `answers`, `upstreams`, `log`
x.ini:11: [peers] address: expected an address at which others reach this instance, not `0.0.0.0` or port 0
x.ini:12: [peers] key: expected a key of at least 16 bytes, or `file:PATH` for the content of a file
x.ini:12: [instance] domain: expected a value (name)
x.ini:12: [instance] region: expected a value (name)
x.ini:12: [store] endpoints: expected a value (addresses)
x.ini:12: [answers] key: expected a value (key)";
    assert_eq!(parse(text).unwrap_err(), expected);
}

#[test]
fn keys_are_checked_against_each_other() {
    let admin = format!("{MINIMAL}[admin]\naddress = 0.0.0.0:8080\n");
    assert!(
        parse(&admin)
            .unwrap_err()
            .contains("x.ini:13: [admin] address: expected an address other than")
    );
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    let tls = format!("{MINIMAL}[callers]\ntls_cert = {}\n", file.path().display());
    assert!(
        parse(&tls)
            .unwrap_err()
            .contains("x.ini:13: [callers] tls_cert: expected both")
    );
}

#[test]
fn secret_comes_from_a_file_beside_the_settings() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    fs::write(dir.path().join("peer.key"), "a key out of a file\n").expect("writable");
    let path = dir.path().join("instance.ini");
    fs::write(&path, MINIMAL.replace("0123456789abcdef", "file:peer.key")).expect("writable");
    let settings = Settings::load(&path).expect("valid");
    assert_eq!(settings.peers.key.bytes().as_ref(), b"a key out of a file");
    fs::remove_file(dir.path().join("peer.key")).expect("removable");
    let errors = Settings::load(&path).unwrap_err();
    assert!(
        errors.to_string().contains("[peers] key: expected a key"),
        "{errors}"
    );
}

#[test]
fn file_must_be_readable_text() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path().join("instance.ini");
    let missing = Settings::load(&path).unwrap_err().to_string();
    assert!(
        missing.contains("instance.ini:1: expected a file that can be read"),
        "{missing}"
    );
    fs::write(&path, b"[instance]\nname = \xff\n").expect("writable");
    let binary = Settings::load(&path).unwrap_err().to_string();
    assert!(binary.contains("expected a file in UTF-8"), "{binary}");
}

fn root() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn examples_are_valid() {
    for user in ["saarela", "tandyr"] {
        let path = root().join("examples").join(user).join("instance.ini");
        if let Err(errors) = Settings::load(&path) {
            panic!("{errors}");
        }
    }
}

#[test]
fn reference_page_is_up_to_date() {
    let page = fs::read_to_string(root().join("docs/SETTINGS.md")).expect("the page exists");
    assert_eq!(
        page,
        reference(),
        "docs/SETTINGS.md differs; write `reference()` to it"
    );
}
