//! Requests that wait until an upstream has room.
//!
//! The line is kept by rank and then by arrival. A request that does not fit now does not hold up smaller ones of
//! its own rank behind it, but those of lower rank go only after all that fit before them.

use carob_base::Time;
use slotmap::SlotMap;

use super::{Fleet, Need, Place, Size, UpstreamKey, WaitKey};

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// What it asks of an upstream.
    pub need: Need,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// When it began to wait.
    pub since: Time,
}

/// A request that waits no more, where it goes, and what it takes there.
pub type Granted = (WaitKey, UpstreamKey, Size);

#[derive(Debug, Default)]
pub(super) struct Line {
    tickets: SlotMap<WaitKey, Ticket>,
    /// Keys by rank and arrival.
    order: Vec<WaitKey>,
}

impl Fleet {
    /// Lets a request wait.
    pub fn wait(&mut self, ticket: Ticket) -> WaitKey {
        let rank = ticket.rank;
        let key = self.waiting.tickets.insert(ticket);
        let line = &mut self.waiting;
        let at = line
            .order
            .partition_point(|other| line.tickets[*other].rank <= rank);
        line.order.insert(at, key);
        key
    }

    /// Ends a request's wait.
    pub fn abandon(&mut self, key: WaitKey) {
        if self.waiting.tickets.remove(key).is_some() {
            self.waiting.order.retain(|other| *other != key);
        }
    }

    /// The number of requests that wait for `service`.
    pub fn queued(&self, service: &str) -> usize {
        let tickets = self.waiting.tickets.values();
        tickets.filter(|ticket| *ticket.need.service == *service).count()
    }

    /// Takes the first request out of the line that has a place now. The caller notes its start before it asks
    /// again, so that the next one sees the place taken.
    pub fn grant(&mut self, now: Time) -> Option<Granted> {
        let granted = self.waiting.order.iter().find_map(|key| {
            let ticket = &self.waiting.tickets[*key];
            match self.place(&ticket.need, now) {
                Place::At(upstream) => Some((*key, upstream, ticket.need.size)),
                Place::Full | Place::None => None,
            }
        })?;
        self.abandon(granted.0);
        Some(granted)
    }
}
