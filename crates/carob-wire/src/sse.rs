//! Framing of server-sent events.
//!
//! Only the `data` of each event is kept, since the Responses protocol repeats the event's type in it.
//! Comments and `event`, `id` and `retry` lines are skipped.

use bytes::{Buf, Bytes, BytesMut};

/// A comment that keeps the connection of an idle stream open and makes it noticed when the caller has
/// disconnected.
pub const KEEP_ALIVE: &[u8] = b": keep-alive\n\n";

/// An event is larger than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event exceeds {limit} bytes")]
pub struct Error {
    /// The limit, in bytes.
    pub limit: usize,
}

/// Splits a byte stream into events.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    limit: usize,
    /// Length of the start of the buffer that contains no end of an event.
    scanned: usize,
}

impl Decoder {
    /// Creates a decoder that rejects events of more than `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            limit,
            scanned: 0,
        }
    }

    /// Appends the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event; `None` until more bytes are fed.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if an event exceeds the limit. The stream cannot be decoded any further then.
    pub fn next_data(&mut self) -> Result<Option<Bytes>, Error> {
        while let Some(length) = self.event_length() {
            let event = self.buffer.split_to(length).freeze();
            self.scanned = 0;
            if let Some(data) = joined_data(&event) {
                return Ok(Some(data));
            }
        }
        if self.buffer.len() > self.limit {
            return Err(Error { limit: self.limit });
        }
        Ok(None)
    }

    /// Length of the first event, including the blank line that ends it; `None` if it is not complete.
    fn event_length(&mut self) -> Option<usize> {
        while self
            .buffer
            .first()
            .is_some_and(|byte| matches!(byte, b'\n' | b'\r'))
        {
            self.buffer.advance(1);
            self.scanned = 0;
        }
        let from = self.scanned.saturating_sub(3);
        let found = self.buffer[from..].windows(2).enumerate().find_map(|(at, pair)| {
            let after = &self.buffer[from + at..];
            (pair == b"\n\n")
                .then_some(from + at + 2)
                .or_else(|| after.starts_with(b"\n\r\n").then_some(from + at + 3))
        });
        self.scanned = self.buffer.len();
        found
    }
}

/// The `data` lines of an event, joined by line breaks. A single line is not copied.
fn joined_data(event: &Bytes) -> Option<Bytes> {
    let mut lines = event.split(|byte| *byte == b'\n').filter_map(data_line);
    let first = lines.next()?;
    let Some(second) = lines.next() else {
        return Some(event.slice_ref(first));
    };
    let mut joined = BytesMut::from(first);
    for line in std::iter::once(second).chain(lines) {
        joined.extend_from_slice(b"\n");
        joined.extend_from_slice(line);
    }
    Some(joined.freeze())
}

fn data_line(line: &[u8]) -> Option<&[u8]> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let data = line.strip_prefix(b"data:")?;
    Some(data.strip_prefix(b" ").unwrap_or(data))
}

/// Encodes an event of type `kind`. `data` must not contain line breaks.
pub fn encode(kind: &str, data: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(kind.len() + data.len() + 16);
    out.extend_from_slice(b"event: ");
    out.extend_from_slice(kind.as_bytes());
    out.extend_from_slice(b"\ndata: ");
    out.extend_from_slice(data);
    out.extend_from_slice(b"\n\n");
    out.freeze()
}
