//! A request that waits for its response.

use std::{fmt, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use carob_wire::{Problem, header, problem};
use hyper::{Response, StatusCode, http::request::Parts};
use tokio::sync::oneshot;

use super::{
    Options,
    outgoing::{Body, Writer},
    socket::RequestGuard,
};
use crate::Headers;

/// A request that waits for its response, on a worker thread.
///
/// Dropping it without a response aborts the connection.
pub struct Exchange {
    method: String,
    path: String,
    query: String,
    headers: Headers,
    body: Bytes,
    peer: SocketAddr,
    reply: oneshot::Sender<Response<Body>>,
    guard: RequestGuard,
    options: Arc<Options>,
}

impl Exchange {
    pub(super) fn new(
        parts: &Parts,
        body: Bytes,
        peer: SocketAddr,
        reply: oneshot::Sender<Response<Body>>,
        guard: RequestGuard,
        options: Arc<Options>,
    ) -> Self {
        Self {
            method: parts.method.as_str().to_owned(),
            path: parts.uri.path().to_owned(),
            query: parts.uri.query().unwrap_or_default().to_owned(),
            headers: Headers::from_map(&parts.headers),
            body,
            peer,
            reply,
            guard,
            options,
        }
    }

    /// HTTP method, as received.
    pub fn method(&self) -> &str {
        &self.method
    }

    /// Path without the query, as received.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Query without the question mark; empty if there is none.
    pub fn query(&self) -> &str {
        &self.query
    }

    /// The value of the first header with this name, which is compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }

    /// All headers.
    pub const fn headers(&self) -> &Headers {
        &self.headers
    }

    /// Takes the body; empty after the first call.
    pub fn take_body(&mut self) -> Bytes {
        std::mem::take(&mut self.body)
    }

    /// Address from which the caller is connected.
    pub const fn peer_addr(&self) -> SocketAddr {
        self.peer
    }

    /// Whether the caller has closed the connection.
    pub fn is_disconnected(&self) -> bool {
        self.reply.is_closed()
    }

    /// Sends a complete response.
    pub fn respond(self, status: u16, headers: &Headers, body: impl Into<Bytes>) {
        let body = Body::complete(body.into(), self.guard);
        send(self.reply, response(status, headers, body));
    }

    /// Sends `refusal` as the response.
    pub fn refuse(self, refusal: &Problem) {
        let (headers, body) = refusal_parts(refusal);
        self.respond(refusal.status, &headers, body);
    }

    /// Starts a response that is sent piece by piece. Its head is sent with the first piece.
    pub fn stream(self, status: u16, headers: &Headers) -> Writer {
        let (writer, body) = Body::streamed(self.guard, &self.options);
        send(self.reply, response(status, headers, body));
        writer
    }
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange")
            .field("method", &self.method)
            .field("path", &self.path)
            .field("peer", &self.peer)
            .finish_non_exhaustive()
    }
}

/// The headers and the body of a refusal.
pub(super) fn refusal_parts(refusal: &Problem) -> (Headers, Bytes) {
    let mut headers = Headers::new()
        .with("content-type", problem::MEDIA_TYPE)
        .with(header::OUTCOME, refusal.outcome.as_str());
    if let Some(delay) = refusal.retry_after {
        headers.push(header::RETRY_AFTER, delay.to_string());
    }
    (headers, Bytes::from(refusal.to_json()))
}

/// Creates a response. Its status is 500 if `status` is not valid.
pub(super) fn response(status: u16, headers: &Headers, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    headers.add_to(response.headers_mut());
    response
}

fn send(reply: oneshot::Sender<Response<Body>>, response: Response<Body>) {
    // Fails if the caller has disconnected, which the worker can see by `is_disconnected`.
    drop(reply.send(response));
}
