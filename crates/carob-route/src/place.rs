//! Placing and queueing.

use std::time::Duration;

use carob_base::{RequestKey, Time};

use crate::{
    choose::{Chosen, Miss},
    denial::Denial,
    queue::Entry,
    router::Router,
    state::{Open, Phase},
    submit::{Cause, Outcome, Placement},
};

/// Delay in the queue per token of the expected answer.
const RANK_PER_TOKEN: Duration = Duration::from_millis(30);
/// Part of the patience that is the most delay in the queue for the expected length.
const RANK_PART: u32 = 2;
/// Time before the end of the patience at which a wait ends, so that the first token can still come.
const FIRST_TOKEN: Duration = Duration::from_millis(500);

impl Router {
    /// Places the request, or lets it wait if it may.
    pub(crate) fn place_or_queue(
        &mut self,
        key: RequestKey,
        may_wait: bool,
        now: Time,
    ) -> Result<Outcome, Denial> {
        let service = self.open[key].service;
        let queueing = self.options.mechanisms.queue;
        let first = self.services[service].queue.is_empty() || !may_wait;
        if first {
            match self.choose(key, !queueing && may_wait, now) {
                Ok(chosen) => return Ok(Outcome::Placed(self.place(key, &chosen, now))),
                Err(Miss::None) => return Err(Denial::new(Cause::NoUpstream)),
                Err(Miss::Full) if !may_wait || !queueing => return Err(Denial::new(Cause::Overloaded)),
                Err(Miss::Full) => {}
            }
        }
        self.enqueue(key, now)?;
        self.ripe |= !first;
        Ok(Outcome::Queued)
    }

    /// Lets the request wait, unless the queue is full or too slow.
    fn enqueue(&mut self, key: RequestKey, now: Time) -> Result<(), Denial> {
        let open = &self.open[key];
        let rank = self.rank(open);
        let service = &self.services[open.service];
        let entry = self.entry(open, rank);
        let left = entry.expiry.since(now);
        let wait = service.wait_for(&entry, now);
        let over = wait.and_then(|wait| wait.checked_sub(left));
        if let Some(over) = over {
            return Err(Denial::new(Cause::Overloaded).with_retry_after(over));
        }
        if service.queue.len() >= self.options.queue_limit {
            let denial = Denial::new(Cause::Overloaded);
            return Err(wait.map_or(denial, |wait| denial.with_retry_after(wait)));
        }
        self.open[key].phase = Phase::Waiting(entry);
        let service = self.open[key].service;
        self.services[service].queue.push(&entry);
        Ok(())
    }

    /// Place within a lane: later for longer expected answers, up to a limit.
    fn rank(&self, open: &Open) -> Time {
        if !self.options.mechanisms.short_first {
            return open.submitted;
        }
        open.submitted
            + RANK_PER_TOKEN
                .saturating_mul(open.expected)
                .min(self.services[open.service].patience / RANK_PART)
    }

    fn entry(&self, open: &Open, rank: Time) -> Entry {
        let fair = self.options.mechanisms.fairness;
        let patience = self.services[open.service].patience;
        Entry {
            key: open.key,
            account: fair.then_some(open.account),
            share: if fair {
                self.accounts[open.account].share
            } else {
                1
            },
            rank,
            expiry: open.submitted + patience.saturating_sub(FIRST_TOKEN),
            cost: open.prompt as f32 + open.expected as f32,
        }
    }

    /// Removes a waiting request from its queue.
    pub(crate) fn dequeue(&mut self, key: RequestKey, served: bool) {
        let open = &mut self.open[key];
        let Phase::Waiting(entry) = open.phase else {
            return;
        };
        open.phase = Phase::Loose;
        self.services[open.service].queue.remove(&entry, served);
    }

    /// Sends the request to the chosen upstream.
    pub(crate) fn place(&mut self, key: RequestKey, chosen: &Chosen, now: Time) -> Placement {
        self.attach(key, chosen, now);
        let open = &self.open[key];
        let cost = open.prompt as f32 + open.expected as f32;
        let priority = self.priority(open);
        let (id, service) = (open.id, open.service);
        self.services[service].rate.add(cost, now);
        let upstream = &self.upstreams[chosen.upstream];
        Placement {
            id,
            upstream: upstream.name.clone(),
            address: upstream.address,
            priority,
            reason: chosen.reason,
        }
    }

    /// Engine priority: the class of the expected length.
    fn priority(&self, open: &Open) -> i32 {
        if !self.options.mechanisms.priority {
            return 0;
        }
        open.expected.max(1).ilog2() as i32
    }
}
