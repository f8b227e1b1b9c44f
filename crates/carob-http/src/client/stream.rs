//! A response whose body is read as it comes.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flume::{Receiver, RecvTimeoutError, Sender};
use tokio::{task::AbortHandle, time::timeout};

use super::{
    Error, Request, Response,
    exchange::{self, Answer, describe},
    runtime,
};
use crate::Headers;

/// Pieces that are read ahead of the consumer; the upstream is slowed down beyond that.
const READ_AHEAD: usize = 32;

carob_base::value! {
    /// What comes next on a [`Stream`].
    pub enum Chunk {
        /// A piece of the body, as it came.
        Data(Bytes),
        /// The body has ended as it should.
        End,
        /// The connection broke, or its deadline passed, before the body's end.
        Broken(String),
        /// Nothing came within the wait.
        Silent,
    }
}

/// Status and headers of a response.
type Head = (u16, Headers);

/// A request whose response has not begun yet. Dropping it closes the connection.
#[derive(Debug)]
pub struct Opening {
    head: Receiver<Result<Head, Error>>,
    chunks: Receiver<Chunk>,
    task: Task,
}

/// A response whose body is read as it comes. Dropping it closes the connection.
#[derive(Debug)]
pub struct Stream {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    chunks: Receiver<Chunk>,
    task: Task,
}

/// The exchange on the network thread; it ends with this value.
#[derive(Debug)]
struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

pub(super) fn start(request: Request) -> Opening {
    let (head_tx, head) = flume::bounded(1);
    let (chunk_tx, chunks) = flume::bounded(READ_AHEAD);
    let task = runtime::spawn(run(request, head_tx, chunk_tx));
    Opening {
        head,
        chunks,
        task: Task(task),
    }
}

impl Opening {
    /// Waits up to `limit` for the response's head; gives itself back if it has not come.
    ///
    /// # Errors
    ///
    /// Returns `Err(self)` if there is no outcome yet. The outcome itself is an [`Error`] if no response came.
    pub fn wait(self, limit: Duration) -> Result<Result<Stream, Error>, Self> {
        let head = match self.head.recv_timeout(limit) {
            Ok(head) => head,
            Err(RecvTimeoutError::Timeout) => return Err(self),
            Err(RecvTimeoutError::Disconnected) => Err(Error::Unknown("the client has shut down".to_owned())),
        };
        Ok(head.map(|(status, headers)| Stream {
            status,
            headers,
            chunks: self.chunks,
            task: self.task,
        }))
    }

    /// Waits for the whole response: up to `wait` for its head and for each further piece, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] if no response came, or [`Error::Unknown`] if its body is cut off, late or too large.
    pub fn whole(self, wait: Duration, limit: usize) -> Result<Response, Error> {
        let stream = self.wait(wait).unwrap_or_else(|opening| {
            opening.close();
            Err(Error::Unknown(format!("no response within {wait:?}")))
        })?;
        let body = stream.read_whole(wait, limit)?;
        Ok(Response {
            status: stream.status,
            headers: stream.headers,
            body,
        })
    }

    /// Closes the connection.
    pub fn close(self) {
        drop(self);
    }
}

impl Stream {
    fn read_whole(&self, wait: Duration, limit: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        loop {
            match self.next(wait) {
                Chunk::Data(data) if body.len() + data.len() <= limit => body.extend_from_slice(&data),
                Chunk::Data(_) => return Err(Error::Unknown(format!("the response exceeds {limit} bytes"))),
                Chunk::End => return Ok(body.freeze()),
                Chunk::Broken(reason) => return Err(Error::Unknown(reason)),
                Chunk::Silent => return Err(Error::Unknown(format!("nothing within {wait:?}"))),
            }
        }
    }

    /// Waits up to `limit` for what comes next.
    pub fn next(&self, limit: Duration) -> Chunk {
        match self.chunks.recv_timeout(limit) {
            Ok(chunk) => chunk,
            Err(RecvTimeoutError::Timeout) => Chunk::Silent,
            Err(RecvTimeoutError::Disconnected) => Chunk::Broken("the stream has ended before".to_owned()),
        }
    }

    /// The channel that [`next`](Self::next) reads, for use in a `flume::Selector`.
    ///
    /// It yields no [`Chunk::Silent`], and is disconnected after [`Chunk::End`] or [`Chunk::Broken`].
    pub const fn receiver(&self) -> &Receiver<Chunk> {
        &self.chunks
    }

    /// Closes the connection, whether or not the body has ended.
    pub fn close(self) {
        drop(self.task);
    }
}

/// The whole exchange, under the request's deadline.
async fn run(request: Request, head: Sender<Result<Head, Error>>, chunks: Sender<Chunk>) {
    let exchange = async {
        let answer = match exchange::head(&request).await {
            Ok(answer) => answer,
            Err(error) => {
                drop(head.send(Err(error)));
                return;
            }
        };
        // A consumer that has given up aborts this task; nothing needs to be told.
        drop(head.send(Ok((answer.status(), answer.headers()))));
        pump(answer, &chunks).await;
    };
    if timeout(request.deadline, exchange).await.is_err() {
        let reason = "the deadline has passed".to_owned();
        drop(head.try_send(Err(Error::Unknown(reason.clone()))));
        drop(chunks.send_async(Chunk::Broken(reason)).await);
    }
}

async fn pump(mut answer: Answer, chunks: &Sender<Chunk>) {
    loop {
        let chunk = match answer.next().await {
            Some(Ok(data)) if data.is_empty() => continue,
            Some(Ok(data)) => Chunk::Data(data),
            Some(Err(error)) => Chunk::Broken(describe(&error)),
            None => Chunk::End,
        };
        let last = !matches!(chunk, Chunk::Data(_));
        if chunks.send_async(chunk).await.is_err() || last {
            return;
        }
    }
}
