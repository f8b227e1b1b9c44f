//! Gateways: the project's program, started by the command of the deploy file with its template for settings.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use carob_platform_standin::{
    Endpoint, Store,
    client::{self, Request},
};

use crate::record::{cannot_run, note_process};

/// Bounds of a deployment that the settings hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// `DrainMs`.
    pub drain_ms: u32,
    /// `ExtraRetries`.
    pub extra_retries: u32,
}

/// Bounds of saarela-tukku and of himal-vayu-grown.
pub const SAARELA: Bounds = Bounds {
    drain_ms: 2_500,
    extra_retries: 54,
};
pub const HIMAL: Bounds = Bounds {
    drain_ms: 4_000,
    extra_retries: 172,
};

/// A gateway's process; dropping it ends the process.
#[derive(Debug)]
pub struct Gateway {
    child: Option<Child>,
    directory: PathBuf,
    number: usize,
    /// Where clients connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready: SocketAddr,
    /// Where other gateways send to it.
    pub peers: SocketAddr,
    /// Its way to the store.
    pub store: Endpoint,
}

/// A temporary folder of this process, for settings and logs.
pub fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("carobhaven-review-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
    folder
}

/// Starts `count` gateways, each on a loopback address of its own and with the same ports, as the machines of a day.
pub fn start(store: &Store, count: usize, bounds: Bounds) -> Vec<Gateway> {
    let process = std::process::id();
    let ip = |number: usize| {
        format!(
            "127.{}.{}.{}",
            60 + process / 250 % 150,
            1 + process % 250,
            1 + number
        )
    };
    let ports = free_ports(&ip(0));
    let address = |number: usize, port: u16| -> SocketAddr {
        format!("{}:{port}", ip(number)).parse().expect("an address")
    };
    let seeds: Vec<String> = (0..count)
        .map(|number| address(number, ports[3]).to_string())
        .collect();
    let mut gateways = Vec::new();
    for number in 0..count {
        let mut gateway = Gateway {
            child: None,
            directory: folder(),
            number,
            callers: address(number, ports[0]),
            ready: address(number, ports[1]),
            peers: address(number, ports[2]),
            store: store.open_endpoint(),
        };
        gateway.write_settings(&seeds, address(number, ports[3]), bounds);
        gateway.spawn();
        gateways.push(gateway);
    }
    gateways
}

fn free_ports(ip: &str) -> [u16; 4] {
    let listeners: Vec<TcpListener> = (0..4)
        .map(|_| TcpListener::bind(format!("{ip}:0")).unwrap_or_else(|error| cannot_run(&error.to_string())))
        .collect();
    let port = |index: usize| listeners[index].local_addr().expect("it is bound").port();
    [port(0), port(1), port(2), port(3)]
}

impl Gateway {
    /// Fills the template of the deploy file with the values of a small deployment.
    fn write_settings(&self, seeds: &[String], control: SocketAddr, bounds: Bounds) {
        let text = format!(
            "[instance]\nname = front-a-{}\ndomain = a\nmemory = 110MB\nregions = a:north,b:south\n\n\
             [callers]\naddress = {}\nready = {}\nconnections = 1500\n\n[admin]\naddress = {control}\n\n\
             [peers]\naddress = {}\nseeds = {}\n\n[store]\naddress = {}\n\n\
             [leaving]\nupstream = {}ms\ngrace = 8s\n\n[cold]\n\n[retries]\nratio = 0.2\nextra = {}\nwindow = 10s\n",
            self.number,
            self.callers,
            self.ready,
            self.peers,
            seeds.join(","),
            self.store.address,
            bounds.drain_ms,
            bounds.extra_retries,
        );
        fs::write(self.settings(), text).unwrap_or_else(|error| cannot_run(&error.to_string()));
    }

    fn settings(&self) -> PathBuf {
        self.directory.join(format!("settings-{}.ini", self.number))
    }

    /// Path of the lines that it logs.
    pub fn log(&self) -> PathBuf {
        self.directory.join(format!("gateway-{}.log", self.number))
    }

    /// Whether it has logged this text.
    pub fn logged(&self, text: &str) -> bool {
        fs::read_to_string(self.log()).is_ok_and(|log| log.contains(text))
    }

    /// Starts its process.
    pub fn spawn(&mut self) {
        let program = std::env::var("CAROBHAVEN").unwrap_or_else(|_| "target/release/carobhaven".to_owned());
        let log = File::options().create(true).append(true).open(self.log());
        let log = log.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let child = Command::new(&program)
            .args(["gateway", "--settings"])
            .arg(self.settings())
            .stdin(Stdio::null())
            .stdout(log)
            .spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("{program}: {error}")));
        note_process(child.id());
        self.child = Some(child);
    }

    /// Sends its process a signal; `name` is without `SIG`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _sent = Command::new("kill").args([&format!("-{name}"), &id]).status();
        }
    }

    /// Its exit status, if its process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten())
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = Request::new("ready", "GET", "/-/ready").with_timeout(Duration::from_secs(1));
        client::send(self.ready, &request).status == 200
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _killed = child.kill();
            let _ended = child.wait();
        }
    }
}
