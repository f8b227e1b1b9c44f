//! Gateways as processes before stand-ins of the platform.

#![allow(dead_code, reason = "each user needs a part")]

use std::{
    fs,
    io::{BufRead as _, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
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

/// Long enough for any step on a busy machine.
pub const LONG: Duration = Duration::from_secs(20);

/// Bytes of all bodies together that a gateway holds.
pub const BODIES: usize = 200_000;

/// Log lines of a gateway that are shown when its test fails.
const LAST_LINES: usize = 15;

/// Key of the client account in every configuration of [`Fleet::configure`].
pub const CLIENT_KEY: &str = "parish-key";

/// Routes of [`Fleet::configure`].
pub const ROUTES: [Route; 4] = [
    Route::new("/draft/", "streaming", "engines"),
    Route::new("/order/", "unsafe", "plain"),
    Route::new("/read/", "safe", "plain").with_max_attempts(2),
    Route::new("/open/", "safe", "plain").with_anonymous(),
];

/// A gateway process.
pub struct Gateway {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub admin: SocketAddr,
    pub peers: SocketAddr,
    pub way: Endpoint,
    pub settings: tempfile::TempDir,
    lines: Arc<Mutex<Vec<String>>>,
}

/// Gateways, a store and what the upstreams saw.
pub struct Fleet {
    pub store: Store,
    pub ledger: Ledger,
    pub gateways: Vec<Gateway>,
}

impl Fleet {
    /// Starts `count` gateways before an empty store.
    pub fn start(count: usize) -> Self {
        let store = Store::new();
        let mut fleet = Self {
            store,
            ledger: Ledger::new(),
            gateways: Vec::new(),
        };
        for _ in 0..count {
            fleet.add();
        }
        fleet
    }

    /// Starts one more gateway.
    pub fn add(&mut self) -> usize {
        let seeds: Vec<SocketAddr> = self.gateways.iter().map(|gateway| gateway.peers).collect();
        let number = self.gateways.len();
        self.gateways.push(Gateway::start(&self.store, &seeds));
        number
    }

    /// Writes the usual configuration and waits until every gateway is ready; an upstream must be there.
    pub fn configure(&self) {
        self.store
            .put(config::KEY, &config::config(1, &ROUTES, &[CLIENT_KEY]));
        self.wait_ready();
    }

    pub fn wait_ready(&self) {
        for gateway in &self.gateways {
            until("a gateway is ready", || gateway.is_ready());
        }
    }

    pub fn engine(&self, id: &str, events: u64, interval: Duration) -> Upstream {
        Upstream::start(
            &self.store,
            &self.ledger,
            id,
            "engines",
            Workload::Stream(events, interval),
        )
    }

    pub fn plain(&self, id: &str, time: Duration) -> Upstream {
        Upstream::start(&self.store, &self.ledger, id, "plain", Workload::Plain(time))
    }

    /// Sends a request for a generation to a gateway and waits until it runs.
    pub fn start_draft_at(&self, gateway: usize, id: &str) -> JoinHandle<Outcome> {
        let (address, request) = (self.gateways[gateway].callers, draft(id));
        let caller = thread::spawn(move || client::send(address, &request));
        until("the generation runs", || self.ledger.run_count(id) == 1);
        caller
    }

    pub fn send(&self, gateway: usize, request: &Request) -> Outcome {
        client::send(self.gateways[gateway].callers, request)
    }
}

impl Gateway {
    /// Starts a gateway with its own way to `store`.
    ///
    /// Gateways tell each other apart by address while their ports for each other are alike, so each gets a
    /// loopback address of its own.
    pub fn start(store: &Store, seeds: &[SocketAddr]) -> Self {
        let way = store.open_endpoint();
        let settings = tempfile::tempdir().expect("a temporary directory");
        let ip = own_address();
        let [callers, ready, admin, own] = free_ports(&ip);
        let port = seeds.first().map_or(own, SocketAddr::port);
        let at = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        let (callers, ready, admin) = (at(callers), at(ready), at(admin));
        let mut gateway = Self {
            child: Command::new("true").spawn().expect("a placeholder runs"),
            callers,
            ready,
            admin,
            peers: at(port),
            way,
            settings,
            lines: Arc::default(),
        };
        gateway.write_settings(seeds, "10s");
        let _placeholder = gateway.child.wait();
        gateway.spawn();
        gateway
    }

    /// Writes the settings file.
    pub fn write_settings(&self, seeds: &[SocketAddr], grace: &str) {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "[instance]\nname = {}\ndomain = a\nregions = a:north, b:south\n[callers]\naddress = {}\nready = {}\n\
             connections = 500\nbodies = {BODIES}\n[admin]\naddress = {}\n[peers]\naddress = {}\nseeds = {}\n[store]\naddress = {}\n\
             [leaving]\nupstream = 2500ms\ngrace = {grace}\n[retries]\nratio = 0.2\nextra = 54\nwindow = 10s\n",
            self.peers.ip(),
            self.callers,
            self.ready,
            self.admin,
            self.peers,
            seeds.join(","),
            self.way.address,
        );
        fs::write(self.file(), text).expect("the directory is writable");
    }

    pub fn file(&self) -> std::path::PathBuf {
        self.settings.path().join("gateway.ini")
    }

    /// Starts the process, again after it has ended.
    pub fn spawn(&mut self) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_carobhaven"))
            .args(["gateway", "--settings"])
            .arg(self.file())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the command runs");
        let out = child.stdout.take().expect("it is piped");
        let lines = Arc::clone(&self.lines);
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                lines.lock().expect("no thread panics with it").push(line);
            }
        });
        self.child = child;
    }

    /// Starts the process with a standard output that nobody reads.
    pub fn spawn_unread(&mut self) {
        self.child = Command::new(env!("CARGO_BIN_EXE_carobhaven"))
            .args(["gateway", "--settings"])
            .arg(self.file())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the command runs");
    }

    /// Log lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("no thread panics with it").clone()
    }

    /// Whether the last process has written this text since its start.
    pub fn logged_last(&self, text: &str) -> bool {
        let lines = self.lines();
        let start = lines
            .iter()
            .rposition(|line| line.contains("\"starting\""))
            .unwrap_or(0);
        lines[start..].iter().any(|line| line.contains(text))
    }

    pub fn logged(&self, text: &str) -> bool {
        self.lines().iter().any(|line| line.contains(text))
    }

    /// Whether it watches the store itself.
    pub fn watches(&self) -> bool {
        let lines = self.lines();
        let last = lines
            .iter()
            .rfind(|line| line.contains("watching the store changed"));
        last.is_some_and(|line| line.contains("\"watching\":true"))
    }

    pub fn is_ready(&self) -> bool {
        let request = Request::new("ready", "GET", "/").with_timeout(Duration::from_secs(1));
        client::send(self.ready, &request).status == 200
    }

    /// Sends a signal by name to the process.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
        assert!(sent.is_ok_and(|status| status.success()), "the process is there");
    }

    /// Whether new connections are accepted.
    pub fn accepts(&self) -> bool {
        TcpStream::connect_timeout(&self.callers, Duration::from_millis(200)).is_ok()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if thread::panicking() {
            let lines = self.lines();
            let last = &lines[lines.len().saturating_sub(LAST_LINES)..];
            eprintln!("gateway at {} last wrote:\n{}", self.callers, last.join("\n"));
        }
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}

/// Waits until `holds`.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + LONG;
    while Instant::now() < end {
        if holds() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("in {LONG:?} it did not come true that {what}");
}

/// A request with the account's key.
pub fn request(id: &str, method: &'static str, path: &str) -> Request {
    Request::new(id, method, path).with_key(CLIENT_KEY)
}

/// A request for a generation.
pub fn draft(id: &str) -> Request {
    request(id, "POST", "/draft/x")
        .with_usage(1_000, 800)
        .with_timeout(LONG)
}

/// A loopback address that no other gateway of any test has: free ports of a shared one may be taken by another
/// test between the choice and the start.
fn own_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    format!(
        "127.{}.{}.{}",
        1 + process / 250 % 250,
        1 + process % 250,
        1 + number % 250
    )
}

/// Free ports, each another: they are bound together, since a port that was closed may be given out again.
fn free_ports<const N: usize>(ip: &str) -> [u16; N] {
    let bound: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind((ip, 0)).expect("loopback has free ports"));
    bound.map(|listener| {
        let address = listener.local_addr();
        address.expect("a bound listener has an address").port()
    })
}
