//! HTTP server shared by the stand-ins, with one thread per request.

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

/// Stack size of a request thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Maximum time to wait for a port to become free on start, or to refuse connections on close.
const PORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two checks of the port's state.
const PORT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// HTTP server that runs its handler on a new thread for each request.
pub(crate) struct HttpServer {
    server: Arc<Server>,
    address: SocketAddr,
    thread: JoinHandle<()>,
}

impl HttpServer {
    /// Listens on `address`, and serves each request with `handler`.
    ///
    /// If the port is still in use, as after a restart on the same address, retries for up to
    /// [`PORT_TIMEOUT`].
    pub(crate) fn start(
        address: SocketAddr,
        handler: impl Fn(Request) + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let to_error = |source| Error { address, source };
        let listener = bind(address).map_err(to_error)?;
        let address = listener.local_addr().map_err(to_error)?;
        let server =
            Server::from_listener(listener, None).map_err(|error| to_error(io::Error::other(error)))?;
        let server = Arc::new(server);
        let accept_server = Arc::clone(&server);
        let thread = thread::spawn(move || accept(&accept_server, &Arc::new(handler)));
        Ok(Self {
            server,
            address,
            thread,
        })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, and returns once new connections are refused.
    ///
    /// Gives up after [`PORT_TIMEOUT`]. Requests that are being handled continue on their own threads.
    pub(crate) fn close(self) {
        self.server.unblock();
        // Handlers run on their own threads, so their panics do not reach this thread.
        drop(self.thread.join());
        drop(self.server);
        let deadline = Instant::now() + PORT_TIMEOUT;
        while TcpStream::connect(self.address).is_ok() && Instant::now() < deadline {
            thread::sleep(PORT_POLL_INTERVAL);
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + PORT_TIMEOUT;
    let listener = loop {
        match TcpListener::bind(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                thread::sleep(PORT_POLL_INTERVAL);
            }
            other => break other?,
        }
    };
    // Accepted sockets inherit this option. Without it, Nagle's algorithm holds small chunks back until
    // earlier data is acknowledged.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

fn accept<H: Fn(Request) + Send + Sync + 'static>(server: &Server, handler: &Arc<H>) {
    while let Ok(request) = server.recv() {
        let handler = Arc::clone(handler);
        let builder = thread::Builder::new().stack_size(STACK_BYTES);
        if let Err(error) = builder.spawn(move || handler(request)) {
            log::warn!("standin: failed to start a thread for a request: {error}");
        }
    }
}

/// Reads the request's body. A body that is cut short is returned as far as it was received.
pub(crate) fn body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    if let Err(error) = request.as_reader().read_to_end(&mut body) {
        log::debug!("standin: failed to read a request body: {error}");
    }
    body
}

/// Returns the value of the request's header `name`, compared without regard to case.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))?;
    Some(found.value.to_string())
}

/// Returns the value of the parameter `name` in the query of `url`, without percent-decoding.
pub(crate) fn query<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

/// Responds with `text` and one additional header.
pub(crate) fn respond(request: Request, status: u16, text: &str, header: (&str, &str)) {
    let header = Header::from_bytes(header.0, header.1).expect("the stand-ins' headers are valid");
    let response = Response::from_string(text)
        .with_status_code(status)
        .with_header(header);
    if let Err(error) = request.respond(response) {
        log::debug!("standin: failed to send a response: {error}");
    }
}

/// Responds with a JSON body.
pub(crate) fn respond_json(request: Request, status: u16, value: &Value) {
    respond(
        request,
        status,
        &value.to_string(),
        ("content-type", "application/json"),
    );
}

/// Closes the connection without a response.
pub(crate) fn drop_reply(request: Request) {
    // Dropping a `Request` sends status 500; dropping its writer sends nothing.
    drop(request.into_writer());
}

/// Response with chunked transfer encoding; each chunk is flushed immediately.
pub(crate) struct Chunked {
    writer: Box<dyn Write + Send>,
}

impl Chunked {
    /// Sends the response head with status 200. Each line of `headers` ends in `\r\n`.
    pub(crate) fn start(request: Request, headers: &str) -> io::Result<Self> {
        let mut writer = request.into_writer();
        let head = format!("HTTP/1.1 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n");
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Sends `data` as one chunk.
    pub(crate) fn send(&mut self, data: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
        chunk.extend_from_slice(data);
        chunk.extend_from_slice(b"\r\n");
        self.writer.write_all(&chunk)?;
        self.writer.flush()
    }

    /// Sends the terminating chunk. If this is not called, the client sees a truncated response.
    pub(crate) fn close(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
