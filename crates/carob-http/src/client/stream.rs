//! A response whose body is read as it comes.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flume::{Receiver, RecvTimeoutError};

use super::{
    Error, Request, Response,
    feed::{self, Feed, Part, TaggedPart},
};
use crate::Headers;

/// Pieces that are read ahead of the consumer; the upstream is slowed down beyond that.
const READ_AHEAD: usize = 32;
/// Tag of the only connection of a channel.
const TAG: u32 = 0;

carob_base::value! {
    /// What comes next on a [`Stream`].
    pub enum Chunk {
        /// A piece of the body, as it came.
        Data(Bytes),
        /// The body has ended as it should.
        End,
        /// The connection broke, or its deadline passed, before the body's end.
        Failed(String),
        /// Nothing came within the wait.
        TimedOut,
    }
}

/// A request whose response has not begun yet. Dropping it closes the connection.
#[derive(Debug)]
pub struct PendingResponse {
    parts: Receiver<TaggedPart>,
    feed: Feed,
}

/// A response whose body is read as it comes. Dropping it closes the connection.
#[derive(Debug)]
pub struct Stream {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    parts: Receiver<TaggedPart>,
    feed: Feed,
}

pub(super) fn start(request: Request) -> PendingResponse {
    let (sink, parts) = flume::bounded(READ_AHEAD);
    let feed = feed::start(request, TAG, sink);
    PendingResponse { parts, feed }
}

impl PendingResponse {
    /// Waits up to `limit` for the response's head; gives itself back if it has not come.
    ///
    /// # Errors
    ///
    /// Returns `Err(self)` if there is no outcome yet. The outcome itself is an [`Error`] if no response came.
    pub fn wait(self, limit: Duration) -> Result<Result<Stream, Error>, Self> {
        let part = match self.parts.recv_timeout(limit) {
            Ok(signal) => signal.part,
            Err(RecvTimeoutError::Timeout) => return Err(self),
            Err(RecvTimeoutError::Disconnected) => {
                return Ok(Err(Error::Unknown("the client has shut down".to_owned())));
            }
        };
        Ok(match part {
            Part::Head { status, headers } => Ok(Stream {
                status,
                headers: *headers,
                parts: self.parts,
                feed: self.feed,
            }),
            Part::Failed(error) => Err(error),
            Part::Data(_) | Part::End => unreachable!("the head comes first"),
        })
    }

    /// Waits for the whole response: up to `wait` for its head and for each further piece, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] if no response came, or [`Error::Unknown`] if its body is cut off, late or too large.
    pub fn into_response(self, wait: Duration, limit: usize) -> Result<Response, Error> {
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
        self.feed.close();
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
                Chunk::Failed(reason) => return Err(Error::Unknown(reason)),
                Chunk::TimedOut => return Err(Error::Unknown(format!("nothing within {wait:?}"))),
            }
        }
    }

    /// Waits up to `limit` for what comes next.
    pub fn next(&self, limit: Duration) -> Chunk {
        match self.parts.recv_timeout(limit) {
            Ok(signal) => chunk(signal.part),
            Err(RecvTimeoutError::Timeout) => Chunk::TimedOut,
            Err(RecvTimeoutError::Disconnected) => Chunk::Failed("the stream has ended before".to_owned()),
        }
    }

    /// Closes the connection, whether or not the body has ended.
    pub fn close(self) {
        self.feed.close();
    }
}

fn chunk(part: Part) -> Chunk {
    match part {
        Part::Data(data) => Chunk::Data(data),
        Part::End => Chunk::End,
        Part::Failed(error) => Chunk::Failed(error.to_string()),
        Part::Head { .. } => unreachable!("the head comes once"),
    }
}
