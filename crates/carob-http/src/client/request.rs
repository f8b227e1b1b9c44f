//! A request with its limits.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::Headers;

/// Time to make a connection, if nothing else is said.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the whole exchange, if nothing else is said.
const DEADLINE: Duration = Duration::from_secs(30);
/// Largest whole body, in bytes, if nothing else is said.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

carob_base::value! {
    /// A request with its limits.
    pub struct Request {
        /// HTTP method.
        pub method: String,
        /// Where the connection goes.
        pub address: SocketAddr,
        /// Path with the query.
        pub path: String,
        /// Headers; `host` and those that frame the body are added.
        pub headers: Headers,
        /// Body.
        pub body: Bytes,
        /// Time to make the connection; 1 s by default.
        pub connect_timeout: Duration,
        /// Time for the whole exchange, the response's body included; 30 s by default.
        pub deadline: Duration,
        /// Largest body that [`call`](super::call) accepts, in bytes; 16 MiB by default.
        pub body_limit: usize,
    }
}

impl Request {
    /// A request without headers and body.
    pub fn new(method: &str, address: SocketAddr, path: &str) -> Self {
        Self {
            method: method.to_owned(),
            address,
            path: path.to_owned(),
            headers: Headers::new(),
            body: Bytes::new(),
            connect_timeout: CONNECT_TIMEOUT,
            deadline: DEADLINE,
            body_limit: BODY_LIMIT,
        }
    }

    /// A `GET` request.
    pub fn get(address: SocketAddr, path: &str) -> Self {
        Self::new("GET", address, path)
    }

    /// A `POST` request with `body`.
    pub fn post(address: SocketAddr, path: &str, body: impl Into<Bytes>) -> Self {
        Self::new("POST", address, path).with_body(body)
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push(name, value);
        self
    }

    /// Sets the time for the whole exchange.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the time to make the connection.
    #[must_use]
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the largest whole body, in bytes.
    #[must_use]
    pub fn with_body_limit(mut self, limit: usize) -> Self {
        self.body_limit = limit;
        self
    }

    /// The request as the HTTP library takes it.
    pub(super) fn to_http(&self) -> Result<HttpRequest, hyper::http::Error> {
        let mut request = hyper::Request::builder()
            .method(self.method.as_str())
            .uri(self.path.as_str())
            .header(hyper::header::HOST, self.address.to_string())
            // The connection is not used again, and the other end need not wait for more.
            .header(hyper::header::CONNECTION, "close")
            .body(http_body_util::Full::new(self.body.clone()))?;
        self.headers.add_to(request.headers_mut());
        Ok(request)
    }
}

pub(super) type HttpRequest = hyper::Request<http_body_util::Full<Bytes>>;
