//! The `serve` and `check` subcommands as separate processes.

mod process;

use std::{
    fs,
    io::Write as _,
    net::TcpStream,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use carob_http::client::{self, Chunk, Request};
use carob_standin::{Engine, Store, engine, store};
use process::{Process, STEP_TIMEOUT, carobhaven, open, ticket};

const REQUEST_BODY: &str = r#"{"input":"an Advent quote","stream":true,"metadata":{"tokens":"400"}}"#;

#[test]
fn sigterm_cuts_no_stream_off() {
    assert_stream_survives(&["TERM"]);
}

/// A SIGHUP after SIGTERM killed an instance in the middle of its streams.
#[test]
fn repeated_signals_cut_no_stream_off() {
    assert_stream_survives(&["TERM", "HUP", "INT", "TERM"]);
}

/// SIGHUP, by which a gateway reloads its settings, killed an instance.
#[test]
fn sighup_ends_no_instance() {
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    let engine = Engine::start(engine::Options::default()).expect("loopback is free");
    let process = Process::start(store.address());
    process.signal("HUP");
    // Longer than the shutdown of an instance without any request takes.
    thread::sleep(Duration::from_secs(2));
    process.configure(&ticket(engine.address(), None, 16, 16_384));
    assert_eq!(process.close(), Some(0));
    engine.close();
    store.close();
}

/// Sends the signals during a stream and checks that the stream is whole and the exit code 0.
fn assert_stream_survives(signals: &[&str]) {
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    let engine = Engine::start(engine::Options::default()).expect("loopback is free");
    let process = Process::start(store.address());
    process.configure(&ticket(engine.address(), None, 16, 16_384));
    let stream = open(process.caller_address, REQUEST_BODY);
    assert_eq!(stream.status, 200);
    let Chunk::Data(first) = stream.next(STEP_TIMEOUT) else {
        panic!("the stream did not begin");
    };
    for signal in signals {
        process.signal(signal);
    }
    let mut text = first.to_vec();
    loop {
        match stream.next(STEP_TIMEOUT) {
            Chunk::Data(data) => text.extend_from_slice(&data),
            Chunk::End => break,
            other => panic!("cut off after {} bytes: {other:?}", text.len()),
        }
    }
    let text = String::from_utf8(text).expect("UTF-8");
    assert!(text.contains("response.completed"));
    let expected = engine.expected_answer(REQUEST_BODY.as_bytes());
    assert!(text.contains(&format!("\"text\":\"{expected}\"")));
    let mut child = process.child;
    assert_eq!(child.wait().expect("it ends").code(), Some(0));
    engine.close();
    store.close();
}

/// An operator's connection on which nothing more came kept a process alive that had nothing left to do.
#[test]
fn stalled_operator_does_not_keep_a_closed_instance_alive() {
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    let mut process = Process::start(store.address());
    let mut stalled = TcpStream::connect(process.admin_address).expect("the instance accepts");
    stalled
        .write_all(b"POST /tickets HTTP/1.1\r\nhost: x\r\ncontent-length: 5000\r\n\r\n[ticket]")
        .expect("the instance reads");
    // Answered after the stalled request has been taken up, since requests are taken up in order.
    let alive = client::call(&Request::get(process.admin_address, "/healthz"));
    assert_eq!(alive.map(|response| response.status), Ok(200));
    process.terminate();
    let end = Instant::now() + STEP_TIMEOUT;
    let exited = loop {
        match process.child.try_wait().expect("the process can be waited for") {
            None if Instant::now() < end => thread::sleep(Duration::from_millis(10)),
            status => break status,
        }
    };
    drop(stalled);
    let code = process.child.wait().expect("it ends").code();
    assert!(
        exited.is_some(),
        "the process ran until the operator's connection ended"
    );
    assert_eq!(code, Some(0));
    store.close();
}

#[test]
fn bad_settings_start_nothing() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path().join("instance.ini");
    fs::write(&path, "[instance]\nname = entry-1\nregoin = uusimaa\n").expect("writable");
    for command in ["check", "serve"] {
        let output = carobhaven()
            .args([command, "--settings"])
            .arg(&path)
            .output()
            .expect("it runs");
        let text =
            String::from_utf8_lossy(&output.stderr).into_owned() + &String::from_utf8_lossy(&output.stdout);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(
            text.contains("instance.ini:3: [instance] regoin: expected one of the keys"),
            "{text}"
        );
        assert!(text.contains("[store] endpoints: expected a value"), "{text}");
    }
}

#[test]
fn examples_pass_the_check() {
    for example in ["saarela", "tandyr"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(example)
            .join("instance.ini");
        let output = carobhaven()
            .args(["check", "--settings"])
            .arg(path)
            .output()
            .expect("it runs");
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
}
