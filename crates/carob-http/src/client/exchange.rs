//! One request with its response, on the network thread.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use super::{Error, Request, Response, request::HttpRequest};
use crate::Headers;

/// Size of the read buffer in bytes: the maximum size of a response head and of a piece of a body.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// A response whose head has been received.
pub(super) struct IncomingResponse {
    pub(super) response: hyper::Response<Incoming>,
    /// The task that drives the connection; aborting it closes the socket.
    connection: JoinHandle<()>,
}

impl Drop for IncomingResponse {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

impl IncomingResponse {
    pub(super) fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    pub(super) fn headers(&self) -> Headers {
        Headers::from_map(self.response.headers())
    }

    /// The next piece of the body; `None` after the last one.
    pub(super) async fn next_chunk(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            let frame = match self.response.body_mut().frame().await? {
                Ok(frame) => frame,
                Err(error) => return Some(Err(error)),
            };
            // Frames without data are trailers, which are ignored.
            if let Ok(data) = frame.into_data() {
                return Some(Ok(data));
            }
        }
    }
}

/// Connects, sends `request` and waits for the response's head. The request's deadline is the caller's to
/// enforce.
pub(super) async fn start(request: &Request) -> Result<IncomingResponse, Error> {
    let http = request.to_http().map_err(not_sent)?;
    let stream = connect(request).await?;
    send(http, stream).await
}

/// Sends `request` and waits for the complete response, with a body of at most `max_bytes`.
pub(super) async fn call(request: &Request, max_bytes: usize) -> Result<Response, Error> {
    let started = tokio::time::Instant::now();
    let http = request.to_http().map_err(not_sent)?;
    let stream = connect(request).await?;
    let remaining = request.deadline.saturating_sub(started.elapsed());
    let exchange = async {
        let mut response = send(http, stream).await?;
        let body = read_body(&mut response, max_bytes).await?;
        Ok(Response {
            status: response.status(),
            headers: response.headers(),
            body,
        })
    };
    timeout(remaining, exchange)
        .await
        .unwrap_or_else(|_elapsed| Err(Error::Unknown("the deadline has passed".to_owned())))
}

async fn connect(request: &Request) -> Result<TcpStream, Error> {
    let limit = request.connect_timeout.min(request.deadline);
    let stream = timeout(limit, TcpStream::connect(request.address))
        .await
        .map_err(|_elapsed| Error::NotSent(format!("no connection within {limit:?}")))?
        .map_err(not_connected)?;
    stream.set_nodelay(true).map_err(not_sent)?;
    Ok(stream)
}

async fn send(request: HttpRequest, stream: TcpStream) -> Result<IncomingResponse, Error> {
    let (mut sender, connection) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(not_sent)?;
    // An error of the connection is also returned where the response is read.
    let connection = tokio::spawn(async move { drop(connection.await) });
    let guard = AbortOnDrop(Some(connection));
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| Error::Unknown(describe(&error)))?;
    Ok(IncomingResponse {
        response,
        connection: guard.release(),
    })
}

/// Closes the connection if the task that waits for the response's head is aborted or times out.
struct AbortOnDrop(Option<JoinHandle<()>>);

impl AbortOnDrop {
    fn release(mut self) -> JoinHandle<()> {
        self.0.take().expect("the handle is taken once")
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            connection.abort();
        }
    }
}

async fn read_body(response: &mut IncomingResponse, max_bytes: usize) -> Result<Bytes, Error> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.next_chunk().await {
        let chunk = chunk.map_err(|error| Error::Unknown(describe(&error)))?;
        if body.len() + chunk.len() > max_bytes {
            return Err(Error::Unknown(format!("the response exceeds {max_bytes} bytes")));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn not_connected(error: std::io::Error) -> Error {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused => Error::Refused(error.to_string()),
        _ => not_sent(error),
    }
}

fn not_sent(error: impl std::fmt::Display) -> Error {
    Error::NotSent(error.to_string())
}

/// The error and its causes, in one line.
pub(super) fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
