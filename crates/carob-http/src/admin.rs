//! The operators' listener.
//!
//! It is meant for the operators' network: `tiny_http` bounds neither connections nor heads, which is why
//! callers are served by [`listen`](crate::listen).

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
};

use bytes::Bytes;
use tiny_http::{Header, Request, Response, Server};

/// Largest request body, in bytes.
const BODY_LIMIT: u64 = 1024 * 1024;
/// Threads that answer operators.
const WORKERS: usize = 2;

carob_base::value! {
    /// An operator's request.
    pub struct AdminRequest {
        /// HTTP method.
        pub method: String,
        /// Path without the query.
        pub path: String,
        /// Query without the question mark.
        pub query: String,
        /// Key from an `Authorization: Bearer` header.
        pub bearer: Option<String>,
        /// Body, at most 1 MiB.
        pub body: Bytes,
    }

    /// The answer to an operator.
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
    /// Plain text.
    pub fn text(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            media_type: "text/plain; charset=utf-8",
            body: body.into(),
        }
    }

    /// JSON.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            media_type: "application/json",
            body: body.into(),
        }
    }
}

/// The operators' listener; answers until it is closed.
pub struct AdminListener {
    server: Arc<Server>,
    address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl AdminListener {
    /// Listens on `address` and answers each request with `handler`.
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
            threads: (0..WORKERS).map(serve).collect(),
            server,
        })
    }

    /// The address that is listened on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Stops answering.
    pub fn close(self) {
        for _ in &self.threads {
            self.server.unblock();
        }
        for thread in self.threads {
            // A panicking handler has been reported by the panic hook.
            drop(thread.join());
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
    // `unblock` makes `recv` fail once.
    while let Ok(request) = server.recv() {
        answer(request, handler);
    }
}

fn answer(mut request: Request, handler: &dyn Fn(&AdminRequest) -> AdminResponse) {
    let reply = match read(&mut request) {
        Ok(ask) => handler(&ask),
        Err(error) => AdminResponse::text(400, error.to_string()),
    };
    let media = Header::from_bytes("content-type", reply.media_type).expect("media types are valid headers");
    let response = Response::from_data(reply.body)
        .with_status_code(reply.status)
        .with_header(media);
    if let Err(error) = request.respond(response) {
        log::debug!("http: an operator went away before the answer: {error}");
    }
}

fn read(request: &mut Request) -> io::Result<AdminRequest> {
    let mut body = Vec::new();
    io::Read::read_to_end(
        &mut io::Read::take(request.as_reader(), BODY_LIMIT + 1),
        &mut body,
    )?;
    if body.len() as u64 > BODY_LIMIT {
        return Err(io::Error::other("the body exceeds 1 MiB"));
    }
    let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
    Ok(AdminRequest {
        method: request.method().to_string(),
        path: path.to_owned(),
        query: query.to_owned(),
        bearer: bearer(request),
        body: Bytes::from(body),
    })
}

fn bearer(request: &Request) -> Option<String> {
    let header = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("Authorization"))?;
    header.value.as_str().strip_prefix("Bearer ").map(str::to_owned)
}
