//! Responses whose body is read piece by piece, as it arrives.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flume::{Receiver, RecvTimeoutError};

use super::{
    Error, Request, Response,
    feed::{self, Feed, Part, TaggedPart},
};
use crate::Headers;

/// Maximum number of pieces that are read ahead of the consumer; beyond that, nothing is read from the
/// connection.
const READ_AHEAD: usize = 32;
/// Tag of the connection; each channel here has only one.
const TAG: u32 = 0;

carob_base::value! {
    /// Result of waiting for the next piece of a body, see [`Stream::next`].
    pub enum Chunk {
        /// A piece of the body, as it was received.
        Data(Bytes),
        /// The body is complete.
        End,
        /// The connection broke, or its deadline passed, before the body's end. The text says why.
        Failed(String),
        /// Nothing was received within the given time. The stream can be waited for again.
        TimedOut,
    }
}

/// A request in progress, whose response has not been looked at yet. Dropping it closes the connection.
#[derive(Debug)]
pub struct PendingResponse {
    parts: Receiver<TaggedPart>,
    feed: Feed,
}

/// A response whose body is read piece by piece. Dropping it closes the connection.
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
    /// Waits up to `limit` for the response's head.
    ///
    /// # Errors
    ///
    /// Returns `Err(self)` if `limit` has passed, so that the wait can be continued. The inner result is an
    /// [`Error`] if the request has failed.
    pub fn wait(self, limit: Duration) -> Result<Result<Stream, Error>, Self> {
        let part = match self.parts.recv_timeout(limit) {
            Ok(tagged) => tagged.part,
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

    /// Waits for the complete response, up to `wait` for its head and for each piece of its body, which may
    /// have at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if there is no response, and [`Error::Unknown`] if its body is truncated, late or
    /// too large.
    pub fn into_response(self, wait: Duration, limit: usize) -> Result<Response, Error> {
        let stream = self.wait(wait).unwrap_or_else(|pending| {
            pending.close();
            Err(Error::Unknown(format!("no response within {wait:?}")))
        })?;
        let body = stream.read_body(wait, limit)?;
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
    fn read_body(&self, wait: Duration, limit: usize) -> Result<Bytes, Error> {
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

    /// Waits up to `limit` for the next piece of the body.
    pub fn next(&self, limit: Duration) -> Chunk {
        match self.parts.recv_timeout(limit) {
            Ok(tagged) => to_chunk(tagged.part),
            Err(RecvTimeoutError::Timeout) => Chunk::TimedOut,
            Err(RecvTimeoutError::Disconnected) => Chunk::Failed("the stream has ended before".to_owned()),
        }
    }

    /// Closes the connection, whether or not the body has ended.
    pub fn close(self) {
        self.feed.close();
    }
}

fn to_chunk(part: Part) -> Chunk {
    match part {
        Part::Data(data) => Chunk::Data(data),
        Part::End => Chunk::End,
        Part::Failed(error) => Chunk::Failed(error.to_string()),
        Part::Head { .. } => unreachable!("the head comes once"),
    }
}
