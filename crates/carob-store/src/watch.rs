//! Changes of keys, as they happen, over a call of bounded lifetime.

use std::io::{BufRead as _, BufReader, Lines};

use crate::{
    call::Entry,
    gateway::{Event, Line, Watched},
};

carob_base::value! {
    /// One change of a key.
    pub enum Change {
        /// The key was put.
        Put(Entry),
        /// The key was deleted; the entry's value is empty.
        Deleted(Entry),
    }

    /// What a watch reports.
    pub enum WatchEvent {
        /// Changes, in the order in which the store made them; empty for a sign of life.
        Changes(Vec<Change>),
        /// The store no longer has the changes from the requested revision on: read the keys again.
        Compacted,
    }
}

/// A watch in progress: an iterator that blocks until the next notice.
///
/// It ends at its deadline, when the connection breaks and when the store ends it. The connection may also have
/// gone silent for good, so the caller has to read the keys again from time to time, whatever the watch says.
pub struct Watch {
    lines: Lines<BufReader<minreq::ResponseLazy>>,
    next: u64,
    over: bool,
}

impl Watch {
    pub(crate) fn new(response: minreq::ResponseLazy, from: u64) -> Self {
        Self {
            lines: BufReader::new(response).lines(),
            next: from,
            over: false,
        }
    }

    /// The store's revision from which the next watch has to start.
    pub fn next_revision(&self) -> u64 {
        self.next
    }

    /// Ends the watch before its deadline.
    pub fn close(self) {
        drop(self.lines);
    }

    fn notice(&mut self, watched: Watched) -> WatchEvent {
        self.over = watched.canceled;
        if watched.compact_revision > 0 {
            self.over = true;
            return WatchEvent::Compacted;
        }
        let changes: Vec<_> = watched.events.into_iter().map(change).collect();
        if !changes.is_empty() {
            self.next = self.next.max(watched.header.revision + 1);
        }
        WatchEvent::Changes(changes)
    }
}

impl Iterator for Watch {
    type Item = WatchEvent;

    fn next(&mut self) -> Option<WatchEvent> {
        if self.over {
            return None;
        }
        let line = self.lines.next()?.ok()?;
        if line.is_empty() {
            return Some(WatchEvent::Changes(Vec::new()));
        }
        let parsed = serde_json::from_str::<Line<Watched>>(&line).ok()?;
        Some(self.notice(parsed.result?))
    }
}

impl std::fmt::Debug for Watch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Watch")
            .field("next", &self.next)
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
