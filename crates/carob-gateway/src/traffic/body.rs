//! Bytes of bodies that are held in memory: requests' until their answers, and answers' until they are passed on.
//!
//! Each body has a bound of its own in the configuration. All together have one in the settings; at it, the newest
//! requests are refused before they run.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

use super::shared::Shared;

/// Why a request's body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Error {
    /// It is longer than one may be.
    TooLong,
    /// All bodies together hold as much memory as they may.
    Full,
    /// Its end did not come.
    Broken,
}

/// Bytes that count among those that are held, until it is dropped.
pub(super) struct Held {
    shared: Rc<Shared>,
    bytes: usize,
}

impl Held {
    /// Nothing yet.
    pub(super) fn new(shared: &Rc<Shared>) -> Self {
        Self {
            shared: Rc::clone(shared),
            bytes: 0,
        }
    }

    /// Counts `bytes` more.
    pub(super) fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.shared.hold(bytes);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shared.release(self.bytes);
    }
}

/// Reads a request's body of at most `limit` bytes.
pub(super) async fn read(
    shared: &Rc<Shared>,
    mut body: Incoming,
    limit: usize,
) -> Result<(Bytes, Held), Error> {
    let mut held = Held::new(shared);
    // A body that says its length and does not fit is not begun.
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(Error::TooLong);
    }
    if !shared.has_room(announced) {
        return Err(Error::Full);
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| Error::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(Error::TooLong);
        }
        if !shared.has_room(data.len()) {
            return Err(Error::Full);
        }
        held.grow(data.len());
        bytes.extend_from_slice(&data);
    }
    Ok((bytes.freeze(), held))
}
