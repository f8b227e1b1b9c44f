//! The HTTP server of a stand-in: one thread per request.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use serde_json::Value;
use tiny_http::{Header, Request, Response, Server};

use crate::Error;

/// Stack of a thread that answers a request, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Longest wait for the port to be free or to refuse connections.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);
/// How often that is tried.
const SETTLE_PAUSE: Duration = Duration::from_millis(1);

/// A server that hands each request to a handler on a thread of its own.
pub(crate) struct Host {
    server: Arc<Server>,
    address: SocketAddr,
    thread: JoinHandle<()>,
}

impl Host {
    /// Listens on `address`; a port that was just given up is waited for.
    pub(crate) fn start(
        address: SocketAddr,
        handler: impl Fn(Request) + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let fail = |source| Error { address, source };
        let listener = bind(address).map_err(fail)?;
        let address = listener.local_addr().map_err(fail)?;
        let server = Server::from_listener(listener, None).map_err(|error| fail(io::Error::other(error)))?;
        let server = Arc::new(server);
        let accepted = Arc::clone(&server);
        let thread = thread::spawn(move || accept(&accepted, &Arc::new(handler)));
        Ok(Self {
            server,
            address,
            thread,
        })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening; returns when connections are refused.
    pub(crate) fn close(self) {
        self.server.unblock();
        // A panicking handler runs on a thread of its own.
        drop(self.thread.join());
        drop(self.server);
        let end = Instant::now() + SETTLE_LIMIT;
        while TcpStream::connect(self.address).is_ok() && Instant::now() < end {
            thread::sleep(SETTLE_PAUSE);
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let end = Instant::now() + SETTLE_LIMIT;
    let listener = loop {
        match TcpListener::bind(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < end => {
                thread::sleep(SETTLE_PAUSE);
            }
            other => break other?,
        }
    };
    // Accepted sockets inherit this; otherwise small pieces wait for acknowledgements.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

fn accept<H: Fn(Request) + Send + Sync + 'static>(server: &Server, handler: &Arc<H>) {
    while let Ok(request) = server.recv() {
        let handler = Arc::clone(handler);
        let builder = thread::Builder::new().stack_size(STACK_BYTES);
        if let Err(error) = builder.spawn(move || handler(request)) {
            log::warn!("standin: no thread for a request: {error}");
        }
    }
}

/// Reads the request's body.
pub(crate) fn body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    if let Err(error) = request.as_reader().read_to_end(&mut body) {
        log::debug!("standin: a request's body broke off: {error}");
    }
    body
}

/// The value of the request's header `name`.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))?;
    Some(found.value.to_string())
}

/// The value of `name` in the query of `url`.
pub(crate) fn query<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

/// Answers with text and one more header.
pub(crate) fn respond(request: Request, status: u16, text: &str, extra: (&str, &str)) {
    let header = Header::from_bytes(extra.0, extra.1).expect("the stand-ins' headers are valid");
    let response = Response::from_string(text)
        .with_status_code(status)
        .with_header(header);
    if let Err(error) = request.respond(response) {
        log::debug!("standin: an answer was not taken: {error}");
    }
}

/// Answers with JSON.
pub(crate) fn respond_json(request: Request, status: u16, value: &Value) {
    respond(
        request,
        status,
        &value.to_string(),
        ("content-type", "application/json"),
    );
}

/// Ends the exchange without an answer.
pub(crate) fn drop_reply(request: Request) {
    // A dropped `Request` would answer with status 500, a dropped writer does not.
    drop(request.into_writer());
}

/// A response that is sent chunk by chunk; each is flushed at once.
pub(crate) struct Chunked {
    writer: Box<dyn Write + Send>,
}

impl Chunked {
    /// Sends the head, with `headers` as lines that end in `\r\n`.
    pub(crate) fn start(request: Request, headers: &str) -> io::Result<Self> {
        let mut writer = request.into_writer();
        let head = format!("HTTP/1.1 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n");
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Sends one chunk.
    pub(crate) fn send(&mut self, data: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
        chunk.extend_from_slice(data);
        chunk.extend_from_slice(b"\r\n");
        self.writer.write_all(&chunk)?;
        self.writer.flush()
    }

    /// Ends the response as it should end. Without this, the connection is cut.
    pub(crate) fn close(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
