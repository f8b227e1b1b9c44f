//! Accounts for bodies held in memory: those of requests until they are answered, and those of responses
//! until they are passed on.
//!
//! The configuration limits the size of each body, the settings the size of all bodies together. When that
//! limit is reached, new requests are refused before they run.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

use super::shared::Shared;

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Error {
    /// The body is longer than the limit for a single one.
    TooLong,
    /// The memory limit for all bodies together is reached.
    MemoryFull,
    /// The connection failed before the end of the body.
    Incomplete,
}

/// Bytes that count towards the memory limit for bodies, until it is dropped.
pub(super) struct HeldBytes {
    shared: Rc<Shared>,
    bytes: usize,
}

impl HeldBytes {
    pub(super) fn new(shared: &Rc<Shared>) -> Self {
        Self {
            shared: Rc::clone(shared),
            bytes: 0,
        }
    }

    /// Counts `bytes` more.
    pub(super) fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.shared.add_body_bytes(bytes);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.shared.remove_body_bytes(self.bytes);
    }
}

/// Reads a request body of at most `limit` bytes.
pub(super) async fn read(
    shared: &Rc<Shared>,
    mut body: Incoming,
    limit: usize,
) -> Result<(Bytes, HeldBytes), Error> {
    let mut held = HeldBytes::new(shared);
    // A body whose announced length does not fit is refused without reading any of it.
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(Error::TooLong);
    }
    if !shared.has_room(announced) {
        return Err(Error::MemoryFull);
    }
    let mut bytes = BytesMut::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| Error::Incomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(Error::TooLong);
        }
        if !shared.has_room(data.len()) {
            return Err(Error::MemoryFull);
        }
        held.add(data.len());
        bytes.extend_from_slice(&data);
    }
    if bytes.capacity() > bytes.len() + bytes.len() / 4 {
        // Growing by doubling may have left half of the memory unused, which is not counted.
        return Ok((Bytes::copy_from_slice(&bytes), held));
    }
    Ok((bytes.freeze(), held))
}
