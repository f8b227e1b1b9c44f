//! The command that asks a gateway where a request would go.

mod fleet;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    thread,
    time::Duration,
};

use fleet::{CLIENT_KEY, Fleet, generation_request, wait_until};

fn ask(admin: SocketAddr, args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_carobhaven");
    let mut command = Command::new(program);
    command.args(["where", "--admin", &admin.to_string()]).args(args);
    command.output().expect("the command runs")
}

/// Exit code and standard error of a question that fails.
fn failure(admin: SocketAddr, args: &[&str]) -> (Option<i32>, String) {
    let output = ask(admin, args);
    (
        output.status.code(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

/// Each error must name what is wrong.
fn check_errors(admin: SocketAddr) {
    for (args, code, part) in [
        (
            &["POST", "shop.example/nothing/x"][..],
            1,
            "answered 404: no such route",
        ),
        (
            &["POST", "shop.example/draft/x"],
            1,
            "answered 401: no account has the key",
        ),
        (&["post", "shop.example/draft/x"], 2, "expected a method"),
        (&["POST", "draft"], 2, "expected a host and a path"),
        (
            &["--prompt", "5", "POST", "shop.example/draft/x"],
            2,
            "given together",
        ),
    ] {
        let (found, text) = failure(admin, args);
        assert_eq!(found, Some(code), "{text}");
        assert!(text.contains(part), "{text}");
    }
}

/// A question must tell what is done with the request, and must itself send nothing to an upstream and count nothing.
#[test]
fn questions_are_answered_and_reach_no_upstream() {
    let mut fleet = Fleet::start(1);
    let admin = fleet.gateways[0].admin_address;
    wait_until("the gateway has started and knows no configuration", || {
        let (code, text) = failure(admin, &["POST", "shop.example/draft/x"]);
        code == Some(1) && text.contains("no configuration is known yet")
    });
    let _engine = fleet.start_engine("e1", 2, Duration::from_millis(5));
    fleet.configure();
    let directory = tempfile::tempdir().expect("a temporary directory");
    let key = directory.path().join("key");
    std::fs::write(&key, CLIENT_KEY).expect("the directory is writable");
    let key = key.to_str().expect("a path of ASCII characters");
    let described = [
        "--key",
        key,
        "--prompt",
        "1000",
        "--output",
        "800",
        "--parts",
        "3fa9:600,77c1:400",
    ];
    let request = [&described[..], &["POST", "shop.example/draft/x"]].concat();
    let json = ask(admin, &[&["--json"], &request[..]].concat());
    let found: serde_json::Value = serde_json::from_slice(&json.stdout).expect("an answer in JSON");
    let service = &found["services"][0];
    assert_eq!(
        (&service["decision"], &service["upstream"]),
        (&"send".into(), &"e1".into())
    );
    assert_eq!(service["prefill_tokens"], 1_000);
    assert_eq!(service["candidates"][0]["requests"], 0);
    let words = String::from_utf8(ask(admin, &request).stdout).expect("text");
    assert!(
        words.contains("would go to e1: it has the lowest score"),
        "{words}"
    );
    check_errors(admin);
    assert!(fleet.ledger.arrivals().is_empty());
    let metrics = minreq::get(format!("http://{admin}/metrics"))
        .send()
        .expect("an answer");
    let metrics = String::from_utf8_lossy(metrics.as_bytes()).into_owned();
    assert!(!metrics.contains("carobhaven_requests_total"), "{metrics}");
    // Callers must not reach the question.
    let mut asked = generation_request("asked");
    "/where/POST/shop.example/draft/x".clone_into(&mut asked.path);
    assert_eq!(fleet.send(0, &asked).status, 404);
    assert_eq!(fleet.send(0, &generation_request("sent")).status, 200);
    assert_eq!(fleet.ledger.arrivals().len(), 1);
    fleet.gateways.clear();
    let (code, text) = failure(admin, &request);
    assert_eq!(code, Some(3));
    assert!(text.contains("no answer"), "{text}");
}

/// A gateway of an earlier build knows no questions: the operator must not take that for a missing route.
#[test]
fn an_earlier_build_is_named() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let admin = listener.local_addr().expect("a bound listener has an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _head = stream.read(&mut [0; 2_048]);
        stream.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
    });
    let (code, text) = failure(admin, &["POST", "shop.example/draft/x"]);
    assert_eq!(code, Some(3));
    assert!(text.contains("of an earlier build"), "{text}");
    server.join().expect("no panic").expect("the answer is written");
}
