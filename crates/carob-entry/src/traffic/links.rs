//! The connections of one delivery to its engine.

use std::time::Duration;

use carob_http::client::{self, Feed, Request, TaggedPart};
use carob_stream::ConnId;
use carob_wire::{event::Event, sse};
use flume::{Receiver, Sender};
use smallvec::SmallVec;

/// Largest event of an engine, in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// Parts of responses that are read ahead of the caller.
const READ_AHEAD: usize = 32;

/// The engine sent something that is no event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// The connections of one delivery, whose parts arrive in one channel.
#[derive(Debug)]
pub struct Links {
    open: SmallVec<[Link; 2]>,
    sink: Sender<TaggedPart>,
    inbox: Receiver<TaggedPart>,
}

#[derive(Debug)]
struct Link {
    conn: ConnId,
    feed: Feed,
    decoder: sse::Decoder,
}

impl Links {
    /// No connections yet.
    pub fn new() -> Self {
        let (sink, inbox) = flume::bounded(READ_AHEAD);
        Self {
            open: SmallVec::new(),
            sink,
            inbox,
        }
    }

    /// Opens a connection.
    pub fn open(&mut self, conn: ConnId, request: &Request) {
        let feed = client::feed(request, conn.0, self.sink.clone());
        let decoder = sse::Decoder::new(EVENT_LIMIT);
        self.open.push(Link { conn, feed, decoder });
    }

    /// Closes a connection; parts of it that are still in the channel are dropped.
    pub fn close(&mut self, conn: ConnId) {
        if let Some(at) = self.open.iter().position(|link| link.conn == conn) {
            self.open.remove(at).feed.close();
        }
    }

    /// Closes every connection.
    pub fn close_all(&mut self) {
        self.open.drain(..).for_each(|link| link.feed.close());
    }

    /// The next part of an open connection, if one comes within `limit`.
    pub fn wait(&self, limit: Duration) -> Option<TaggedPart> {
        let signal = self.inbox.recv_timeout(limit).ok()?;
        let open = self.open.iter().any(|link| link.conn == ConnId(signal.tag));
        open.then_some(signal)
    }

    /// Takes in bytes of a connection.
    pub fn feed(&mut self, conn: ConnId, data: &[u8]) {
        if let Some(link) = self.link(conn) {
            link.decoder.feed(data);
        }
    }

    /// The next whole event of a connection that is still open.
    pub fn next_event(&mut self, conn: ConnId) -> Option<Result<Event, Malformed>> {
        let data = match self.link(conn)?.decoder.next_data() {
            Ok(data) => data?,
            Err(_) => return Some(Err(Malformed)),
        };
        Some(Event::parse(data).map_err(|_error| Malformed))
    }

    fn link(&mut self, conn: ConnId) -> Option<&mut Link> {
        self.open.iter_mut().find(|link| link.conn == conn)
    }
}
