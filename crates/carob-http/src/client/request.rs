//! A request, with its timeouts and limits.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::Headers;

/// Default of [`Request::connect_timeout`].
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Default of [`Request::deadline`].
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Default of [`Request::body_limit`].
const DEFAULT_BODY_LIMIT: usize = 16 * 1024 * 1024;

carob_base::value! {
    /// A request, with its timeouts and limits.
    pub struct Request {
        /// HTTP method.
        pub method: String,
        /// Address to connect to.
        pub address: SocketAddr,
        /// Path with the query.
        pub path: String,
        /// Headers; `host` and the headers for the framing of the body are added when the request is sent.
        pub headers: Headers,
        /// Body.
        pub body: Bytes,
        /// Maximum time to connect. 1 s by default.
        pub connect_timeout: Duration,
        /// Maximum time from the start of the request to the end of the response's body. 30 s by default.
        pub deadline: Duration,
        /// Maximum size of the body that [`call`](super::call) accepts, in bytes. 16 MiB by default.
        pub body_limit: usize,
    }
}

impl Request {
    /// Creates a request without headers and body.
    pub fn new(method: &str, address: SocketAddr, path: &str) -> Self {
        Self {
            method: method.to_owned(),
            address,
            path: path.to_owned(),
            headers: Headers::new(),
            body: Bytes::new(),
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            deadline: DEFAULT_DEADLINE,
            body_limit: DEFAULT_BODY_LIMIT,
        }
    }

    /// Creates a `GET` request.
    pub fn get(address: SocketAddr, path: &str) -> Self {
        Self::new("GET", address, path)
    }

    /// Creates a `POST` request with `body`.
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

    /// Sets the maximum time from the start of the request to the end of the response's body.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the maximum time to connect.
    #[must_use]
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the maximum size of the body that [`call`](super::call) accepts, in bytes.
    #[must_use]
    pub fn with_body_limit(mut self, limit: usize) -> Self {
        self.body_limit = limit;
        self
    }

    /// Converts the request for the HTTP library.
    pub(super) fn to_http(&self) -> Result<HttpRequest, hyper::http::Error> {
        let mut request = hyper::Request::builder()
            .method(self.method.as_str())
            .uri(self.path.as_str())
            .header(hyper::header::HOST, self.address.to_string())
            // The connection is not reused, so the other end need not wait for further requests.
            .header(hyper::header::CONNECTION, "close")
            .body(http_body_util::Full::new(self.body.clone()))?;
        self.headers.add_to(request.headers_mut());
        Ok(request)
    }
}

pub(super) type HttpRequest = hyper::Request<http_body_util::Full<Bytes>>;
