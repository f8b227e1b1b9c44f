//! What an instance knows of one cold upstream, and its permits for it.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use carob_base::Time;
use smallvec::SmallVec;

use super::{
    super::{MAX_WANTED, Origin, RARE_DEMAND},
    ColdOptions, ColdWant,
    issuer::Issuer,
};

/// Time over which requests count as demand, and over which permits that arrive are counted.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Time after a request for which a permit for the next one is wanted. An instance of a large fleet gets about one request a
/// second, and a permit is valid for less.
const RECENT_TIME: Duration = Duration::from_secs(2);
const ARRIVAL_TIME: Duration = Duration::from_secs(2);

/// Statements of an upstream that are remembered, so that one that comes back from another instance changes nothing.
const MAX_SEEN: usize = 32;

/// An upstream that is cold, or was.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) service: Box<str>,
    /// Requests a second that it takes; 0 without a bound.
    pub(super) rate: f64,
    pub(super) until: Time,
    /// The statement that `until` is from.
    pub(super) origin: Origin,
    seen: SmallVec<[Origin; 2]>,
    /// Sequence number of the latest directory entry that a statement is from.
    sequence: u64,
    /// Whether it was bounded when the changes were taken last.
    pub(super) was_bounded: bool,
    /// Expiry of each permit that is left, soonest first.
    pub(super) permits: VecDeque<Time>,
    arrivals: VecDeque<(Time, u32)>,
    pub(super) demand: VecDeque<Time>,
    last_demand: Option<Time>,
    /// Until when requests that have their place wait for a permit.
    pub(super) waiting: Vec<Time>,
    /// The instance that this one takes for the issuer.
    pub(super) vote: Option<SocketAddr>,
    /// What was last told to the issuer.
    pub(super) told: Option<ColdWant>,
    pub(super) issuer: Issuer,
}

impl Entry {
    pub(super) fn new(service: &str, rate: f64, origin: Origin, phase: f64) -> Self {
        Self {
            service: service.into(),
            rate,
            until: Time::ZERO,
            origin,
            seen: SmallVec::new(),
            sequence: 0,
            was_bounded: false,
            permits: VecDeque::new(),
            arrivals: VecDeque::new(),
            demand: VecDeque::new(),
            last_demand: None,
            waiting: Vec::new(),
            vote: None,
            told: None,
            issuer: Issuer::new(phase),
        }
    }

    pub(super) fn is_bounded(&self, now: Time) -> bool {
        self.until > now && self.rate > 0.0
    }

    /// Applies a statement by which the upstream stays cold for `left`; zero if it is not cold.
    pub(super) fn apply(&mut self, origin: Origin, left: Duration, now: Time) {
        if self.seen.contains(&origin) {
            return;
        }
        if self.seen.len() >= MAX_SEEN {
            self.seen.remove(0);
        }
        self.seen.push(origin);
        let is_replaced = origin.boot_id == 0 && self.origin.boot_id == 0;
        if origin.boot_id == 0 {
            if origin.number <= self.sequence {
                return;
            }
            self.sequence = origin.number;
        }
        let until = now + left;
        // A later entry says how much is left. Anything else may be older than what is known.
        if is_replaced || until > self.until {
            self.until = until;
            self.origin = origin;
        }
    }

    /// Adds permits that expire at `expires`; returns how many it keeps.
    pub(super) fn add_permits(&mut self, count: u32, expires: Time, options: &ColdOptions, now: Time) -> u32 {
        self.expire(now);
        if expires <= now || !self.is_bounded(now) {
            return 0;
        }
        let added = count.min(options.most_held().saturating_sub(self.permits.len() as u32));
        let place = self.permits.partition_point(|other| *other <= expires);
        for _ in 0..added {
            self.permits.insert(place, expires);
        }
        self.arrivals.push_back((now, added));
        added
    }

    /// Drops what is too old.
    pub(super) fn expire(&mut self, now: Time) {
        self.permits.retain(|expires| *expires > now);
        self.waiting.retain(|until| *until > now);
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| now.since(*at) > ARRIVAL_TIME)
        {
            self.arrivals.pop_front();
        }
        while self.demand.front().is_some_and(|at| now.since(*at) > DEMAND_TIME) {
            self.demand.pop_front();
        }
    }

    pub(super) fn record_demand(&mut self, now: Time) {
        self.expire(now);
        self.last_demand = Some(now);
        if self.demand.len() < MAX_WANTED as usize {
            self.demand.push_back(now);
        }
    }

    /// Whether so few requests wanted the upstream lately that the permits which arrived say little.
    pub(super) fn is_rarely_wanted(&self) -> bool {
        self.demand.len() <= RARE_DEMAND
    }

    /// Permits a second that arrived lately.
    pub(super) fn arrival_rate(&self, now: Time) -> f64 {
        let recent = self
            .arrivals
            .iter()
            .filter(|(at, _)| now.since(*at) <= ARRIVAL_TIME);
        recent.map(|(_, count)| f64::from(*count)).sum::<f64>() / ARRIVAL_TIME.as_secs_f64()
    }

    /// Permits that are wanted beyond those that are there, while `queued` requests wait in the queue. One more is wanted for the next
    /// request soon after one, and as many as are expected within the time for which a permit is valid.
    pub(super) fn wanted(&self, queued: u32, options: &ColdOptions, now: Time) -> ColdWant {
        let waiting = queued + self.waiting.len() as u32;
        let valid = options.permit_time();
        let expected = (self.demand.len() as f64 * valid.as_secs_f64()) as u32;
        let is_recent = self.last_demand.is_some_and(|at| now.since(at) <= RECENT_TIME);
        let held = self.permits.len() as u32;
        let room = options.most_held().saturating_sub(held);
        let waiting_more = waiting.saturating_sub(held).min(room);
        let left = held.saturating_sub(waiting);
        ColdWant {
            waiting: waiting_more,
            expected: expected
                .max(u32::from(is_recent))
                .saturating_sub(left)
                .min(room - waiting_more),
            sent: now,
        }
    }
}
