//! Malformed input at each door of a gateway: it ends no process, and what comes after it is served.

mod fleet;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream, UdpSocket},
    time::Duration,
};

use fleet::{Fleet, request};
use rand::{Rng, RngExt as _, SeedableRng, rngs::StdRng};

const SEED: u64 = 42;
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Datagrams, and connections at each other door.
const DATAGRAMS: usize = 100_000;
const CONNECTIONS: usize = 3_000;

/// Datagrams between two checks, so that few are dropped by a full buffer.
const BATCH: usize = 200;

/// Pieces of requests, of which some fit together.
const PIECES: [&str; 20] = [
    "GET /read/1 HTTP/1.1\r\n",
    "POST /order/1 HTTP/1.1\r\n",
    "GET / HTTP/1.0\r\n",
    "HTTP/1.1 200 OK\r\n",
    "Host: shop.example\r\n",
    "Content-Length: 5\r\n",
    "Content-Length: -1\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "Connection: close, keep-alive, x\r\n",
    "\r\n",
    "\r\n\r\n",
    "5\r\nhello\r\n",
    "ffffffffffffffff\r\n",
    "0\r\n\r\n",
    "Last-Event-Id: x\r\n",
    ": \r\n",
    "\0",
    "Expect: 100-continue\r\n",
    "Upgrade: h2c\r\n",
];

/// A protobuf message of random fields, of which some are those of messages between instances.
fn message(rng: &mut StdRng, depth: u32) -> Vec<u8> {
    let mut bytes = Vec::new();
    for _ in 0..rng.random_range(0..6) {
        let field: u64 = rng.random_range(1..26);
        let kind: u64 = [0, 1, 2, 5, rng.random_range(0..8)][rng.random_range(0..5)];
        varint(&mut bytes, field << 3 | kind);
        match kind {
            0 => {
                let shift = rng.random_range(0..64);
                varint(&mut bytes, rng.random::<u64>() >> shift);
            }
            1 => bytes.extend_from_slice(&rng.random::<u64>().to_le_bytes()),
            5 => bytes.extend_from_slice(&rng.random::<u32>().to_le_bytes()),
            _ => {
                let inner = if depth > 0 && rng.random_bool(0.6) {
                    message(rng, depth - 1)
                } else {
                    noise(rng, 40)
                };
                let length = if rng.random_ratio(1, 12) {
                    rng.random()
                } else {
                    inner.len() as u64
                };
                varint(&mut bytes, length);
                bytes.extend_from_slice(&inner);
            }
        }
    }
    bytes
}

fn varint(bytes: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

fn noise(rng: &mut StdRng, longest: usize) -> Vec<u8> {
    let mut bytes = vec![0; rng.random_range(0..longest)];
    rng.fill_bytes(&mut bytes);
    bytes
}

fn text(rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = Vec::new();
    for _ in 0..rng.random_range(1..10) {
        bytes.extend_from_slice(PIECES[rng.random_range(0..PIECES.len())].as_bytes());
        if rng.random_ratio(1, 10) {
            bytes.extend(noise(rng, 20));
        }
    }
    bytes
}

/// A frame as instances send them, some with another length.
fn frame(rng: &mut StdRng) -> Vec<u8> {
    let inner = message(rng, 2);
    let length = if rng.random_ratio(1, 5) {
        rng.random()
    } else {
        inner.len() as u32
    };
    [length.to_be_bytes().as_slice(), &inner].concat()
}

/// Sends bytes on a new connection and waits a moment for an answer, which is not looked at.
fn send(address: SocketAddr, bytes: &[u8]) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return;
    };
    let _sent = stream.write_all(bytes);
    if stream.set_read_timeout(Some(Duration::from_millis(1))).is_ok() {
        let _read = stream.read(&mut [0; 256]);
    }
}

fn expect_served(fleet: &mut Fleet, what: &str) {
    let ended = fleet.gateways[0].child.try_wait().expect("it is a child");
    assert!(ended.is_none(), "{what}: the process ended with {ended:?}");
    for number in 0..5 {
        let outcome = fleet.send(0, &request(&format!("{what}-{number}"), "GET", "/read/1"));
        assert_eq!(outcome.status, 200, "{what}");
    }
    assert!(fleet.gateways[0].is_ready(), "{what}");
}

#[test]
fn malformed_input_ends_a_process() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut fleet = Fleet::start(2);
    let _plain = fleet.start_plain("p1", SERVICE_TIME);
    fleet.configure();
    let gateway = &fleet.gateways[0];
    let (peer, doors) = (
        gateway.peer_address,
        [
            gateway.caller_address,
            gateway.ready_address,
            gateway.admin_address,
        ],
    );
    let socket = UdpSocket::bind((peer.ip(), 0)).expect("loopback has free ports");
    for number in 0..DATAGRAMS {
        let bytes = if rng.random_ratio(1, 5) {
            noise(&mut rng, 200)
        } else {
            message(&mut rng, 2)
        };
        socket.send_to(&bytes, peer).expect("loopback takes datagrams");
        if number % BATCH == 0 {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    expect_served(&mut fleet, "datagrams");
    for _ in 0..CONNECTIONS {
        send(peer, &frame(&mut rng));
    }
    expect_served(&mut fleet, "frames");
    for door in doors {
        for _ in 0..CONNECTIONS {
            send(door, &text(&mut rng));
        }
        expect_served(&mut fleet, &format!("door-{}", door.port()));
    }
}
