//! Requests that wait until an upstream has room.
//!
//! The line is kept by rank and then by arrival. A request that does not fit now does not hold up smaller ones of
//! its own rank behind it, but those of lower rank go only after all that fit before them.

use carob_base::Time;
use slotmap::SlotMap;

use super::{Fleet, Placement, RequestSize, Requirements, UpstreamKey, WaitKey};

/// A request that waits.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// What it asks of an upstream.
    pub requirements: Requirements,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// When it began to wait.
    pub queued_at: Time,
}

/// A request that waits no more, where it goes, and what it takes there.
pub type Assignment = (WaitKey, UpstreamKey, RequestSize);

#[derive(Debug, Default)]
pub(super) struct Queue {
    requests: SlotMap<WaitKey, QueuedRequest>,
    /// Keys by rank and arrival.
    order: Vec<WaitKey>,
}

impl Fleet {
    /// Lets a request wait.
    pub fn enqueue(&mut self, ticket: QueuedRequest) -> WaitKey {
        let rank = ticket.priority;
        let key = self.queue.requests.insert(ticket);
        let line = &mut self.queue;
        let at = line
            .order
            .partition_point(|other| line.requests[*other].priority <= rank);
        line.order.insert(at, key);
        key
    }

    /// Ends a request's wait.
    pub fn cancel_wait(&mut self, key: WaitKey) {
        if self.queue.requests.remove(key).is_some() {
            self.queue.order.retain(|other| *other != key);
        }
    }

    /// The number of requests that wait for `service`.
    pub fn queue_length(&self, service: &str) -> usize {
        let tickets = self.queue.requests.values();
        tickets
            .filter(|ticket| *ticket.requirements.service == *service)
            .count()
    }

    /// Takes the first request out of the line that has a place now. The caller notes its start before it asks
    /// again, so that the next one sees the place taken.
    pub fn grant_next(&mut self, now: Time) -> Option<Assignment> {
        let granted = self.queue.order.iter().find_map(|key| {
            let ticket = &self.queue.requests[*key];
            match self.place(&ticket.requirements, now) {
                Placement::Upstream(upstream) => Some((*key, upstream, ticket.requirements.size)),
                Placement::Full | Placement::NoUpstream => None,
            }
        })?;
        self.cancel_wait(granted.0);
        Some(granted)
    }
}
