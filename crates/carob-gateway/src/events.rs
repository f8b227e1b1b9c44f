//! Splits a byte stream into complete server-sent events.
//!
//! An upstream may fail in the middle of an event. Only complete events are passed on, so that the
//! continuation from another upstream starts at an event boundary.

use bytes::{Bytes, BytesMut};

/// An event as it was received, including its terminating blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, unchanged.
    pub bytes: Bytes,
    /// The number in the `id:` line; absent if there is no such line or it is not a number.
    pub id: Option<u64>,
}

impl Event {
    /// Whether these lines carry an event, and not only comments and `retry` lines.
    pub fn has_fields(&self) -> bool {
        has_event_fields(&self.bytes)
    }
}

/// Maximum size of an event in bytes.
pub const MAX_EVENT: usize = 256 << 10;

/// Maximum size of an empty buffer that is kept for the next event, in bytes; usual events have some hundred.
const MAX_IDLE: usize = 4 << 10;

/// An event is larger than [`MAX_EVENT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected an event of at most {MAX_EVENT} bytes, received {received} of one")]
pub struct TooLarge {
    /// Bytes of the event that were received.
    pub received: usize,
}

/// Incremental splitter of a byte stream into events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the prefix of `buffer` that was already searched for the end of an event.
    scanned: usize,
}

impl Splitter {
    /// Creates a splitter at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes; chunks may be cut at any position.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE {
            // A large event has passed; the next one is usually small.
            self.buffer = BytesMut::new();
        }
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Checks the size of the event that is being received; to be called once all complete ones were taken.
    ///
    /// # Errors
    ///
    /// Returns an error if it is over the limit.
    pub fn check_size(&self) -> Result<(), TooLarge> {
        let received = self.buffer.len();
        if received > MAX_EVENT {
            return Err(TooLarge { received });
        }
        Ok(())
    }

    /// Whether a stream that ends here has been broken off; to be called once all complete events were taken.
    ///
    /// Whole comments, `retry` lines and blank lines after the last event belong to no event.
    pub fn is_inside_event(&self) -> bool {
        let Some(lines) = self.buffer.strip_suffix(b"\n") else {
            return !self.buffer.is_empty();
        };
        has_event_fields(lines)
    }

    /// The buffered bytes after the last event that was taken.
    pub fn remainder(&self) -> &[u8] {
        &self.buffer
    }

    /// Returns the length of the first event in the buffer, including its blank line, if it is complete.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let bytes = &self.buffer[from..];
        for index in 0..bytes.len() {
            if bytes[index] != b'\n' {
                continue;
            }
            let rest = &bytes[index + 1..];
            if rest.first() == Some(&b'\n') {
                return Some(from + index + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(from + index + 3);
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}

/// Whether lines belong to an event: any but blank ones, comments and `retry` lines do.
fn has_event_fields(lines: &[u8]) -> bool {
    lines.split(|byte| *byte == b'\n').any(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        !(line.is_empty() || line.starts_with(b":") || line.starts_with(b"retry:"))
    })
}

fn id_of(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
