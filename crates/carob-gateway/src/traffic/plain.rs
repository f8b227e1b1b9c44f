//! Responses of plain (non-streaming) services.
//!
//! A short response is read completely before its head is passed on, so that the request can still be retried
//! or answered with an error status if the response breaks off. A long one is passed on as it arrives.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use carob_platform::answer;
use http_body_util::BodyExt;
use hyper::Response;
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};

use super::{
    answer::{ResponseBody, Truncated},
    body::HeldBytes,
    shared::Shared,
};
use crate::{
    overhead::ReceivedBody,
    socket::{self, ConnectionTask, Error},
};

/// A response body longer than this many bytes is passed on as it arrives.
const MAX_BUFFERED: usize = 256 << 10;

/// Chunks of a long response that are queued for a slow client before the upstream is read no further.
const CHUNK_QUEUE: usize = 8;

/// Reads a response until `deadline`: completely if it is short, else its first part.
pub(super) async fn collect(
    shared: &Rc<Shared>,
    response: Response<ReceivedBody>,
    driver: ConnectionTask,
    deadline: Instant,
) -> Result<Response<ResponseBody>, Error> {
    let (mut parts, mut body) = response.into_parts();
    answer::strip_hop_headers(&mut parts.headers);
    let mut bytes = BytesMut::new();
    let mut held = HeldBytes::new(shared);
    loop {
        match timeout_at(deadline, body.frame())
            .await
            .map_err(|_elapsed| Error::Timeout)?
        {
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                held.add(data.len());
                bytes.extend_from_slice(&data);
            }
            Some(Err(error)) => return Err(Error::Broken(socket::describe(&error))),
            None => {
                return Ok(Response::from_parts(
                    parts,
                    ResponseBody::Complete(bytes.freeze()),
                ));
            }
        }
        if bytes.len() > MAX_BUFFERED {
            let chunks = forward(bytes.freeze(), body, driver, deadline);
            return Ok(Response::from_parts(parts, ResponseBody::Chunks(chunks)));
        }
    }
}

/// Passes on a response body that starts with `first`.
fn forward(
    first: Bytes,
    mut body: ReceivedBody,
    driver: ConnectionTask,
    deadline: Instant,
) -> mpsc::Receiver<Result<Bytes, Truncated>> {
    let (sender, receiver) = mpsc::channel(CHUNK_QUEUE);
    tokio::task::spawn_local(async move {
        let _connection = driver;
        let mut next = Some(Ok(first));
        while let Some(chunk) = next {
            // Sending fails if the client has disconnected.
            let truncated = chunk.is_err();
            if sender.send(chunk).await.is_err() || truncated {
                return;
            }
            next = match timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => Some(Ok(frame.into_data().unwrap_or_default())),
                Ok(Some(Err(_))) | Err(_) => Some(Err(Truncated)),
                Ok(None) => None,
            };
        }
    });
    receiver
}
