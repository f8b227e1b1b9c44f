//! The `serve` and `check` subcommands as processes of their own.

use std::{
    fs,
    io::{BufRead as _, BufReader},
    net::{SocketAddr, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use carob_http::client::{self, Chunk, Request};
use carob_standin::{Engine, Store, engine, store};

/// Long enough for any step on a busy machine.
const LONG: Duration = Duration::from_secs(30);
const KEY: &str = "a-key-of-the-parish";
/// SHA-256 of [`KEY`].
const KEY_SHA256: &str = "ae85456d271e608a2dabc500de7ffca0a0a19e1b5644a9d643633136328bc29e";
const BODY: &str = r#"{"input":"an Advent quote","stream":true,"metadata":{"tokens":"400"}}"#;

fn carobhaven() -> Command {
    Command::new(env!("CARGO_BIN_EXE_carobhaven"))
}

fn settings(dir: &Path, store: SocketAddr) -> PathBuf {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback is free");
    let peers = socket.local_addr().expect("an address");
    let text = format!(
        "[instance]\nname = entry-1\ndomain = uusimaa\nregion = uusimaa\nleave_delay = 100ms\n\
         [callers]\naddress = 127.0.0.1:0\n\
         [admin]\naddress = 127.0.0.1:0\nkey = an-operators-key\n\
         [peers]\naddress = {peers}\nkey = a-peer-key-for-tests\n\
         [store]\nendpoints = {store}\n\
         [answers]\nkey = an-answer-key-for-tests\n"
    );
    let path = dir.join("instance.ini");
    fs::write(&path, text).expect("writable");
    path
}

/// Starts an instance; returns it with the addresses for callers and operators that it logs.
fn serve(settings: &Path) -> (Child, SocketAddr, SocketAddr) {
    let mut child = carobhaven()
        .args(["serve", "--settings"])
        .arg(settings)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command runs");
    let stderr = child.stderr.take().expect("it is piped");
    let (found, addresses) = std::sync::mpsc::channel();
    // Reads to the end, so that the instance never waits for room in the pipe.
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let field = |name: &str| {
                let word = line.split(' ').find_map(|word| word.strip_prefix(name))?;
                word.parse().ok()
            };
            if let (Some(callers), Some(admin)) = (field("callers="), field("admin=")) {
                let _waiting = found.send((callers, admin));
            }
        }
    });
    let (callers, admin) = addresses
        .recv_timeout(LONG)
        .expect("the instance logs its addresses");
    (child, callers, admin)
}

fn ticket(engine: SocketAddr) -> String {
    format!(
        "[ticket]\nnumber = 1\n\
         [service drafts]\nkind = generation\nmodel = default\n\
         [account parish-oulu]\nkey-sha256 = {KEY_SHA256}\n\
         [route drafts]\npath = /v1/responses\nservice = drafts\nidempotent = yes\n\
         [upstream engine-1]\nservice = drafts\naddress = {engine}\ndomain = uusimaa\nregion = uusimaa\n\
         memory = 16384\nslots = 16\n"
    )
}

fn open(callers: SocketAddr) -> client::Stream {
    let request = Request::post(callers, "/v1/responses", BODY)
        .with_header("authorization", format!("Bearer {KEY}"))
        .with_deadline(LONG);
    client::open(&request).expect("the instance answers")
}

#[test]
fn sigterm_cuts_no_stream_off() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    let engine = Engine::start(engine::Options::default()).expect("loopback is free");
    let (mut child, callers, admin) = serve(&settings(dir.path(), store.address()));
    let submit = Request::post(admin, "/tickets", ticket(engine.address()))
        .with_header("authorization", "Bearer an-operators-key");
    assert_eq!(client::call(&submit).map(|response| response.status), Ok(200));
    let stream = loop {
        let stream = open(callers);
        if stream.status == 200 {
            break stream;
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    let Chunk::Data(mut received) = stream.next(LONG) else {
        panic!("the stream begins");
    };
    let killed = Command::new("kill").arg(child.id().to_string()).status();
    assert!(killed.expect("kill runs").success());
    let mut text = received.to_vec();
    loop {
        received = match stream.next(LONG) {
            Chunk::Data(data) => data,
            Chunk::End => break,
            other => panic!("cut off after {} bytes: {other:?}", text.len()),
        };
        text.extend_from_slice(&received);
    }
    let text = String::from_utf8(text).expect("UTF-8");
    assert!(text.contains("response.completed"));
    let expected = engine.expected_answer(BODY.as_bytes());
    assert!(text.contains(&format!("\"text\":\"{expected}\"")));
    assert_eq!(child.wait().expect("it ends").code(), Some(0));
    engine.close();
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
    for user in ["saarela", "tandyr"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(user)
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
