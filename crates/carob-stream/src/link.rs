//! The events of one connection, checked and ordered.

use carob_base::Time;
use carob_wire::event::Event;
use smallvec::SmallVec;

use crate::{ConnId, Generation, Source, generation::Match};

/// Most unmarked events that a connection may send in a row.
const PENDING_LIMIT: usize = 64;

/// Events that one arrival makes ready.
pub type Events = SmallVec<[Event; 4]>;

/// One open connection.
#[derive(Debug)]
pub struct Link {
    /// The connection.
    pub conn: ConnId,
    /// What it was asked for.
    pub source: Source,
    /// Whether the engine's response header has come.
    pub accepted: bool,
    /// When the last event came that was in order on this connection.
    pub last_event: Option<Time>,
    /// Events without an id, held back until one with an id shows that they belong to the generation.
    pending: SmallVec<[Event; 2]>,
}

carob_base::plain! {
    /// Why an event cannot be used.
    pub enum Fault {
        /// Events are missing before this one.
        Gap,
        /// The event belongs to another generation.
        Foreign,
    }
}

impl Link {
    /// A connection that is being opened.
    pub fn new(conn: ConnId, source: Source) -> Self {
        Self {
            conn,
            source,
            accepted: false,
            last_event: None,
            pending: SmallVec::new(),
        }
    }

    /// Takes in one event and returns those that are next, in their order; `next` is the sequence number that
    /// the delivery needs next. Repeats and events that are held back return nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if the connection must not be used any further.
    pub fn accept(&mut self, event: Event, next: u64, generation: &mut Generation) -> Result<Events, Fault> {
        let relation = generation.check_event(&event.head);
        if relation == Match::Foreign {
            return Err(Fault::Foreign);
        }
        self.pending.retain(|held| held.head.sequence >= next);
        let expected = self.pending.last().map_or(next, |held| held.head.sequence + 1);
        if event.head.sequence < expected {
            return Ok(Events::new());
        }
        if event.head.sequence > expected || self.pending.len() == PENDING_LIMIT {
            return Err(Fault::Gap);
        }
        self.pending.push(event);
        if relation == Match::Unidentified {
            return Ok(Events::new());
        }
        Ok(self.pending.drain(..).collect())
    }
}
