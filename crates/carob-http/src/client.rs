//! Requests to upstreams and peers, with buffered or streamed responses.
//!
//! Each request opens its own connection. A pooled connection may have been dropped by a device between the
//! two ends without notice, and a request that fails on it may or may not have run. All clients of the
//! process share one network thread, so an open stream does not occupy a thread of its own.
//!
//! * [`call`]: waits for the complete response, within one deadline.
//! * [`start`] and [`open`]: return the body piece by piece, as it arrives.
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

/// Time to wait beyond a deadline, in case the network thread, which enforces deadlines, has died.
const DEADLINE_MARGIN: Duration = Duration::from_secs(5);

/// Why a request has no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The connection was refused, since nothing listens at the address; the request certainly did not run.
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
    /// A response with its complete body.
    pub struct Response {
        /// HTTP status.
        pub status: u16,
        /// Headers.
        pub headers: Headers,
        /// Body.
        pub body: Bytes,
    }
}

/// Sends `request` and waits for the complete response.
///
/// # Errors
///
/// Returns [`Error::Refused`] or [`Error::NotSent`] if no connection was made, and [`Error::Unknown`] if the
/// response is missing, truncated, larger than the request's `body_limit` or not complete before the
/// deadline.
pub fn call(request: &Request) -> Result<Response, Error> {
    let (done, result) = flume::bounded(1);
    let max_bytes = request.body_limit;
    let request = request.clone();
    let task = runtime::spawn(async move {
        let outcome = exchange::call(&request, max_bytes).await;
        // Fails only if the caller no longer waits.
        drop(done.send(outcome));
    });
    let outcome = result.recv();
    task.abort();
    outcome.unwrap_or_else(|_ended| Err(Error::Unknown("the client has shut down".to_owned())))
}

/// Sends `request` in the background. The response's body can be read piece by piece, as it arrives.
///
/// The deadline covers the whole connection, the body included.
pub fn start(request: &Request) -> PendingResponse {
    stream::start(request.clone())
}

/// Sends `request` in the background. The response's parts are sent to `sink`, each with `tag`.
///
/// While `sink` is full, nothing is read from the connection. The deadline covers the whole connection, the
/// body included.
pub fn feed(request: &Request, tag: u32, sink: flume::Sender<TaggedPart>) -> Feed {
    feed::start(request.clone(), tag, sink)
}

/// Sends `request` and waits for the response's head. The body can be read piece by piece, as it arrives.
///
/// # Errors
///
/// Returns [`Error::Refused`] or [`Error::NotSent`] if no connection was made, and [`Error::Unknown`] if no
/// head came before the request's deadline.
pub fn open(request: &Request) -> Result<Stream, Error> {
    match start(request).wait(request.deadline + DEADLINE_MARGIN) {
        Ok(outcome) => outcome,
        Err(pending) => {
            pending.close();
            Err(Error::Unknown("the client has shut down".to_owned()))
        }
    }
}
