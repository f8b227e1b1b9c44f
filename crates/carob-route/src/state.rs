//! State of services, client accounts and open requests.

use std::time::Duration;

use carob_base::{AccountKey, Name, RequestKey, ServiceKey, Time, UpstreamKey};
use carob_config::{ServiceKind, Weights};
use smallvec::SmallVec;

use crate::{
    budget::Budget,
    forecast::{MemoryForecast, ResidualSurvival},
    length::GroupKey,
    queue::{Entry, Queue},
};

/// A service and its queue.
#[derive(Debug)]
pub struct Service {
    pub name: Name,
    pub kind: ServiceKind,
    pub weights: Weights,
    /// How long a caller waits for the first byte, counted from submission.
    pub queue_timeout: Duration,
    /// Maximum answer length, in tokens.
    pub max_tokens: u32,
    /// Retries and hedges allowed per hundred requests.
    pub retry_percent: u16,
    /// No longer configured.
    pub removed: bool,
    /// Its upstreams: those of the instance's failure domain first, then those of the rest of its region,
    /// then the others.
    pub upstreams: Vec<UpstreamKey>,
    /// Indices in `upstreams` at which the instance's failure domain and its region end.
    pub tier_ends: [usize; 2],
    /// Memory of the largest upstream, in tokens.
    pub max_memory: u32,
    pub queue: Queue,
    /// Budget for retries and hedges.
    pub budget: Budget,
    /// Expected work placed per second, in tokens.
    pub placement_rate: DecayingRate,
    /// Residual survival of requests of unknown age, as of `residual_at`.
    pub residual: ResidualSurvival,
    /// When `residual` was computed; `None` until it is computed.
    pub residual_at: Option<Time>,
}

impl Service {
    /// Expected queueing time of `entry`; `None` until the placement rate is known.
    pub fn expected_wait(&self, entry: &Entry, now: Time) -> Option<Duration> {
        /// Factor that allows for requests that arrive later and overtake this one.
        const MARGIN: f32 = 1.5;
        let rate = self.placement_rate.per_second(now)?;
        Some(processing_time(self.queue.cost_ahead(entry) * MARGIN, rate))
    }
}

/// Time to process `cost` tokens of work at `rate` tokens per second.
pub fn processing_time(cost: f32, rate: f32) -> Duration {
    /// Upper bound of the estimate, in seconds.
    const MAX_SECONDS: f32 = 3_600.0;
    Duration::from_secs_f32((cost / rate.max(1.0)).clamp(0.0, MAX_SECONDS))
}

/// A client account.
#[derive(Debug)]
pub struct Account {
    pub name: Name,
    /// Weight of the account in fair queueing.
    pub share: u16,
    /// Maximum number of open requests.
    pub max_open: u32,
    /// Open requests, queued ones included.
    pub open: u32,
    /// No longer configured; dropped by a later configuration once no request is open.
    pub removed: bool,
}

/// A request that has been accepted and has not ended yet.
#[derive(Debug)]
pub struct OpenRequest {
    /// Id chosen by the user of this crate.
    pub id: u64,
    pub key: RequestKey,
    pub service: ServiceKey,
    pub account: AccountKey,
    /// Group whose length statistics forecast this answer's length.
    pub group: GroupKey,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Maximum answer length, in tokens.
    pub max_tokens: u32,
    /// Answer tokens produced so far.
    pub produced: u32,
    /// Answer length in tokens if it is certain.
    pub known_length: Option<u32>,
    /// Hashes of the prompt's prefixes, longest last.
    pub prefix: SmallVec<[u64; 4]>,
    /// Whether it must be the only request on its upstream.
    pub exclusive: bool,
    /// Upstreams that must not be used.
    pub excluded: SmallVec<[UpstreamKey; 2]>,
    pub submitted: Time,
    /// Expected median length of the answer, in tokens.
    pub expected_length: u32,
    pub phase: Phase,
}

/// Phase of an open request.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// Neither queued nor running; only while a decision about it is being made.
    Unassigned,
    /// Queued at its service with this entry.
    Waiting(Entry),
    /// Sent to an upstream.
    Running {
        upstream: UpstreamKey,
        placed: Time,
        /// When the latest token arrived; at first the same as `placed`.
        progressed: Time,
    },
}

impl OpenRequest {
    /// Forecast of the memory that it will hold.
    pub fn forecast(&self, table: crate::length::SurvivalTable<'_>) -> MemoryForecast {
        match self.known_length {
            Some(length) => MemoryForecast::of_known(self.prompt, self.produced, length),
            None => MemoryForecast::of_request(table, self.prompt, self.produced, self.max_tokens),
        }
    }

    /// Memory that it holds on its upstream now, in tokens.
    pub fn held_tokens(&self) -> u32 {
        self.prompt + self.produced
    }
}

/// A rate estimated from an exponentially decaying sum.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    /// Sum of the counted amounts, decayed until `updated`.
    sum: f32,
    /// When the first amount was counted.
    started: Option<Time>,
    updated: Time,
}

/// Time constant of the decay of a [`DecayingRate`], in seconds.
const RATE_TIME_CONSTANT: f32 = 10.0;
/// Time after the first amount before a [`DecayingRate`] gives an estimate, in seconds.
const RATE_WARM_UP: f32 = 2.0;

impl DecayingRate {
    /// Counts `amount` at `now`.
    pub fn add(&mut self, amount: f32, now: Time) {
        let decay = (-now.since(self.updated).as_secs_f32() / RATE_TIME_CONSTANT).exp();
        self.sum = self.sum * decay + amount;
        self.updated = now;
        self.started.get_or_insert(now);
    }

    /// Rate per second at `now`; `None` during the warm-up.
    pub fn per_second(&self, now: Time) -> Option<f32> {
        let span = now.since(self.started?).as_secs_f32();
        if span < RATE_WARM_UP {
            return None;
        }
        let decay = (-now.since(self.updated).as_secs_f32() / RATE_TIME_CONSTANT).exp();
        Some(self.sum * decay / (RATE_TIME_CONSTANT * (1.0 - (-span / RATE_TIME_CONSTANT).exp())))
    }
}
