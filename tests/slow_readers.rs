//! Clients that read slowly or not at all: what a gateway holds for them stays bounded, and others are served meanwhile.

mod fleet;

use std::{
    fs,
    net::{SocketAddr, TcpStream},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Link, Upstream,
    client::{self, Outcome, Request},
};
use fleet::{BODY_MEMORY, Fleet, Gateway, LONG, generation_request, request, wait_until};

const SHORT: Duration = Duration::from_millis(5);

/// Size of a large answer in bytes: more than kernels hold for a connection that is not read.
const LARGE: usize = 8 << 20;

/// Memory of the gateway in megabytes, that of the smallest instance, and the eighth of it for answers that wait.
const MEMORY_MB: usize = 88;
const LIMIT: usize = MEMORY_MB * 1_000_000 / 8;

/// Memory by which the process may grow: half of the instance's. Before answers were bounded in bytes, it grew by 53 and 167 MB
/// for answers of 250 KiB and 8 MiB.
const MAX_GROWTH: usize = MEMORY_MB * 1_000_000 / 2;

/// What one answer may hold beyond its allowance: what is read of it before it is passed on, one read, and what its
/// connection has not sent.
const PIECE: usize = 48 << 10;

/// Time within which others are answered, below that for which the readers do not read.
const OTHERS: Duration = Duration::from_secs(2);

fn start(answer_bytes: usize) -> (Fleet, Vec<Upstream>) {
    let fleet = Fleet::start(1);
    let upstreams = vec![
        fleet.start_plain("p0", SHORT),
        fleet.start_engine("e0", 40, Duration::from_millis(20)),
    ];
    fleet.configure();
    wait_until("both upstreams are known", || {
        fleet.send(0, &generation_request("warm").with_events(1)).status == 200
            && fleet.send(0, &request("warm", "POST", "/order/1")).status == 200
    });
    upstreams[0].set_answer_bytes(answer_bytes);
    let gateway = &fleet.gateways[0];
    let settings = fs::read_to_string(gateway.settings_path()).expect("it is there");
    let settings = settings
        .replace("domain = a\n", &format!("domain = a\nmemory = {MEMORY_MB}MB\n"))
        .replace(&format!("bodies = {BODY_MEMORY}\n"), "");
    fs::write(gateway.settings_path(), settings).expect("it is writable");
    gateway.signal("HUP");
    wait_until("the memory is known", || {
        metric(gateway, "carobhaven_waiting_limit_bytes") as usize == LIMIT
    });
    (fleet, upstreams)
}

/// Sends a request on a narrow connection, of which the answer is not read.
fn open_unread(fleet: &Fleet, request: &Request) -> TcpStream {
    client::open_narrow(fleet.gateways[0].caller_address, request).expect("the gateway listens")
}

/// Sends generations one after the other; returns their outcomes and the longest time to an answer.
fn begin_others(address: SocketAddr, count: usize) -> JoinHandle<(Vec<Outcome>, Duration)> {
    thread::spawn(move || {
        let mut slowest = Duration::ZERO;
        let send = |number| {
            let begun = Instant::now();
            let outcome = client::send(
                address,
                &generation_request(&format!("other{number}")).with_events(2),
            );
            slowest = slowest.max(begun.elapsed());
            outcome
        };
        ((0..count).map(send).collect(), slowest)
    })
}

fn expect_served(others: JoinHandle<(Vec<Outcome>, Duration)>) {
    let (outcomes, slowest) = others.join().expect("clients do not panic");
    for outcome in &outcomes {
        assert!(
            outcome.status == 200 && outcome.complete,
            "another request: {outcome:?}"
        );
    }
    assert!(slowest < OTHERS, "another request took {slowest:?}");
}

/// The value of a metric, summed over its labels.
fn metric(gateway: &Gateway, name: &str) -> f64 {
    let metrics = client::send(gateway.admin_address, &Request::new("m", "GET", "/metrics"));
    let text = String::from_utf8(metrics.body).expect("metrics are text");
    let lines = text
        .lines()
        .filter(|line| line.starts_with(name) && !line.starts_with('#'));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Memory of the process in bytes, at its peak.
fn peak_memory(gateway: &Gateway) -> usize {
    let status = fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    let size = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok());
    size.expect("a size in KiB") << 10
}

#[test]
fn an_unread_answer_is_held_without_end_or_delays_others() {
    let (fleet, _upstreams) = start(LARGE);
    let gateway = &fleet.gateways[0];
    let mut reader = open_unread(&fleet, &request("unread", "POST", "/order/1").with_timeout(LONG));
    wait_until("reading from the upstream has stopped", || {
        metric(gateway, "carobhaven_readers_paused_total") > 0.0
    });
    expect_served(begin_others(gateway.caller_address, 20));
    // The kernel or the gateway ends the connection.
    wait_until("the answer is cut off", || {
        gateway.logged("\"long answer cut off\"")
    });
    assert!(!client::read(&mut reader, Instant::now() + LONG).complete);
    wait_until("nothing is held", || {
        metric(gateway, "carobhaven_waiting_bytes{") < 1.0
    });
}

#[test]
fn an_unread_stream_is_held_without_end_or_delays_others() {
    let (fleet, upstreams) = start(LARGE);
    let gateway = &fleet.gateways[0];
    // Comments of this size before each event fill the buffers of the kernel soon.
    upstreams[1].set_preamble(&format!(": {}\n\n", "c".repeat(200 << 10)));
    let open = |id: &str| open_unread(&fleet, &generation_request(id));
    let mut unread = [open("unread1"), open("unread2"), open("unread3")];
    let mut late = [open("late1"), open("late2")];
    thread::sleep(SHORT * 20);
    upstreams[1].set_preamble("");
    expect_served(begin_others(gateway.caller_address, 5));
    for reader in &mut late {
        let outcome = client::read(reader, Instant::now() + LONG);
        assert!(
            outcome.complete && outcome.events().len() == 40,
            "a client that goes on reading"
        );
    }
    for (number, reader) in unread.iter_mut().enumerate() {
        let is_line = |line: &String| {
            line.contains("its client does not read") && line.contains(&format!("unread{}", number + 1))
        };
        wait_until("the stream is cut off", || {
            gateway.log_lines().iter().any(is_line)
        });
        assert!(!client::read(reader, Instant::now() + LONG).complete);
    }
    assert_eq!(
        fleet.ledger.run_count("unread1"),
        1,
        "nothing runs again for a client that does not read"
    );
    wait_until("nothing is held", || {
        metric(gateway, "carobhaven_waiting_bytes{") < 1.0
    });
}

/// Upstreams cut off an answer that stays unread, which says nothing about them.
#[test]
fn an_upstream_that_cuts_off_an_unread_answer_is_blamed() {
    let (fleet, upstreams) = start(LARGE);
    upstreams[1].set_answer_bytes(LARGE / 40);
    let gateway = &fleet.gateways[0];
    let mut order = open_unread(&fleet, &request("order", "POST", "/order/1").with_timeout(LONG));
    let mut stream = open_unread(&fleet, &generation_request("stream"));
    // Longer than the pause after which an upstream may do so, and shorter than the one that ends the answers.
    thread::sleep(Duration::from_millis(1_500));
    for upstream in &upstreams {
        upstream.set_link(Link::Reset);
    }
    for (reader, line) in [
        (&mut order, "the client read too slowly for its upstream"),
        (&mut stream, "cut: client does not read"),
    ] {
        let outcome = client::read(reader, Instant::now() + LONG);
        assert!(outcome.status == 200 && !outcome.complete);
        wait_until(line, || gateway.logged(line));
    }
}

#[test]
fn a_slow_reader_loses_bytes() {
    let (fleet, _upstreams) = start(1 << 20);
    let mut reader = open_unread(&fleet, &request("slow", "POST", "/order/1").with_timeout(LONG));
    thread::sleep(Duration::from_millis(700));
    let outcome = client::read(&mut reader, Instant::now() + LONG);
    assert!(outcome.status == 200 && outcome.complete);
    assert_eq!(outcome.body.len(), 1 << 20);
}

/// Before, 8 pieces of up to 64 KiB and whole answers of 256 KiB were held for each.
#[test]
fn many_slow_readers_exhaust_memory() {
    const READERS: usize = 150;
    for size in [250 << 10, LARGE] {
        let (fleet, _upstreams) = start(size);
        let gateway = &fleet.gateways[0];
        let before = peak_memory(gateway);
        let readers: Vec<TcpStream> = (0..READERS)
            .map(|number| {
                let request = request(&format!("r{number}"), "GET", "/read/1").with_timeout(LONG);
                open_unread(&fleet, &request)
            })
            .collect();
        let others = begin_others(gateway.caller_address, 30);
        let mut most = 0.0_f64;
        for _ in 0..10 {
            most = most.max(metric(gateway, "carobhaven_waiting_bytes{"));
            thread::sleep(Duration::from_millis(100));
        }
        expect_served(others);
        let growth = peak_memory(gateway).saturating_sub(before);
        eprintln!("answers of {size} bytes: {most} bytes held, memory grew by {growth}");
        assert!(most <= (LIMIT + READERS * PIECE) as f64, "{most} bytes are held");
        assert!(growth <= MAX_GROWTH, "memory grew by {growth} bytes");
        drop(readers);
        wait_until("nothing is held", || {
            metric(gateway, "carobhaven_waiting_bytes{") < 1.0
        });
    }
}
