//! Runs gateways as separate processes, with stand-ins for the platform.

#![allow(dead_code, reason = "each target uses a part of this module")]

use std::{
    fs::{self, File},
    io::{BufRead as _, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Endpoint, Ledger, Store, Upstream, Workload,
    client::{self, Outcome, Request},
    config::{self, Route},
};
use rustix::process::{Pid, Signal, kill_process};

/// Longer than any step of a test takes, even on a heavily loaded machine: the timeout of waits, and the
/// duration of work that is not meant to end by itself.
pub const LONG: Duration = Duration::from_secs(20);

/// Memory that a gateway may use for request bodies, in bytes.
pub const BODY_MEMORY: usize = 200_000;

/// Number of log lines of each gateway that are printed when a test fails.
const FAILURE_LOG_LINES: usize = 15;

/// Requests that earn a repeat, by the settings of the gateways.
const REQUESTS_PER_REPEAT: u32 = 5;

/// API key of the client account in the configuration of [`Fleet::configure`].
pub const CLIENT_KEY: &str = "parish-key";

/// Routes in the configuration of [`Fleet::configure`].
pub const ROUTES: [Route; 4] = [
    Route::new("/draft/", "streaming", "engines"),
    Route::new("/order/", "unsafe", "plain"),
    Route::new("/read/", "safe", "plain").with_max_attempts(2),
    Route::new("/open/", "safe", "plain").with_anonymous(),
];

/// A route that a version of [`Fleet::write_version`] may add.
pub const ADDED_ROUTE: Route = Route::new("/added/", "safe", "plain").with_anonymous();

/// Failure domain of all gateways, by their settings. It is in the region `north`, and the failure domain `b` in `south`.
pub const DOMAIN: &str = "a";

/// Time within which a configuration is in force on every gateway (`ConfigApplyMs`).
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_500);

/// Time after which an upstream that leaves gets no more requests (`DrainMs`).
pub const DRAIN: Duration = Duration::from_millis(2_500);

/// Time without disruption after which gateways count as in touch (`ContactMs`).
pub const CONTACT: Duration = Duration::from_secs(4);

/// A gateway process.
pub struct Gateway {
    pub child: Child,
    pub caller_address: SocketAddr,
    pub ready_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub store_endpoint: Endpoint,
    /// Directory of the settings file.
    pub directory: tempfile::TempDir,
    /// The program; `CAROB_PROGRAM` names that of another build. Its next process may be of another one again.
    pub program: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
}

/// Gateways with their store, and the ledger of what upstreams received.
pub struct Fleet {
    pub store: Store,
    pub ledger: Ledger,
    pub gateways: Vec<Gateway>,
}

impl Fleet {
    /// Starts `count` gateways with an empty store.
    pub fn start(count: usize) -> Self {
        let store = Store::new();
        let mut fleet = Self {
            store,
            ledger: Ledger::new(),
            gateways: Vec::new(),
        };
        for _ in 0..count {
            fleet.add_gateway();
        }
        fleet
    }

    /// Starts another gateway, with those that exist as its seeds, and returns its index.
    pub fn add_gateway(&mut self) -> usize {
        self.add_gateway_in(DOMAIN)
    }

    /// Like [`Fleet::add_gateway`], in any failure domain.
    pub fn add_gateway_in(&mut self, domain: &str) -> usize {
        let seeds: Vec<SocketAddr> = self.gateways.iter().map(|gateway| gateway.peer_address).collect();
        let index = self.gateways.len();
        let mut gateway = Gateway::prepare(&self.store, &seeds);
        gateway.place(domain);
        gateway.spawn();
        self.gateways.push(gateway);
        index
    }

    /// Writes version 1 of the configuration and waits until every gateway is ready, which needs at least one
    /// upstream in the directory.
    pub fn configure(&self) {
        self.store
            .put(config::KEY, &config::config(1, &ROUTES, &[CLIENT_KEY]));
        self.wait_ready();
    }

    pub fn wait_ready(&self) {
        for gateway in &self.gateways {
            wait_until("a gateway is ready", || gateway.is_ready());
        }
    }

    /// Starts an engine in [`DOMAIN`] whose generations have `events` events, one in each `interval`.
    pub fn start_engine(&self, id: &str, events: u64, interval: Duration) -> Upstream {
        self.start_engine_in(DOMAIN, id, events, interval)
    }

    /// Like [`Fleet::start_engine`], in any failure domain.
    pub fn start_engine_in(&self, domain: &str, id: &str, events: u64, interval: Duration) -> Upstream {
        self.start_in(domain, id, "engines", Workload::Stream(events, interval))
    }

    /// Starts an upstream of the plain service in [`DOMAIN`] that takes `time` for each request.
    pub fn start_plain(&self, id: &str, time: Duration) -> Upstream {
        self.start_plain_in(DOMAIN, id, time)
    }

    /// Like [`Fleet::start_plain`], in any failure domain.
    pub fn start_plain_in(&self, domain: &str, id: &str, time: Duration) -> Upstream {
        self.start_in(domain, id, "plain", Workload::Plain(time))
    }

    /// Starts an upstream of a plain service that takes the first of `times` for each request and is cold for the second.
    pub fn start_cold_in(
        &self,
        domain: &str,
        id: &str,
        service: &str,
        (time, cold): (Duration, Duration),
    ) -> Upstream {
        let stores = (&self.store, &self.ledger);
        Upstream::start_cold_in(domain, stores, id, service, Workload::Plain(time), cold)
    }

    fn start_in(&self, domain: &str, id: &str, service: &str, workload: Workload) -> Upstream {
        Upstream::start_in(domain, (&self.store, &self.ledger), id, service, workload)
    }

    /// Sends a request for a generation to a gateway, waits until the generation runs and returns the
    /// client's thread.
    pub fn start_generation(&self, gateway: usize, id: &str) -> JoinHandle<Outcome> {
        let (address, request) = (self.gateways[gateway].caller_address, generation_request(id));
        let client = thread::spawn(move || client::send(address, &request));
        wait_until("the generation runs", || self.ledger.run_count(id) == 1);
        client
    }

    /// Sends a gateway as many reads as permit it `repeats` repeats, up to its share; after its start it may only
    /// repeat what its requests have earned. All of them have to be served.
    pub fn earn_repeats(&self, gateway: usize, repeats: u32) {
        for number in 0..repeats * REQUESTS_PER_REPEAT {
            let read = request(&format!("earn-{number}"), "GET", "/read/1");
            assert_eq!(self.send(gateway, &read).status, 200);
        }
    }

    /// Writes a version of the configuration, with [`ADDED_ROUTE`] or without.
    pub fn write_version(&self, version: u64, is_added: bool) {
        let mut routes = ROUTES.to_vec();
        if is_added {
            routes.push(ADDED_ROUTE);
        }
        self.store
            .put(config::KEY, &config::config(version, &routes, &[CLIENT_KEY]));
    }

    /// Writes a version of the configuration, and waits until it is in force at every gateway; see [`Fleet::expect_added`].
    pub fn expect_version(&self, version: u64, is_added: bool) {
        self.write_version(version, is_added);
        self.expect_added(version, is_added);
    }

    /// Waits until every gateway serves [`ADDED_ROUTE`] or says that there is no such route, as `version` has it, for
    /// [`CONFIG_APPLY`] at most.
    pub fn expect_added(&self, version: u64, is_added: bool) {
        let written = Instant::now();
        let expected = if is_added { 200 } else { 404 };
        for gateway in 0..self.gateways.len() {
            for number in 0.. {
                let id = format!("v{version}-{gateway}-{number}");
                let found = self.send(gateway, &request(&id, "GET", "/added/1")).status;
                if found == expected {
                    break;
                }
                assert!(
                    written.elapsed() < CONFIG_APPLY,
                    "gateway {gateway}: expected {expected} within {CONFIG_APPLY:?}, found {found}"
                );
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Number of requests that reached an upstream after `from`.
    pub fn arrivals_after(&self, upstream: &str, from: Instant) -> usize {
        let arrivals = self.ledger.arrivals();
        let found = arrivals
            .iter()
            .filter(|arrival| arrival.upstream == upstream && arrival.at > from);
        found.count()
    }

    pub fn send(&self, gateway: usize, request: &Request) -> Outcome {
        client::send(self.gateways[gateway].caller_address, request)
    }
}

impl Gateway {
    /// Starts a gateway whose connection to `store` has faults of its own.
    pub fn start(store: &Store, seeds: &[SocketAddr]) -> Self {
        let mut gateway = Self::prepare(store, seeds);
        gateway.spawn();
        gateway
    }

    /// Writes the settings file of a gateway, but does not start its process.
    ///
    /// The gateways of a fleet use the same port for peers and tell each other apart by IP address, so each
    /// gets its own loopback address.
    pub fn prepare(store: &Store, seeds: &[SocketAddr]) -> Self {
        let store_endpoint = store.open_endpoint();
        let directory = tempfile::tempdir().expect("a temporary directory");
        let ip = unique_loopback_address();
        let fleet_port = seeds.first().map(SocketAddr::port);
        let [peer_port, caller_port, ready_port, admin_port] = free_ports(&ip, fleet_port);
        let socket_address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        let caller_address = socket_address(caller_port);
        let ready_address = socket_address(ready_port);
        let admin_address = socket_address(admin_port);
        let mut gateway = Self {
            child: spawn(&mut Command::new("true")),
            caller_address,
            ready_address,
            admin_address,
            peer_address: socket_address(peer_port),
            store_endpoint,
            directory,
            program: std::env::var_os("CAROB_PROGRAM")
                .map_or_else(|| env!("CARGO_BIN_EXE_carobhaven").into(), PathBuf::from),
            lines: Arc::default(),
        };
        gateway.write_settings(seeds, "10s");
        let _placeholder = gateway.child.wait();
        gateway
    }

    /// Writes the settings file; a running gateway reloads it. `grace` is how long requests may go on after
    /// SIGTERM.
    pub fn write_settings(&self, seeds: &[SocketAddr], grace: &str) {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "[instance]\nname = {}\ndomain = {DOMAIN}\nregions = a:north, b:south\n[callers]\naddress = {}\nready = {}\n\
             connections = 500\nbodies = {BODY_MEMORY}\n[admin]\naddress = {}\n[peers]\naddress = {}\nseeds = {}\n[upstreams]\n\
             source = {}\n[store]\naddress = {}\n\
             [leaving]\nupstream = 2500ms\ngrace = {grace:<8}\n[retries]\nratio = 0.2\nextra = 54\nwindow = 10s\n",
            self.peer_address.ip(),
            self.caller_address,
            self.ready_address,
            self.admin_address,
            self.peer_address,
            seeds.join(","),
            self.peer_address.ip(),
            self.store_endpoint.address,
        );
        // Some file systems write a file to disk at once if it is truncated to nothing and filled again, which
        // may take seconds while other processes write. The text keeps its length, so that a gateway that reads
        // it meanwhile finds no mixture of two texts.
        let file = File::options()
            .create(true)
            .write(true)
            .truncate(false)
            .open(self.settings_path());
        file.and_then(|mut file| {
            file.write_all(text.as_bytes())?;
            file.set_len(text.len() as u64)
        })
        .expect("the directory is writable");
    }

    /// Names another failure domain than [`DOMAIN`] in the settings file.
    pub fn place(&self, domain: &str) {
        let path = self.settings_path();
        let text = fs::read_to_string(&path).expect("it was written");
        let text = text.replace(&format!("domain = {DOMAIN}\n"), &format!("domain = {domain}\n"));
        fs::write(path, text).expect("the directory is writable");
    }

    /// Path of the settings file.
    pub fn settings_path(&self) -> std::path::PathBuf {
        self.directory.path().join("gateway.ini")
    }

    /// Starts the process, or starts it again after it has ended, and collects its log lines.
    pub fn spawn(&mut self) {
        let mut child = self.start_process();
        let out = child.stdout.take().expect("standard output is piped");
        let lines = Arc::clone(&self.lines);
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                lines
                    .lock()
                    .expect("no thread panics while it holds the lock")
                    .push(line);
            }
        });
        self.child = child;
    }

    /// Starts the process without reading its standard output, so that the pipe fills up.
    pub fn spawn_unread(&mut self) {
        self.child = self.start_process();
    }

    fn start_process(&self) -> Child {
        spawn(
            Command::new(&self.program)
                .args(["gateway", "--settings"])
                .arg(self.settings_path())
                .stdout(Stdio::piped()),
        )
    }

    /// Log lines so far, of earlier processes of this gateway too.
    pub fn log_lines(&self) -> Vec<String> {
        self.lines
            .lock()
            .expect("no thread panics while it holds the lock")
            .clone()
    }

    /// Whether the current process has logged `text`.
    pub fn logged_since_start(&self, text: &str) -> bool {
        let lines = self.log_lines();
        let start = lines
            .iter()
            .rposition(|line| line.contains("\"starting\""))
            .unwrap_or(0);
        lines[start..].iter().any(|line| line.contains(text))
    }

    /// Whether this process or an earlier one has logged `text`.
    pub fn logged(&self, text: &str) -> bool {
        self.log_lines().iter().any(|line| line.contains(text))
    }

    /// Whether the gateway watches the store itself, according to its log.
    pub fn watches_store(&self) -> bool {
        let lines = self.log_lines();
        let last = lines
            .iter()
            .rfind(|line| line.contains("watching the store changed"));
        last.is_some_and(|line| line.contains("\"watching\":true"))
    }

    pub fn is_ready(&self) -> bool {
        let request = Request::new("ready", "GET", "/").with_timeout(Duration::from_secs(1));
        client::send(self.ready_address, &request).status == 200
    }

    /// Sends a signal to the process; `name` is without `SIG`, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "CONT" => Signal::CONT,
            "HUP" => Signal::HUP,
            "INT" => Signal::INT,
            "KILL" => Signal::KILL,
            "STOP" => Signal::STOP,
            "TERM" => Signal::TERM,
            other => panic!("no signal {other}"),
        };
        kill_process(Pid::from_child(&self.child), signal).expect("the process exists");
    }

    /// Whether the gateway accepts new client connections.
    pub fn accepts_connections(&self) -> bool {
        TcpStream::connect_timeout(&self.caller_address, Duration::from_millis(200)).is_ok()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if thread::panicking() {
            let lines = self.log_lines();
            let tail = &lines[lines.len().saturating_sub(FAILURE_LOG_LINES)..];
            eprintln!(
                "last log lines of the gateway at {}:\n{}",
                self.caller_address,
                tail.join("\n")
            );
        }
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}

/// Waits until `condition` is true; panics with `description` of it after [`LONG`].
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + LONG;
    while Instant::now() < deadline {
        if condition() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("timed out after {LONG:?} while waiting until {description}");
}

/// A request with [`CLIENT_KEY`].
pub fn request(id: &str, method: &'static str, path: &str) -> Request {
    Request::new(id, method, path).with_key(CLIENT_KEY)
}

/// A request for a generation, with 1,000 prompt tokens and at most 800 output tokens.
pub fn generation_request(id: &str) -> Request {
    request(id, "POST", "/draft/x")
        .with_usage(1_000, 800)
        .with_timeout(LONG)
}

/// A loopback address that no other gateway of any test uses. On a shared address, another test could take a
/// free port between its choice and the start of the gateway.
fn unique_loopback_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    format!(
        "127.{}.{}.{}",
        1 + process / 250 % 250,
        1 + process % 250,
        1 + number % 250
    )
}

/// Held while a child process starts and while ports are looked for. Between fork and exec, a child still holds all
/// sockets of this process, so that a port which was just released could not be bound.
static STARTING: Mutex<()> = Mutex::new(());

/// Starts a child process.
fn spawn(command: &mut Command) -> Child {
    let _starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("the command runs")
}

/// Distinct free ports, of which the first is `first` if that is given. All are bound at the same time, since a port that was
/// released may be assigned again.
pub fn free_ports<const N: usize>(ip: &str, first: Option<u16>) -> [u16; N] {
    let _starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
    let bound: [TcpListener; N] = std::array::from_fn(|index| {
        let port = first.filter(|_| index == 0).unwrap_or(0);
        TcpListener::bind((ip, port)).expect("loopback has free ports")
    });
    bound.map(|listener| {
        let address = listener.local_addr();
        address.expect("a bound listener has an address").port()
    })
}
