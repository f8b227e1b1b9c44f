//! Placement and queueing of requests.

use std::time::Duration;

use carob_base::{RequestKey, Time};

use crate::{
    choose::{ChooseError, Chosen},
    denial::Denial,
    queue::Entry,
    router::Router,
    state::{OpenRequest, Phase},
    submit::{Cause, Outcome, Placement},
};

/// Rank delay per token of the expected answer, by which short answers overtake long ones.
const RANK_PER_TOKEN: Duration = Duration::from_millis(30);
/// Maximum rank delay as a fraction of the queue timeout, given as a divisor.
const RANK_DIVISOR: u32 = 2;
/// Part of the queue timeout that is left for the first token to arrive; requests expire this much earlier.
const FIRST_TOKEN_RESERVE: Duration = Duration::from_millis(500);

impl Router {
    /// Places the request, or queues it if `may_wait`. It is not placed ahead of a non-empty queue unless it
    /// may not wait.
    pub(crate) fn place_or_queue(
        &mut self,
        key: RequestKey,
        may_wait: bool,
        now: Time,
    ) -> Result<Outcome, Denial> {
        let service = self.requests[key].service;
        let queue_enabled = self.options.mechanisms.queue;
        let immediate = self.services[service].queue.is_empty() || !may_wait;
        if immediate {
            match self.choose(key, !queue_enabled && may_wait, now) {
                Ok(chosen) => return Ok(Outcome::Placed(self.place(key, &chosen, now))),
                Err(ChooseError::NoUpstream) => return Err(Denial::new(Cause::NoUpstream)),
                Err(ChooseError::Full) if !may_wait || !queue_enabled => {
                    return Err(Denial::new(Cause::Overloaded));
                }
                Err(ChooseError::Full) => {}
            }
        }
        self.enqueue(key, now)?;
        self.due |= !immediate;
        Ok(Outcome::Queued)
    }

    /// Queues the request, unless the queue is full or the expected wait ends after the request's expiry.
    fn enqueue(&mut self, key: RequestKey, now: Time) -> Result<(), Denial> {
        let request = &self.requests[key];
        let rank = self.rank(request);
        let service = &self.services[request.service];
        let entry = self.entry(request, rank);
        let left = entry.expiry.since(now);
        let wait = service.expected_wait(&entry, now);
        let excess = wait.and_then(|wait| wait.checked_sub(left));
        if let Some(excess) = excess {
            return Err(Denial::new(Cause::Overloaded).with_retry_after(excess));
        }
        if service.queue.len() >= self.options.queue_limit {
            let denial = Denial::new(Cause::Overloaded);
            return Err(wait.map_or(denial, |wait| denial.with_retry_after(wait)));
        }
        self.requests[key].phase = Phase::Waiting(entry);
        let service = self.requests[key].service;
        self.services[service].queue.push(&entry);
        Ok(())
    }

    /// Rank within a flow: submission time plus a bounded delay that grows with the expected answer length.
    fn rank(&self, request: &OpenRequest) -> Time {
        if !self.options.mechanisms.short_first {
            return request.submitted;
        }
        request.submitted
            + RANK_PER_TOKEN
                .saturating_mul(request.expected_length)
                .min(self.services[request.service].queue_timeout / RANK_DIVISOR)
    }

    fn entry(&self, request: &OpenRequest, rank: Time) -> Entry {
        let fair = self.options.mechanisms.fairness;
        let queue_timeout = self.services[request.service].queue_timeout;
        Entry {
            key: request.key,
            account: fair.then_some(request.account),
            share: if fair {
                self.accounts[request.account].share
            } else {
                1
            },
            rank,
            expiry: request.submitted + queue_timeout.saturating_sub(FIRST_TOKEN_RESERVE),
            cost: request.prompt as f32 + request.expected_length as f32,
        }
    }

    /// Removes a request from its queue, if it is queued; `served` as in
    /// [`Queue::remove`](crate::queue::Queue::remove).
    pub(crate) fn dequeue(&mut self, key: RequestKey, served: bool) {
        let request = &mut self.requests[key];
        let Phase::Waiting(entry) = request.phase else {
            return;
        };
        request.phase = Phase::Unassigned;
        self.services[request.service].queue.remove(&entry, served);
    }

    /// Places the request on the chosen upstream.
    pub(crate) fn place(&mut self, key: RequestKey, chosen: &Chosen, now: Time) -> Placement {
        self.attach(key, chosen, now);
        let request = &self.requests[key];
        let cost = request.prompt as f32 + request.expected_length as f32;
        let priority = self.priority(request);
        let (id, service) = (request.id, request.service);
        self.services[service].placement_rate.add(cost, now);
        let upstream = &self.upstreams[chosen.upstream];
        Placement {
            id,
            upstream: upstream.name.clone(),
            address: upstream.address,
            priority,
            reason: chosen.reason,
        }
    }

    /// Engine priority: the binary logarithm of the expected answer length, so that short answers run first.
    fn priority(&self, request: &OpenRequest) -> i32 {
        if !self.options.mechanisms.priority {
            return 0;
        }
        request.expected_length.max(1).ilog2() as i32
    }
}
