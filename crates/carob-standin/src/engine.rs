//! Stand-in for a model engine with the OpenAI Responses API.
//!
//! * `POST /v1/responses` generates an answer, with `stream` as server-sent events. Its length in tokens is
//!   the request's `metadata.tokens` if present, otherwise drawn from [`Options::output_tokens`].
//! * `GET /v1/responses/{id}?stream=true&starting_after=N` resumes the stream after event `N`; without
//!   `stream` it returns the answer so far. Generation continues when the client's connection is closed.
//! * `POST /v1/responses/{id}/cancel` cancels the generation.
//! * `GET /metrics` returns the load in the text format of [`carob_wire::load::Report`].
//! * `GET /cache/events?after=N` returns the prefix cache's events, delayed and with gaps as set in the
//!   [`Options`]: `{"events": [{"sequence", "kind": "stored" | "removed", "block"}], "last"}`.
//! * `POST /orders` accepts `{"order": "load", "model", "adapter", "version"}` or `{"order": "role", "role"}`
//!   with the fencing number in a header; `GET /orders` returns what is in force.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread::{self, JoinHandle},
    time::{Duration, SystemTime},
};

use carob_wire::load::Report;

use crate::{Error, LOOPBACK, host::HttpServer, lock};

mod batch;
mod cache;
mod event;
mod generation;
mod order;
mod prompt;
mod serve;

pub use generation::{Record, Status};
pub use order::Order;

use batch::Batch;
use cache::Cache;
use order::Orders;

carob_base::value! {
    /// Settings of the engine.
    pub struct Options {
        /// Address to listen on. By default, a free port of the loopback interface chosen by the system.
        pub address: SocketAddr,
        /// Seed for the texts and lengths of the answers. 1 by default.
        pub seed: u64,
        /// Name of the model that is loaded at the start. `default` by default.
        pub model: String,
        /// Memory for the prompts and answers of the running batch, in tokens. 16384 by default.
        pub memory_tokens: u32,
        /// Maximum number of requests in the running batch. 16 by default.
        pub slots: usize,
        /// Duration of a step, in which every running request generates one token. 2 ms by default.
        pub step_time: Duration,
        /// Prefill time for each prompt token that is not cached. 10 µs by default.
        pub prefill_time: Duration,
        /// Minimum and maximum length of an answer in tokens, both inclusive, if the request sets none. 4 to
        /// 64 by default.
        pub output_tokens: (u32, u32),
        /// Age of the load report that is returned, as if it were collected late. 50 ms by default.
        pub report_lag: Duration,
        /// Capacity of the prefix cache, in blocks. 1024 by default.
        pub cache_blocks: usize,
        /// Delay until a cache event is published. 50 ms by default.
        pub cache_lag: Duration,
        /// If `n` is not 0, every `n`-th cache event is lost. 0 by default.
        pub cache_gap: u64,
        /// Orders with a fencing number below the highest one accepted are refused. `true` by default.
        pub checks_fencing: bool,
        /// Time that an order to load a model, adapter or version takes. 10 ms by default.
        pub load_time: Duration,
        /// Text that crashes the engine when a prompt with it enters the running batch. `None` by default.
        pub poison: Option<String>,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: LOOPBACK,
            seed: 1,
            model: "default".to_owned(),
            memory_tokens: 16 * 1024,
            slots: 16,
            step_time: Duration::from_millis(2),
            prefill_time: Duration::from_micros(10),
            output_tokens: (4, 64),
            report_lag: Duration::from_millis(50),
            cache_blocks: 1024,
            cache_lag: Duration::from_millis(50),
            cache_gap: 0,
            checks_fencing: true,
            load_time: Duration::from_millis(10),
            poison: None,
        }
    }
}

carob_base::plain! {
    /// Fault of one stream. Positions are those of the events sent on the stream, starting at 0; a resumed
    /// stream counts anew.
    pub enum Fault {
        /// The connection is closed after this number of events, without the end of the response.
        Cut(u64),
        /// Nothing is sent after this number of events, but the connection stays open.
        Stall(u64),
        /// The event at this position is sent twice.
        Repeat(u64),
        /// The event at this position is omitted.
        Skip(u64),
        /// The event at this position is swapped with the next one.
        Swap(u64),
    }
}

/// State shared by the engine's threads.
struct Shared {
    options: Options,
    state: Mutex<State>,
    /// Notified after every step, on a cancellation and when the process is killed.
    stepped: Condvar,
    server: Mutex<Option<HttpServer>>,
}

struct State {
    /// Start of the simulated process in milliseconds since the Unix epoch; 0 while the process is not
    /// running.
    incarnation: u64,
    /// The latest incarnation, running or ended. The next one is greater.
    last_incarnation: u64,
    batch: Batch,
    cache: Cache,
    orders: Orders,
    faults: VecDeque<Fault>,
    leaving: bool,
    /// Whether no steps are run.
    paused: bool,
    /// Recent load reports with their times, oldest first. The first one is returned to callers; the later
    /// ones are still younger than [`Options::report_lag`].
    reports: VecDeque<(std::time::Instant, Report)>,
    /// Records of the incarnations that have ended.
    past_records: Vec<Record>,
    closed: bool,
}

impl State {
    /// Starts a new incarnation with empty state.
    fn start_incarnation(&mut self, options: &Options) {
        self.last_incarnation = next_incarnation(self.last_incarnation);
        self.incarnation = self.last_incarnation;
        self.batch = Batch::new(options);
        self.cache = Cache::new(options);
        self.orders = Orders::new(options);
        self.leaving = false;
        self.reports.clear();
    }

    /// Ends the current incarnation, if there is one, and keeps its records.
    fn end_incarnation(&mut self, options: &Options) {
        self.past_records.extend(self.batch.records(self.incarnation));
        self.batch = Batch::new(options);
        self.incarnation = 0;
    }
}

/// Running engine. Dropping it without [`close`](Self::close) leaves its threads running.
pub struct Engine {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine that has its model loaded.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the address cannot be listened on.
    pub fn start(options: Options) -> Result<Self, Error> {
        let mut state = State {
            incarnation: 0,
            last_incarnation: 0,
            batch: Batch::new(&options),
            cache: Cache::new(&options),
            orders: Orders::new(&options),
            faults: VecDeque::new(),
            leaving: false,
            paused: false,
            reports: VecDeque::new(),
            past_records: Vec::new(),
            closed: false,
        };
        state.start_incarnation(&options);
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            stepped: Condvar::new(),
            server: Mutex::new(None),
            options,
        });
        let address = listen(&shared, shared.options.address)?;
        let step_shared = Arc::clone(&shared);
        let thread = thread::spawn(move || run_steps(&step_shared));
        Ok(Self {
            address,
            shared,
            thread,
        })
    }

    /// Returns the address that the engine listens on; the same in every incarnation.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current incarnation, or 0 while the process is not running.
    pub fn incarnation(&self) -> u64 {
        lock(&self.shared.state).incarnation
    }

    /// Returns the complete text that the current incarnation generates for a request with the JSON `body`.
    pub fn expected_answer(&self, body: &[u8]) -> String {
        let incarnation = self.incarnation();
        prompt::plan(&self.shared.options, incarnation, body)
            .tokens
            .concat()
    }

    /// Kills the simulated process: open connections are closed, new ones are refused, and all answers are
    /// lost.
    pub fn kill(&self) {
        kill(&self.shared);
    }

    /// Kills the process if it is running, and starts a new incarnation on the same address.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the port is in use by another process.
    pub fn restart(&self) -> Result<(), Error> {
        self.kill();
        lock(&self.shared.state).start_incarnation(&self.shared.options);
        listen(&self.shared, self.address).map(drop)
    }

    /// Refuses new connections until [`accept_connections`](Self::accept_connections). Open ones are not
    /// affected.
    pub fn refuse_connections(&self) {
        stop_listening(&self.shared);
    }

    /// Accepts new connections again.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the port is in use by another process.
    pub fn accept_connections(&self) -> Result<(), Error> {
        stop_listening(&self.shared);
        listen(&self.shared, self.address).map(drop)
    }

    /// Sets the `leaving` flag of the load reports for the rest of this incarnation.
    pub fn announce_leaving(&self) {
        lock(&self.shared.state).leaving = true;
    }

    /// Runs no steps until [`resume`](Self::resume). Requests are accepted meanwhile.
    pub fn pause(&self) {
        lock(&self.shared.state).paused = true;
    }

    /// Runs steps again.
    pub fn resume(&self) {
        lock(&self.shared.state).paused = false;
    }

    /// Queues a fault for the next stream that is opened or resumed. Each stream takes one fault from the
    /// queue.
    pub fn inject(&self, fault: Fault) {
        lock(&self.shared.state).faults.push_back(fault);
    }

    /// Returns the number of requests that are running or waiting for memory.
    pub fn open_count(&self) -> usize {
        lock(&self.shared.state).batch.open_count()
    }

    /// Returns the records of all requests of all incarnations, in order of arrival.
    pub fn records(&self) -> Vec<Record> {
        let state = lock(&self.shared.state);
        let current = state.batch.records(state.incarnation);
        state.past_records.iter().cloned().chain(current).collect()
    }

    /// Returns the orders accepted since the last start of the process, in order.
    pub fn orders(&self) -> Vec<Order> {
        lock(&self.shared.state).orders.accepted().to_vec()
    }

    /// Kills the process and stops the engine's thread.
    pub fn close(self) {
        lock(&self.shared.state).closed = true;
        kill(&self.shared);
        if self.thread.join().is_err() {
            log::error!("standin: the step thread of an engine panicked");
        }
    }
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Returns the current time in milliseconds, or `last + 1` if that is later, so that incarnations always
/// increase.
fn next_incarnation(last: u64) -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = since.map_or(0, |since| since.as_millis() as u64);
    now.max(last + 1)
}

fn listen(shared: &Arc<Shared>, address: SocketAddr) -> Result<SocketAddr, Error> {
    let handler_shared = Arc::clone(shared);
    let server = HttpServer::start(address, move |request| serve::handle(&handler_shared, request))?;
    let address = server.address();
    *lock(&shared.server) = Some(server);
    Ok(address)
}

fn stop_listening(shared: &Shared) {
    let server = lock(&shared.server).take();
    if let Some(server) = server {
        server.close();
    }
}

fn kill(shared: &Shared) {
    lock(&shared.state).end_incarnation(&shared.options);
    shared.stepped.notify_all();
    stop_listening(shared);
}

/// Runs a step of the batch at each interval until the engine is closed.
fn run_steps(shared: &Shared) {
    loop {
        thread::sleep(shared.options.step_time);
        let crashed = {
            let mut state = lock(&shared.state);
            if state.closed {
                return;
            }
            step(&mut state, &shared.options)
        };
        shared.stepped.notify_all();
        if crashed {
            log::info!("standin: a prompt crashed the engine");
            kill(shared);
        }
    }
}

/// Runs one step, unless the process is not running or paused. Returns whether a prompt crashed the engine.
fn step(state: &mut State, options: &Options) -> bool {
    if state.incarnation == 0 || state.paused {
        return false;
    }
    let now = std::time::Instant::now();
    let crashed = state.batch.step(now, options, &mut state.cache);
    let report = Report {
        incarnation: state.incarnation,
        leaving: state.leaving,
        ..state.batch.load_report(options)
    };
    state.reports.push_back((now, report));
    while state.reports.len() > 1 && state.reports[1].0 + options.report_lag <= now {
        state.reports.pop_front();
    }
    crashed
}
