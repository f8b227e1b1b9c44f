//! Checking and ordering of the events of one connection.

use carob_base::Time;
use carob_wire::event::Event;
use smallvec::SmallVec;

use crate::{ConnId, Generation, Source, generation::Match};

/// Maximum number of consecutive events without an id on one connection.
const MAX_PENDING: usize = 64;

/// Events that become deliverable with the arrival of one event.
pub type Events = SmallVec<[Event; 4]>;

/// One open connection.
#[derive(Debug)]
pub struct Link {
    /// Number of the connection, unique within the delivery.
    pub conn: ConnId,
    /// What was requested on the connection.
    pub source: Source,
    /// Whether the engine's response header has arrived.
    pub accepted: bool,
    /// When the last event in order arrived on this connection; `None` before the first one.
    pub last_event: Option<Time>,
    /// Events without an id, held until an event with an id shows that they belong to the generation.
    pending: SmallVec<[Event; 2]>,
}

carob_base::plain! {
    /// Why an event cannot be used.
    pub enum Fault {
        /// The sequence numbers skip events before this one, or too many events carry no id.
        Gap,
        /// The event belongs to another generation.
        Foreign,
    }
}

impl Link {
    /// Creates a connection that is being opened.
    pub fn new(conn: ConnId, source: Source) -> Self {
        Self {
            conn,
            source,
            accepted: false,
            last_event: None,
            pending: SmallVec::new(),
        }
    }

    /// Accepts one event and returns the events that can be delivered now, in order; `next` is the sequence
    /// number that the delivery needs next. Returns no events if this one is a repeat or has to be held.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if the connection must not be used any longer.
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
        if event.head.sequence > expected || self.pending.len() == MAX_PENDING {
            return Err(Fault::Gap);
        }
        self.pending.push(event);
        if relation == Match::Unidentified {
            return Ok(Events::new());
        }
        Ok(self.pending.drain(..).collect())
    }
}
