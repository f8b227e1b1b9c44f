//! Behaviour for which `tiny_http` and `minreq` are not used towards callers and upstreams.
//!
//! If one of these tests fails, the library has changed, and the decision in docs/design/http.md should be
//! reviewed.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use carob_http::{
    Headers,
    client::{self, Request},
    listen::{Listener, Options},
};

/// Timeout that no step reaches, even on a busy machine.
const LONG: Duration = Duration::from_secs(20);

fn tiny() -> (tiny_http::Server, SocketAddr) {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("loopback is free");
    let address = server.server_addr().to_ip().expect("an IP address");
    (server, address)
}

#[test]
fn tiny_http_takes_a_head_of_any_size() {
    let (server, address) = tiny();
    let sender = thread::spawn(move || {
        let mut stream = TcpStream::connect(address).expect("the server accepts");
        let line = format!("x: {}\r\n", "y".repeat(8 << 20));
        let head = format!("GET / HTTP/1.1\r\nhost: x\r\n{line}\r\n");
        stream.write_all(head.as_bytes()).expect("the server reads");
        stream
    });
    let request = server
        .recv_timeout(LONG)
        .expect("no error")
        .expect("the request is taken");
    let largest = request
        .headers()
        .iter()
        .map(|header| header.value.as_str().len())
        .max();
    assert_eq!(largest, Some(8 << 20));
    drop(sender.join());
}

/// A response with a chunked body that is truncated between two chunks.
const TRUNCATED: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";

/// Starts a server that answers one request with `reply` and closes the connection.
fn server(reply: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is free");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut head = [0; 1024];
        let _read = stream.read(&mut head).expect("the client sends");
        stream.write_all(reply).expect("the client reads");
    });
    address
}

#[test]
fn minreq_takes_a_cut_body_for_a_whole_one() {
    let response = minreq::get(format!("http://{}/", server(TRUNCATED)))
        .send()
        .expect("no error at all");
    assert_eq!((response.status_code, response.as_bytes()), (200, &b"part"[..]));
}

#[test]
fn minreq_takes_a_missing_answer_for_a_refusal() {
    let response = minreq::get(format!("http://{}/", server(b"")))
        .send()
        .expect("no error at all");
    assert_eq!(response.status_code, 503);
}

#[test]
fn our_client_takes_both_for_unknown() {
    for reply in [TRUNCATED, b""] {
        let outcome = client::call(&Request::get(server(reply), "/"));
        assert!(matches!(outcome, Err(client::Error::Unknown(_))), "{outcome:?}");
    }
}

#[test]
fn our_listener_serves_others_while_heads_are_unfinished() {
    let options = Options::new(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = Listener::bind(options, |exchange| exchange.respond(200, &Headers::new(), "ok"));
    let listener = listener.expect("loopback is free");
    let address = listener.local_addr();
    let unfinished = |_| {
        let mut stream = TcpStream::connect(address).expect("the listener accepts");
        stream.write_all(b"GET / HT").expect("the listener reads");
        stream
    };
    let held: Vec<TcpStream> = (0..100).map(unfinished).collect();
    let answer = client::call(&Request::get(address, "/")).map(|response| response.status);
    assert_eq!(answer, Ok(200));
    // A request is counted until its handler has returned, which may be after the client has read the
    // response.
    let deadline = Instant::now() + LONG;
    let mut open = listener.open_requests();
    while open > 0 && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(1));
        open = listener.open_requests();
    }
    assert_eq!(open, 0, "connections without a complete head are not counted");
    drop(held);
    assert_eq!(listener.close(LONG), 0);
}
