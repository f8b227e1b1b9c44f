//! Whole events out of a stream's bytes.
//!
//! An upstream may break off in the middle of an event. Only whole events are passed on, so that what follows
//! from another upstream begins where an event begins.

use bytes::{Bytes, BytesMut};

/// An event as it was sent, its blank line included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// Splits bytes into events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes of the buffer that hold no end of an event.
    seen: usize,
}

impl Splitter {
    /// A splitter at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end()?;
        self.seen = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Bytes after the last whole event.
    pub fn remainder(&self) -> &[u8] {
        &self.buffer
    }

    /// The length of the first event with its blank line.
    fn end(&mut self) -> Option<usize> {
        let from = self.seen.saturating_sub(3);
        let bytes = &self.buffer[from..];
        for at in 0..bytes.len() {
            if bytes[at] != b'\n' {
                continue;
            }
            let rest = &bytes[at + 1..];
            if rest.first() == Some(&b'\n') {
                return Some(from + at + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(from + at + 3);
            }
        }
        self.seen = self.buffer.len();
        None
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
