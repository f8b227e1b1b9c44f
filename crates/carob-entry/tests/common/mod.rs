//! Harness: one entry instance in front of stand-ins, and its callers.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use carob_base::Name;
use carob_entry::{Instance, Options};
use carob_http::client::{self, Chunk, Request, Response};
use carob_standin::{Engine, Orders, Store, engine, orders, store};
use carob_wire::{
    Problem,
    event::{Event, Kind},
    header, sse,
};
use serde_json::{Value, json};
use sha2::{Digest as _, Sha256};

/// Time limit of one step; long enough for a busy machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Keys of the two client accounts, and of the operators.
pub const OULU: &str = "parish-oulu-key";
pub const TAMPERE: &str = "parish-tampere-key";
pub const OPERATOR: &str = "operators-key";

/// The stand-ins, and the ticket that configures them.
pub struct Platform {
    pub store: Store,
    pub engines: Vec<Engine>,
    pub orders: Orders,
}

impl Platform {
    /// Starts a store, `engines` engines and an ordering service.
    pub fn start(engines: u64) -> Self {
        let engine = |seed| {
            let options = engine::Options {
                seed,
                step_time: Duration::from_millis(2),
                ..engine::Options::default()
            };
            Engine::start(options).expect("loopback is free")
        };
        Self {
            store: Store::start(&store::Options::default()).expect("loopback is free"),
            engines: (1..=engines).map(engine).collect(),
            orders: Orders::start(&orders::Options::default()).expect("loopback is free"),
        }
    }

    /// The change ticket with services, accounts, routes and upstreams.
    pub fn ticket(&self, number: u64) -> String {
        let mut text = format!(
            "[ticket]\nnumber = {number}\n\
             [service drafts]\nkind = generation\nmodel = default\npatience = 5s\n\
             [service ordering]\nkind = plain\npatience = 5s\n\
             [account parish-oulu]\nkey-sha256 = {}\n\
             [account parish-tampere]\nkey-sha256 = {}\n\
             [route drafts]\npath = /v1/responses\nservice = drafts\nidempotent = yes\n\
             [route stock]\npath = /stock\nmethods = GET\nservice = ordering\nidempotent = yes\n\
             [route orders]\npath = /orders\nmethods = POST\nservice = ordering\nidempotent = no\n",
            sha256(OULU),
            sha256(TAMPERE)
        );
        for (at, engine) in self.engines.iter().enumerate() {
            let extra = "memory = 16384\nslots = 16\n";
            text += &upstream(&format!("engine-{at}"), "drafts", engine.address(), extra);
        }
        text + &upstream("orders-0", "ordering", self.orders.address(), "slots = 16\n")
    }

    /// Whether `text` is exactly what one of the engines generates for `body`.
    pub fn expects(&self, body: &str, text: &str) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|engine| engine.expected_answer(body.as_bytes()) == text)
    }

    /// Number of generations in progress at the engines.
    pub fn open_count(&self) -> usize {
        self.engines.iter().map(Engine::open_count).sum()
    }

    pub fn close(self) {
        self.engines.into_iter().for_each(Engine::close);
        self.orders.close();
        self.store.close();
    }
}

fn upstream(name: &str, service: &str, address: SocketAddr, extra: &str) -> String {
    format!(
        "[upstream {name}]\nservice = {service}\naddress = {address}\ndomain = uusimaa\nregion = uusimaa\n{extra}"
    )
}

fn sha256(key: &str) -> String {
    use std::fmt::Write as _;
    Sha256::digest(key.as_bytes())
        .iter()
        .fold(String::new(), |mut text, byte| {
            write!(text, "{byte:02x}").expect("strings take any text");
            text
        })
}

/// Starts an instance that uses the store at `store`, without waiting for its configuration.
pub fn start(store: SocketAddr, change: impl FnOnce(&mut Options)) -> Instance {
    let name = |text| Name::new(text).expect("a valid name");
    let mut options = Options::new(name("entry-1"), name("uusimaa"), name("uusimaa"));
    options.store_addresses = vec![store];
    options.operator_key = Some(Bytes::from_static(OPERATOR.as_bytes()));
    options.answer_key = Bytes::from_static(b"an answer key for tests");
    options.peer_key = Bytes::from_static(b"a peer key for tests");
    options.leave_delay = Duration::from_millis(50);
    options.poll_interval = Duration::from_millis(50);
    change(&mut options);
    Instance::start(options).expect("loopback is free")
}

/// Starts the stand-ins and an instance, and puts ticket 1 in force.
pub fn start_configured(engines: u64, change: impl FnOnce(&mut Options)) -> (Platform, Instance) {
    let platform = Platform::start(engines);
    let instance = start(platform.store.address(), change);
    let answer = submit(&instance, &platform.ticket(1));
    assert_eq!(answer.status, 200, "{:?}", answer.body);
    wait_in_force(&instance, 1);
    (platform, instance)
}

/// Waits until the instance is ready with the configuration of `revision`.
pub fn wait_in_force(instance: &Instance, revision: u64) {
    wait_until("the ticket is in force", || {
        let status = client::call(&Request::get(instance.admin_address(), "/status")).expect("an answer");
        let status: Value = serde_json::from_slice(&status.body).expect("JSON");
        instance.is_ready() && status["revision"] == revision
    });
}

pub fn submit(instance: &Instance, ticket: &str) -> Response {
    let request = Request::post(instance.admin_address(), "/tickets", ticket.to_owned())
        .with_header("authorization", format!("Bearer {OPERATOR}"));
    client::call(&request).expect("the operators' listener answers")
}

pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = std::time::Instant::now() + STEP_TIMEOUT;
    while !condition() {
        assert!(std::time::Instant::now() < end, "timed out: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A request of the account whose key is `key`.
pub fn request(instance: &Instance, key: &str, method: &str, path: &str) -> Request {
    Request::new(method, instance.caller_address(), path)
        .with_header("authorization", format!("Bearer {key}"))
        .with_deadline(STEP_TIMEOUT)
}

pub fn call(request: &Request) -> Response {
    client::call(request).expect("the instance answers")
}

/// The problem in a response; checks that the status and the headers agree with it.
#[track_caller]
pub fn refusal(response: &Response) -> Problem {
    let problem: Problem = serde_json::from_slice(&response.body).expect("a problem");
    assert_eq!(response.status, problem.status);
    assert_eq!(
        response.headers.get(header::OUTCOME),
        Some(problem.outcome.as_str())
    );
    assert_eq!(
        response.headers.get("content-type"),
        Some("application/problem+json")
    );
    problem
}

/// Body of a request for a streamed answer of `tokens` tokens.
pub fn draft(prompt: &str, tokens: u32) -> String {
    json!({ "input": prompt, "stream": true, "metadata": { "tokens": tokens.to_string() } }).to_string()
}

/// Opens a stream for `body`.
pub fn open(instance: &Instance, key: &str, body: &str) -> client::Stream {
    let request = request(instance, key, "POST", "/v1/responses").with_body(body.to_owned());
    client::open(&request).expect("the instance answers")
}

/// Reads events one by one.
pub struct Reader {
    pub stream: client::Stream,
    decoder: sse::Decoder,
}

impl Reader {
    #[track_caller]
    pub fn new(stream: client::Stream) -> Self {
        assert_eq!(stream.status, 200, "{:?}", stream.next(STEP_TIMEOUT));
        Self {
            stream,
            decoder: sse::Decoder::new(1 << 20),
        }
    }

    /// The next event, `None` at a clean end.
    pub fn next(&mut self) -> Result<Option<Event>, String> {
        loop {
            if let Some(data) = self.decoder.next_data().expect("events are small") {
                return Ok(Some(Event::parse(data).expect("the instance sends events")));
            }
            match self.stream.next(STEP_TIMEOUT) {
                Chunk::Data(data) => self.decoder.feed(&data),
                Chunk::End => return Ok(None),
                Chunk::Failed(reason) => return Err(reason),
                Chunk::TimedOut => panic!("the instance has fallen silent"),
            }
        }
    }

    /// Every event up to a clean end.
    pub fn read_to_end(mut self) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(event) = self.next().expect("the stream ends cleanly") {
            events.push(event);
        }
        events
    }
}

/// The text of the events; checks that their sequence numbers are consecutive from `first` on.
#[track_caller]
pub fn text(events: &[Event], first: u64) -> String {
    let numbers: Vec<u64> = events.iter().map(|event| event.head.sequence).collect();
    let expected: Vec<u64> = (first..first + events.len() as u64).collect();
    assert_eq!(numbers, expected);
    let deltas = events.iter().filter(|event| event.kind() == Kind::Delta);
    let delta = |event: &Event| {
        let value: Value = serde_json::from_slice(&event.data).expect("JSON");
        value["delta"].as_str().expect("text").to_owned()
    };
    deltas.map(delta).collect()
}

/// Sends raw bytes to the listener for callers and reads until the connection is closed.
pub fn send_raw(instance: &Instance, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(instance.caller_address()).expect("the instance accepts");
    stream
        .set_read_timeout(Some(STEP_TIMEOUT))
        .expect("a valid timeout");
    stream.write_all(bytes).expect("the instance reads");
    let mut text = Vec::new();
    stream.read_to_end(&mut text).expect("the instance closes");
    String::from_utf8_lossy(&text).into_owned()
}

/// An idempotency key created now: a UUID of version 7 that ends in `tail`.
pub fn fresh_key(tail: u64) -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
    let millis = since.as_millis() as u64;
    format!(
        "{:08x}-{:04x}-7000-8000-{tail:012x}",
        millis >> 16,
        millis & 0xffff
    )
}
