//! A stream of changes to keys, with a limited lifetime. `gateway` is the JSON gateway of etcd.

use std::io::{BufRead as _, BufReader, Read as _};

use crate::{
    call::Entry,
    gateway::{Event, StreamLine, WatchReply},
};

carob_base::value! {
    /// A change to a key.
    pub enum Change {
        /// The key was put.
        Put(Entry),
        /// The key was deleted. The entry's value is empty, and its revision is that of the deletion.
        Deleted(Entry),
    }

    /// An item of a [`Watch`].
    pub enum WatchEvent {
        /// Changes, in the store's order. Empty for a progress notification, by which the store only shows
        /// that the watch is alive.
        Changes(Vec<Change>),
        /// The store has compacted the requested revision, so changes are missing and the keys have to be
        /// read again.
        Compacted,
    }
}

/// A watch in progress: an iterator that blocks until the next event.
///
/// It ends after its lifetime, when the connection breaks and when the store cancels it. The connection may
/// also stay open without delivering anything any more, so the caller has to read the keys again at regular
/// intervals, whatever the watch reports.
pub struct Watch {
    reader: BufReader<minreq::ResponseLazy>,
    /// Maximum size of a line in bytes.
    line_limit: u64,
    next_revision: u64,
    ended: bool,
}

impl Watch {
    pub(crate) fn new(response: minreq::ResponseLazy, from: u64, line_limit: u64) -> Self {
        Self {
            reader: BufReader::new(response),
            line_limit,
            next_revision: from,
            ended: false,
        }
    }

    /// The store revision at which the next watch has to start.
    pub fn next_revision(&self) -> u64 {
        self.next_revision
    }

    /// Ends the watch before its lifetime is over.
    pub fn close(self) {
        drop(self.reader);
    }

    /// Reads a line without its end; `None` at the end of the reply, or if the line is over the limit.
    fn next_line(&mut self) -> Option<Vec<u8>> {
        let mut line = Vec::new();
        let mut limited = self.reader.by_ref().take(self.line_limit);
        let count = limited.read_until(b'\n', &mut line).ok()?;
        let ends = line.pop_if(|byte| *byte == b'\n').is_some();
        if count == 0 || (!ends && count as u64 == self.line_limit) {
            return None;
        }
        line.pop_if(|byte| *byte == b'\r');
        Some(line)
    }

    fn event_of(&mut self, reply: WatchReply) -> WatchEvent {
        self.ended = reply.canceled;
        if reply.compact_revision > 0 {
            self.ended = true;
            return WatchEvent::Compacted;
        }
        let changes: Vec<_> = reply.events.into_iter().map(change).collect();
        if !changes.is_empty() {
            self.next_revision = self.next_revision.max(reply.header.revision + 1);
        }
        WatchEvent::Changes(changes)
    }
}

impl Iterator for Watch {
    type Item = WatchEvent;

    fn next(&mut self) -> Option<WatchEvent> {
        if self.ended {
            return None;
        }
        let line = self.next_line()?;
        if line.is_empty() {
            return Some(WatchEvent::Changes(Vec::new()));
        }
        let parsed = serde_json::from_slice::<StreamLine<WatchReply>>(&line).ok()?;
        Some(self.event_of(parsed.result?))
    }
}

impl std::fmt::Debug for Watch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Watch")
            .field("next", &self.next_revision)
            .finish_non_exhaustive()
    }
}

fn change(event: Event) -> Change {
    let entry = Entry::from(event.kv);
    match event.kind.as_deref() {
        Some("DELETE") => Change::Deleted(entry),
        _ => Change::Put(entry),
    }
}
