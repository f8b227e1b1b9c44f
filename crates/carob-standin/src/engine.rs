//! Stand-in for a model engine, in the shape of the OpenAI Responses API.
//!
//! * `POST /v1/responses` generates; with `stream` as server-sent events. The answer's length is that of the
//!   request's `metadata.tokens`, or drawn from the range of the [`Options`].
//! * `GET /v1/responses/{id}?stream=true&starting_after=N` resumes after event `N`; without `stream` it shows the
//!   answer so far. An answer goes on being generated when its connection is gone.
//! * `POST /v1/responses/{id}/cancel` cancels.
//! * `GET /metrics` reports the load, in the text of [`carob_wire::load::Report`].
//! * `GET /cache/events?after=N` gives the prefix cache's events, late and with gaps if the [`Options`] say so:
//!   `{"events": [{"sequence", "kind": "stored" | "removed", "block"}], "last"}`.
//! * `POST /orders` takes `{"order": "load", "model", "adapter", "version"}` or `{"order": "role", "role"}` with a
//!   fencing number in a header; `GET /orders` shows what is in force.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread::{self, JoinHandle},
    time::{Duration, SystemTime},
};

use carob_wire::load::Report;

use crate::{Error, LOOPBACK, host::Host, lock};

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
    /// How the engine behaves.
    pub struct Options {
        /// Address to listen on; any free port of the loopback interface by default.
        pub address: SocketAddr,
        /// Seed of the answers' texts and lengths. 1 by default.
        pub seed: u64,
        /// Name of the model that is loaded. `default` by default.
        pub model: String,
        /// Memory for prompts and answers, in tokens. 16384 by default.
        pub memory_tokens: u32,
        /// Most requests in the running batch. 16 by default.
        pub slots: usize,
        /// Time of one step, which gives every running request one token. 2 ms by default.
        pub step_time: Duration,
        /// Time that one token of a prompt takes before the first token. 10 µs by default.
        pub prefill_time: Duration,
        /// Shortest and longest answer, in tokens. 4 to 64 by default.
        pub output_tokens: (u32, u32),
        /// How old the load report is. 50 ms by default.
        pub report_lag: Duration,
        /// Blocks of the prefix cache. 1024 by default.
        pub cache_blocks: usize,
        /// How late cache events are published. 50 ms by default.
        pub cache_lag: Duration,
        /// Every how many cache events one is lost; 0, the default, for none.
        pub cache_gap: u64,
        /// Whether an order with an old fencing number is refused; it is by default.
        pub checks_fencing: bool,
        /// Time to load a model, adapter or version. 10 ms by default.
        pub load_time: Duration,
        /// A prompt that contains this text crashes the engine. None by default.
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
    /// What goes wrong with the next stream. Events are counted from 0 on each stream.
    pub enum Fault {
        /// The connection is cut after this many events.
        Cut(u64),
        /// Nothing more is sent after this many events, while the connection stays.
        Stall(u64),
        /// The event at this place is sent twice.
        Repeat(u64),
        /// The event at this place is left out.
        Skip(u64),
        /// The event at this place and the next one change places.
        Swap(u64),
    }
}

/// What the engine's threads share.
struct Shared {
    options: Options,
    state: Mutex<State>,
    /// Told of every step and of the engine's end.
    stepped: Condvar,
    host: Mutex<Option<Host>>,
}

struct State {
    /// Milliseconds since 1970 of the process's start; 0 while the process is dead.
    incarnation: u64,
    /// The last incarnation, living or dead.
    last: u64,
    batch: Batch,
    cache: Cache,
    orders: Orders,
    faults: VecDeque<Fault>,
    leaving: bool,
    /// The last reports with their times, the latest last.
    reports: VecDeque<(std::time::Instant, Report)>,
    records: Vec<Record>,
    closed: bool,
}

impl State {
    /// Begins an incarnation.
    fn begin(&mut self, options: &Options) {
        self.last = next_incarnation(self.last);
        self.incarnation = self.last;
        self.batch = Batch::new(options);
        self.cache = Cache::new(options);
        self.orders = Orders::new(options);
        self.leaving = false;
        self.reports.clear();
    }

    /// Ends the present incarnation, if there is one.
    fn end(&mut self, options: &Options) {
        self.records.extend(self.batch.records(self.incarnation));
        self.batch = Batch::new(options);
        self.incarnation = 0;
    }
}

/// The running engine.
pub struct Engine {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine with its model loaded.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the address cannot be listened on.
    pub fn start(options: Options) -> Result<Self, Error> {
        let mut state = State {
            incarnation: 0,
            last: 0,
            batch: Batch::new(&options),
            cache: Cache::new(&options),
            orders: Orders::new(&options),
            faults: VecDeque::new(),
            leaving: false,
            reports: VecDeque::new(),
            records: Vec::new(),
            closed: false,
        };
        state.begin(&options);
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            stepped: Condvar::new(),
            host: Mutex::new(None),
            options,
        });
        let address = listen(&shared, shared.options.address)?;
        let stepping = Arc::clone(&shared);
        let thread = thread::spawn(move || run(&stepping));
        Ok(Self {
            address,
            shared,
            thread,
        })
    }

    /// Where the engine answers.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The present incarnation; 0 while the process is dead.
    pub fn incarnation(&self) -> u64 {
        lock(&self.shared.state).incarnation
    }

    /// The whole text that the present incarnation generates for a request's JSON `body`.
    pub fn expected_answer(&self, body: &[u8]) -> String {
        let incarnation = self.incarnation();
        prompt::plan(&self.shared.options, incarnation, body)
            .words
            .concat()
    }

    /// Kills the process: connections are cut, new ones refused, and all answers are lost.
    pub fn kill(&self) {
        kill(&self.shared);
    }

    /// Starts a new incarnation under the same address.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the port has been taken by something else.
    pub fn restart(&self) -> Result<(), Error> {
        self.kill();
        lock(&self.shared.state).begin(&self.shared.options);
        listen(&self.shared, self.address).map(drop)
    }

    /// Refuses new connections until [`accept_connections`](Self::accept_connections); open ones go on.
    pub fn refuse_connections(&self) {
        stop_listening(&self.shared);
    }

    /// Takes new connections again.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the port has been taken by something else.
    pub fn accept_connections(&self) -> Result<(), Error> {
        stop_listening(&self.shared);
        listen(&self.shared, self.address).map(drop)
    }

    /// Announces in the load report that the engine is leaving.
    pub fn announce_leaving(&self) {
        lock(&self.shared.state).leaving = true;
    }

    /// Makes the next stream that is opened or resumed go wrong. Faults queue up, one for each stream.
    pub fn inject(&self, fault: Fault) {
        lock(&self.shared.state).faults.push_back(fault);
    }

    /// Requests in the running batch or waiting for memory.
    pub fn open_count(&self) -> usize {
        lock(&self.shared.state).batch.open_count()
    }

    /// Every request of every incarnation, in the order of arrival.
    pub fn records(&self) -> Vec<Record> {
        let state = lock(&self.shared.state);
        let present = state.batch.records(state.incarnation);
        state.records.iter().cloned().chain(present).collect()
    }

    /// The orders that were taken, in order.
    pub fn orders(&self) -> Vec<Order> {
        lock(&self.shared.state).orders.taken().to_vec()
    }

    /// Stops the engine.
    pub fn close(self) {
        lock(&self.shared.state).closed = true;
        kill(&self.shared);
        if self.thread.join().is_err() {
            log::error!("standin: an engine's thread panicked");
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

fn next_incarnation(last: u64) -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = since.map_or(0, |since| since.as_millis() as u64);
    now.max(last + 1)
}

fn listen(shared: &Arc<Shared>, address: SocketAddr) -> Result<SocketAddr, Error> {
    let serving = Arc::clone(shared);
    let host = Host::start(address, move |request| serve::answer(&serving, request))?;
    let address = host.address();
    *lock(&shared.host) = Some(host);
    Ok(address)
}

fn stop_listening(shared: &Shared) {
    let host = lock(&shared.host).take();
    if let Some(host) = host {
        host.close();
    }
}

fn kill(shared: &Shared) {
    lock(&shared.state).end(&shared.options);
    shared.stepped.notify_all();
    stop_listening(shared);
}

/// Steps the batch until the engine is closed.
fn run(shared: &Shared) {
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
            log::info!("standin: a prompt has crashed an engine");
            kill(shared);
        }
    }
}

/// One step of a live engine; returns whether it crashed.
fn step(state: &mut State, options: &Options) -> bool {
    if state.incarnation == 0 {
        return false;
    }
    let now = std::time::Instant::now();
    let crashed = state.batch.step(now, options, &mut state.cache);
    let report = Report {
        incarnation: state.incarnation,
        leaving: state.leaving,
        ..state.batch.load(options)
    };
    state.reports.push_back((now, report));
    while state.reports.len() > 1 && state.reports[1].0 + options.report_lag <= now {
        state.reports.pop_front();
    }
    crashed
}
