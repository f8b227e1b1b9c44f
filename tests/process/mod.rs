//! Runs `carobhaven serve` as a separate process.

#![allow(dead_code, reason = "each target uses a part of this module")]

use std::{
    fs,
    io::{BufRead as _, BufReader},
    net::{SocketAddr, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::mpsc::RecvTimeoutError,
    time::Duration,
};

use carob_http::client::{self, Request};

/// Timeout of a step, long enough for a heavily loaded machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of ports that are tried for peers.
const PORT_ATTEMPTS: usize = 5;
/// API key of the only client account.
pub const CLIENT_KEY: &str = "a-key-of-the-parish";
/// SHA-256 of [`CLIENT_KEY`].
const CLIENT_KEY_SHA256: &str = "ae85456d271e608a2dabc500de7ffca0a0a19e1b5644a9d643633136328bc29e";
/// Key that the admin address accepts for changes.
const OPERATOR_KEY: &str = "an-operators-key";

/// Returns a command that runs the `carobhaven` binary.
pub fn carobhaven() -> Command {
    Command::new(env!("CARGO_BIN_EXE_carobhaven"))
}

/// A running instance.
pub struct Process {
    pub child: Child,
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    _directory: tempfile::TempDir,
}

impl Process {
    /// Starts an instance that uses the store at `store`.
    ///
    /// The port for peers is free when it is chosen. If something else takes it before the instance binds it,
    /// the instance refuses to start, and another port is tried.
    pub fn start(store: SocketAddr) -> Self {
        let started = (0..PORT_ATTEMPTS).find_map(|_| Self::try_start(store));
        started.expect("one of several free ports stays free")
    }

    fn try_start(store: SocketAddr) -> Option<Self> {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let mut child = carobhaven()
            .args(["serve", "--settings"])
            .arg(settings(directory.path(), store))
            .stderr(Stdio::piped())
            .spawn()
            .expect("the command runs");
        let stderr = child.stderr.take().expect("standard error is piped");
        let (address_tx, address_rx) = std::sync::mpsc::channel();
        // Reads until the end, so that the instance never blocks on a full pipe.
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let (Some(callers), Some(admin)) = (field(&line, "callers="), field(&line, "admin=")) {
                    let _received = address_tx.send((callers, admin));
                }
            }
        });
        match address_rx.recv_timeout(STEP_TIMEOUT) {
            Ok((caller_address, admin_address)) => Some(Self {
                child,
                caller_address,
                admin_address,
                _directory: directory,
            }),
            Err(RecvTimeoutError::Disconnected) => {
                let code = child.wait().expect("the process has ended").code();
                assert_eq!(
                    code,
                    Some(2),
                    "the instance exited for another reason than its settings"
                );
                None
            }
            Err(RecvTimeoutError::Timeout) => panic!("the instance did not log its addresses"),
        }
    }

    /// Submits ticket 1 and waits until its revision is in force.
    pub fn configure(&self, ticket: &str) {
        let submit = Request::post(self.admin_address, "/tickets", ticket.to_owned())
            .with_header("authorization", format!("Bearer {OPERATOR_KEY}"));
        let response = client::call(&submit).expect("the instance answers");
        assert_eq!(response.status, 200, "{:?}", response.body);
        while !self.is_configured() {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn is_configured(&self) -> bool {
        let status =
            client::call(&Request::get(self.admin_address, "/status")).expect("the instance answers");
        let status: serde_json::Value = serde_json::from_slice(&status.body).expect("JSON");
        status["revision"] == 1
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends the signal with this name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args(["-s", name])
            .arg(self.child.id().to_string())
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Sends SIGTERM, waits for the process to end and returns its exit code.
    pub fn close(mut self) -> Option<i32> {
        self.terminate();
        self.child.wait().expect("the process ends").code()
    }
}

/// Returns the address in the field `name` of a log line, such as `callers=127.0.0.1:80`.
fn field(line: &str, name: &str) -> Option<SocketAddr> {
    let word = line.split(' ').find_map(|word| word.strip_prefix(name))?;
    word.parse().ok()
}

/// Writes a settings file and returns its path.
fn settings(directory: &Path, store: SocketAddr) -> PathBuf {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback is free");
    let peers = socket.local_addr().expect("an address");
    let text = format!(
        "[instance]\nname = entry-1\ndomain = uusimaa\nregion = uusimaa\nleave_delay = 100ms\n\
         [callers]\naddress = 127.0.0.1:0\n\
         [admin]\naddress = 127.0.0.1:0\nkey = {OPERATOR_KEY}\n\
         [peers]\naddress = {peers}\nkey = a-peer-key-for-tests\n\
         [store]\nendpoints = {store}\n\
         [answers]\nkey = an-answer-key-for-tests\n"
    );
    let path = directory.join("instance.ini");
    fs::write(&path, text).expect("writable");
    path
}

/// Text of a ticket with one engine and, if `plain` is given, one plain service at that address.
pub fn ticket(engine: SocketAddr, plain: Option<SocketAddr>, slots: usize, memory: u32) -> String {
    let generation = format!(
        "[ticket]\nnumber = 1\n\
         [service drafts]\nkind = generation\nmodel = default\n\
         [account parish-oulu]\nkey-sha256 = {CLIENT_KEY_SHA256}\n\
         [route drafts]\npath = /v1/responses\nservice = drafts\nidempotent = yes\n\
         [upstream engine-1]\nservice = drafts\naddress = {engine}\ndomain = uusimaa\nregion = uusimaa\n\
         memory = {memory}\nslots = {slots}\n"
    );
    let plain = plain.map(|address| {
        format!(
            "[service ordering]\nkind = plain\n\
             [route stock]\npath = /stock\nmethods = GET\nservice = ordering\nidempotent = yes\n\
             [upstream orders-1]\nservice = ordering\naddress = {address}\ndomain = uusimaa\nregion = uusimaa\n\
             slots = {slots}\n"
        )
    });
    generation + &plain.unwrap_or_default()
}

/// Requests a generation from an instance or an engine and returns its stream.
pub fn open(address: SocketAddr, body: &str) -> client::Stream {
    let request = Request::post(address, "/v1/responses", body.to_owned())
        .with_header("authorization", format!("Bearer {CLIENT_KEY}"))
        .with_deadline(10 * STEP_TIMEOUT);
    client::open(&request).expect("an answer")
}
