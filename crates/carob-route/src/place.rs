//! Placing, queueing, refusing and retrying requests.

use std::time::Duration;

use carob_base::{AccountKey, RequestKey, ServiceKey, Time, UpstreamKey};
use carob_config::Kind;
use smallvec::SmallVec;

use crate::{
    choose::{Chosen, Miss},
    finish::End,
    queue::Entry,
    router::Router,
    state::{Open, Phase},
    submit::{Cause, Event, Outcome, Placement, Refusal, Request},
};

/// Longest time between two looks at a queue.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Heads of lanes that are tried in one look at a queue.
const TRY_LIMIT: usize = 8;
/// Delay in the queue per token of the expected answer.
const RANK_PER_TOKEN: Duration = Duration::from_millis(30);
/// Part of the patience that is the most delay in the queue for the expected length.
const RANK_PART: u32 = 2;
/// Part of the patience after which a waiting request is overtaken no more.
const OVERTAKE_PART: u32 = 4;
/// Shortest advice to come back.
const SHORTEST_RETRY: Duration = Duration::from_secs(1);
/// Longest advice to come back.
const LONGEST_RETRY: Duration = Duration::from_mins(1);
/// Advice to come back to an account with too many requests, or without a better estimate.
const PLAIN_RETRY: Duration = Duration::from_secs(2);

/// A refusal before its request's id is added.
type Refused = (Cause, Duration);

impl Router {
    /// Decides on a new request.
    pub fn submit(&mut self, request: Request, now: Time) -> Outcome {
        let id = request.id;
        match self.admit(request, now) {
            Ok(outcome) => outcome,
            Err((cause, retry_after)) => Outcome::Refused(Refusal {
                id,
                cause,
                retry_after,
            }),
        }
    }

    fn admit(&mut self, request: Request, now: Time) -> Result<Outcome, Refused> {
        if self.ids.contains_key(&request.id) {
            return Err((Cause::BadId, PLAIN_RETRY));
        }
        let service = self.service_names.get(&request.service).copied();
        let service = service.filter(|&key| !self.services[key].removed);
        let service = service.ok_or((Cause::UnknownService, LONGEST_RETRY))?;
        let account = self.account_names.get(&request.account).copied();
        let account = account.filter(|&key| !self.accounts[key].removed);
        let account = account.ok_or((Cause::UnknownAccount, LONGEST_RETRY))?;
        let hedged = self.check(&request, service, account)?;
        let is_hedge = request.hedge_of.is_some();
        let key = self.open_request(request, service, account, now);
        self.open[key].excluded.extend(hedged);
        if !is_hedge {
            let service = &mut self.services[service];
            service.budget.earn(service.retry_percent);
        }
        let outcome = self.place_or_queue(key, !is_hedge, now);
        outcome.inspect_err(|_| {
            self.close_request(key);
        })
    }

    /// Checks the limits that hold whatever the load; returns the upstream of the request to be hedged.
    fn check(
        &mut self,
        request: &Request,
        service: ServiceKey,
        account: AccountKey,
    ) -> Result<Option<UpstreamKey>, Refused> {
        let owner = &self.accounts[account];
        if owner.open >= owner.max_open {
            return Err((Cause::AccountBusy, PLAIN_RETRY));
        }
        let target = &self.services[service];
        if target.upstreams.is_empty() {
            return Err((Cause::NoUpstream, PLAIN_RETRY));
        }
        let largest = request
            .prompt_tokens
            .saturating_add(request.max_tokens.unwrap_or(1));
        if target.kind == Kind::Generation && largest > target.largest {
            return Err((Cause::TooLong, LONGEST_RETRY));
        }
        let Some(id) = request.hedge_of else {
            return Ok(None);
        };
        let original = self.ids.get(&id).map(|&key| &self.open[key]);
        let original = original.ok_or((Cause::BadId, PLAIN_RETRY))?;
        let Phase::Running { upstream, .. } = original.phase else {
            return Err((Cause::BadId, PLAIN_RETRY));
        };
        if !self.services[service].budget.spend() {
            return Err((Cause::RetryBudget, PLAIN_RETRY));
        }
        Ok(Some(upstream))
    }

    fn open_request(
        &mut self,
        request: Request,
        service: ServiceKey,
        account: AccountKey,
        now: Time,
    ) -> RequestKey {
        let group = self.lengths.group(service, account, request.prompt_tokens);
        self.lengths.refresh(group);
        let limit = self.services[service].max_tokens;
        let cap = request.max_tokens.map_or(limit, |max| max.min(limit));
        let learned = || self.lengths.table(group).exceeded(0, 0.5).min(cap);
        let expected = request.known_tokens.unwrap_or_else(learned);
        let names = &self.upstream_names;
        let excluded = request
            .excluded
            .iter()
            .filter_map(|name| names.get(name).copied());
        let excluded: SmallVec<[UpstreamKey; 2]> = excluded.collect();
        let key = self.open.insert_with_key(|key| Open {
            id: request.id,
            key,
            service,
            account,
            group,
            prompt: request.prompt_tokens,
            cap,
            produced: 0,
            known: request.known_tokens,
            prefix: request.prefix,
            alone: request.alone,
            excluded,
            submitted: now,
            expected,
            phase: Phase::Loose,
        });
        self.ids.insert(request.id, key);
        self.accounts[account].open += 1;
        key
    }

    /// Removes a request that neither waits nor runs.
    pub(crate) fn close_request(&mut self, key: RequestKey) -> Option<Open> {
        let open = self.open.remove(key)?;
        self.ids.remove(&open.id);
        let account = &mut self.accounts[open.account];
        account.open = account.open.saturating_sub(1);
        Some(open)
    }

    fn place_or_queue(&mut self, key: RequestKey, may_wait: bool, now: Time) -> Result<Outcome, Refused> {
        let service = self.open[key].service;
        let queueing = self.options.parts.queue;
        let first = self.services[service].queue.is_empty() || !may_wait;
        if first {
            match self.choose(key, !queueing && may_wait, now) {
                Ok(chosen) => return Ok(Outcome::Placed(self.place(key, &chosen, now))),
                Err(Miss::None) => return Err((Cause::NoUpstream, PLAIN_RETRY)),
                Err(Miss::Full) if !may_wait || !queueing => return Err((Cause::Overloaded, SHORTEST_RETRY)),
                Err(Miss::Full) => {}
            }
        }
        self.enqueue(key, now)?;
        self.ripe |= !first;
        Ok(Outcome::Queued)
    }

    fn enqueue(&mut self, key: RequestKey, now: Time) -> Result<(), Refused> {
        let open = &self.open[key];
        let rank = self.rank(open);
        let service = &self.services[open.service];
        let entry = self.entry(open, rank);
        let ahead = service.queue.cost_ahead(entry.account, entry.share, rank);
        let wait = service
            .rate
            .per_second(now)
            .map(|rate| Duration::from_secs_f32((ahead / rate.max(1.0)).min(3_600.0)));
        let left = entry.expiry.since(now);
        let late = wait.filter(|&wait| wait > left);
        if let Some(wait) = late {
            return Err((Cause::Overloaded, retry_after(wait.saturating_sub(left))));
        }
        if service.queue.len() >= self.options.queue_limit {
            return Err((Cause::Overloaded, retry_after(wait.unwrap_or(PLAIN_RETRY))));
        }
        self.open[key].phase = Phase::Waiting(entry);
        let service = self.open[key].service;
        self.services[service].queue.push(&entry);
        Ok(())
    }

    /// Place within a lane: later for longer expected answers, up to a limit.
    fn rank(&self, open: &Open) -> Time {
        if !self.options.parts.short_first {
            return open.submitted;
        }
        open.submitted
            + RANK_PER_TOKEN
                .saturating_mul(open.expected)
                .min(self.services[open.service].patience / RANK_PART)
    }

    fn entry(&self, open: &Open, rank: Time) -> Entry {
        let fair = self.options.parts.fairness;
        Entry {
            key: open.key,
            account: fair.then_some(open.account),
            share: if fair {
                self.accounts[open.account].share
            } else {
                1
            },
            rank,
            expiry: open.submitted + self.services[open.service].patience,
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

    fn place(&mut self, key: RequestKey, chosen: &Chosen, now: Time) -> Placement {
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
        if !self.options.parts.short_first {
            return 0;
        }
        open.expected.max(1).ilog2() as i32
    }

    /// Gives the request another placement after its upstream has failed with `end`, within the service's retry budget
    /// and the caller's patience. On a refusal nothing of the request is kept.
    ///
    /// Whether it may run again is for the caller to know: it did not start, or it is idempotent.
    pub fn retry(&mut self, id: u64, end: End, now: Time) -> Outcome {
        let refusal = |cause, retry_after| {
            Outcome::Refused(Refusal {
                id,
                cause,
                retry_after,
            })
        };
        let Some(&key) = self.ids.get(&id) else {
            return refusal(Cause::BadId, PLAIN_RETRY);
        };
        let failed = self.leave_upstream(key, end, now);
        let open = &mut self.open[key];
        open.excluded.extend(failed);
        open.produced = 0;
        let service = &mut self.services[open.service];
        let result = if now.since(open.submitted) >= service.patience {
            Err((Cause::Expired, PLAIN_RETRY))
        } else if service.budget.spend() {
            self.place_or_queue(key, true, now)
        } else {
            Err((Cause::RetryBudget, PLAIN_RETRY))
        };
        result.unwrap_or_else(|(cause, retry_after)| {
            self.close_request(key);
            refusal(cause, retry_after)
        })
    }

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
            self.dequeue(key, false);
            let Some(open) = self.close_request(key) else {
                return;
            };
            let retry_after = self.drain_time(service, now);
            self.events.push(Event::Refused(Refusal {
                id: open.id,
                cause,
                retry_after,
            }));
        }
    }

    /// Time in which the queue of `service` is worked off.
    fn drain_time(&self, service: ServiceKey, now: Time) -> Duration {
        let service = &self.services[service];
        let rate = service.rate.per_second(now).unwrap_or(1.0).max(1.0);
        retry_after(Duration::from_secs_f32(
            (service.queue.cost() / rate).min(3_600.0),
        ))
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

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(SHORTEST_RETRY, LONGEST_RETRY)
}
