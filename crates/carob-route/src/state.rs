//! Services, client accounts and requests in progress.

use std::time::Duration;

use carob_base::{AccountKey, Name, RequestKey, ServiceKey, Time, UpstreamKey};
use carob_config::{Kind, Weights};
use smallvec::SmallVec;

use crate::{
    budget::Budget,
    forecast::{MemoryForecast, ResidualSurvival},
    length::GroupKey,
    queue::{Entry, Queue},
};

/// A service with its queue.
#[derive(Debug)]
pub struct Service {
    pub name: Name,
    pub kind: Kind,
    pub weights: Weights,
    /// How long callers wait for a first byte.
    pub patience: Duration,
    /// Most tokens of one answer.
    pub max_tokens: u32,
    /// Retries and hedges earned by a hundred requests.
    pub retry_percent: u16,
    /// No longer configured.
    pub removed: bool,
    /// Its upstreams, those of the own failure domain first, then those of the own region.
    pub upstreams: Vec<UpstreamKey>,
    /// Ends of the own failure domain's and the own region's part of `upstreams`.
    pub tiers: [usize; 2],
    /// Memory of the largest upstream, in tokens.
    pub largest: u32,
    pub queue: Queue,
    /// Retries and hedges left.
    pub budget: Budget,
    /// Work placed per second, in tokens, over the last seconds.
    pub rate: Rate,
    /// How likely a request of unknown age is to live on; computed anew from time to time.
    pub residual: ResidualSurvival,
    pub residual_at: Option<Time>,
}

impl Service {
    /// How long a request under `entry` is expected to wait, once the rate of placing is known.
    pub fn wait_for(&self, entry: &Entry, now: Time) -> Option<Duration> {
        /// Allowance for requests that come later and overtake.
        const MARGIN: f32 = 1.5;
        let rate = self.rate.per_second(now)?;
        Some(time_for(self.queue.cost_ahead(entry) * MARGIN, rate))
    }
}

/// Time for `cost` tokens of work at `rate` tokens a second.
pub fn time_for(cost: f32, rate: f32) -> Duration {
    /// Longest estimate, in seconds.
    const LONGEST: f32 = 3_600.0;
    Duration::from_secs_f32((cost / rate.max(1.0)).clamp(0.0, LONGEST))
}

/// A client account.
#[derive(Debug)]
pub struct Account {
    pub name: Name,
    /// Share of the capacity when requests queue.
    pub share: u16,
    /// Most requests in progress.
    pub max_open: u32,
    /// Requests in progress.
    pub open: u32,
    /// No longer configured; kept until its last request has ended.
    pub removed: bool,
}

/// A request in progress.
#[derive(Debug)]
pub struct Open {
    /// The caller's id of it.
    pub id: u64,
    pub key: RequestKey,
    pub service: ServiceKey,
    pub account: AccountKey,
    /// Answers whose lengths are learned together with this one's.
    pub group: GroupKey,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub cap: u32,
    /// Tokens of the answer so far.
    pub produced: u32,
    /// Length of the answer where it is certain.
    pub known: Option<u32>,
    /// Hashes of the prompt's prefixes, longest last.
    pub prefix: SmallVec<[u64; 4]>,
    /// Whether it must run without neighbours.
    pub exclusive: bool,
    /// Upstreams that must not be used.
    pub excluded: SmallVec<[UpstreamKey; 2]>,
    pub submitted: Time,
    /// Median expected length of the answer, in tokens.
    pub expected: u32,
    pub phase: Phase,
}

/// Where a request in progress is.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// It neither waits nor runs, in the middle of a decision.
    Loose,
    /// It waits in its service's queue under this entry.
    Waiting(Entry),
    /// It runs.
    Running {
        /// Where.
        upstream: UpstreamKey,
        /// Since when.
        placed: Time,
        /// When it last made progress.
        moved: Time,
    },
}

impl Open {
    /// Its predicted memory.
    pub fn curve(&self, table: crate::length::SurvivalTable<'_>) -> MemoryForecast {
        match self.known {
            Some(length) => MemoryForecast::of_known(self.prompt, self.produced, length),
            None => MemoryForecast::of_request(table, self.prompt, self.produced, self.cap),
        }
    }

    /// Tokens that it holds on its upstream.
    pub fn tokens(&self) -> u32 {
        self.prompt + self.produced
    }
}

/// A rate that follows the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    sum: f32,
    since: Option<Time>,
    at: Time,
}

/// Time over which a [`Rate`] is taken, in seconds.
const RATE_SPAN: f32 = 10.0;
/// Time before a [`Rate`] is known, in seconds.
const RATE_FIRST: f32 = 2.0;

impl Rate {
    /// Counts `amount` at `now`.
    pub fn add(&mut self, amount: f32, now: Time) {
        let fade = (-now.since(self.at).as_secs_f32() / RATE_SPAN).exp();
        self.sum = self.sum * fade + amount;
        self.at = now;
        self.since.get_or_insert(now);
    }

    /// The rate per second at `now`, once enough time has passed to know it.
    pub fn per_second(&self, now: Time) -> Option<f32> {
        let span = now.since(self.since?).as_secs_f32();
        if span < RATE_FIRST {
            return None;
        }
        let fade = (-now.since(self.at).as_secs_f32() / RATE_SPAN).exp();
        Some(self.sum * fade / (RATE_SPAN * (1.0 - (-span / RATE_SPAN).exp())))
    }
}
