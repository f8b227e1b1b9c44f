//! State of one upstream.

use std::{collections::VecDeque, net::SocketAddr};

use carob_base::{Name, RequestKey, ServiceKey, Time};
use carob_wire::load::Report;

use crate::{breaker::Breaker, forecast::MemoryForecast, submit::Locality};

/// Maximum number of ended requests kept to reconcile late load reports with.
const ENDED_LIMIT: usize = 512;
/// Standard deviations that one preemption adds to the safety margin.
const MARGIN_STEP: f32 = 0.25;
/// Maximum number of standard deviations that preemptions add to the safety margin.
const MARGIN_LIMIT: f32 = 3.0;
/// Half-life of the margin added by preemptions, in seconds.
const MARGIN_HALF_LIFE: f32 = 30.0;
/// Assumed decode rate before the first observation, in tokens per second and request.
const INITIAL_DECODE_RATE: f32 = 30.0;
/// Weight of a new observation in the moving average of the decode rate.
const DECODE_RATE_WEIGHT: f32 = 0.02;

/// An upstream and its estimated load.
#[derive(Debug)]
pub struct Upstream {
    pub name: Name,
    pub address: SocketAddr,
    pub service: ServiceKey,
    pub locality: Locality,
    /// Memory, in tokens; a load report that states it overrides the configured value.
    pub memory: u32,
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// No longer configured; dropped by a later configuration once `own` is empty.
    pub removed: bool,
    /// Announced to be leaving; gets no new work.
    pub leaving: bool,
    pub breaker: Breaker,
    /// This instance's requests on the upstream, oldest placement first.
    pub own: Vec<RequestKey>,
    /// A request suspected of crashing engines, which must be the only one there; while set, no other request
    /// is placed.
    pub exclusive: Option<RequestKey>,
    /// Forecast of the memory of `own`: computed at `forecast_at`, adjusted as requests are placed and end.
    pub forecast: MemoryForecast,
    /// When `forecast` was last computed from scratch.
    pub forecast_at: Time,
    /// The newest load report; `None` before the first one.
    pub last_report: Option<SampledReport>,
    /// Load of other instances according to `last_report`.
    pub reported: Load,
    /// Load of other instances that no load report covers yet, as those instances sent it.
    pub unreported: Load,
    /// Moving average of the decode rate, in tokens per second and request.
    pub decode_rate: f32,
    /// This instance's ended requests that a late load report may still count, oldest first.
    ended: VecDeque<EndedRequest>,
    /// Standard deviations that preemptions have added to the safety margin, as of `margin_at`.
    margin: f32,
    margin_at: Time,
}

/// A load report and the time at which the engine sampled it.
#[derive(Clone, Debug)]
pub struct SampledReport {
    pub report: Report,
    pub sampled: Time,
}

/// The total of several requests: how many and how many tokens of memory they hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub count: f32,
    pub tokens: f32,
}

/// A request of this instance that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedRequest {
    pub placed: Time,
    pub ended: Time,
    /// Prompt and answer tokens at the end.
    pub tokens: u32,
}

impl Upstream {
    pub fn new(config: &carob_config::Upstream, service: ServiceKey, locality: Locality) -> Self {
        Self {
            name: config.name.clone(),
            address: config.address,
            service,
            locality,
            memory: config.memory,
            slots: config.slots,
            removed: false,
            leaving: false,
            breaker: Breaker::new(),
            own: Vec::new(),
            exclusive: None,
            forecast: MemoryForecast::default(),
            forecast_at: Time::ZERO,
            last_report: None,
            reported: Load::default(),
            unreported: Load::default(),
            decode_rate: INITIAL_DECODE_RATE,
            ended: VecDeque::new(),
            margin: 0.0,
            margin_at: Time::ZERO,
        }
    }

    /// Whether new requests may be placed there, whatever its load.
    pub fn accepts_work(&self, now: Time) -> bool {
        !self.removed && !self.leaving && self.exclusive.is_none() && self.breaker.allows(now)
    }

    /// Background load: the load of other instances, reported or not.
    pub fn background(&self) -> Load {
        Load {
            count: self.reported.count + self.unreported.count,
            tokens: self.reported.tokens + self.unreported.tokens,
        }
    }

    /// Standard deviations that preemptions add to the safety margin at `now`.
    pub fn extra_margin(&self, now: Time) -> f32 {
        let age = now.since(self.margin_at).as_secs_f32();
        self.margin * (-age / MARGIN_HALF_LIFE).exp2()
    }

    /// Raises the safety margin after `count` new preemptions.
    pub fn record_preemptions(&mut self, count: u64, now: Time) {
        let decayed = self.extra_margin(now);
        self.margin = (decayed + MARGIN_STEP * count as f32).min(MARGIN_LIMIT);
        self.margin_at = now;
    }

    /// Moves a request of this instance that has ended from `own` to `ended`.
    pub fn detach(&mut self, key: RequestKey, ended: EndedRequest) {
        self.own.retain(|&own| own != key);
        if self.exclusive == Some(key) {
            self.exclusive = None;
        }
        if self.ended.len() >= ENDED_LIMIT {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
    }

    /// This instance's requests that were running at `sampled` and have ended since.
    ///
    /// Drops those that ended before `sampled`, as only newer reports are accepted.
    pub fn ended_after(&mut self, sampled: Time) -> Load {
        while self.ended.front().is_some_and(|first| first.ended <= sampled) {
            self.ended.pop_front();
        }
        let running = self.ended.iter().filter(|ended| ended.placed <= sampled);
        running.fold(Load::default(), |load, ended| Load {
            count: load.count + 1.0,
            tokens: load.tokens + self.tokens_at(ended.tokens, ended.ended, sampled),
        })
    }

    /// Estimated tokens at `sampled` of a request that has `tokens` at `now`.
    pub fn tokens_at(&self, tokens: u32, now: Time, sampled: Time) -> f32 {
        let grown = self.decode_rate * now.since(sampled).as_secs_f32();
        (tokens as f32 - grown).max(0.0)
    }

    /// Updates the decode rate: a request has produced `tokens` in `seconds`.
    pub fn record_decode_rate(&mut self, tokens: u32, seconds: f32) {
        if seconds > 1e-4 {
            let rate = (tokens as f32 / seconds).clamp(0.1, 1_000.0);
            self.decode_rate += DECODE_RATE_WEIGHT * (rate - self.decode_rate);
        }
    }

    /// Discards the load known from reports, after the upstream's process was restarted.
    pub fn reset_load(&mut self) {
        self.last_report = None;
        self.reported = Load::default();
        self.ended.clear();
    }
}
