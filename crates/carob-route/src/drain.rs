//! Working off the queues.

use std::time::Duration;

use carob_base::{RequestKey, ServiceKey, Time};
use smallvec::SmallVec;

use crate::{
    denial::Denial,
    router::Router,
    state::time_for,
    submit::{Cause, Event},
};

/// Longest time between two looks at a queue.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Heads of lanes that are tried in one look at a queue.
const TRY_LIMIT: usize = 8;
/// Part of the patience after which a waiting request is overtaken no more.
const OVERTAKE_PART: u32 = 4;

impl Router {
    /// Looks at the queues: places what has room now and refuses what has waited too long.
    pub fn poll(&mut self, now: Time) -> Vec<Event> {
        self.ripe = false;
        self.polled = now;
        self.forget_silent_peers(now);
        let services: SmallVec<[ServiceKey; 16]> = self
            .services
            .iter()
            .filter(|(_, service)| !service.queue.is_empty())
            .map(|(key, _)| key)
            .collect();
        for service in services {
            self.expire(service, now);
            while self.place_head(service, now) {}
            self.refuse_hopeless(service, now);
        }
        std::mem::take(&mut self.events)
    }

    /// When the next [`poll`](Self::poll) is due.
    pub fn deadline(&self) -> Time {
        let waiting = self.services.values().any(|service| !service.queue.is_empty());
        match (waiting, self.ripe) {
            (false, _) => Time::NEVER,
            (true, true) => self.polled,
            (true, false) => self.polled + POLL_INTERVAL,
        }
    }

    /// Refuses waiting requests whose time is over or whose service is gone.
    fn expire(&mut self, service: ServiceKey, now: Time) {
        loop {
            let state = &self.services[service];
            let (gone, stranded) = (state.removed, state.upstreams.is_empty());
            let Some((expiry, key)) = state.queue.first_expiry() else {
                return;
            };
            let cause = match (gone, stranded) {
                (true, _) => Cause::UnknownService,
                (_, true) => Cause::NoUpstream,
                _ if expiry <= now => Cause::Expired,
                _ => return,
            };
            let denial = Denial::new(cause).with_retry_after(self.drain_time(service, now));
            self.refuse_waiting(key, denial);
        }
    }

    /// Refuses the last request of each lane that by now will wait longer than its caller.
    fn refuse_hopeless(&mut self, service: ServiceKey, now: Time) {
        let state = &self.services[service];
        let mut hopeless: SmallVec<[(RequestKey, Duration); 16]> = SmallVec::new();
        for entry in state.queue.tails() {
            let wait = state.wait_for(&entry, now);
            let over = wait.and_then(|wait| wait.checked_sub(entry.expiry.since(now)));
            hopeless.extend(over.map(|over| (entry.key, over)));
        }
        for (key, over) in hopeless {
            self.refuse_waiting(key, Denial::new(Cause::Overloaded).with_retry_after(over));
        }
    }

    fn refuse_waiting(&mut self, key: RequestKey, denial: Denial) {
        self.dequeue(key, false);
        if let Some(open) = self.close_request(key) {
            self.events.push(Event::Refused(denial.into_refusal(open.id)));
        }
    }

    /// Time in which the queue of `service` is worked off.
    fn drain_time(&self, service: ServiceKey, now: Time) -> Duration {
        let service = &self.services[service];
        let rate = service.rate.per_second(now).unwrap_or(1.0);
        time_for(service.queue.cost(), rate)
    }

    /// Places the first head of a lane that has room; an old one that has none keeps the others back.
    fn place_head(&mut self, service: ServiceKey, now: Time) -> bool {
        let mut heads = std::mem::take(&mut self.heads);
        self.services[service].queue.heads(&mut heads);
        let patience = self.services[service].patience;
        let mut placed = false;
        for &key in heads.iter().take(TRY_LIMIT) {
            if let Ok(chosen) = self.choose(key, false, now) {
                self.dequeue(key, true);
                let placement = self.place(key, &chosen, now);
                self.events.push(Event::Placed(placement));
                placed = true;
                break;
            }
            if now.since(self.open[key].submitted) > patience / OVERTAKE_PART {
                break;
            }
        }
        self.heads = heads;
        placed
    }
}
