//! `carobhaven serve` as a process of its own.

#![allow(dead_code, reason = "each user needs a part")]

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

/// Long enough for any step on a busy machine.
pub const LONG: Duration = Duration::from_secs(30);
/// Free ports that are tried.
const ATTEMPTS: usize = 5;
/// Key of the only client account.
pub const KEY: &str = "a-key-of-the-parish";
/// SHA-256 of [`KEY`].
const KEY_SHA256: &str = "ae85456d271e608a2dabc500de7ffca0a0a19e1b5644a9d643633136328bc29e";
const OPERATOR: &str = "an-operators-key";

/// The `carobhaven` command.
pub fn carobhaven() -> Command {
    Command::new(env!("CARGO_BIN_EXE_carobhaven"))
}

/// A running instance.
pub struct Process {
    pub child: Child,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    _directory: tempfile::TempDir,
}

impl Process {
    /// Starts an instance before the store at `store`.
    ///
    /// The peers' port is free when it is chosen; if something else takes it before the instance does, the instance
    /// refuses to start, and another port is tried.
    pub fn start(store: SocketAddr) -> Self {
        let started = (0..ATTEMPTS).find_map(|_| Self::try_start(store));
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
        let stderr = child.stderr.take().expect("it is piped");
        let (found, addresses) = std::sync::mpsc::channel();
        // Reads to the end, so that the instance never waits for room in the pipe.
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let (Some(callers), Some(admin)) = (field(&line, "callers="), field(&line, "admin=")) {
                    let _waiting = found.send((callers, admin));
                }
            }
        });
        match addresses.recv_timeout(LONG) {
            Ok((callers, admin)) => Some(Self {
                child,
                callers,
                admin,
                _directory: directory,
            }),
            Err(RecvTimeoutError::Disconnected) => {
                let code = child.wait().expect("it has ended").code();
                assert_eq!(
                    code,
                    Some(2),
                    "the instance ends for another reason than its settings"
                );
                None
            }
            Err(RecvTimeoutError::Timeout) => panic!("the instance does not log its addresses"),
        }
    }

    /// Submits ticket 1 and waits until it is in force.
    pub fn configure(&self, ticket: &str) {
        let submit = Request::post(self.admin, "/tickets", ticket.to_owned())
            .with_header("authorization", format!("Bearer {OPERATOR}"));
        let answer = client::call(&submit).expect("the instance answers");
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        while !self.is_configured() {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn is_configured(&self) -> bool {
        let status = client::call(&Request::get(self.admin, "/status")).expect("the instance answers");
        let status: serde_json::Value = serde_json::from_slice(&status.body).expect("JSON");
        status["revision"] == 1
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let killed = Command::new("kill").arg(self.child.id().to_string()).status();
        assert!(killed.expect("kill runs").success());
    }

    /// Sends SIGTERM, waits for the end and returns the exit code.
    pub fn close(mut self) -> Option<i32> {
        self.terminate();
        self.child.wait().expect("it ends").code()
    }
}

fn field(line: &str, name: &str) -> Option<SocketAddr> {
    let word = line.split(' ').find_map(|word| word.strip_prefix(name))?;
    word.parse().ok()
}

fn settings(directory: &Path, store: SocketAddr) -> PathBuf {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback is free");
    let peers = socket.local_addr().expect("an address");
    let text = format!(
        "[instance]\nname = entry-1\ndomain = uusimaa\nregion = uusimaa\nleave_delay = 100ms\n\
         [callers]\naddress = 127.0.0.1:0\n\
         [admin]\naddress = 127.0.0.1:0\nkey = {OPERATOR}\n\
         [peers]\naddress = {peers}\nkey = a-peer-key-for-tests\n\
         [store]\nendpoints = {store}\n\
         [answers]\nkey = an-answer-key-for-tests\n"
    );
    let path = directory.join("instance.ini");
    fs::write(&path, text).expect("writable");
    path
}

/// A ticket with one engine, and one plain service if there is an address for it.
pub fn ticket(engine: SocketAddr, plain: Option<SocketAddr>, slots: usize, memory: u32) -> String {
    let generation = format!(
        "[ticket]\nnumber = 1\n\
         [service drafts]\nkind = generation\nmodel = default\n\
         [account parish-oulu]\nkey-sha256 = {KEY_SHA256}\n\
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

/// Opens a stream for `body` at an instance or an engine.
pub fn open(address: SocketAddr, body: &str) -> client::Stream {
    let request = Request::post(address, "/v1/responses", body.to_owned())
        .with_header("authorization", format!("Bearer {KEY}"))
        .with_deadline(10 * LONG);
    client::open(&request).expect("an answer")
}
