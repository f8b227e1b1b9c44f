//! CPU time and memory of this process.

use std::{fs, net::UdpSocket};

/// Datagrams sent over loopback to measure the cost of one.
const DATAGRAMS: u32 = 20_000;

/// CPU time of this thread, in seconds; 0 if the kernel does not report it.
pub fn cpu_time() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|field| field.parse::<f64>().ok());
    nanos.unwrap_or(0.0) / 1e9
}

/// Resident memory of this process, in bytes; 0 if the kernel does not report it.
pub fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().split(' ').next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

/// CPU time of sending and receiving one datagram over loopback, in microseconds.
pub fn datagram_cost() -> f64 {
    let bind = || UdpSocket::bind(("127.0.0.1", 0)).expect("a free port");
    let (from, to) = (bind(), bind());
    let address = to.local_addr().expect("bound");
    let (frame, mut buffer) = ([7; 200], [0; 2048]);
    let start = cpu_time();
    for _ in 0..DATAGRAMS {
        from.send_to(&frame, address).expect("sent");
        to.recv_from(&mut buffer).expect("received");
    }
    (cpu_time() - start) / f64::from(DATAGRAMS) * 1e6
}
