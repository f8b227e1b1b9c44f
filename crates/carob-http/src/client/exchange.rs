//! One exchange on the network thread.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use super::{Error, Request, Response, request::HttpRequest};
use crate::Headers;

/// Largest piece of a body that is read at once, and largest head, in bytes.
const READ_BYTES: usize = 64 * 1024;

/// A response whose body has not been read yet.
pub(super) struct Answer {
    pub(super) response: hyper::Response<Incoming>,
    /// Drives the connection; aborting it closes the socket.
    connection: JoinHandle<()>,
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

impl Answer {
    pub(super) fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    pub(super) fn headers(&self) -> Headers {
        Headers::from_map(self.response.headers())
    }

    /// The next piece of the body, `None` at its clean end.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            let frame = match self.response.body_mut().frame().await? {
                Ok(frame) => frame,
                Err(error) => return Some(Err(error)),
            };
            // Trailers are of no use here.
            if let Ok(data) = frame.into_data() {
                return Some(Ok(data));
            }
        }
    }
}

/// Makes a connection, sends `request` and waits for the response's head.
pub(super) async fn head(request: &Request) -> Result<Answer, Error> {
    let http = request.to_http().map_err(not_sent)?;
    let stream = connect(request).await?;
    send(http, stream).await
}

/// One exchange with the whole body, at most `limit` bytes.
pub(super) async fn whole(request: &Request, limit: usize) -> Result<Response, Error> {
    let started = tokio::time::Instant::now();
    let http = request.to_http().map_err(not_sent)?;
    let stream = connect(request).await?;
    let rest = request.deadline.saturating_sub(started.elapsed());
    let exchange = async {
        let mut answer = send(http, stream).await?;
        let body = read_whole(&mut answer, limit).await?;
        Ok(Response {
            status: answer.status(),
            headers: answer.headers(),
            body,
        })
    };
    timeout(rest, exchange)
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

async fn send(request: HttpRequest, stream: TcpStream) -> Result<Answer, Error> {
    let (mut sender, connection) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(READ_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(not_sent)?;
    // The connection's own error comes up again where the response is read.
    let connection = tokio::spawn(async move { drop(connection.await) });
    let guard = AbortOnDrop(Some(connection));
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| Error::Unknown(describe(&error)))?;
    Ok(Answer {
        response,
        connection: guard.keep(),
    })
}

/// Closes the connection if the wait for the head is given up.
struct AbortOnDrop(Option<JoinHandle<()>>);

impl AbortOnDrop {
    fn keep(mut self) -> JoinHandle<()> {
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

async fn read_whole(answer: &mut Answer, limit: usize) -> Result<Bytes, Error> {
    let mut body = BytesMut::new();
    while let Some(piece) = answer.next().await {
        let piece = piece.map_err(|error| Error::Unknown(describe(&error)))?;
        if body.len() + piece.len() > limit {
            return Err(Error::Unknown(format!("the response exceeds {limit} bytes")));
        }
        body.extend_from_slice(&piece);
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

/// The error with its causes in one line.
pub(super) fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
