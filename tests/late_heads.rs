//! Requests whose heads take almost as long as they may: their connections are not closed meanwhile.

mod fleet;

use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use carob_platform_standin::{
    client::{self, Outcome, Request},
    config,
};
use fleet::{CLIENT_KEY, Fleet, LONG, ROUTES, generation_request, request};
use serde_json::json;

/// Time that a client takes for a head, of the three seconds that it may take.
const HEAD_TIME: Duration = Duration::from_millis(2_900);

/// Time that an upstream takes for an answer.
const WORK_TIME: Duration = Duration::from_millis(1_200);

/// Time from SIGTERM to the end of the listener.
const NOTICE: Duration = Duration::from_millis(2_600);

/// Time from SIGTERM to the first bytes of the first heads; the listener closes while they come in.
const FIRST_BYTES: Duration = Duration::from_secs(2);

/// Deadline of the plain requests; it ends before the grace does.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// The first half of a request's head, and the rest of the request.
fn split_head(request: &Request) -> (Vec<u8>, Vec<u8>) {
    let head = request.head(&format!("Content-Length: {}", request.body.len()));
    let mut text = format!("{head}{}", request.body).into_bytes();
    let rest = text.split_off(head.len() / 2);
    (text, rest)
}

/// Sends the first half of a request's head now, the rest of the request after [`HEAD_TIME`], and reads the answer.
fn send_slowly(mut stream: TcpStream, request: &Request) -> JoinHandle<Outcome> {
    let (first, rest) = split_head(request);
    stream.write_all(&first).expect("the connection is open");
    thread::spawn(move || {
        thread::sleep(HEAD_TIME);
        if stream.write_all(&rest).is_err() {
            return Outcome::default();
        }
        client::read(&mut stream, Instant::now() + LONG)
    })
}

fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).expect("the gateway listens")
}

/// Opens a connection that has carried a request.
fn open_used(address: SocketAddr, id: &str) -> TcpStream {
    let mut stream = connect(address);
    let outcome = client::send_on(&mut stream, &request(id, "GET", "/read/1"));
    assert_eq!((outcome.status, outcome.closes), (200, false));
    stream
}

/// The first request of a connection that opened late in a planned stop was read, run and cut off without an answer.
#[test]
fn a_first_request_whose_head_is_late_is_cut_off_in_a_planned_stop() {
    let start = Instant::now();
    let mut fleet = Fleet::start(1);
    let plain = fleet.start_plain("p1", WORK_TIME);
    let _engine = fleet.start_engine("e1", 100, Duration::from_millis(15));
    fleet.configure();
    fleet.gateways[0].signal("TERM");
    thread::sleep(FIRST_BYTES);
    let requests = [
        request("o1", "POST", "/order/1").with_timeout(DEADLINE),
        request("o2", "POST", "/order/2")
            .with_body(2_000)
            .with_timeout(DEADLINE),
        request("r1", "GET", "/read/1").with_timeout(DEADLINE),
        generation_request("d1"),
    ];
    let clients = requests.map(|request| {
        let client = send_slowly(connect(fleet.gateways[0].caller_address), &request);
        thread::sleep(Duration::from_millis(50));
        client
    });
    for client in clients {
        let outcome = client.join().expect("no client panics");
        // A generation may be refused, since the grace may be too short for it; no request may be left without an answer.
        let is_answered = matches!(outcome.status, 200 | 503) && outcome.complete;
        assert!(is_answered, "{outcome:?}");
    }
    let arrivals = fleet.arrivals_after(plain.id(), start);
    assert_eq!(arrivals, 3, "the plain requests are served");
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// A further request of a connection was cut off while its head came in, when the listener closed.
#[test]
fn a_further_request_whose_head_is_late_is_cut_off_in_a_planned_stop() {
    let mut fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", Duration::from_millis(300));
    fleet.configure();
    let streams = ["r1", "r2", "r3"].map(|id| open_used(fleet.gateways[0].caller_address, id));
    fleet.gateways[0].signal("TERM");
    thread::sleep(FIRST_BYTES);
    let clients = streams.map(|stream| {
        let order = request("o1", "POST", "/order/1").with_timeout(DEADLINE);
        let client = send_slowly(stream, &order);
        thread::sleep(Duration::from_millis(250));
        client
    });
    for client in clients {
        let outcome = client.join().expect("no client panics");
        assert_eq!(
            (outcome.status, outcome.complete, outcome.closes),
            (200, true, true)
        );
    }
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}

/// A connection that had been idle for almost as long as it may was closed while the next head came in.
#[test]
fn a_head_that_begins_before_the_idle_timeout_is_cut_off() {
    let fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", Duration::from_millis(300));
    let mut config = config::config(1, &ROUTES, &[CLIENT_KEY]);
    config["Limits"]["IdleTimeoutMs"] = json!(1_000);
    fleet.store.put(config::KEY, &config);
    fleet.wait_ready();
    let stream = open_used(fleet.gateways[0].caller_address, "r1");
    thread::sleep(Duration::from_millis(800));
    let outcome = send_slowly(stream, &request("o1", "POST", "/order/1"))
        .join()
        .expect("no client panics");
    assert_eq!((outcome.status, outcome.complete), (200, true));
}

/// Connections whose heads never end are closed within the limit, so that they do not hold the process up.
#[test]
fn a_further_head_that_never_ends_holds_the_process_up() {
    let mut fleet = Fleet::start(1);
    let _plain = fleet.start_plain("p1", Duration::from_millis(10));
    fleet.configure();
    let mut stream = open_used(fleet.gateways[0].caller_address, "r1");
    fleet.gateways[0].signal("TERM");
    let signal = Instant::now();
    thread::sleep(NOTICE);
    stream
        .write_all(b"GET /read/1 HTTP/1.1\r\nHost: shop")
        .expect("the connection is open");
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
    let took = signal.elapsed();
    assert!(took < NOTICE + Duration::from_secs(4), "{took:?}");
}
