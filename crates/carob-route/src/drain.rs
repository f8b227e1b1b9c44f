//! Draining of the queues: placement, expiry and load shedding.

use std::time::Duration;

use carob_base::{RequestKey, ServiceKey, Time};
use smallvec::SmallVec;

use crate::{
    denial::Denial,
    router::Router,
    state::processing_time,
    submit::{Cause, Event},
};

/// Maximum time between two polls while requests are queued.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of flows whose first request is tried for one placement.
const MAX_TRIED_FLOWS: usize = 8;
/// Fraction of the queue timeout, as a divisor, after which other flows no longer overtake a queued request.
const OVERTAKE_DIVISOR: u32 = 4;

impl Router {
    /// Places queued requests for which there is room now, and refuses those that have waited or will wait
    /// too long.
    pub fn poll(&mut self, now: Time) -> Vec<Event> {
        self.due = false;
        self.last_poll = now;
        self.remove_expired_peers(now);
        let services: SmallVec<[ServiceKey; 16]> = self
            .services
            .iter()
            .filter(|(_, service)| !service.queue.is_empty())
            .map(|(key, _)| key)
            .collect();
        for service in services {
            self.expire(service, now);
            while self.place_head(service, now) {}
            self.shed_tails(service, now);
        }
        std::mem::take(&mut self.events)
    }

    /// When the next [`poll`](Self::poll) is due; [`Time::NEVER`] if no request is queued.
    pub fn deadline(&self) -> Time {
        let waiting = self.services.values().any(|service| !service.queue.is_empty());
        match (waiting, self.due) {
            (false, _) => Time::NEVER,
            (true, true) => self.last_poll,
            (true, false) => self.last_poll + POLL_INTERVAL,
        }
    }

    /// Refuses expired requests, and all queued requests of a service that was removed or has no upstream.
    fn expire(&mut self, service: ServiceKey, now: Time) {
        loop {
            let state = &self.services[service];
            let (removed, stranded) = (state.removed, state.upstreams.is_empty());
            let Some((expiry, key)) = state.queue.first_expiry() else {
                return;
            };
            let cause = match (removed, stranded) {
                (true, _) => Cause::UnknownService,
                (_, true) => Cause::NoUpstream,
                _ if expiry <= now => Cause::Expired,
                _ => return,
            };
            let denial = Denial::new(cause).with_retry_after(self.drain_time(service, now));
            self.refuse_waiting(key, denial);
        }
    }

    /// Sheds load: refuses the last request of each flow if its expected wait ends after its expiry.
    fn shed_tails(&mut self, service: ServiceKey, now: Time) {
        let state = &self.services[service];
        let mut overdue: SmallVec<[(RequestKey, Duration); 16]> = SmallVec::new();
        for entry in state.queue.last_requests() {
            let wait = state.expected_wait(&entry, now);
            let excess = wait.and_then(|wait| wait.checked_sub(entry.expiry.since(now)));
            overdue.extend(excess.map(|excess| (entry.key, excess)));
        }
        for (key, excess) in overdue {
            self.refuse_waiting(key, Denial::new(Cause::Overloaded).with_retry_after(excess));
        }
    }

    fn refuse_waiting(&mut self, key: RequestKey, denial: Denial) {
        self.dequeue(key, false);
        if let Some(request) = self.close_request(key) {
            self.events.push(Event::Refused(denial.into_refusal(request.id)));
        }
    }

    /// Expected time to drain the queue of `service`.
    fn drain_time(&self, service: ServiceKey, now: Time) -> Duration {
        let service = &self.services[service];
        let rate = service.placement_rate.per_second(now).unwrap_or(1.0);
        processing_time(service.queue.cost(), rate)
    }

    /// Places the first flow head for which an upstream has room, and returns whether one was placed. A head
    /// that has waited long stops the search, so that later ones do not keep taking the room that it needs.
    fn place_head(&mut self, service: ServiceKey, now: Time) -> bool {
        let mut first_requests = std::mem::take(&mut self.first_requests);
        self.services[service].queue.first_requests(&mut first_requests);
        let queue_timeout = self.services[service].queue_timeout;
        let mut placed = false;
        for &key in first_requests.iter().take(MAX_TRIED_FLOWS) {
            if let Ok(chosen) = self.choose(key, false, now) {
                self.dequeue(key, true);
                let placement = self.place(key, &chosen, now);
                self.events.push(Event::Placed(placement));
                placed = true;
                break;
            }
            if now.since(self.requests[key].submitted) > queue_timeout / OVERTAKE_DIVISOR {
                break;
            }
        }
        self.first_requests = first_requests;
        placed
    }
}
