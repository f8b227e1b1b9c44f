//! Calls to upstreams and peers, whole or streamed.
//!
//! Every call opens its own connection: a connection from a pool may have been forgotten by something between
//! the two ends, and a call that fails on it may or may not have run. The process's clients share one network
//! thread, so that an open stream costs no thread here.
//!
//! * [`call`]: one exchange with the whole body, under one deadline.
//! * [`start`] and [`open`]: a body that is read as it comes.
//! * [`feed`]: the same for several connections that share one channel.

use std::time::Duration;

use bytes::Bytes;

use crate::Headers;

mod exchange;
mod feed;
mod request;
mod runtime;
mod stream;

pub use feed::{Feed, Part, TaggedPart};
pub use request::Request;
pub use stream::{Chunk, PendingResponse, Stream};

/// Wait beyond a deadline, which the network thread keeps, in case that thread is lost.
const MARGIN: Duration = Duration::from_secs(5);

/// Why a call has no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing listens at the address, so that the request certainly did not run.
    #[error("refused: {0}")]
    Refused(String),
    /// No connection was made for another reason; the request certainly did not run.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke or the deadline passed; the request may have run.
    #[error("no response: {0}")]
    Unknown(String),
}

carob_base::value! {
    /// A response with its whole body.
    pub struct Response {
        /// HTTP status.
        pub status: u16,
        /// Headers.
        pub headers: Headers,
        /// Body.
        pub body: Bytes,
    }
}

/// Sends `request` and reads the whole response before its deadline.
///
/// # Errors
///
/// Returns [`Error::Refused`] or [`Error::NotSent`] if no connection was made, and [`Error::Unknown`] if the
/// response is missing, cut off, larger than the limit or not there before the deadline.
pub fn call(request: &Request) -> Result<Response, Error> {
    let (done, result) = flume::bounded(1);
    let limit = request.body_limit;
    let request = request.clone();
    let task = runtime::spawn(async move {
        let outcome = exchange::whole(&request, limit).await;
        // Nobody waits any longer if the deadline has passed.
        drop(done.send(outcome));
    });
    let outcome = result.recv();
    task.abort();
    outcome.unwrap_or_else(|_ended| Err(Error::Unknown("the client has shut down".to_owned())))
}

/// Sends `request` in the background; the response's body is read as it comes.
///
/// The deadline covers the whole connection, the body included.
pub fn start(request: &Request) -> PendingResponse {
    stream::start(request.clone())
}

/// Sends `request` in the background; the response's parts go into `sink` with `tag`.
///
/// The connection is slowed down while `sink` is full. Its deadline covers the body too.
pub fn feed(request: &Request, tag: u32, sink: flume::Sender<TaggedPart>) -> Feed {
    feed::start(request.clone(), tag, sink)
}

/// Sends `request` and waits for the response's head; the body is read as it comes.
///
/// # Errors
///
/// Returns [`Error::Refused`] or [`Error::NotSent`] if no connection was made, and [`Error::Unknown`] if no head
/// came before the request's deadline.
pub fn open(request: &Request) -> Result<Stream, Error> {
    match start(request).wait(request.deadline + MARGIN) {
        Ok(outcome) => outcome,
        Err(opening) => {
            opening.close();
            Err(Error::Unknown("the client has shut down".to_owned()))
        }
    }
}
