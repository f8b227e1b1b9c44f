//! The callers' listener, over sockets: limits, timeouts, streamed responses and shutdown.

use std::{
    io::{ErrorKind, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::mpsc,
    time::Duration,
};

use bytes::Bytes;
use carob_http::{
    Headers,
    client::{self, Chunk, Request},
    listen::{Exchange, Listener, Options, SendError},
};

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Timeout that no step reaches, even on a busy machine.
const LONG: Duration = Duration::from_secs(20);

fn bind(
    set_options: impl FnOnce(&mut Options),
    handler: impl Fn(Exchange) + Send + Sync + 'static,
) -> Listener {
    let mut options = Options::new(LOCAL);
    set_options(&mut options);
    Listener::bind(options, handler).expect("loopback is free")
}

fn echo(mut exchange: Exchange) {
    let body = exchange.take_body();
    let headers = Headers::new()
        .with("x-path", exchange.path())
        .with("x-query", exchange.query());
    exchange.respond(200, &headers, body);
}

/// Sends raw bytes and returns everything up to the end of the connection.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the listener accepts");
    stream.set_read_timeout(Some(LONG)).expect("a valid timeout");
    stream.write_all(bytes).expect("the listener reads");
    let mut text = Vec::new();
    stream.read_to_end(&mut text).expect("the listener closes");
    String::from_utf8_lossy(&text).into_owned()
}

#[track_caller]
fn assert_refused(text: &str, status: u16, code: &str) {
    assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text}");
    assert!(text.contains("content-type: application/problem+json"), "{text}");
    assert!(text.contains("carob-outcome: not-run"), "{text}");
    assert!(text.contains(&format!(r#""code":"{code}""#)), "{text}");
}

#[test]
fn whole_exchange() {
    let listener = bind(|_| {}, echo);
    let request = Request::post(listener.local_addr(), "/a/b?c=d", "hello");
    let response = client::call(&request).expect("the listener answers");
    assert_eq!((response.status, &response.body[..]), (200, &b"hello"[..]));
    assert_eq!(response.headers.get("x-path"), Some("/a/b"));
    assert_eq!(response.headers.get("x-query"), Some("c=d"));
    assert_eq!(listener.close(LONG), 0);
}

#[test]
fn kept_connection_counts_each_head_by_itself() {
    let listener = bind(|options| options.head_limit = 256, echo);
    let mut stream = TcpStream::connect(listener.local_addr()).expect("the listener accepts");
    stream.set_read_timeout(Some(LONG)).expect("a valid timeout");
    for _ in 0..10 {
        stream
            .write_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nok")
            .expect("the listener reads");
        let mut seen = Vec::new();
        while !seen.ends_with(b"\r\n\r\nok") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("the listener answers");
            seen.push(byte[0]);
        }
    }
    drop(stream);
    assert_eq!(listener.close(LONG), 0);
}

#[test]
fn malformed_and_oversized_requests_are_refused() {
    let limits = |options: &mut Options| {
        options.head_limit = 512;
        options.body_limit = 100;
    };
    let listener = bind(limits, echo);
    let address = listener.local_addr();
    assert_refused(
        &send_raw(address, b"this is not HTTP\r\n\r\n"),
        400,
        "bad-request",
    );
    assert_refused(
        &send_raw(address, b"GET / HTTP/1.1\r\nho st: x\r\n\r\n"),
        400,
        "bad-request",
    );
    let large = format!("GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "y".repeat(600));
    assert_refused(&send_raw(address, large.as_bytes()), 431, "head-too-large");
    let body = format!(
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 101\r\n\r\n{}",
        "y".repeat(101)
    );
    assert_refused(&send_raw(address, body.as_bytes()), 413, "body-too-large");
    let chunk = "y".repeat(101);
    let chunked =
        format!("POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n65\r\n{chunk}\r\n0\r\n\r\n");
    assert_refused(&send_raw(address, chunked.as_bytes()), 413, "body-too-large");
    assert_eq!(listener.close(LONG), 0);
}

#[test]
fn slow_requests_are_refused() {
    let limits = |options: &mut Options| {
        options.head_timeout = Duration::from_millis(50);
        options.body_timeout = Duration::from_millis(50);
    };
    let listener = bind(limits, echo);
    let address = listener.local_addr();
    assert_refused(&send_raw(address, b"GET / HTT"), 408, "request-timeout");
    let body = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab";
    assert_refused(&send_raw(address, body), 408, "request-timeout");
    assert_eq!(listener.close(LONG), 0);
}

#[test]
fn idle_connection_is_closed_without_a_word() {
    let listener = bind(|options| options.idle_timeout = Duration::from_millis(50), echo);
    assert_eq!(send_raw(listener.local_addr(), b""), "");
    assert_eq!(listener.close(LONG), 0);
}

#[test]
fn connections_over_the_limit_are_refused() {
    let listener = bind(|options| options.max_connections = 1, echo);
    let held = TcpStream::connect(listener.local_addr()).expect("the listener accepts");
    let text = send_raw(listener.local_addr(), b"");
    assert_refused(&text, 503, "overloaded");
    assert!(text.contains("retry-after: 1"), "{text}");
    drop(held);
    assert_eq!(listener.close(LONG), 0);
}

#[test]
fn requests_over_the_limit_are_refused() {
    let (release, wait) = flume::bounded::<()>(0);
    let handler = move |exchange: Exchange| {
        let _released = wait.recv();
        exchange.respond(200, &Headers::new(), "late");
    };
    let listener = bind(|options| options.max_requests = 1, handler);
    let request = Request::get(listener.local_addr(), "/");
    let first = client::start(&request);
    while listener.open_requests() == 0 {
        std::thread::yield_now();
    }
    let refused = client::call(&request).expect("the listener answers");
    assert_eq!(refused.status, 503);
    assert_eq!(refused.headers.get("carob-outcome"), Some("not-run"));
    release.send(()).expect("the handler waits");
    let first = first.wait(LONG).expect("in time").expect("a response");
    assert_eq!(first.status, 200);
    first.close();
    assert_eq!(listener.close(LONG), 0);
}

#[test]
fn pieces_arrive_one_by_one() {
    let (send, pieces) = flume::bounded::<&'static str>(0);
    let handler = move |exchange: Exchange| {
        let mut writer = exchange.stream(200, &Headers::new());
        for piece in &pieces {
            writer.send(Bytes::from(piece)).expect("the caller reads");
        }
        writer.close();
    };
    let listener = bind(|_| {}, handler);
    let opening = client::start(&Request::get(listener.local_addr(), "/"));
    send.send("one").expect("the handler waits");
    let stream = opening.wait(LONG).expect("in time").expect("a response");
    assert_eq!(stream.next(LONG), Chunk::Data(Bytes::from("one")));
    assert_eq!(stream.next(Duration::from_millis(1)), Chunk::TimedOut);
    send.send("two").expect("the handler waits");
    assert_eq!(stream.next(LONG), Chunk::Data(Bytes::from("two")));
    drop(send);
    assert_eq!(stream.next(LONG), Chunk::End);
    assert_eq!(listener.close(LONG), 0);
}

#[test]
fn dropped_writer_is_never_a_clean_end() {
    let handler = |exchange: Exchange| {
        let mut writer = exchange.stream(200, &Headers::new());
        writer.send(Bytes::from("part")).expect("the caller reads");
    };
    let listener = bind(|_| {}, handler);
    let stream = client::open(&Request::get(listener.local_addr(), "/")).expect("a response");
    assert_eq!(stream.next(LONG), Chunk::Data(Bytes::from("part")));
    assert!(matches!(stream.next(LONG), Chunk::Failed(_)));
    assert_eq!(listener.close(LONG), 0);
}

/// A truncated response without framing ended like a whole one.
#[test]
fn dropped_writer_is_no_clean_end_for_http_1_0() {
    let handler = |exchange: Exchange| {
        let mut writer = exchange.stream(200, &Headers::new());
        writer.send(Bytes::from("part")).expect("the caller reads");
    };
    let listener = bind(|_| {}, handler);
    let mut stream = TcpStream::connect(listener.local_addr()).expect("the listener accepts");
    stream.set_read_timeout(Some(LONG)).expect("a valid timeout");
    stream
        .write_all(b"GET / HTTP/1.0\r\nhost: x\r\n\r\n")
        .expect("the listener reads");
    let mut seen = Vec::new();
    let end = stream.read_to_end(&mut seen).map_err(|error| error.kind());
    let text = String::from_utf8_lossy(&seen);
    assert_eq!(end, Err(ErrorKind::ConnectionReset), "{text}");
    assert_eq!(listener.close(LONG), 0);
}

#[test]
fn panicking_handler_aborts_one_request_only() {
    let handler = |exchange: Exchange| {
        assert_ne!(exchange.path(), "/panic", "asked for");
        echo(exchange);
    };
    let listener = bind(|_| {}, handler);
    let address = listener.local_addr();
    let outcome = client::call(&Request::get(address, "/panic"));
    assert!(matches!(outcome, Err(client::Error::Unknown(_))));
    assert_eq!(
        client::call(&Request::get(address, "/")).map(|response| response.status),
        Ok(200)
    );
    assert_eq!(listener.close(LONG), 0);
}

#[test]
fn vanished_caller_is_noticed_while_nothing_is_sent() {
    let (report, outcome) = mpsc::channel();
    let handler = move |exchange: Exchange| {
        let mut writer = exchange.stream(200, &Headers::new());
        writer.send(Bytes::from("first")).expect("the caller reads");
        while !writer.is_disconnected() {
            std::thread::sleep(Duration::from_millis(1));
        }
        report
            .send(writer.send(Bytes::from("more")))
            .expect("the test waits");
    };
    let listener = bind(|_| {}, handler);
    let stream = client::open(&Request::get(listener.local_addr(), "/")).expect("a response");
    assert_eq!(stream.next(LONG), Chunk::Data(Bytes::from("first")));
    stream.close();
    assert_eq!(outcome.recv_timeout(LONG), Ok(Err(SendError::Disconnected)));
    assert_eq!(listener.close(LONG), 0);
}

#[test]
fn caller_that_stops_reading_is_cut_off() {
    let (report, outcome) = mpsc::channel();
    let handler = move |exchange: Exchange| {
        let mut writer = exchange.stream(200, &Headers::new());
        let piece = Bytes::from(vec![b'x'; 64 * 1024]);
        let error = loop {
            if let Err(error) = writer.send(piece.clone()) {
                break error;
            }
        };
        report.send(error).expect("the test waits");
    };
    let listener = bind(
        |options| options.send_timeout = Duration::from_millis(50),
        handler,
    );
    let mut stream = TcpStream::connect(listener.local_addr()).expect("the listener accepts");
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("the listener reads");
    let error = outcome.recv_timeout(LONG).expect("the handler ends");
    assert!(
        matches!(error, SendError::Slow | SendError::Disconnected),
        "{error}"
    );
    drop(stream);
    assert_eq!(listener.close(LONG), 0);
}

#[test]
fn drain_cuts_nothing_off() {
    let (send, pieces) = flume::unbounded::<&'static str>();
    let handler = move |exchange: Exchange| {
        if exchange.path() == "/probe" {
            return echo(exchange);
        }
        let mut writer = exchange.stream(200, &Headers::new());
        for piece in &pieces {
            writer.send(Bytes::from(piece)).expect("the caller reads");
        }
        writer.close();
    };
    let listener = bind(|_| {}, handler);
    let address = listener.local_addr();
    send.send("one").expect("the handler waits");
    let stream = client::open(&Request::get(address, "/")).expect("a response");
    assert_eq!(stream.next(LONG), Chunk::Data(Bytes::from("one")));
    let drain = std::thread::spawn(move || listener.drain());
    while !matches!(
        client::call(&Request::get(address, "/probe")),
        Err(client::Error::Refused(_))
    ) {}
    send.send("two").expect("the handler waits");
    drop(send);
    assert_eq!(stream.next(LONG), Chunk::Data(Bytes::from("two")));
    assert_eq!(stream.next(LONG), Chunk::End);
    drain.join().expect("drained");
}

/// A response that the caller had not yet read was cut off as soon as its connection was to end.
#[test]
fn drain_sends_the_last_response_whole() {
    const BODY_BYTES: usize = 32 << 20;
    let handler = |exchange: Exchange| exchange.respond(200, &Headers::new(), vec![b'x'; BODY_BYTES]);
    let listener = bind(|_| {}, handler);
    listener.disable_keep_alive();
    let mut stream = TcpStream::connect(listener.local_addr()).expect("the listener accepts");
    stream.set_read_timeout(Some(LONG)).expect("a valid timeout");
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("the listener reads");
    stream.read_exact(&mut [0]).expect("the listener answers");
    let drain = std::thread::spawn(move || listener.drain());
    // Longer than a draining connection waits for a request.
    std::thread::sleep(Duration::from_millis(600));
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("the listener closes");
    let body = rest
        .windows(4)
        .position(|part| part == b"\r\n\r\n")
        .map(|at| rest.len() - at - 4);
    assert_eq!(body, Some(BODY_BYTES));
    drain.join().expect("drained");
}

/// A caller that was refused for lack of workers kept its connection to a listener that was about to close.
#[test]
fn refusal_closes_its_connection_while_keep_alive_is_disabled() {
    let (release, wait) = flume::bounded::<()>(0);
    let handler = move |exchange: Exchange| {
        let _released = wait.recv();
        exchange.respond(200, &Headers::new(), "late");
    };
    let listener = bind(|options| options.max_requests = 1, handler);
    let first = client::start(&Request::get(listener.local_addr(), "/"));
    while listener.open_requests() == 0 {
        std::thread::yield_now();
    }
    listener.disable_keep_alive();
    let text = send_raw(listener.local_addr(), b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    assert_refused(&text, 503, "overloaded");
    assert!(text.contains("connection: close\r\n"), "{text}");
    drop(release);
    first.wait(LONG).expect("in time").expect("a response").close();
    listener.drain();
}

/// A kept connection was closed without an answer in the middle of a head that arrived slowly.
#[test]
fn drain_answers_a_head_that_has_begun_to_arrive() {
    let listener = bind(|_| {}, echo);
    let mut stream = TcpStream::connect(listener.local_addr()).expect("the listener accepts");
    stream.set_read_timeout(Some(LONG)).expect("a valid timeout");
    stream
        .write_all(b"GET /first HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("the listener reads");
    let mut seen = Vec::new();
    while !seen.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the listener answers");
        seen.push(byte[0]);
    }
    stream
        .write_all(b"GET /second HTTP/1.1\r\nho")
        .expect("the listener reads");
    let drain = std::thread::spawn(move || listener.drain());
    // Longer than a draining connection waits for a request.
    std::thread::sleep(Duration::from_millis(600));
    stream.write_all(b"st: x\r\n\r\n").expect("the listener reads");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("the listener closes");
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text:?}");
    assert!(text.contains("x-path: /second\r\n"), "{text:?}");
    assert!(text.contains("connection: close\r\n"), "{text:?}");
    drain.join().expect("drained");
}

/// A drain ended while a handler still worked on the request of a caller that had disconnected.
#[test]
fn drain_waits_for_handlers_without_callers() {
    let (release, wait) = flume::bounded::<()>(0);
    let (report, noticed) = mpsc::channel();
    let handler = move |exchange: Exchange| {
        while !exchange.is_disconnected() {
            std::thread::sleep(Duration::from_millis(1));
        }
        report.send(()).expect("the test waits");
        let _released = wait.recv();
    };
    let listener = bind(|_| {}, handler);
    let address = listener.local_addr();
    let mut stream = TcpStream::connect(address).expect("the listener accepts");
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("the listener reads");
    while listener.open_requests() == 0 {
        std::thread::yield_now();
    }
    drop(stream);
    noticed.recv_timeout(LONG).expect("the handler notices");
    let (drained, end) = mpsc::channel();
    let drain = std::thread::spawn(move || {
        listener.drain();
        drained.send(()).expect("the test waits");
    });
    // Longer than a drain without any request takes.
    assert!(
        end.recv_timeout(Duration::from_secs(1)).is_err(),
        "the handler still runs"
    );
    drop(release);
    end.recv_timeout(LONG).expect("drained");
    drain.join().expect("drained");
}

#[test]
fn close_reports_what_it_cut_off() {
    let (release, wait) = flume::bounded::<()>(0);
    let handler = move |exchange: Exchange| {
        let mut writer = exchange.stream(200, &Headers::new());
        writer.send(Bytes::from("part")).expect("the caller reads");
        let _released = wait.recv();
    };
    let listener = bind(|_| {}, handler);
    let stream = client::open(&Request::get(listener.local_addr(), "/")).expect("a response");
    assert_eq!(stream.next(LONG), Chunk::Data(Bytes::from("part")));
    assert_eq!(listener.close(Duration::ZERO), 1);
    assert!(matches!(stream.next(LONG), Chunk::Failed(_)));
    drop(release);
}
