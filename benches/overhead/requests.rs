//! Delay per request, through the instance compared with a direct one.

use std::{net::SocketAddr, time::Instant};

use carob_http::client::{self, Chunk, Request};
use carob_standin::Engine;

use crate::{
    process::{CLIENT_KEY, Process, STEP_TIMEOUT, open},
    summary::{Samples, print},
};

/// Number of calls measured on each path; direct calls and calls through the instance alternate.
const REQUESTS: usize = 1_000;
/// Number of generations measured on each path.
const GENERATIONS: usize = 200;

/// Measures calls to a plain service, from request to complete response.
pub fn plain(process: &Process, service: SocketAddr) {
    let call = |address| {
        let request =
            Request::get(address, "/stock").with_header("authorization", format!("Bearer {CLIENT_KEY}"));
        let start = Instant::now();
        let response = client::call(&request).expect("an answer");
        assert_eq!(response.status, 200);
        start.elapsed()
    };
    let (mut direct, mut through) = (Samples::default(), Samples::default());
    for _ in 0..REQUESTS {
        direct.push(call(service));
        through.push(call(process.caller_address));
    }
    print("plain call", &direct, &through);
}

/// Measures the time from sending a request for a generation to its first event with text.
pub fn first_event(process: &Process, engine: &Engine) {
    let body = r#"{"input":"stock","stream":true,"metadata":{"tokens":"1"}}"#;
    let call = |address| {
        let start = Instant::now();
        let stream = open(address, body);
        let mut received = Vec::new();
        while !received.windows(6).any(|bytes| bytes == b".delta") {
            let Chunk::Data(data) = stream.next(STEP_TIMEOUT) else {
                panic!("the stream ended");
            };
            received.extend_from_slice(&data);
        }
        start.elapsed()
    };
    let (mut direct, mut through) = (Samples::default(), Samples::default());
    for _ in 0..GENERATIONS {
        direct.push(call(engine.address()));
        through.push(call(process.caller_address));
    }
    print("request to first token (10 ms engine steps)", &direct, &through);
}
