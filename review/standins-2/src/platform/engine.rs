//! A model runner that does what PROTOCOL.md says of one, with the time that copies take.
//!
//! A run is independent of the connection of its answer: this runner is one of those that don't drop a request when its
//! connection closes. It stops a run when it is called to (`POST /-/kv-move` with `Last`), when the run is complete, and
//! when it exits itself.

use std::{
    collections::HashMap,
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use carob_platform_standin::{Proxy, Store};

use crate::record::Record;

/// Bytes of a token's memory, and the bandwidth of a runner's link, as in the configuration of the project's stand-in.
const TOKEN_BYTES: f64 = 192_512.0;
const LINK_BITS_PER_S: f64 = 28e9;

/// Time of one event.
const INTERVAL: Duration = Duration::from_millis(40);

/// Prompt tokens that are read in a millisecond.
const READ_TOKENS: u64 = 14;

/// Memory of a runner in tokens, as in the configuration of the project's stand-in.
const MEMORY: u64 = 34_000;

/// Tokens of an event.
const STRIDE: u64 = 4;

/// A run at a runner, from its first step to its end.
#[derive(Clone, Debug)]
pub struct Span {
    /// The request's id.
    pub id: String,
    /// The runner's id.
    pub engine: String,
    /// When the runner began to work on it.
    pub from: Instant,
    /// When it stopped; `None` while it works.
    pub to: Option<Instant>,
}

#[derive(Debug)]
struct Run {
    /// Events made so far.
    made: u64,
    stopped: bool,
    prompt: u64,
    /// The connection of its answer; `None` once it is lost.
    answer: Option<TcpStream>,
    span: usize,
}

/// What all runners of a case share: copies, and the record of their runs.
#[derive(Debug, Default)]
struct World {
    /// Copies that aren't used, by `address/handle` at their source: the request, the target, and the events copied.
    copies: HashMap<String, (String, SocketAddr, u64)>,
    spans: Vec<Span>,
}

/// The runners of a case.
#[derive(Clone, Debug, Default)]
pub struct Pool(Arc<Mutex<World>>);

impl Pool {
    fn world(&self) -> MutexGuard<'_, World> {
        self.0.lock().expect("no holder panics")
    }

    /// All runs so far.
    pub fn spans(&self) -> Vec<Span> {
        self.world().spans.clone()
    }

    /// Longest time since `start` for which two runners worked on one request, with both runs.
    pub fn longest_overlap(&self, start: Instant) -> Option<(Duration, Span, Span)> {
        let spans = self.spans();
        let now = Instant::now();
        let mut longest: Option<(Duration, Span, Span)> = None;
        for (index, one) in spans.iter().enumerate() {
            for other in &spans[index + 1..] {
                if one.id != other.id || one.engine == other.engine {
                    continue;
                }
                let from = one.from.max(other.from).max(start);
                let to = one.to.unwrap_or(now).min(other.to.unwrap_or(now));
                let both = to.saturating_duration_since(from);
                if longest.as_ref().is_none_or(|(least, ..)| both > *least) {
                    longest = Some((both, one.clone(), other.clone()));
                }
            }
        }
        longest
    }
}

#[derive(Debug)]
struct Shared {
    id: String,
    pool: Pool,
    store: Store,
    record: Record,
    /// Where all others reach it: the address of `proxy`.
    address: SocketAddr,
    proxy: Proxy,
    events: u64,
    runs: Mutex<HashMap<String, Run>>,
    /// Copies made of each request, by target: the events in the last one.
    copied: Mutex<HashMap<(String, String), u64>>,
    /// Requests of which a copy is under way, and since when.
    copying: Mutex<HashMap<String, Instant>>,
    /// Held while a copy uses the link.
    link: Mutex<()>,
    leaving: AtomicBool,
    exited: AtomicBool,
    next_handle: AtomicU64,
    sequence: AtomicU64,
    born: u128,
}

/// A model runner; clones share it.
#[derive(Clone, Debug)]
pub struct Engine(Arc<Shared>);

struct Incoming {
    method: String,
    path: String,
    headers: HashMap<String, String>,
    body: String,
}

impl Engine {
    /// Starts a runner of the service `engines` whose requests have `events` events, and registers it.
    pub fn start(id: &str, events: u64, pool: &Pool, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let proxy = Proxy::start(listener.local_addr().expect("it is bound"));
        let engine = Self(Arc::new(Shared {
            id: id.to_owned(),
            pool: pool.clone(),
            store: store.clone(),
            record: record.clone(),
            address: proxy.address,
            proxy,
            events,
            runs: Mutex::default(),
            copied: Mutex::default(),
            copying: Mutex::default(),
            link: Mutex::default(),
            leaving: AtomicBool::new(false),
            exited: AtomicBool::new(false),
            next_handle: AtomicU64::new(1),
            sequence: AtomicU64::new(1),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_millis(),
        }));
        let served = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        engine.register();
        engine
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.0.id
    }

    fn register(&self) {
        let shared = &self.0;
        let state = if shared.leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let entry = format!(
            "{{\"Service\":\"engines\",\"Address\":\"{}\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":24,\
             \"State\":\"{state}\",\"ColdLeftMs\":0,\"Seq\":{},\"born\":{}}}",
            shared.address,
            shared.sequence.fetch_add(1, Ordering::SeqCst),
            shared.born
        );
        shared
            .store
            .put_bytes(&format!("servers/{}", shared.id), entry.as_bytes());
    }

    /// Reports that it is draining; it goes on serving.
    pub fn drain(&self) {
        self.0.leaving.store(true, Ordering::SeqCst);
        self.register();
        self.0
            .record
            .line(&format!("runner {} reports that it is draining", self.0.id));
    }

    /// Cuts it off from everybody, or ends that: new connections are refused, and those that exist live on.
    pub fn set_cut(&self, is_cut: bool) {
        self.0.proxy.set_closed(is_cut);
        let event = if is_cut {
            "is cut off: new connections are refused"
        } else {
            "is reached again"
        };
        self.0.record.line(&format!("runner {} {event}", self.0.id));
    }

    /// Exits: all its runs end, and its entry is removed.
    pub fn exit(&self) {
        self.0.exited.store(true, Ordering::SeqCst);
        let ids: Vec<String> = self.runs().keys().cloned().collect();
        for id in ids {
            self.end_run(&id, "the runner exits");
        }
        self.0.store.remove(&format!("servers/{}", self.0.id));
    }

    /// Requests that it works on.
    pub fn running(&self) -> Vec<String> {
        self.runs().keys().cloned().collect()
    }

    /// Requests that it works on of which a copy has been made.
    pub fn copied(&self) -> Vec<String> {
        let copied = self.0.copied.lock().expect("no holder panics");
        let runs = self.runs();
        let mut ids: Vec<String> = copied.keys().map(|(id, _)| id.clone()).collect();
        ids.retain(|id| runs.contains_key(id));
        ids.sort();
        ids.dedup();
        ids
    }

    /// The request whose copy has been under way for the shortest time, which is the last one in the queue for the link.
    pub fn last_in_queue(&self) -> Option<String> {
        let copying = self.0.copying.lock().expect("no holder panics");
        copying
            .iter()
            .max_by_key(|(_, since)| **since)
            .map(|(id, _)| id.clone())
    }

    /// Loses the answer of a request that it works on: its connection ends without the last chunk, and it works on. Returns
    /// whether it did.
    pub fn lose_answer(&self, id: &str) -> bool {
        let mut runs = self.runs();
        let Some(stream) = runs.get_mut(id).and_then(|run| run.answer.take()) else {
            return false;
        };
        drop(runs);
        let _ended = stream.shutdown(Shutdown::Both);
        self.0.record.line(&format!(
            "runner {} loses the answer of {id}, and works on",
            self.0.id
        ));
        true
    }

    fn runs(&self) -> MutexGuard<'_, HashMap<String, Run>> {
        self.0.runs.lock().expect("no holder panics")
    }

    fn serve(&self, stream: TcpStream) {
        let Some(request) = read(&stream) else { return };
        if self.0.exited.load(Ordering::SeqCst) {
            return;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/report") => {
                let leaving = self.0.leaving.load(Ordering::SeqCst);
                let state = if leaving { "draining" } else { "ready" };
                let runs = self.runs();
                let used: u64 = runs.values().map(|run| run.prompt + run.made * STRIDE).sum();
                let body = format!(
                    "{{\"KvUsed\":{used},\"KvTotal\":{MEMORY},\"Queued\":0,\"Running\":{},\"State\":\"{state}\"}}",
                    runs.len()
                );
                drop(runs);
                self.answer(&stream, 200, "", &body);
            }
            ("GET", "/health") => {
                let status = if self.0.leaving.load(Ordering::SeqCst) {
                    503
                } else {
                    200
                };
                self.answer(&stream, status, &format!("Instance-Id: {}\r\n", self.0.id), "");
            }
            ("POST", "/-/kv-move") => self.copy(&request, &stream),
            ("DELETE", path) => {
                let handle = path.rsplit('/').next().unwrap_or_default();
                let name = format!("{}/{handle}", self.0.address);
                self.0.pool.world().copies.remove(&name);
                self.answer(&stream, 200, "", "{}");
            }
            _ => self.run(&request, stream),
        }
    }

    /// What it says of itself in all its answers.
    fn own_lines(&self) -> &'static str {
        let leaving = self.0.leaving.load(Ordering::SeqCst);
        if leaving { "Server-Leaving: 1\r\n" } else { "" }
    }

    fn answer(&self, mut stream: &TcpStream, status: u16, headers: &str, body: &str) {
        let text = format!(
            "HTTP/1.1 {status} Status\r\n{headers}{}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.own_lines(),
            body.len()
        );
        let _sent = stream.write_all(text.as_bytes());
    }

    /// `POST /-/kv-move`: copies the memory of a run; with `Last`, stops it first.
    fn copy(&self, request: &Incoming, stream: &TcpStream) {
        let (id, target) = (field(&request.body, "Id"), field(&request.body, "Target"));
        let is_last = request.body.replace(' ', "").contains("\"Last\":true");
        let Some((made, prompt)) = self.runs().get(&id).map(|run| (run.made, run.prompt)) else {
            return self.answer(stream, 404, "", "{}");
        };
        {
            let mut copying = self.0.copying.lock().expect("no holder panics");
            if copying.contains_key(&id) {
                drop(copying);
                self.0.record.line(&format!(
                    "runner {} answers 409 to a call for {id}: one is in progress{}",
                    self.0.id,
                    if is_last { " (Last)" } else { "" }
                ));
                return self.answer(stream, 409, "", "{}");
            }
            copying.insert(id.clone(), Instant::now());
        }
        if is_last {
            self.end_run(&id, "called to stop");
        }
        let key = (id.clone(), target.clone());
        let before = self.0.copied.lock().expect("no holder panics").get(&key).copied();
        let using = self.0.link.lock().expect("no holder panics");
        let tokens = before.map_or(prompt + made * STRIDE, |events| {
            made.saturating_sub(events) * STRIDE
        });
        let time = tokens as f64 * TOKEN_BYTES * 8.0 / LINK_BITS_PER_S;
        thread::sleep(Duration::from_secs_f64(time));
        drop(using);
        self.0.copying.lock().expect("no holder panics").remove(&id);
        // While it was copied, the run may have made more, which is not in the copy.
        self.0.copied.lock().expect("no holder panics").insert(key, made);
        let handle = format!(
            "h{}-{}",
            self.0.id,
            self.0.next_handle.fetch_add(1, Ordering::SeqCst)
        );
        let Ok(target) = target.parse::<SocketAddr>() else {
            return self.answer(stream, 503, "", "{}");
        };
        let name = format!("{}/{handle}", self.0.address);
        self.0
            .pool
            .world()
            .copies
            .insert(name, (id.clone(), target, made));
        self.0.record.line(&format!(
            "runner {} has copied {id} ({made} events){}",
            self.0.id,
            if is_last { ", which was stopped" } else { "" }
        ));
        self.answer(
            stream,
            200,
            "",
            &format!("{{\"Handle\":\"{handle}\",\"CreatedRev\":{made}}}"),
        );
    }

    /// A client's request.
    fn run(&self, request: &Incoming, stream: TcpStream) {
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let id = header("request-id");
        let expected = header("expect-instance");
        if !expected.is_empty() && expected != self.0.id {
            return self.answer(&stream, 421, "", "");
        }
        let last: u64 = header("last-event-id").parse().unwrap_or(0);
        let left = header("deadline-ms").parse().unwrap_or(u64::MAX >> 20);
        let deadline = Instant::now() + Duration::from_millis(left);
        let prompt: u64 = header("token-usage")
            .split(',')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let from = header("kv-from");
        let mut missing = 0;
        if !from.is_empty() {
            let mut world = self.0.pool.world();
            let copy = world.copies.remove(&from);
            drop(world);
            let usable = copy.filter(|(request, target, _)| {
                *request == id
                    && (*target == self.0.address || from.starts_with(&format!("{}/", self.0.address)))
            });
            let Some((_, _, events)) = usable else {
                return self.answer(&stream, 503, "Not-Executed: 1\r\n", "");
            };
            missing = last.saturating_sub(events);
        }
        let span = {
            let mut world = self.0.pool.world();
            world.spans.push(Span {
                id: id.clone(),
                engine: self.0.id.clone(),
                from: Instant::now(),
                to: None,
            });
            world.spans.len() - 1
        };
        let how = if from.is_empty() { "runs" } else { "goes on with" };
        self.0
            .record
            .line(&format!("runner {} {how} {id} after event {last}", self.0.id));
        let answer = stream.try_clone().ok();
        self.runs().insert(
            id.clone(),
            Run {
                made: last,
                stopped: false,
                prompt,
                answer,
                span,
            },
        );
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp.{}\r\nContent-Type: text/event-stream\r\n\
             {}Transfer-Encoding: chunked\r\n\r\n",
            self.0.id,
            self.own_lines()
        );
        self.send(&id, span, &head);
        drop(stream);
        let unread = if from.is_empty() {
            prompt + last * STRIDE
        } else {
            missing * STRIDE
        };
        thread::sleep(Duration::from_millis(unread / READ_TOKENS));
        for number in last + 1..=self.0.events {
            thread::sleep(INTERVAL);
            if Instant::now() >= deadline {
                return self.end_run(&id, "its deadline is over");
            }
            match self.runs().get_mut(&id) {
                Some(run) if run.span == span && !run.stopped => run.made = number,
                _ => return,
            }
            let event = format!("id: {number}\ndata: {id}:{number}\n\n");
            self.send(&id, span, &format!("{:x}\r\n{event}\r\n", event.len()));
        }
        self.send(&id, span, "0\r\n\r\n");
        self.end_run(&id, "complete");
    }

    /// Sends bytes of an answer, unless it is lost.
    fn send(&self, id: &str, span: usize, text: &str) {
        let stream = {
            let runs = self.runs();
            let run = runs.get(id).filter(|run| run.span == span);
            run.and_then(|run| run.answer.as_ref()?.try_clone().ok())
        };
        if let Some(mut stream) = stream
            && stream.write_all(text.as_bytes()).is_err()
            && let Some(run) = self.runs().get_mut(id)
        {
            run.answer = None;
        }
    }

    fn end_run(&self, id: &str, why: &str) {
        let Some(run) = self.runs().remove(id) else { return };
        if let Some(stream) = &run.answer {
            let _ended = stream.shutdown(Shutdown::Both);
        }
        if let Some(span) = self.0.pool.world().spans.get_mut(run.span) {
            span.to = Some(Instant::now());
        }
        self.0.record.line(&format!(
            "runner {} ends its run of {id} at event {}: {why}",
            self.0.id, run.made
        ));
    }
}

fn read(mut stream: &TcpStream) -> Option<Incoming> {
    stream.set_read_timeout(Some(Duration::from_secs(60))).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        let count = stream.read(&mut piece).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&piece[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let size: usize = headers
        .get("content-length")
        .and_then(|size| size.parse().ok())
        .unwrap_or(0);
    let mut body = bytes.split_off(end + 4);
    while body.len() < size {
        let count = stream.read(&mut piece).ok().filter(|count| *count > 0)?;
        body.extend_from_slice(&piece[..count]);
    }
    Some(Incoming {
        method,
        path,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// The text of a field in a flat JSON object.
fn field(body: &str, name: &str) -> String {
    let Some((_, rest)) = body.split_once(&format!("\"{name}\"")) else {
        return String::new();
    };
    let rest = rest.trim_start_matches([':', ' ']);
    rest.strip_prefix('"')
        .and_then(|rest| rest.split('"').next())
        .unwrap_or_default()
        .to_owned()
}
