//! The stand-in engine's HTTP interface, batching and faults, over real sockets.

use std::time::Duration;

use carob_http::client::{self, Chunk, Request};
use carob_standin::engine::{Engine, Fault, Options, Status};
use carob_wire::{
    event::{Event, Kind},
    header,
    load::Report,
    sse::Decoder,
};
use serde_json::{Value, json};

/// Timeout of a single step, long enough for a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

fn start_engine(configure: impl FnOnce(&mut Options)) -> Engine {
    let mut options = Options {
        step_time: Duration::from_millis(1),
        ..Options::default()
    };
    configure(&mut options);
    Engine::start(options).expect("loopback is free")
}

fn request_body(prompt: &str, tokens: u32) -> String {
    json!({ "input": prompt, "stream": true, "metadata": { "tokens": tokens.to_string() } }).to_string()
}

fn post(engine: &Engine, body: &str) -> client::Stream {
    let request =
        Request::post(engine.address(), "/v1/responses", body.to_owned()).with_deadline(STEP_TIMEOUT);
    client::open(&request).expect("the engine answers")
}

/// Reads events until the stream ends. Returns them, and whether the response was terminated properly.
fn read_events(stream: &client::Stream) -> (Vec<Event>, bool) {
    let mut decoder = Decoder::new(1 << 20);
    let mut events = Vec::new();
    loop {
        match stream.next(STEP_TIMEOUT) {
            Chunk::Data(data) => decoder.feed(&data),
            Chunk::End => return (events, true),
            Chunk::Failed(_) => return (events, false),
            Chunk::TimedOut => panic!("no data from the engine within {STEP_TIMEOUT:?}"),
        }
        while let Some(data) = decoder.next_data().expect("events are small") {
            events.push(Event::parse(data).expect("the engine sends valid events"));
        }
    }
}

fn answer_text(events: &[Event]) -> String {
    let deltas = events.iter().filter(|event| event.kind() == Kind::Delta);
    let parse = |event: &Event| serde_json::from_slice::<Value>(&event.data).expect("JSON");
    deltas
        .map(|event| parse(event)["delta"].as_str().expect("text").to_owned())
        .collect()
}

fn sequences(events: &[Event]) -> Vec<u64> {
    events.iter().map(|event| event.head.sequence).collect()
}

#[test]
fn stream_is_the_expected_answer() {
    let engine = start_engine(|_| {});
    let body = request_body("a quote", 10);
    let (events, is_clean) = read_events(&post(&engine, &body));
    assert!(is_clean);
    assert_eq!(sequences(&events), (0..14).collect::<Vec<_>>());
    assert_eq!(answer_text(&events), engine.expected_answer(body.as_bytes()));
    assert_eq!(events[0].kind(), Kind::Created);
    let last = &events[13];
    assert_eq!(
        (last.kind(), last.head.output_tokens),
        (Kind::Completed, Some(10))
    );
    engine.close();
}

#[test]
fn limit_of_the_request_cuts_the_answer() {
    let engine = start_engine(|_| {});
    let body =
        json!({ "input": "x", "stream": true, "max_output_tokens": 3, "metadata": { "tokens": "10" } });
    let (events, is_clean) = read_events(&post(&engine, &body.to_string()));
    assert!(is_clean);
    let last = events.last().expect("events");
    assert_eq!(
        (last.kind(), last.head.output_tokens),
        (Kind::Incomplete, Some(3))
    );
    engine.close();
}

#[test]
fn cut_stream_is_resumed_where_it_broke() {
    let engine = start_engine(|_| {});
    let body = request_body("a quote", 20);
    engine.inject(Fault::Cut(5));
    let stream = post(&engine, &body);
    assert_eq!(
        stream.headers.get(header::INCARNATION),
        Some(engine.incarnation().to_string().as_str())
    );
    let (mut events, is_clean) = read_events(&stream);
    assert!(!is_clean);
    assert_eq!(sequences(&events), [0, 1, 2, 3, 4]);
    let id = events[0]
        .head
        .answer_id
        .clone()
        .expect("the first event has the id");
    let path = format!("/v1/responses/{id}?stream=true&starting_after=4");
    let resumed = client::open(&Request::get(engine.address(), &path)).expect("the engine answers");
    let (resumed_events, is_clean) = read_events(&resumed);
    assert!(is_clean);
    events.extend(resumed_events);
    assert_eq!(sequences(&events), (0..24).collect::<Vec<_>>());
    assert_eq!(answer_text(&events), engine.expected_answer(body.as_bytes()));
    engine.close();
}

#[test]
fn faults_change_the_order_of_events() {
    let engine = start_engine(|_| {});
    let cases = [
        (Fault::Repeat(1), vec![0, 1, 1, 2, 3, 4, 5]),
        (Fault::Skip(1), vec![0, 2, 3, 4, 5]),
        (Fault::Swap(1), vec![0, 2, 1, 3, 4, 5]),
    ];
    for (fault, expected) in cases {
        engine.inject(fault);
        let (events, is_clean) = read_events(&post(&engine, &request_body("x", 2)));
        assert_eq!((sequences(&events), is_clean), (expected, true), "{fault:?}");
    }
    engine.close();
}

#[test]
fn stalled_stream_is_silent_while_the_answer_goes_on() {
    let engine = start_engine(|_| {});
    engine.inject(Fault::Stall(2));
    let stream = post(&engine, &request_body("x", 5));
    while engine.records()[0].status != Status::Completed {
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut received = Vec::new();
    while let Chunk::Data(data) = stream.next(Duration::from_millis(50)) {
        received.extend_from_slice(&data);
    }
    assert!(!String::from_utf8_lossy(&received).contains("delta"));
    stream.close();
    engine.close();
}

#[test]
fn cancel_frees_the_engine() {
    let engine = start_engine(|_| {});
    let stream = post(&engine, &request_body("x", 1_000_000));
    let Chunk::Data(first) = stream.next(STEP_TIMEOUT) else {
        panic!("the stream starts with data");
    };
    let mut decoder = Decoder::new(1 << 20);
    decoder.feed(&first);
    let event = Event::parse(
        decoder
            .next_data()
            .expect("events are small")
            .expect("a complete event"),
    )
    .expect("a valid event");
    let id = event.head.answer_id.expect("the first event has the id");
    let cancel = Request::post(engine.address(), &format!("/v1/responses/{id}/cancel"), "");
    assert_eq!(client::call(&cancel).map(|response| response.status), Ok(200));
    assert_eq!(engine.open_count(), 0);
    assert_eq!(engine.records()[0].status, Status::Cancelled);
    let unknown = Request::post(engine.address(), "/v1/responses/resp_0/cancel", "");
    assert_eq!(client::call(&unknown).map(|response| response.status), Ok(404));
    engine.close();
}

#[test]
fn death_cuts_streams_and_a_restart_is_another_incarnation() {
    let engine = start_engine(|_| {});
    let first = engine.incarnation();
    let stream = post(&engine, &request_body("x", 1_000_000));
    engine.kill();
    assert!(!read_events(&stream).1);
    let refused = client::call(&Request::get(engine.address(), "/metrics"));
    assert!(matches!(refused, Err(client::Error::Refused(_))), "{refused:?}");
    engine.restart().expect("the port is free");
    assert!(engine.incarnation() > first);
    let (events, is_clean) = read_events(&post(&engine, &request_body("x", 3)));
    assert!(is_clean);
    assert_eq!(
        answer_text(&events),
        engine.expected_answer(request_body("x", 3).as_bytes())
    );
    assert_eq!(engine.records().len(), 2);
    engine.close();
}

#[test]
fn poison_kills() {
    let engine = start_engine(|options| options.poison = Some("arsenic".to_owned()));
    let stream = post(&engine, &request_body("a pinch of arsenic", 5));
    assert!(!read_events(&stream).1);
    // The incarnation is 0 while the engine is not running.
    assert_eq!(engine.incarnation(), 0);
    engine.close();
}

#[test]
fn full_memory_preempts_the_latest_and_still_completes_all() {
    let engine = start_engine(|options| options.memory_tokens = 60);
    let bodies = [request_body("a", 40), request_body("b", 40)];
    // Neither may generate before the other has arrived.
    engine.pause();
    let answers = std::thread::scope(|scope| {
        let readers: Vec<_> = bodies
            .iter()
            .zip(1..)
            .map(|(body, count)| {
                let reader = scope.spawn(|| read_events(&post(&engine, body)));
                while engine.open_count() < count {
                    std::thread::yield_now();
                }
                reader
            })
            .collect();
        engine.resume();
        readers
            .into_iter()
            .map(|reader| reader.join().expect("the reader ends"))
            .collect::<Vec<_>>()
    });
    for ((events, is_clean), body) in answers.iter().zip(&bodies) {
        assert!(is_clean);
        assert_eq!(answer_text(events), engine.expected_answer(body.as_bytes()));
    }
    let preemptions: Vec<u32> = engine.records().iter().map(|record| record.preemptions).collect();
    assert_eq!(preemptions[0], 0);
    assert!(preemptions[1] > 0);
    engine.close();
}

#[test]
fn report_shows_leaving() {
    let engine = start_engine(|options| options.report_lag = Duration::ZERO);
    engine.announce_leaving();
    let report = || {
        let response = client::call(&Request::get(engine.address(), "/metrics")).expect("the engine answers");
        Report::parse(std::str::from_utf8(&response.body).unwrap_or_default()).ok()
    };
    while report().is_none_or(|report| !report.leaving) {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(report().map(|report| report.memory_tokens), Some(16 * 1024));
    engine.close();
}

#[test]
fn old_fencing_number_is_refused_where_it_is_checked() {
    for (checks_fencing, status) in [(true, 409), (false, 200)] {
        let engine = start_engine(|options| options.checks_fencing = checks_fencing);
        let order = |number: &str| {
            // An engine takes orders that change its state, here to load a model.
            let body = json!({ "order": "load", "model": "quotes" }).to_string();
            let request =
                Request::post(engine.address(), "/orders", body).with_header(header::FENCING, number);
            client::call(&request).map(|response| response.status)
        };
        assert_eq!(order("7"), Ok(200));
        assert_eq!(order("6"), Ok(status));
        assert_eq!(engine.orders().len(), if checks_fencing { 1 } else { 2 });
        engine.close();
    }
}

#[test]
fn cache_events_have_gaps() {
    let engine = start_engine(|options| {
        options.cache_lag = Duration::ZERO;
        // Every second event is lost.
        options.cache_gap = 2;
    });
    read_events(&post(&engine, &request_body(&"x".repeat(256), 1)));
    let response =
        client::call(&Request::get(engine.address(), "/cache/events?after=0")).expect("the engine answers");
    let events: Value = serde_json::from_slice(&response.body).expect("JSON");
    let numbers: Vec<u64> = events["events"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|event| event["sequence"].as_u64())
        .collect();
    assert_eq!((numbers, events["last"].as_u64()), (vec![1, 3], Some(4)));
    engine.close();
}
