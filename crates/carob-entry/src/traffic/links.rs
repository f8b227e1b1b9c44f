//! The connections of one delivery to its engine.

use std::time::Duration;

use carob_http::client::{self, Feed, Request, TaggedPart};
use carob_stream::ConnId;
use carob_wire::{event::Event, sse};
use flume::{Receiver, Sender};
use smallvec::SmallVec;

/// Maximum size of an engine's event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Number of response parts that are read before the caller has taken the earlier ones.
const READ_AHEAD: usize = 32;

/// The engine sent data that cannot be parsed as an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// The open connections of one delivery; the parts of their responses arrive in one channel.
#[derive(Debug)]
pub struct Connections {
    open: SmallVec<[Connection; 2]>,
    sink: Sender<TaggedPart>,
    inbox: Receiver<TaggedPart>,
}

#[derive(Debug)]
struct Connection {
    conn: ConnId,
    feed: Feed,
    decoder: sse::Decoder,
}

impl Connections {
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
        let decoder = sse::Decoder::new(MAX_EVENT_BYTES);
        self.open.push(Connection { conn, feed, decoder });
    }

    /// Closes a connection; its parts that are still in the channel are ignored.
    pub fn close(&mut self, conn: ConnId) {
        if let Some(at) = self.open.iter().position(|connection| connection.conn == conn) {
            self.open.remove(at).feed.close();
        }
    }

    /// Closes every connection.
    pub fn close_all(&mut self) {
        self.open.drain(..).for_each(|connection| connection.feed.close());
    }

    /// The next part of an open connection, if one arrives within `timeout`.
    pub fn recv(&self, timeout: Duration) -> Option<TaggedPart> {
        let tagged = self.inbox.recv_timeout(timeout).ok()?;
        let open = self
            .open
            .iter()
            .any(|connection| connection.conn == ConnId(tagged.tag));
        open.then_some(tagged)
    }

    /// Passes received bytes to the connection's decoder.
    pub fn feed(&mut self, conn: ConnId, data: &[u8]) {
        if let Some(connection) = self.connection(conn) {
            connection.decoder.feed(data);
        }
    }

    /// The next complete event of an open connection; `None` if there is none yet.
    pub fn next_event(&mut self, conn: ConnId) -> Option<Result<Event, Malformed>> {
        let data = match self.connection(conn)?.decoder.next_data() {
            Ok(data) => data?,
            Err(_) => return Some(Err(Malformed)),
        };
        Some(Event::parse(data).map_err(|_error| Malformed))
    }

    fn connection(&mut self, conn: ConnId) -> Option<&mut Connection> {
        self.open.iter_mut().find(|connection| connection.conn == conn)
    }
}
