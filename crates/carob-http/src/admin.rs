//! The operators' listener.
//!
//! It is meant for the operators' network only: `tiny_http` limits neither the number of connections nor the
//! size of request heads, which is why callers are served by [`listen`](crate::listen).

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tiny_http::{Header, Request, Response, Server};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Number of threads that serve requests.
const WORKER_THREADS: usize = 2;
/// Interval at which [`AdminListener::close`] checks whether the threads have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

carob_base::value! {
    /// An operator's request.
    pub struct AdminRequest {
        /// HTTP method.
        pub method: String,
        /// Path without the query.
        pub path: String,
        /// Query without the question mark.
        pub query: String,
        /// Token of the `Authorization: Bearer` header, if there is one.
        pub bearer: Option<String>,
        /// Body, at most 1 MiB.
        pub body: Bytes,
    }

    /// The response to an operator.
    pub struct AdminResponse {
        /// HTTP status.
        pub status: u16,
        /// Media type of the body.
        pub media_type: &'static str,
        /// Body.
        pub body: Bytes,
    }
}

impl AdminResponse {
    /// Creates a response with a body of plain text.
    pub fn text(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            media_type: "text/plain; charset=utf-8",
            body: body.into(),
        }
    }

    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            media_type: "application/json",
            body: body.into(),
        }
    }
}

/// The operators' listener; serves requests until it is closed.
pub struct AdminListener {
    server: Arc<Server>,
    address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl AdminListener {
    /// Listens on `address` and serves each request with `handler`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        handler: impl Fn(&AdminRequest) -> AdminResponse + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let server = Server::http(address).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let bound = server.server_addr().to_ip().unwrap_or(address);
        let handler = Arc::new(handler);
        let serve = |_| {
            let (server, handler) = (Arc::clone(&server), Arc::clone(&handler));
            thread::spawn(move || serve(&server, &*handler))
        };
        Ok(Self {
            address: bound,
            threads: (0..WORKER_THREADS).map(serve).collect(),
            server,
        })
    }

    /// The address that the listener is bound to.
    pub const fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Stops serving and waits up to `grace` for the requests in progress.
    ///
    /// Returns the number of threads that still serve one: the library limits neither the time for which a
    /// request may arrive nor that for which its response may be read.
    pub fn close(mut self, grace: Duration) -> usize {
        for _ in &self.threads {
            self.server.unblock();
        }
        let end = Instant::now() + grace;
        loop {
            self.threads.retain(|thread| !thread.is_finished());
            if self.threads.is_empty() || Instant::now() >= end {
                return self.threads.len();
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl std::fmt::Debug for AdminListener {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminListener")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

fn serve(server: &Server, handler: &dyn Fn(&AdminRequest) -> AdminResponse) {
    // `recv` returns an error for each call of `unblock`.
    while let Ok(request) = server.recv() {
        respond(request, handler);
    }
}

fn respond(mut request: Request, handler: &dyn Fn(&AdminRequest) -> AdminResponse) {
    let response = match read_request(&mut request) {
        Ok(request) => handler(&request),
        Err(error) => AdminResponse::text(400, error.to_string()),
    };
    let content_type =
        Header::from_bytes("content-type", response.media_type).expect("media types are valid headers");
    let response = Response::from_data(response.body)
        .with_status_code(response.status)
        .with_header(content_type);
    if let Err(error) = request.respond(response) {
        log::debug!("http: operator disconnected before the response was sent: {error}");
    }
}

fn read_request(request: &mut Request) -> io::Result<AdminRequest> {
    let mut body = Vec::new();
    io::Read::read_to_end(
        &mut io::Read::take(request.as_reader(), MAX_BODY_BYTES + 1),
        &mut body,
    )?;
    if body.len() as u64 > MAX_BODY_BYTES {
        return Err(io::Error::other("the body exceeds 1 MiB"));
    }
    let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
    Ok(AdminRequest {
        method: request.method().to_string(),
        path: path.to_owned(),
        query: query.to_owned(),
        bearer: bearer_token(request),
        body: Bytes::from(body),
    })
}

fn bearer_token(request: &Request) -> Option<String> {
    let header = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("Authorization"))?;
    header.value.as_str().strip_prefix("Bearer ").map(str::to_owned)
}
