//! What the scripts of the review share: gateways as separate processes, and the record of a run.

use std::{
    fs,
    io::Write as _,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio, exit},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Endpoint, Ledger, Store,
    client::{self, Request},
    config::{self, Route},
};

/// API key of the only client account.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// Exit code if the case could not run.
const COULD_NOT_RUN: i32 = 2;

/// Time after which machines that have just started are in touch: `ContactMs` (4,000) and a half second.
const CONTACT: Duration = Duration::from_millis(4_500);

/// Longest wait for a step of the preparation.
const PREPARATION: Duration = Duration::from_secs(20);

/// Whether the disruption takes place: not if the second argument, which is `TROUBLE`, is 0.
pub fn has_trouble() -> bool {
    std::env::args().nth(2).is_none_or(|value| value != "0")
}

/// Gateways that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case, and the gateways, as one that could not run.
pub fn give_up(reason: &str) -> ! {
    println!("could not run: {reason}");
    let started = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
    for id in started {
        let _sent = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
    exit(COULD_NOT_RUN);
}

/// Waits until `condition` is true; ends the case if that takes too long.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + PREPARATION;
    while !condition() {
        if Instant::now() > end {
            give_up(&format!("timed out while waiting until {what}"));
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sleeps until `time`.
pub fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// The file with what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: fs::File,
}

impl Record {
    /// Creates the file that the first argument of the program names.
    pub fn create() -> Self {
        let path = std::env::args().nth(1).unwrap_or_else(|| give_up("no record was named"));
        let file = fs::File::create(path);
        Self {
            start: Instant::now(),
            file: file.unwrap_or_else(|error| give_up(&error.to_string())),
        }
    }

    /// Writes a line, with the time since the start of the case.
    pub fn line(&mut self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line about an event at `at`.
    pub fn line_at(&mut self, at: Instant, text: &str) {
        let at = at.saturating_duration_since(self.start).as_secs_f64();
        let line = format!("{at:8.3} s  {text}\n");
        print!("{line}");
        let _written = self.file.write_all(line.as_bytes());
    }
}

/// A gateway process, started by the command of the deploy file.
pub struct Gateway {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub store: Endpoint,
    folder: PathBuf,
}

impl Gateway {
    /// Starts the gateway `number` on a loopback address of its own.
    pub fn start(number: u8, store: &Store, seeds: &[SocketAddr]) -> Self {
        let process = std::process::id();
        let ip = format!("127.{}.{}.{number}", 1 + process / 250 % 250, 1 + process % 250);
        let bind = |port: u16| {
            TcpListener::bind((ip.as_str(), port)).unwrap_or_else(|error| give_up(&error.to_string()))
        };
        let bound = [bind(0), bind(0), bind(0)];
        let [callers, ready, admin] = bound.each_ref().map(|listener| {
            listener.local_addr().unwrap_or_else(|error| give_up(&error.to_string()))
        });
        // The port for peers is the same on all machines.
        let peers = match seeds.first() {
            Some(seed) => SocketAddr::new(callers.ip(), seed.port()),
            None => bind(0).local_addr().unwrap_or_else(|error| give_up(&error.to_string())),
        };
        drop(bound);
        let folder = std::env::temp_dir().join(format!("carob-review-{process}-{number}"));
        let endpoint = store.open_endpoint();
        let mut all: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        all.push(peers.to_string());
        // As `deploy/settings.ini` with the platform's settings of `saarela-tukku`, which has three zones.
        let zone = ["uusimaa-a", "pirkanmaa-a", "pohjanmaa-a"][usize::from(number - 1) % 3];
        let text = format!(
            "[instance]\nname = front-{zone}-{number}\ndomain = {zone}\n\
             regions = uusimaa-a:uusimaa,pirkanmaa-a:pirkanmaa,pohjanmaa-a:pohjanmaa\n\n\
             [callers]\naddress = {callers}\nready = {ready}\nconnections = 1500\nbodies = 22000000\n\n\
             [admin]\naddress = {admin}\n\n[peers]\naddress = {peers}\nseeds = {}\n\n\
             [store]\naddress = {}\n\n[leaving]\nupstream = 2500ms\ngrace = 8s\n\n\
             [retries]\nratio = 0.2\nextra = 54\nwindow = 10s\n",
            all.join(","),
            endpoint.address
        );
        let settings = folder.join("settings.ini");
        let written = fs::create_dir_all(&folder).and_then(|()| fs::write(&settings, text));
        if let Err(error) = written {
            give_up(&error.to_string());
        }
        let log = fs::File::create(folder.join("log")).unwrap_or_else(|error| give_up(&error.to_string()));
        let child = Command::new("target/release/carobhaven")
            .args(["gateway", "--settings"])
            .arg(&settings)
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap_or_else(|error| give_up(&format!("the gateway does not start: {error}")));
        if let Ok(mut started) = STARTED.lock() {
            started.push(child.id());
        }
        Self {
            child,
            callers,
            ready,
            peers,
            store: endpoint,
            folder,
        }
    }

    /// Whether it answers the platform's question with 200.
    pub fn is_ready(&self) -> bool {
        let question = Request::new("ready", "GET", "/-/ready").with_timeout(Duration::from_secs(1));
        client::send(self.ready, &question).status == 200
    }

    /// Sends a signal; `name` is without `SIG`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        if !sent.is_ok_and(|status| status.success()) {
            give_up("a signal could not be sent");
        }
    }

    /// Whether its log has a line with `text`.
    pub fn logged(&self, text: &str) -> bool {
        self.log().contains(text)
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _ended = self.child.wait();
        if let Ok(mut started) = STARTED.lock() {
            started.retain(|id| *id != self.child.id());
        }
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

/// A small deployment: a store, gateways, and the ledger of the runners.
pub struct Deployment {
    pub store: Store,
    pub ledger: Ledger,
    pub gateways: Vec<Gateway>,
}

impl Deployment {
    /// Starts `count` gateways with an empty store.
    pub fn start(count: u8) -> Self {
        let store = Store::new();
        let mut gateways: Vec<Gateway> = Vec::new();
        for number in 1..=count {
            let seeds: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.peers).collect();
            gateways.push(Gateway::start(number, &store, &seeds));
        }
        Self {
            store,
            ledger: Ledger::new(),
            gateways,
        }
    }

    /// Writes a version of the configuration.
    pub fn configure(&self, version: u64) {
        self.store.put(config::KEY, &config::config(version, &ROUTES, &[KEY]));
    }

    /// Waits until every gateway is ready, and then until it is in touch.
    pub fn wait_ready(&self) {
        for gateway in &self.gateways {
            wait_until("a gateway is ready", || gateway.is_ready());
        }
        thread::sleep(CONTACT);
    }
}

/// The routes of `saarela-tukku`, with its times in milliseconds.
pub const ROUTES: [Route; 4] = [
    Route::new("/quote/", "streaming", "engines").with_timeout(39_000).with_target_latency(1_800),
    Route::new("/item/", "streaming", "engines").with_timeout(6_000).with_target_latency(1_500),
    Route::new("/order/", "unsafe", "plain").with_timeout(1_200).with_target_latency(150),
    Route::new("/stock/", "safe", "plain").with_timeout(1_200).with_target_latency(150).with_max_attempts(2),
];

/// A client's request with the key of its account.
pub fn request(id: &str, method: &'static str, path: &str, deadline: Duration) -> Request {
    Request::new(id, method, path).with_key(KEY).with_timeout(deadline)
}

/// Ends the case: prints the verdict, stops the gateways and exits with 1 if the rule was `broken`.
pub fn finish(mut record: Record, deployment: Deployment, broken: bool) -> ! {
    record.line(if broken { "verdict: the rule is broken" } else { "verdict: the rule holds" });
    drop(deployment);
    exit(i32::from(broken));
}
