//! Answers of plain services.
//!
//! A short answer is read whole before its head is passed on, so that one that breaks off can still be repeated
//! or failed with a status of its own. A long one is passed on as it comes.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use carob_platform::answer;
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};

use super::{
    answer::{Answer, Cut},
    body::Held,
    shared::Shared,
};
use crate::socket::{Driver, Error};

/// Bytes of an answer that are read before its head is passed on.
const BUFFERED: usize = 256 << 10;

/// Pieces of a long answer that a slow client may be behind.
const PIECES: usize = 8;

/// Reads an answer, whole if it is short, until `deadline`.
pub(super) async fn collect(
    shared: &Rc<Shared>,
    response: Response<Incoming>,
    driver: Driver,
    deadline: Instant,
) -> Result<Response<Answer>, Error> {
    let (mut parts, mut body) = response.into_parts();
    answer::strip(&mut parts.headers);
    let mut bytes = BytesMut::new();
    let mut held = Held::new(shared);
    loop {
        match timeout_at(deadline, body.frame())
            .await
            .map_err(|_elapsed| Error::Timeout)?
        {
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                held.grow(data.len());
                bytes.extend_from_slice(&data);
            }
            Some(Err(error)) => return Err(Error::Broken(error.to_string())),
            None => return Ok(Response::from_parts(parts, Answer::Whole(bytes.freeze()))),
        }
        if bytes.len() > BUFFERED {
            let pieces = forward(bytes.freeze(), body, driver, deadline);
            return Ok(Response::from_parts(parts, Answer::Pieces(pieces)));
        }
    }
}

/// Passes on an answer that has begun with `first`.
fn forward(
    first: Bytes,
    mut body: Incoming,
    driver: Driver,
    deadline: Instant,
) -> mpsc::Receiver<Result<Bytes, Cut>> {
    let (sender, receiver) = mpsc::channel(PIECES);
    tokio::task::spawn_local(async move {
        let _open = driver;
        let mut next = Some(Ok(first));
        while let Some(piece) = next {
            // The client has gone when the piece cannot be sent.
            let cut = piece.is_err();
            if sender.send(piece).await.is_err() || cut {
                return;
            }
            next = match timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => Some(Ok(frame.into_data().unwrap_or_default())),
                Ok(Some(Err(_))) | Err(_) => Some(Err(Cut)),
                Ok(None) => None,
            };
        }
    });
    receiver
}
