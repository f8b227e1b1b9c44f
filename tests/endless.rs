//! Bytes without end in the place of an answer or a request: memory, time and answers stay within their limits.
//!
//! The bounds follow from the limits of the configuration, the settings and the deadlines of requests.

mod fleet;

use std::{
    collections::BTreeSet,
    fs,
    io::Write as _,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    AnswerMode, Flood, FloodRecord, Floods, Outage, Upstream,
    client::{self, Connection, Outcome, Request},
};
use fleet::{BODY_MEMORY, Fleet, Gateway, LONG, generation_request, request, wait_until};

const SHORT: Duration = Duration::from_millis(10);

/// Requests that get bytes without end at the same time.
const PARALLEL: usize = 8;

/// Timeout of the clients; below the time limit of the routes, 5 s.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of requests that only show which upstream they go to.
const SHORT_TIMEOUT: Duration = Duration::from_millis(400);

/// How many of 12 requests may go to an upstream that answers each with bytes without end, while another is idle.
const MAX_STRAY: usize = 2;

/// Time after which an answer counts as late, beyond the deadline or limit.
const SLACK: Duration = Duration::from_millis(700);

/// Time limit of a call whose upstream exceeds a limit in bytes; far below [`TIMEOUT`].
const CUT_TIME: Duration = Duration::from_millis(1_500);

/// Time within which a connection is closed whose call has ended.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// Memory that a gateway may take for [`PARALLEL`] answers, in bytes: for each the 256 KiB that are kept
/// for another attempt, 512 KiB that wait for the client and 256 KiB of a head or an event, and as much again
/// for the parts that run for the first time.
const MAX_GROWTH: usize = 2 * PARALLEL * (1 << 20);

/// Returns a field of the process's status, such as `VmHWM`, in bytes.
fn memory(gateway: &Gateway, field: &str) -> usize {
    let path = format!("/proc/{}/status", gateway.child.id());
    let status = fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with(field));
    let size = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok());
    size.expect("a size in KiB") << 10
}

fn expect_small_growth(gateway: &Gateway, before: usize, what: &str) {
    let peak = memory(gateway, "VmHWM");
    let growth = peak.saturating_sub(before);
    eprintln!("{what}: memory grew by {growth} bytes, from {before}");
    assert!(
        growth <= MAX_GROWTH,
        "{what}: memory grew by {growth} bytes, expected {MAX_GROWTH} at most"
    );
}

/// Sends a request with a deadline after `timeout`, and waits on beyond it.
fn send_patiently(address: SocketAddr, request: Request, timeout: Duration) -> Outcome {
    let mut stream = client::open(address, &request.with_timeout(timeout)).expect("it connects");
    client::read(&mut stream, Instant::now() + LONG)
}

/// Sends requests at once, with a deadline after [`TIMEOUT`] beyond which the clients wait; returns their
/// outcomes and how long each took.
fn send_all(fleet: &Fleet, count: usize, make: impl Fn(usize) -> Request) -> Vec<(Outcome, Duration)> {
    let address = fleet.gateways[0].caller_address;
    let clients: Vec<_> = (0..count)
        .map(|number| {
            let request = make(number);
            thread::spawn(move || {
                let started = Instant::now();
                (send_patiently(address, request, TIMEOUT), started.elapsed())
            })
        })
        .collect();
    clients
        .into_iter()
        .map(|client| client.join().expect("a client ends"))
        .collect()
}

/// Waits until every flood was closed by the gateway, which has to be soon after `ended`.
fn expect_closed(fleet: &Fleet, ended: Instant, what: &str) -> Vec<FloodRecord> {
    let floods = fleet.ledger.floods();
    while !floods.are_closed() && ended.elapsed() < LONG {
        thread::sleep(SHORT);
    }
    let records = floods.records();
    for record in &records {
        let open = record
            .closed
            .map(|closed| closed.saturating_duration_since(ended));
        assert!(
            open.is_some_and(|open| open <= CLOSE_TIME),
            "{what}: the connection was open for {open:?} after the answers, expected {CLOSE_TIME:?} at most"
        );
    }
    records
}

/// Starts a gateway, a plain upstream and an engine, all of which work.
fn start() -> (Fleet, Upstream, Upstream) {
    let fleet = Fleet::start(1);
    let plain = fleet.start_plain("p1", SHORT);
    let engine = fleet.start_engine("e1", 20, SHORT);
    fleet.configure();
    wait_until("both upstreams are known", || {
        fleet.send(0, &generation_request("warm")).status == 200
            && fleet.send(0, &request("warm", "POST", "/order/1")).status == 200
    });
    (fleet, plain, engine)
}

/// Sends orders to a plain upstream that answers with `flood`, and generations to a sound engine meanwhile.
fn flood_orders(flood: Flood) -> Vec<(Outcome, Duration)> {
    let what = format!("orders, {flood:?}");
    let (fleet, plain, _engine) = start();
    let before = memory(&fleet.gateways[0], "VmHWM");
    plain.set_answer_mode(AnswerMode::Flood(flood));
    let other = thread::spawn({
        let address = fleet.gateways[0].caller_address;
        move || client::send(address, &generation_request("other").with_events(100))
    });
    let outcomes = send_all(&fleet, PARALLEL, |number| {
        request(&format!("o{number}"), "POST", "/order/1")
    });
    let ended = Instant::now();
    let records = expect_closed(&fleet, ended, &what);
    report(&what, &outcomes, &records);
    assert_eq!(records.len(), PARALLEL, "{what}: each order ran once");
    expect_small_growth(&fleet.gateways[0], before, &what);
    let other = other.join().expect("the client ends");
    assert!(
        other.complete && other.events().len() == 100,
        "{what}: others are served meanwhile"
    );
    for (outcome, took) in &outcomes {
        assert!(
            *took <= TIMEOUT + SLACK,
            "{what}: answered after {took:?}, limit {TIMEOUT:?}"
        );
        assert!(
            !matches!(outcome.status, 408 | 421 | 429 | 503),
            "{what}: {} although it ran",
            outcome.status
        );
    }
    plain.set_answer_mode(AnswerMode::Normal);
    let next = fleet.send(0, &request("next", "POST", "/order/1"));
    assert_eq!(
        (next.status, next.body),
        (200, b"done next".to_vec()),
        "{what}: the next request"
    );
    outcomes
}

/// Sends generations to an engine that answers with `flood`, and orders to a sound upstream meanwhile.
fn flood_streams(flood: Flood) -> Vec<(Outcome, Duration)> {
    let what = format!("generations, {flood:?}");
    let (fleet, _plain, engine) = start();
    let before = memory(&fleet.gateways[0], "VmHWM");
    engine.set_answer_mode(AnswerMode::Flood(flood));
    let other = thread::spawn({
        let address = fleet.gateways[0].caller_address;
        move || {
            let send = |number| client::send(address, &request(&format!("r{number}"), "GET", "/read/1"));
            (0..50)
                .map(send)
                .filter(|outcome| outcome.status == 200 && outcome.complete)
                .count()
        }
    });
    let outcomes = send_all(&fleet, PARALLEL, |number| {
        generation_request(&format!("d{number}"))
    });
    let ended = Instant::now();
    let records = expect_closed(&fleet, ended, &what);
    report(&what, &outcomes, &records);
    assert!(!records.is_empty(), "{what}: some ran");
    expect_small_growth(&fleet.gateways[0], before, &what);
    assert_eq!(
        other.join().expect("the client ends"),
        50,
        "{what}: others are served meanwhile"
    );
    let ran: Vec<String> = fleet
        .ledger
        .started()
        .into_iter()
        .map(|started| started.id)
        .collect();
    for (number, (outcome, took)) in outcomes.iter().enumerate() {
        assert!(
            *took <= TIMEOUT + SLACK,
            "{what}: answered after {took:?}, limit {TIMEOUT:?}"
        );
        let has_run = ran.contains(&format!("d{number}"));
        let is_refusal = matches!(outcome.status, 408 | 421 | 429 | 503);
        assert!(
            !(has_run && is_refusal),
            "{what}: {} although it ran",
            outcome.status
        );
    }
    outcomes
}

fn report(what: &str, outcomes: &[(Outcome, Duration)], records: &[FloodRecord]) {
    let bytes: u64 = records.iter().map(|record| record.bytes).sum();
    let slowest = outcomes.iter().map(|(_, took)| *took).max().unwrap_or_default();
    let statuses: Vec<_> = outcomes
        .iter()
        .map(|(outcome, _)| (outcome.status, outcome.complete))
        .collect();
    eprintln!(
        "{what}: {} floods, {bytes} bytes, slowest answer {slowest:?}, {statuses:?}",
        records.len()
    );
}

/// Checks that no outcome is a success that looks whole.
fn expect_no_success(outcomes: &[(Outcome, Duration)], what: &str) {
    for (outcome, _) in outcomes {
        assert!(
            !(outcome.status == 200 && outcome.complete),
            "{what}: looks whole"
        );
    }
}

/// Checks that each request was answered early with the status for an unknown outcome.
fn expect_cut_early(outcomes: &[(Outcome, Duration)], what: &str) {
    for (outcome, took) in outcomes {
        assert_eq!((outcome.status, outcome.complete), (502, true), "{what}");
        assert!(
            *took <= CUT_TIME,
            "{what}: answered after {took:?}, expected {CUT_TIME:?} at most"
        );
    }
}

const HEADS: [Flood; 6] = [
    Flood::StatusLine,
    Flood::HeaderLines,
    Flood::Header,
    Flood::FoldedHeader,
    Flood::Interim,
    Flood::Noise,
];

#[test]
fn a_plain_answers_head_without_end_is_cut_off_early() {
    for flood in HEADS {
        expect_cut_early(&flood_orders(flood), &format!("orders, {flood:?}"));
    }
}

#[test]
fn a_plain_answers_framing_without_end_is_cut_off_early() {
    for flood in [Flood::ChunkSize, Flood::ChunkExtension, Flood::Trailers] {
        expect_cut_early(&flood_orders(flood), &format!("orders, {flood:?}"));
    }
}

#[test]
fn a_plain_body_without_end_never_looks_whole() {
    for flood in [Flood::Body, Flood::Event] {
        expect_no_success(&flood_orders(flood), &format!("orders, {flood:?}"));
    }
}

#[test]
fn bytes_beyond_a_plain_body_belong_to_no_request() {
    for (number, (outcome, took)) in flood_orders(Flood::Excess).iter().enumerate() {
        assert_eq!((outcome.status, outcome.complete), (200, true));
        assert_eq!(outcome.body, format!("done o{number}").into_bytes());
        assert!(*took <= CUT_TIME, "answered after {took:?}");
    }
}

#[test]
fn a_plain_answer_that_drips_ends_at_its_deadline() {
    for flood in [Flood::HeadDrip, Flood::BodyDrip] {
        for (outcome, _) in flood_orders(flood) {
            assert_eq!((outcome.status, outcome.complete), (504, true), "{flood:?}");
        }
    }
}

#[test]
fn a_streams_head_without_end_is_cut_off_early() {
    for flood in HEADS {
        expect_cut_early(&flood_streams(flood), &format!("generations, {flood:?}"));
    }
}

#[test]
fn a_streams_framing_without_end_is_cut_off_early() {
    for flood in [Flood::ChunkSize, Flood::ChunkExtension, Flood::Trailers] {
        let outcomes = flood_streams(flood);
        expect_no_success(&outcomes, &format!("generations, {flood:?}"));
        for (_, took) in outcomes {
            assert!(took <= CUT_TIME, "generations, {flood:?}: cut off after {took:?}");
        }
    }
}

#[test]
fn an_event_without_end_is_cut_off_early() {
    let outcomes = flood_streams(Flood::Event);
    expect_no_success(&outcomes, "generations, Event");
    for (_, took) in outcomes {
        assert!(
            took <= CUT_TIME,
            "cut off after {took:?}, expected {CUT_TIME:?} at most"
        );
    }
}

#[test]
fn a_stream_without_end_or_that_drips_ends_at_its_deadline_and_never_looks_whole() {
    for flood in [Flood::Body, Flood::HeadDrip, Flood::BodyDrip] {
        expect_no_success(&flood_streams(flood), &format!("generations, {flood:?}"));
    }
}

#[test]
fn bytes_beyond_a_streams_body_belong_to_no_request() {
    for (number, (outcome, took)) in flood_streams(Flood::Excess).iter().enumerate() {
        assert_eq!((outcome.status, outcome.complete), (200, true));
        assert_eq!(outcome.body, format!("done d{number}").into_bytes());
        assert!(*took <= CUT_TIME, "answered after {took:?}");
    }
}

/// Makes the upstream answer with `flood` that gets the requests of `make` while all upstreams are idle and
/// sound, and returns how many of 12 further requests go to it.
fn count_at_flooding(
    fleet: &Fleet,
    upstreams: &[Upstream],
    flood: Flood,
    make: impl Fn(&str) -> Request,
) -> usize {
    let upstream_of = |id: &str| {
        let started = fleet.ledger.started();
        let found = started.into_iter().rfind(|started| started.id == make(id).id);
        found.map(|started| started.upstream)
    };
    wait_until("the upstreams are known", || {
        let outcomes = send_all(fleet, 2 * upstreams.len(), |number| {
            make(&format!("warm-{number}"))
        });
        let names = (0..outcomes.len()).filter_map(|number| upstream_of(&format!("warm-{number}")));
        names.collect::<BTreeSet<_>>().len() == upstreams.len()
    });
    fleet.send(0, &make("sound"));
    let name = upstream_of("sound").expect("it ran");
    let preferred = upstreams.iter().find(|upstream| upstream.id() == name);
    preferred
        .expect("it is one of them")
        .set_answer_mode(AnswerMode::Flood(flood));
    for number in 0..12 {
        let address = fleet.gateways[0].caller_address;
        send_patiently(address, make(&format!("next-{number}")), SHORT_TIMEOUT);
    }
    (0..12)
        .filter(|number| upstream_of(&format!("next-{number}")).as_ref() == Some(&name))
        .count()
}

#[test]
fn requests_prefer_other_upstreams_after_bytes_without_end() {
    for flood in Flood::ALL.into_iter().filter(|flood| *flood != Flood::Excess) {
        let fleet = Fleet::start(1);
        let plain = ["p1", "p2"].map(|id| fleet.start_plain(id, 2 * SHORT));
        let engines = ["e1", "e2"].map(|id| fleet.start_engine(id, 2, SHORT));
        fleet.configure();
        let orders = count_at_flooding(&fleet, &plain, flood, |id| {
            request(&format!("o-{id}"), "POST", "/order/1")
        });
        let generations = count_at_flooding(&fleet, &engines, flood, |id| {
            generation_request(&format!("d-{id}"))
        });
        eprintln!(
            "{flood:?}: {orders} of 12 orders and {generations} of 12 generations went to the upstream"
        );
        assert!(
            orders <= MAX_STRAY,
            "{flood:?}: {orders} of 12 orders went to the upstream"
        );
        assert!(
            generations <= MAX_STRAY,
            "{flood:?}: {generations} of 12 generations went to the upstream"
        );
    }
}

#[test]
fn a_client_that_reads_nothing_of_a_body_without_end_takes_little_memory() {
    for flood in [Flood::Body, Flood::Event] {
        let (fleet, plain, _engine) = start();
        let before = memory(&fleet.gateways[0], "VmHWM");
        plain.set_answer_mode(AnswerMode::Flood(flood));
        let open: Vec<_> = (0..PARALLEL)
            .map(|number| {
                let order = request(&format!("o{number}"), "POST", "/order/1").with_timeout(TIMEOUT);
                client::open_narrow(fleet.gateways[0].caller_address, &order).expect("it connects")
            })
            .collect();
        thread::sleep(TIMEOUT);
        expect_closed(&fleet, Instant::now(), &format!("{flood:?}"));
        expect_small_growth(&fleet.gateways[0], before, &format!("{flood:?}"));
        drop(open);
    }
}

#[test]
fn a_kept_connection_goes_on_after_bytes_beyond_a_body() {
    let (fleet, plain, _engine) = start();
    plain.set_answer_mode(AnswerMode::Flood(Flood::Excess));
    let mut connection = Connection::open(fleet.gateways[0].caller_address).expect("it connects");
    for number in 0..10 {
        let order = request(&format!("o{number}"), "POST", "/order/1");
        assert!(connection.write(&[order]));
        let outcome = connection.read(Instant::now() + LONG);
        assert_eq!(
            (outcome.status, outcome.body),
            (200, format!("done o{number}").into_bytes())
        );
        assert_eq!(connection.idle_state(), client::IdleState::Open);
    }
}

/// Sends requests of clients that read slowly all the time to upstreams that answer with `flood`, and checks
/// that each ends at its deadline.
fn flood_slow_clients(flood: Flood, make: impl Fn(usize) -> Request) {
    let (fleet, plain, engine) = start();
    let before = memory(&fleet.gateways[0], "VmHWM");
    for upstream in [&plain, &engine] {
        upstream.set_answer_mode(AnswerMode::Flood(flood));
    }
    let started = Instant::now();
    let clients: Vec<_> = (0..PARALLEL)
        .map(|number| {
            let request = make(number).with_timeout(TIMEOUT);
            let mut stream =
                client::open_narrow(fleet.gateways[0].caller_address, &request).expect("it connects");
            let end = started + LONG;
            thread::spawn(move || client::read_slowly(&mut stream, end, end))
        })
        .collect();
    thread::sleep(TIMEOUT);
    let what = format!("slow clients, {flood:?}");
    let records = expect_closed(&fleet, Instant::now(), &what);
    assert_eq!(records.len(), PARALLEL, "{what}");
    expect_small_growth(&fleet.gateways[0], before, &what);
    for client in clients {
        let outcome = client.join().expect("a client ends");
        assert!(!outcome.complete, "{what}: looks whole");
    }
}

#[test]
fn a_plain_body_without_end_ends_at_its_deadline_also_if_its_client_is_slow() {
    flood_slow_clients(Flood::Body, |number| {
        request(&format!("o{number}"), "POST", "/order/1")
    });
}

#[test]
fn a_stream_without_end_ends_at_its_deadline_also_if_its_client_is_slow() {
    flood_slow_clients(Flood::Body, |number| generation_request(&format!("d{number}")));
}

/// Answers that are kept for another attempt count like bodies of requests.
#[test]
fn answers_that_come_slowly_leave_memory_for_requests() {
    let (fleet, plain, _engine) = start();
    plain.set_answer_bytes(BODY_MEMORY);
    plain.set_answer_pause(TIMEOUT);
    let slow: Vec<_> = (0..PARALLEL)
        .map(|number| {
            let order = request(&format!("o{number}"), "POST", "/order/1").with_timeout(LONG);
            client::open(fleet.gateways[0].caller_address, &order).expect("it connects")
        })
        .collect();
    wait_until("the orders run", || fleet.ledger.started().len() >= PARALLEL + 2);
    thread::sleep(TIMEOUT / 6);
    for number in 0..5 {
        let other = fleet.send(0, &generation_request(&format!("d{number}")));
        assert_eq!(
            (other.status, other.complete),
            (200, true),
            "others are served meanwhile"
        );
    }
    for mut stream in slow {
        let outcome = client::read(&mut stream, Instant::now() + LONG);
        assert_eq!(
            (outcome.status, outcome.complete, outcome.body.len()),
            (200, true, BODY_MEMORY)
        );
    }
}

/// Opens connections that send `start` and then `unit` without end to an address of the gateway, while other
/// requests are served; checks that each is closed within `limit`.
fn flood_listener(
    fleet: &Fleet,
    address: SocketAddr,
    flood: Flood,
    start: &str,
    unit: &str,
    limit: Duration,
) {
    let what = format!(
        "{:?} and then {unit:?} to {address}, {flood:?}",
        start.lines().next_back()
    );
    let before = memory(&fleet.gateways[0], "VmHWM");
    let floods = Floods::new();
    let clients: Vec<_> = (0..PARALLEL)
        .map(|_| {
            let (floods, start, unit) = (floods.clone(), start.to_owned(), unit.to_owned());
            let stream = TcpStream::connect(address).expect("it connects");
            thread::spawn(move || floods.send_raw(&stream, flood, "", start.as_bytes(), unit.as_bytes()))
        })
        .collect();
    for number in 0..10 {
        let other = fleet.send(0, &request(&format!("r{number}"), "GET", "/read/1"));
        assert_eq!(
            (other.status, other.complete),
            (200, true),
            "{what}: others are served meanwhile"
        );
    }
    let started = Instant::now();
    while !floods.are_closed() && started.elapsed() < LONG {
        thread::sleep(SHORT);
    }
    let open = floods
        .records()
        .into_iter()
        .map(|record| Some(record.closed? - record.started));
    let open: Vec<Option<Duration>> = open.collect();
    eprintln!("{what}: closed after {open:?}");
    assert!(
        open.iter().all(|open| open.is_some_and(|open| open <= limit)),
        "{what}: closed after {open:?}, limit {limit:?}"
    );
    for client in clients {
        client.join().expect("a client ends");
    }
    expect_small_growth(&fleet.gateways[0], before, &what);
}

/// Time limit of a request's head in the configuration.
const HEAD_TIME: Duration = Duration::from_secs(3);

/// Time limit of an idle connection in the configuration.
const IDLE_TIME: Duration = Duration::from_secs(15);

#[test]
fn a_clients_head_without_end_is_cut_off() {
    let (fleet, _plain, _engine) = start();
    let gateway = &fleet.gateways[0];
    for address in [
        gateway.caller_address,
        gateway.ready_address,
        gateway.admin_address,
    ] {
        let head = "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n";
        for (start, unit) in [
            ("GET /", "a"),
            (head, "X-Filler: f\r\n"),
            (head, "f"),
            ("", "\r\n"),
            ("", "\x7f"),
        ] {
            flood_listener(&fleet, address, Flood::Header, start, unit, CUT_TIME);
        }
    }
}

#[test]
fn a_clients_head_that_drips_is_cut_off_in_time() {
    let (fleet, _plain, _engine) = start();
    let gateway = &fleet.gateways[0];
    for (address, limit) in [
        (gateway.caller_address, HEAD_TIME),
        (gateway.admin_address, HEAD_TIME),
        (gateway.ready_address, IDLE_TIME),
    ] {
        let head = "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n";
        flood_listener(
            &fleet,
            address,
            Flood::HeadDrip,
            head,
            "X-Filler: f\r\n",
            limit + SLACK,
        );
    }
    let mut stream = TcpStream::connect(gateway.caller_address).expect("it connects");
    stream.write_all(b"GET /read/1 HTTP/1.1\r\n").expect("it is open");
    let outcome = client::read(&mut stream, Instant::now() + LONG);
    assert_eq!((outcome.status, outcome.closes), (408, true));
}

#[test]
fn a_clients_body_without_end_is_cut_off() {
    let (fleet, _plain, _engine) = start();
    let address = fleet.gateways[0].caller_address;
    let order = request("o1", "POST", "/order/1").with_timeout(TIMEOUT);
    let chunked = order.head("Transfer-Encoding: chunked");
    for (start, unit) in [
        (order.head("Content-Length: 60000"), "b"),
        (format!("{chunked}ffffffffffff\r\n"), "b"),
        (format!("{chunked}1;"), "e"),
        (format!("{chunked}0\r\n"), "X-Filler: f\r\n"),
    ] {
        flood_listener(&fleet, address, Flood::Body, &start, unit, CUT_TIME);
    }
    assert!(
        fleet.ledger.run_count("o1") <= PARALLEL,
        "only the body with a length is whole"
    );
    for (start, unit) in [
        (chunked.clone(), "1\r\nb\r\n"),
        (chunked.clone(), "0"),
        (format!("{chunked}1"), " "),
    ] {
        flood_listener(&fleet, address, Flood::Body, &start, unit, TIMEOUT + SLACK);
    }
    flood_listener(
        &fleet,
        address,
        Flood::BodyDrip,
        &chunked,
        "1\r\nb\r\n",
        TIMEOUT + SLACK,
    );
    flood_listener(&fleet, address, Flood::BodyDrip, &chunked, "0", TIMEOUT + SLACK);
}

/// Floods that the store may answer with.
const STORE_FLOODS: [Flood; 8] = [
    Flood::Header,
    Flood::Interim,
    Flood::ChunkSize,
    Flood::Trailers,
    Flood::Body,
    Flood::Noise,
    Flood::HeadDrip,
    Flood::BodyDrip,
];

#[test]
fn a_store_without_end_is_an_outage_that_passes() {
    let (fleet, _plain, _engine) = start();
    let gateway = &fleet.gateways[0];
    let before = memory(gateway, "VmHWM");
    for (number, flood) in STORE_FLOODS.into_iter().enumerate() {
        gateway.store_endpoint.set_outage(Some(Outage::Flood(flood)));
        let end = Instant::now() + TIMEOUT;
        let mut sent = 0;
        while Instant::now() < end {
            sent += 1;
            let outcome = fleet.send(0, &request(&format!("r{number}-{sent}"), "GET", "/read/1"));
            assert_eq!(
                (outcome.status, outcome.complete),
                (200, true),
                "{flood:?}: others are served"
            );
            thread::sleep(SHORT);
        }
        assert!(
            !gateway.store_endpoint.floods().records().is_empty(),
            "{flood:?}: calls were made"
        );
        gateway.store_endpoint.set_outage(None);
        let ended = Instant::now();
        wait_until("calls that began in the outage are closed", || {
            gateway.store_endpoint.floods().are_closed()
        });
        // Time limit of a call to the store.
        let limit = Duration::from_millis(1_500) + SLACK;
        assert!(
            ended.elapsed() <= limit,
            "{flood:?}: closed after {:?}, limit {limit:?}",
            ended.elapsed()
        );
        let id = format!("p-{number}");
        let _next = fleet.start_plain(&id, SHORT);
        wait_until("an upstream that registers after the outage is used", || {
            send_all(&fleet, 4, |_| request("after", "POST", "/order/1"));
            fleet
                .ledger
                .started()
                .iter()
                .any(|started| started.upstream == id)
        });
    }
    let records = gateway.store_endpoint.floods().records();
    let bytes: u64 = records.iter().map(|record| record.bytes).sum();
    eprintln!("{} calls to the store, {bytes} bytes", records.len());
    expect_small_growth(gateway, before, "store");
}

#[test]
fn reports_and_copies_without_end_leave_a_generation_as_it_is() {
    for flood in STORE_FLOODS {
        let (fleet, _plain, engine) = start();
        let gateway = &fleet.gateways[0];
        let before = memory(gateway, "VmHWM");
        let target = fleet.start_engine("e2", 20, SHORT);
        let client = {
            let address = gateway.caller_address;
            let generation = generation_request("d1").with_events(400);
            thread::spawn(move || client::send(address, &generation))
        };
        wait_until("the generation runs", || fleet.ledger.running_engines("d1") == 1);
        for upstream in [&engine, &target] {
            upstream.set_control_flood(Some(flood));
        }
        // The gateway asks for reports in an outage, and for copies when an upstream leaves.
        gateway.store_endpoint.set_outage(Some(Outage::Silent));
        wait_until("a report is asked for", || {
            !fleet.ledger.floods().records().is_empty()
        });
        gateway.store_endpoint.set_outage(None);
        engine.leave(LONG);
        let outcome = client.join().expect("the client ends");
        assert_eq!((outcome.status, outcome.complete), (200, true), "{flood:?}");
        assert_eq!(outcome.events(), (1..=400).collect::<Vec<_>>(), "{flood:?}");
        wait_until("the calls are closed", || fleet.ledger.floods().are_closed());
        let records = fleet.ledger.floods().records();
        // Time limit of a copy.
        let longest = records
            .iter()
            .filter_map(|record| Some(record.closed? - record.started))
            .max();
        eprintln!("{flood:?}: {} calls, the longest took {longest:?}", records.len());
        expect_small_growth(gateway, before, &format!("reports and copies, {flood:?}"));
    }
}

#[test]
fn a_target_that_continues_without_end_never_completes_a_stream_it_did_not_send() {
    for flood in STORE_FLOODS {
        let (fleet, _plain, engine) = start();
        let gateway = &fleet.gateways[0];
        let before = memory(gateway, "VmHWM");
        let client = {
            let address = gateway.caller_address;
            let generation = generation_request("d1").with_events(400);
            thread::spawn(move || client::send(address, &generation))
        };
        wait_until("the generation runs", || fleet.ledger.running_engines("d1") == 1);
        let target = fleet.start_engine("e2", 20, SHORT);
        target.set_answer_mode(AnswerMode::Flood(flood));
        thread::sleep(Duration::from_millis(300));
        engine.leave(LONG);
        let outcome = client.join().expect("the client ends");
        let events = outcome.events();
        eprintln!(
            "{flood:?}: {} events, complete {}",
            events.len(),
            outcome.complete
        );
        assert_eq!(events, (1..=events.len() as u64).collect::<Vec<_>>(), "{flood:?}");
        assert!(
            !outcome.complete || events.len() == 400,
            "{flood:?}: looks whole after {} events",
            events.len()
        );
        let ended = Instant::now();
        expect_closed(&fleet, ended, &format!("{flood:?}"));
        expect_small_growth(gateway, before, &format!("target, {flood:?}"));
    }
}
