//! Bytes without end where an instance calls upstreams by itself or for another instance, and at all doors at once: it
//! stays within the memory of the smallest instances, and the requests of other clients are served.

mod fleet;

use std::{
    fs,
    io::Write as _,
    net::{IpAddr, SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use carob_platform_standin::{
    AnswerMode, Flood, Floods, Link, Outage,
    client::{self, Outcome},
};
use fleet::{Fleet, Gateway, LONG, generation_request, request, wait_until};

const SHORT: Duration = Duration::from_millis(10);

/// Memory of the smallest instances of the operators, in bytes.
const INSTANCE_MEMORY: usize = 88_000_000;

/// Floods that a caller might keep without a limit.
const FLOODS: [Flood; 6] = [
    Flood::Header,
    Flood::FoldedHeader,
    Flood::Interim,
    Flood::Trailers,
    Flood::Body,
    Flood::Noise,
];

/// Generations at an engine.
const GENERATIONS: usize = 20;

/// Events of each, one in 12 ms.
const EVENTS: u64 = 250;

/// Time limit of a call that gets bytes without end, and the time until its connection is closed.
const CLOSE_TIME: Duration = Duration::from_secs(5);

/// Length of a message of another instance, as its first four bytes tell it.
const MESSAGE_LENGTHS: [u32; 4] = [0, 64, 4 << 20, u32::MAX];

/// Starts another instance that sends messages of `length` without end to each instance that asks it for content. Returns its
/// address and the number of connections that were closed on it.
fn start_flooding_peer(length: u32) -> (SocketAddr, Arc<AtomicUsize>) {
    // No gateway of a test has such an address.
    let listener = TcpListener::bind(("127.253.0.1", 0)).expect("loopback has free ports");
    let address = listener.local_addr().expect("a bound listener has an address");
    let closed = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&closed);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let counter = Arc::clone(&counter);
            thread::spawn(move || {
                let mut message = length.to_be_bytes().to_vec();
                message.resize(4 + (length as usize).clamp(1, 64 << 10), 0);
                while stream.write_all(&message).is_ok() {}
                counter.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    (address, closed)
}

/// Largest memory of the process so far, in bytes.
fn peak_memory(gateway: &Gateway) -> usize {
    let path = format!("/proc/{}/status", gateway.child.id());
    let status = fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    let size = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok());
    size.expect("a size in KiB") << 10
}

fn expect_small(fleet: &Fleet, what: &str) {
    for gateway in &fleet.gateways {
        let peak = peak_memory(gateway);
        eprintln!("{what}: {peak} bytes at most");
        assert!(
            peak <= INSTANCE_MEMORY,
            "{what}: expected {INSTANCE_MEMORY} bytes at most, found {peak}"
        );
    }
}

fn expect_closed(floods: &Floods, what: &str) {
    let ended = Instant::now();
    while !floods.are_closed() && ended.elapsed() < LONG {
        thread::sleep(SHORT);
    }
    assert!(
        ended.elapsed() <= CLOSE_TIME,
        "{what}: open for {:?}",
        ended.elapsed()
    );
}

/// Starts generations at the only engine.
fn start_generations(fleet: &Fleet, count: usize) -> Vec<JoinHandle<Outcome>> {
    let address = fleet.gateways[0].caller_address;
    let clients = (0..count).map(|number| {
        let generation = generation_request(&format!("g{number}")).with_events(EVENTS);
        thread::spawn(move || client::send(address, &generation))
    });
    let clients: Vec<_> = clients.collect();
    wait_until("all generations run", || {
        (0..count).all(|number| fleet.ledger.run_count(&format!("g{number}")) == 1)
    });
    clients
}

fn expect_whole(clients: Vec<JoinHandle<Outcome>>, what: &str) {
    for client in clients {
        let outcome = client.join().expect("no client panics");
        assert_eq!((outcome.status, outcome.complete), (200, true), "{what}");
        assert_eq!(outcome.events(), (1..=EVENTS).collect::<Vec<_>>(), "{what}");
    }
}

/// A leaving engine answers the calls that copy its generations with bytes without end; an instance that kept four
/// megabytes of each ran out of memory.
#[test]
fn copies_without_end_of_many_generations_take_all_memory() {
    for flood in [Flood::Body, Flood::Trailers, Flood::Event] {
        let fleet = Fleet::start(1);
        let engine = fleet.start_engine("e1", EVENTS, Duration::from_millis(12));
        fleet.configure();
        let clients = start_generations(&fleet, GENERATIONS);
        let _target = fleet.start_engine("e2", EVENTS, SHORT);
        thread::sleep(Duration::from_millis(300));
        engine.set_control_flood(Some(flood));
        engine.announce_leaving();
        let what = format!("copies, {flood:?}");
        expect_whole(clients, &what);
        expect_closed(fleet.ledger.floods(), &what);
        assert!(
            fleet.ledger.floods().records().len() >= GENERATIONS,
            "{what}: calls"
        );
        expect_small(&fleet, &what);
    }
}

/// Probes of links that are in doubt get bytes without end.
#[test]
fn health_answers_without_end_take_all_memory() {
    let fleet = Fleet::start(1);
    let harmed = fleet.start_plain("p1", SHORT);
    let _sound = fleet.start_plain("p2", SHORT);
    fleet.configure();
    // For the reads that are on their way when the connections are reset.
    fleet.earn_repeats(0, 2);
    for flood in FLOODS {
        let what = format!("health, {flood:?}");
        harmed.set_control_flood(Some(flood));
        harmed.set_link(Link::Reset);
        let before = fleet.ledger.floods().records().len();
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(3) {
            let number = started.elapsed().as_micros();
            if started.elapsed() > Duration::from_millis(500) {
                harmed.set_link(Link::Open);
            }
            let read = request(&format!("r{number}"), "GET", "/read/1");
            assert_eq!(fleet.send(0, &read).status, 200, "{what}: others are served");
            thread::sleep(SHORT);
        }
        assert!(fleet.ledger.floods().records().len() > before, "{what}: probes");
        expect_closed(fleet.ledger.floods(), &what);
    }
    expect_small(&fleet, "health");
}

/// Bytes without end reach an instance through another one, which passes them on.
#[test]
fn relayed_answers_without_end_take_all_memory() {
    let fleet = Fleet::start(3);
    let plain = fleet.start_plain("p1", SHORT);
    let engine = fleet.start_engine("e1", 20, SHORT);
    fleet.configure();
    let cut: Vec<(IpAddr, Link)> = vec![(fleet.gateways[0].peer_address.ip(), Link::Reset)];
    plain.set_source_links(&cut);
    engine.set_source_links(&cut);
    wait_until("requests are relayed", || {
        let read = request("r", "GET", "/read/1");
        fleet.send(0, &read).status == 200
            && fleet.send(0, &generation_request("d").with_events(3)).complete
            && fleet.gateways[0].logged("request sent through another instance")
    });
    for flood in FLOODS.into_iter().chain([Flood::ChunkSize, Flood::Event]) {
        let what = format!("relayed, {flood:?}");
        plain.set_answer_mode(AnswerMode::Flood(flood));
        engine.set_answer_mode(AnswerMode::Flood(flood));
        let address = fleet.gateways[0].caller_address;
        let clients: Vec<_> = (0..16)
            .map(|number| {
                let id = format!("{flood:?}-{number}");
                let request = if number % 2 == 0 {
                    request(&id, "POST", "/order/1")
                } else {
                    generation_request(&id)
                };
                thread::spawn(move || client::send(address, &request.with_timeout(Duration::from_secs(2))))
            })
            .collect();
        for client in clients {
            let outcome = client.join().expect("no client panics");
            let is_whole = outcome.status == 200 && outcome.complete;
            assert!(!is_whole, "{what}: {outcome:?}");
        }
        expect_closed(fleet.ledger.floods(), &what);
        plain.set_answer_mode(AnswerMode::Normal);
        engine.set_answer_mode(AnswerMode::Normal);
    }
    wait_until("requests are served again", || {
        fleet.send(0, &request("after", "GET", "/read/1")).status == 200
    });
    expect_small(&fleet, "relayed");
}

/// Answers, reports, copies, health checks and the store, all without end at the same time, while streams of other clients
/// go on.
#[test]
fn bytes_without_end_at_all_doors_take_all_memory() {
    let fleet = Fleet::start(1);
    let sound = fleet.start_engine("sound", EVENTS, Duration::from_millis(12));
    let plain = fleet.start_plain("p1", SHORT);
    let _spare = fleet.start_plain("p2", SHORT);
    fleet.configure();
    let clients = start_generations(&fleet, GENERATIONS / 2);
    let engine = fleet.start_engine("e1", 20, SHORT);
    wait_until("the engine is known", || {
        fleet.gateways[0].logged("\"upstream\":\"e1\"")
    });
    for upstream in [&sound, &engine, &plain] {
        upstream.set_control_flood(Some(Flood::Body));
    }
    fleet.gateways[0]
        .store_endpoint
        .set_outage(Some(Outage::Flood(Flood::Body)));
    plain.set_answer_mode(AnswerMode::Flood(Flood::Body));
    engine.set_answer_mode(AnswerMode::Flood(Flood::Event));
    sound.leave_unannounced();
    let address = fleet.gateways[0].caller_address;
    let others: Vec<_> = (0..48)
        .map(|number| {
            let id = format!("o{number}");
            let request = match number % 3 {
                0 => request(&id, "POST", "/order/1"),
                1 => request(&id, "GET", "/read/1"),
                _ => generation_request(&id),
            };
            thread::spawn(move || client::send(address, &request.with_timeout(Duration::from_secs(3))))
        })
        .collect();
    for other in others {
        other.join().expect("no client panics");
    }
    expect_whole(clients, "all doors");
    fleet.gateways[0].store_endpoint.set_outage(None);
    expect_closed(fleet.ledger.floods(), "all doors");
    expect_small(&fleet, "all doors");
}

/// An instance that starts while the store is away asks another one for content, which answers without end.
#[test]
fn content_without_end_of_another_instance_takes_all_memory() {
    for length in MESSAGE_LENGTHS {
        let what = format!("content, messages of {length} bytes");
        let (peer, closed) = start_flooding_peer(length);
        let mut fleet = Fleet::start(0);
        let _plain = fleet.start_plain("p1", SHORT);
        let mut gateway = Gateway::prepare(&fleet.store, &[peer]);
        gateway.store_endpoint.set_outage(Some(Outage::Busy));
        gateway.spawn();
        fleet.gateways.push(gateway);
        wait_until("the gateway has asked three times", || {
            closed.load(Ordering::SeqCst) >= 3
        });
        fleet.gateways[0].store_endpoint.set_outage(None);
        fleet.configure();
        let read = request("r", "GET", "/read/1");
        assert_eq!(fleet.send(0, &read).status, 200, "{what}");
        expect_small(&fleet, &what);
    }
}
