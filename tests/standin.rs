//! The stand-ins: a fault of theirs looks like one of the gateway.

use std::{
    fs,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    process::Command,
    sync::{Arc, atomic::AtomicBool, mpsc},
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::client::{self, Request};
use signal_hook::{consts::SIGUSR1, flag};

const LONG: Duration = Duration::from_secs(20);

/// Signals that arrive while a client waits for the second half of its answer, and their interval.
const SIGNALS: u32 = 10;
const INTERVAL: Duration = Duration::from_millis(30);

/// Answers one request in two halves, and waits before the second until all signals were sent.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("a bound listener has an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let _request = stream.read(&mut [0; 1024]).expect("the client sends a request");
        let first = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst";
        stream.write_all(first).expect("the client reads");
        thread::sleep(INTERVAL * (SIGNALS + 5));
        // The test decides what it means if the client has gone.
        let _sent = stream.write_all(b"other");
    });
    address
}

/// A child process that ends while another is being started sends a signal to a thread that reads. A read with a
/// time limit then ends with an error.
#[test]
fn a_signal_to_a_reading_client_ends_its_answer() {
    flag::register(SIGUSR1, Arc::new(AtomicBool::new(false))).expect("the signal can be handled");
    let address = start_server();
    let (sender, received) = mpsc::channel();
    let reader = thread::spawn(move || {
        let path = fs::read_link("/proc/thread-self").expect("the thread has a number");
        let number = path.file_name().expect("it ends with the number").to_os_string();
        sender.send(number).expect("the test waits for it");
        let mut stream = client::open(address, &Request::new("r1", "GET", "/")).expect("the server listens");
        client::read(&mut stream, Instant::now() + LONG)
    });
    let number = received.recv().expect("the reader has started");
    for _ in 0..SIGNALS {
        thread::sleep(INTERVAL);
        // Fails if the reader has ended too early, which its outcome shows.
        let _sent = Command::new("kill").arg("-USR1").arg(&number).status();
    }
    let outcome = reader.join().expect("the reader does not panic");
    assert_eq!(
        (outcome.complete, outcome.body.as_slice()),
        (true, b"firstother".as_slice())
    );
}
