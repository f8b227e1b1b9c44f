//! The queue of requests that wait until an upstream has room.
//!
//! The queue is ordered by priority and then by arrival. A request that does not fit yet does not block those
//! behind it that do, but of the requests that fit, the first in this order always goes first.

use carob_base::Time;
use slotmap::SlotMap;

use super::{Fleet, Placement, RequestSize, Requirements, UpstreamKey, WaitKey};

/// A queued request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// What it requires of an upstream.
    pub requirements: Requirements,
    /// Priority; 0 goes first.
    pub priority: u8,
    /// When it was queued.
    pub queued_at: Time,
}

/// A request taken from the queue, the upstream that it goes to, and the capacity that it takes there.
pub type Assignment = (WaitKey, UpstreamKey, RequestSize);

#[derive(Debug, Default)]
pub(super) struct Queue {
    requests: SlotMap<WaitKey, QueuedRequest>,
    /// Keys by priority and arrival.
    order: Vec<WaitKey>,
}

impl Fleet {
    /// Queues a request behind those of the same or a more urgent priority.
    pub fn enqueue(&mut self, request: QueuedRequest) -> WaitKey {
        let priority = request.priority;
        let key = self.queue.requests.insert(request);
        let queue = &mut self.queue;
        let position = queue
            .order
            .partition_point(|other| queue.requests[*other].priority <= priority);
        queue.order.insert(position, key);
        key
    }

    /// Removes a request from the queue, if it is still there.
    pub fn cancel_wait(&mut self, key: WaitKey) {
        if self.queue.requests.remove(key).is_some() {
            self.queue.order.retain(|other| *other != key);
        }
    }

    /// Number of requests queued for `service`.
    pub fn queue_length(&self, service: &str) -> usize {
        let requests = self.queue.requests.values();
        requests
            .filter(|request| *request.requirements.service == *service)
            .count()
    }

    /// Takes the first request from the queue that fits on an upstream now. Call [`Fleet::start_request`] for
    /// it before the next call, so that its capacity counts as taken.
    pub fn grant_next(&mut self, now: Time) -> Option<Assignment> {
        let granted = self.queue.order.iter().find_map(|key| {
            let request = &self.queue.requests[*key];
            match self.place(&request.requirements, now) {
                Placement::Upstream(upstream) => {
                    let size = self.expected_size(upstream, &request.requirements, now);
                    Some((*key, upstream, size))
                }
                Placement::Full | Placement::NoUpstream => None,
            }
        })?;
        self.cancel_wait(granted.0);
        Some(granted)
    }
}
