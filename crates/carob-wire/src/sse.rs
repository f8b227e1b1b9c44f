//! Framing of server-sent events.
//!
//! Only what the Responses protocol uses is kept: the `data` of each event. Comments, `event`, `id` and `retry`
//! lines are skipped, since the event's type is repeated in its data.

use bytes::{Buf, Bytes, BytesMut};

/// A comment that keeps a silent stream's connection alive and shows a caller that has gone.
pub const KEEP_ALIVE: &[u8] = b": keep-alive\n\n";

/// One event is larger than the limit.
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
    scanned: usize,
}

impl Decoder {
    /// A decoder that refuses events of more than `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            limit,
            scanned: 0,
        }
    }

    /// Takes in the next bytes from the wire.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The data of the next complete event, or `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if an event exceeds the limit; the stream cannot be decoded any further.
    pub fn next_data(&mut self) -> Result<Option<Bytes>, Error> {
        while let Some(length) = self.block_length() {
            let block = self.buffer.split_to(length).freeze();
            self.scanned = 0;
            if let Some(data) = data_of(&block) {
                return Ok(Some(data));
            }
        }
        if self.buffer.len() > self.limit {
            return Err(Error { limit: self.limit });
        }
        Ok(None)
    }

    /// Length of the first block with the blank line that ends it.
    fn block_length(&mut self) -> Option<usize> {
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

/// The joined `data` lines of a block; a single line is a view of the block.
fn data_of(block: &Bytes) -> Option<Bytes> {
    let mut lines = block.split(|byte| *byte == b'\n').filter_map(data_line);
    let first = lines.next()?;
    let Some(second) = lines.next() else {
        return Some(block.slice_ref(first));
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

/// Frames `data`, which must hold no line break, as an event of type `kind`.
pub fn encode(kind: &str, data: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(kind.len() + data.len() + 16);
    out.extend_from_slice(b"event: ");
    out.extend_from_slice(kind.as_bytes());
    out.extend_from_slice(b"\ndata: ");
    out.extend_from_slice(data);
    out.extend_from_slice(b"\n\n");
    out.freeze()
}
