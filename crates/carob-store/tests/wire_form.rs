//! Requests as the store receives them and replies as it sends them, in the JSON of etcd v3's gateway.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    thread::{self, JoinHandle},
    time::Duration,
};

use bytes::Bytes;
use carob_store::{Call, Change, Client, Entry, Expect, Failure, Lease, Reply, WatchEvent, client::Options};

const HEADER: &str = r#""header":{"cluster_id":"1","member_id":"2","revision":"41","raft_term":"3"}"#;
const KEY_VALUE: &str =
    r#"{"key":"cC9h","value":"AP8=","create_revision":"5","mod_revision":"40","version":"2"}"#;

/// Reads one request; returns its path and its body.
fn read_request(stream: &TcpStream) -> (String, String) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).expect("a request line");
    let path = line.strip_prefix("POST ").expect("a POST request");
    let path = path.strip_suffix(" HTTP/1.1\r\n").expect("HTTP/1.1").to_owned();
    let mut length = 0;
    let mut has_type = false;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a header");
        if line == "\r\n" {
            break;
        }
        let (name, value) = line.trim_end().split_once(": ").expect("a header");
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().expect("a length"),
            "content-type" => has_type = value == "application/json",
            _ => {}
        }
    }
    assert!(has_type, "the body is JSON");
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    (path, String::from_utf8(body).expect("UTF-8"))
}

/// A store that answers one request with `status` and `reply` and returns the request.
fn store(status: &'static str, reply: String) -> (SocketAddr, JoinHandle<(String, String)>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let request = read_request(&stream);
        let length = reply.len();
        write!(
            stream,
            "HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{reply}"
        )
        .expect("sent");
        request
    });
    (address, server)
}

/// Carries `call` out, checks path and body of its request and returns the outcome of `reply`.
#[track_caller]
fn carry_out(call: &Call, path: &str, body: &str, reply: String) -> Result<Reply, Failure> {
    let (address, server) = store("200 OK", reply);
    let outcome = Client::new(Options::new(vec![address])).call(call);
    let request = server.join().expect("the server ends");
    assert_eq!(request, (path.to_owned(), body.to_owned()));
    outcome
}

fn entry() -> Entry {
    Entry {
        key: Bytes::from_static(b"p/a"),
        value: Bytes::from_static(b"\0\xff"),
        revision: 40,
    }
}

#[test]
fn reads_have_these_bodies() {
    let found = Ok(Reply::Entries {
        entries: vec![entry()],
        revision: 41,
    });
    let reply = format!(r#"{{{HEADER},"kvs":[{KEY_VALUE}],"count":"1"}}"#);
    let get = Call::Get { key: "p/a".into() };
    let outcome = carry_out(&get, "/v3/kv/range", r#"{"key":"cC9h"}"#, reply.clone());
    assert_eq!(outcome, found);
    let scan = Call::Scan { prefix: "p/".into() };
    let body = r#"{"key":"cC8=","range_end":"cDA="}"#;
    assert_eq!(carry_out(&scan, "/v3/kv/range", body, reply), found);
    // A prefix without a next key is scanned to the end of all keys.
    let scan = Call::Scan {
        prefix: Bytes::from_static(b"\xff\xff"),
    };
    let body = r#"{"key":"//8=","range_end":"AA=="}"#;
    let none = Ok(Reply::Entries {
        entries: Vec::new(),
        revision: 41,
    });
    let outcome = carry_out(&scan, "/v3/kv/range", body, format!("{{{HEADER}}}"));
    assert_eq!(outcome, none);
}

#[test]
fn changes_have_these_bodies() {
    let swap = |expect, lease| Call::Swap {
        key: "p/a".into(),
        expect,
        value: Bytes::from_static(b"\0\xff"),
        lease,
    };
    let done = format!(r#"{{{HEADER},"succeeded":true,"responses":[{{"response_put":{{}}}}]}}"#);
    let create = r#"{"compare":[{"create_revision":"0","key":"cC9h","result":"EQUAL","target":"CREATE"}],"failure":[{"request_range":{"key":"cC9h"}}],"success":[{"request_put":{"key":"cC9h","lease":"-7","value":"AP8="}}]}"#;
    let outcome = carry_out(&swap(Expect::Absent, Some(Lease(-7))), "/v3/kv/txn", create, done);
    assert_eq!(outcome, Ok(Reply::Applied { revision: 41 }));

    let conflict = format!(r#"{{{HEADER},"responses":[{{"response_range":{{"kvs":[{KEY_VALUE}]}}}}]}}"#);
    let replace = r#"{"compare":[{"key":"cC9h","mod_revision":"39","result":"EQUAL","target":"MOD"}],"failure":[{"request_range":{"key":"cC9h"}}],"success":[{"request_put":{"key":"cC9h","value":"AP8="}}]}"#;
    let outcome = carry_out(&swap(Expect::At(39), None), "/v3/kv/txn", replace, conflict);
    let current = Some(entry());
    assert_eq!(outcome, Ok(Reply::Conflict { current }));

    let absent = format!(r#"{{{HEADER},"responses":[{{"response_range":{{}}}}]}}"#);
    let delete = Call::Delete {
        key: "p/a".into(),
        revision: 40,
    };
    let body = r#"{"compare":[{"key":"cC9h","mod_revision":"40","result":"EQUAL","target":"MOD"}],"failure":[{"request_range":{"key":"cC9h"}}],"success":[{"request_delete_range":{"key":"cC9h"}}]}"#;
    let outcome = carry_out(&delete, "/v3/kv/txn", body, absent);
    assert_eq!(outcome, Ok(Reply::Conflict { current: None }));
}

#[test]
fn lease_calls_have_these_bodies() {
    let lease = Lease(42);
    let leased = Ok(Reply::Leased {
        lease,
        ttl: Duration::from_secs(10),
    });
    let grant = Call::Grant {
        ttl: Duration::from_secs(10),
    };
    let reply = format!(r#"{{{HEADER},"ID":"42","TTL":"10"}}"#);
    let outcome = carry_out(&grant, "/v3/lease/grant", r#"{"TTL":"10"}"#, reply.clone());
    assert_eq!(outcome, leased);

    let renew = Call::Renew { lease };
    let line = format!(r#"{{"result":{reply}}}"#);
    let outcome = carry_out(&renew, "/v3/lease/keepalive", r#"{"ID":"42"}"#, line);
    assert_eq!(outcome, leased);
    let lapsed = format!(r#"{{"result":{{{HEADER},"ID":"42"}}}}"#);
    let outcome = carry_out(&renew, "/v3/lease/keepalive", r#"{"ID":"42"}"#, lapsed);
    assert_eq!(outcome, Err(Failure::LeaseLapsed));

    let revoke = Call::Revoke { lease };
    let outcome = carry_out(
        &revoke,
        "/v3/lease/revoke",
        r#"{"ID":"42"}"#,
        format!("{{{HEADER}}}"),
    );
    assert_eq!(outcome, Ok(Reply::Applied { revision: 0 }));
}

#[test]
fn refusals_are_told_apart_by_these_statuses() {
    let refused = [
        (
            "404 Not Found",
            r#"{"error":"etcdserver: requested lease not found"}"#,
            Failure::LeaseLapsed,
        ),
        ("404 Not Found", "{}", Failure::Unknown),
        ("429 Too Many Requests", "{}", Failure::Unavailable),
        ("503 Service Unavailable", "{}", Failure::Unavailable),
        ("500 Internal Server Error", "{}", Failure::Unknown),
    ];
    for (status, reply, failure) in refused {
        let (address, server) = store(status, reply.to_owned());
        let outcome = Client::new(Options::new(vec![address])).call(&Call::Revoke { lease: Lease(42) });
        assert_eq!(outcome, Err(failure), "{status}");
        server.join().expect("the server ends");
    }
}

#[test]
fn a_watch_has_this_body_and_reads_these_lines() {
    let lines = [
        format!(r#"{{"result":{{{HEADER},"created":true}}}}"#),
        format!(
            r#"{{"result":{{{HEADER},"events":[{{"kv":{KEY_VALUE}}},{{"type":"DELETE","kv":{{"key":"cC9i","mod_revision":"41"}}}}]}}}}"#
        ),
        format!(r#"{{"result":{{{HEADER},"canceled":true,"compact_revision":"50"}}}}"#),
    ];
    let (address, server) = store("200 OK", lines.join("\n"));
    let client = Client::new(Options::new(vec![address]));
    let mut watch = client.watch(b"p/", 40, Duration::from_secs(5)).expect("opened");
    let deleted = Entry {
        key: Bytes::from_static(b"p/b"),
        value: Bytes::new(),
        revision: 41,
    };
    let changes = vec![Change::Put(entry()), Change::Deleted(deleted)];
    let notices: Vec<WatchEvent> = watch.by_ref().collect();
    let expected = [
        WatchEvent::Changes(Vec::new()),
        WatchEvent::Changes(changes),
        WatchEvent::Compacted,
    ];
    assert_eq!(notices, expected);
    assert_eq!(watch.next_revision(), 42);
    let body = r#"{"create_request":{"key":"cC8=","progress_notify":true,"range_end":"cDA=","start_revision":"40"}}"#;
    let request = server.join().expect("the server ends");
    assert_eq!(request, ("/v3/watch".to_owned(), body.to_owned()));
}
