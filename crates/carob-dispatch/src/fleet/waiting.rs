//! The queue of requests that wait until an upstream has room.
//!
//! The queue is ordered by priority and then by arrival. Where the requests of a service differ in priority, those of equal
//! priority are ordered by the fair shares of their accounts, and a request whose time is nearly used goes first. A request that does not fit yet does not block those
//! behind it that do, but of the requests that fit, the first in this order always goes first.

use carob_base::Time;
use slotmap::SlotMap;

use super::{
    Fleet, Placement, RequestSize, Requirements, UpstreamKey, WaitKey,
    fairness::{Share, Shares},
    urgency::QueuedLoad,
};

/// A queued request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// What it requires of an upstream.
    pub requirements: Requirements,
    /// Priority; 0 goes first.
    pub priority: u8,
    /// When it was queued.
    pub queued_at: Time,
    /// Its account's share; `None` to order it by arrival.
    pub share: Option<Share>,
}

/// A request taken from the queue, the upstream that it goes to, and the capacity that it takes there.
pub type Assignment = (WaitKey, UpstreamKey, RequestSize);

#[derive(Debug, Default)]
pub(super) struct Queue {
    requests: SlotMap<WaitKey, QueuedRequest>,
    /// Keys by priority and arrival.
    order: Vec<WaitKey>,
    shares: Shares,
    /// Whether the last grant went to a request whose time was nearly used, before a more urgent one.
    overtook: bool,
}

impl Queue {
    /// Keys in the order in which they are served.
    fn ranked(&self, now: Time) -> Vec<WaitKey> {
        let mut ranked = self.order.clone();
        if self.requests.values().any(|request| request.share.is_some()) {
            ranked.sort_by_cached_key(|key| self.rank(*key, now));
        }
        ranked
    }

    /// The lowest rank is served first. Every second grant goes by priority first, so that requests whose time is nearly
    /// used do not hold up more urgent ones.
    fn rank(&self, key: WaitKey, now: Time) -> (bool, u8, bool, (u64, u64)) {
        let request = &self.requests[key];
        let is_aged = request
            .share
            .is_some_and(|share| share.is_aged(request.queued_at, now));
        let starts = request.share.map_or((0, 0), |share| self.shares.starts(&share));
        (!is_aged || self.overtook, request.priority, !is_aged, starts)
    }

    /// Takes a request that is granted off the queue, and charges its account.
    fn take(&mut self, key: WaitKey, now: Time) -> Option<QueuedRequest> {
        let request = self.requests.remove(key)?;
        self.order.retain(|other| *other != key);
        let Some(share) = request.share else {
            return Some(request);
        };
        self.shares.charge(&share, request.requirements.size.tokens);
        let service = &request.requirements.service;
        let is_ahead = |other: &QueuedRequest| {
            other.priority < request.priority && other.requirements.service == *service
        };
        self.overtook = share.is_aged(request.queued_at, now) && self.requests.values().any(is_ahead);
        Some(request)
    }
}

impl Fleet {
    /// Queues a request behind those of the same or a more urgent priority.
    pub fn enqueue(&mut self, request: QueuedRequest) -> WaitKey {
        let priority = request.priority;
        let service = request.requirements.service.clone();
        let waiting = self.queued_count(&service, priority);
        self.forecasts
            .record_queued(&service, priority, waiting, request.queued_at);
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

    /// What the queued requests require, in their order.
    pub(super) fn queued(&self) -> impl Iterator<Item = &Requirements> {
        let order = self.queue.order.iter();
        order.map(|key| &self.queue.requests[*key].requirements)
    }

    /// Number of requests with this priority queued for `service`.
    pub(super) fn queued_count(&self, service: &str, priority: u8) -> u32 {
        let requests = self.queue.requests.values();
        let counted = requests
            .filter(|request| request.priority == priority && *request.requirements.service == *service);
        counted.count() as u32
    }

    /// Takes the first request from the queue that fits on an upstream now. Call [`Fleet::start_request`] for
    /// it before the next call, so that its capacity counts as taken.
    ///
    /// Patient requests are tried again every [`TURN_TIME`](super::urgency::TURN_TIME) only.
    pub fn grant_next(&mut self, now: Time) -> Option<Assignment> {
        let skips_patient = self.is_turn_finished(now);
        let mut has_patient = false;
        let ranked = self.queue.ranked(now);
        let granted = ranked.into_iter().find_map(|key| {
            let request = &self.queue.requests[key];
            let is_patient = request.requirements.patience.is_some();
            if is_patient && skips_patient {
                return None;
            }
            has_patient |= is_patient;
            let renewed = self.renew_bound(&request.requirements, request.priority, now);
            match self.place(renewed.as_ref().unwrap_or(&request.requirements), now) {
                Placement::Upstream(upstream) => {
                    let size = self.expected_size(upstream, &request.requirements, now);
                    Some((key, upstream, size))
                }
                Placement::Full | Placement::NoUpstream => None,
            }
        });
        let Some(granted) = granted else {
            if has_patient {
                self.finish_turn(now);
            }
            return None;
        };
        if let Some(request) = self.queue.take(granted.0, now) {
            self.forecasts
                .record_granted(&request.requirements.service, request.priority, now);
        }
        Some(granted)
    }

    /// The queue, for messages to other instances.
    pub fn queued_loads(&self) -> Vec<QueuedLoad> {
        let mut loads: Vec<QueuedLoad> = Vec::new();
        for request in self.queue.requests.values() {
            let service = super::service_hash(&request.requirements.service);
            let position = loads
                .iter()
                .position(|load| (load.service, load.priority) == (service, request.priority));
            let position = position.unwrap_or_else(|| {
                loads.push(QueuedLoad {
                    service,
                    priority: request.priority,
                    requests: 0,
                    tokens: 0,
                });
                loads.len() - 1
            });
            loads[position].requests += 1;
            loads[position].tokens += request.requirements.size.prefill;
        }
        loads.sort_unstable_by_key(|load| (load.service, load.priority));
        loads
    }
}
