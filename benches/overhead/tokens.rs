//! Delay per token: each token's arrival through the instance and on a direct stream of the same answer.

use std::{
    collections::HashMap,
    thread,
    time::{Duration, Instant},
};

use carob_http::client::{self, Chunk, Request, Stream};
use carob_standin::Engine;
use carob_wire::{event::Event, sse::Decoder};

use crate::{
    process::{Process, STEP_TIMEOUT, open},
    summary::Samples,
};

/// Number of tokens of each answer.
const TOKENS: u64 = 300;
/// Number of events before the measured ones. The direct stream is opened later and first replays past events;
/// after these events, both streams are live.
const WARM_UP_EVENTS: u64 = 50;

/// When each event arrived, by sequence number.
type Arrivals = HashMap<u64, Duration>;

/// Measures `streams` answers that are generated at the same time.
pub fn run(process: &Process, engine: &Engine, streams: usize) {
    let start = Instant::now();
    let pairs: Vec<_> = (0..streams)
        .map(|index| {
            let (caller_address, engine_address) = (process.caller_address, engine.address());
            let prompt = format!("{streams} quotes, number {index}");
            let body = format!(r#"{{"input":"{prompt}","stream":true,"metadata":{{"tokens":"{TOKENS}"}}}}"#);
            let stream = open(caller_address, &body);
            let record = engine
                .records()
                .into_iter()
                .rfind(|record| record.prompt == prompt);
            let id = record.expect("the engine runs it").id;
            let path = format!("/v1/responses/{id}?stream=true");
            let request = Request::get(engine_address, &path).with_deadline(10 * STEP_TIMEOUT);
            let direct_stream = client::open(&request).expect("the engine answers");
            let via_instance = thread::spawn(move || read(&stream, start));
            (via_instance, thread::spawn(move || read(&direct_stream, start)))
        })
        .collect();
    let mut added_delays = Samples::default();
    let mut direct_gaps = Samples::default();
    let mut instance_gaps = Samples::default();
    for (via_instance, direct) in pairs {
        let via_instance = via_instance.join().expect("the reader ends");
        let direct = direct.join().expect("the reader ends");
        for number in WARM_UP_EVENTS..TOKENS {
            added_delays.push_difference(via_instance[&number], direct[&number]);
            direct_gaps.push_difference(direct[&number], direct[&(number - 1)]);
            instance_gaps.push_difference(via_instance[&number], via_instance[&(number - 1)]);
        }
    }
    let (p50, p99) = added_delays.p50_p99();
    crate::summary::print(
        &format!("gap between tokens, {streams} streams"),
        &direct_gaps,
        &instance_gaps,
    );
    println!("| same token, {streams} streams | | | | | {p50:.0} µs | {p99:.0} µs |");
}

/// Reads a stream to its end; times count from `start`.
fn read(stream: &Stream, start: Instant) -> Arrivals {
    let mut decoder = Decoder::new(1 << 20);
    let mut arrivals = Arrivals::new();
    loop {
        match stream.next(STEP_TIMEOUT) {
            Chunk::Data(data) => decoder.feed(&data),
            Chunk::End => return arrivals,
            other => panic!("the stream broke: {other:?}"),
        }
        let now = start.elapsed();
        while let Some(data) = decoder.next_data().expect("events are small") {
            let event = Event::parse(data).expect("an event");
            arrivals.insert(event.head.sequence, now);
        }
    }
}
