//! What is known of one upstream.

use std::{collections::VecDeque, net::SocketAddr};

use carob_base::{Name, RequestKey, ServiceKey, Time};
use carob_wire::load::Report;

use crate::{breaker::Breaker, forecast::MemoryForecast, submit::Locality};

/// Most ended requests remembered for the reconciliation with late load reports.
const ENDED_LIMIT: usize = 512;
/// Deviations that one preemption adds to the caution.
const CAUTION_STEP: f32 = 0.25;
/// Most deviations that preemptions add.
const CAUTION_LIMIT: f32 = 3.0;
/// Time in which the added caution falls to half, in seconds.
const CAUTION_HALF_LIFE: f32 = 30.0;
/// Tokens a second per request before any progress was seen.
const FIRST_PACE: f32 = 30.0;
/// Weight of the newest observation of the pace.
const PACE_WEIGHT: f32 = 0.02;

/// An upstream with its load as far as it is known.
#[derive(Debug)]
pub struct Upstream {
    pub name: Name,
    pub address: SocketAddr,
    pub service: ServiceKey,
    /// How far it is.
    pub locality: Locality,
    /// Memory, in tokens.
    pub memory: u32,
    /// Most requests of a batch.
    pub slots: u32,
    /// No longer configured; kept until its last request has ended.
    pub removed: bool,
    /// Announced to be leaving.
    pub leaving: bool,
    pub breaker: Breaker,
    /// Own requests in progress.
    pub own: Vec<RequestKey>,
    /// The crash suspect that must have no neighbours.
    pub sealed: Option<RequestKey>,
    /// Predicted memory of the own requests, as of `built`.
    pub curve: MemoryForecast,
    /// When `curve` was last made anew.
    pub built: Time,
    /// The newest load report.
    pub seen: Option<Seen>,
    /// Requests of other instances by that report.
    pub foreign: Crowd,
    /// Dispatches of other instances that no report covers yet, as they told.
    pub peers: Crowd,
    /// Tokens a second per request.
    pub decode_rate: f32,
    /// Own requests that have ended lately, which a late report may still count.
    ended: VecDeque<Ended>,
    /// Deviations added by preemptions, as of `caution_at`.
    caution: f32,
    caution_at: Time,
}

/// A load report with the time at which the engine made it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub report: Report,
    pub sampled: Time,
}

/// Requests of which only the number and the tokens are known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Crowd {
    pub count: f32,
    pub tokens: f32,
}

/// An own request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub placed: Time,
    pub left: Time,
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
            sealed: None,
            curve: MemoryForecast::default(),
            built: Time::ZERO,
            seen: None,
            foreign: Crowd::default(),
            peers: Crowd::default(),
            decode_rate: FIRST_PACE,
            ended: VecDeque::new(),
            caution: 0.0,
            caution_at: Time::ZERO,
        }
    }

    /// Whether new work may go there at all.
    pub fn takes_work(&self, now: Time) -> bool {
        !self.removed && !self.leaving && self.sealed.is_none() && self.breaker.allows(now)
    }

    /// Requests of other instances as reported and told.
    pub fn others(&self) -> Crowd {
        Crowd {
            count: self.foreign.count + self.peers.count,
            tokens: self.foreign.tokens + self.peers.tokens,
        }
    }

    /// Deviations added to the caution by the preemptions seen, faded until `now`.
    pub fn caution(&self, now: Time) -> f32 {
        let age = now.since(self.caution_at).as_secs_f32();
        self.caution * (-age / CAUTION_HALF_LIFE).exp2()
    }

    /// Counts new preemptions into the caution.
    pub fn preempted(&mut self, count: u64, now: Time) {
        let faded = self.caution(now);
        self.caution = (faded + CAUTION_STEP * count as f32).min(CAUTION_LIMIT);
        self.caution_at = now;
    }

    /// Takes an own request off the upstream.
    pub fn detach(&mut self, key: RequestKey, ended: Ended) {
        self.own.retain(|&own| own != key);
        if self.sealed == Some(key) {
            self.sealed = None;
        }
        if self.ended.len() >= ENDED_LIMIT {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
    }

    /// Own requests that had ended by now but were in progress at `sampled`.
    pub fn ended_after(&mut self, sampled: Time) -> Crowd {
        while self.ended.front().is_some_and(|first| first.left <= sampled) {
            self.ended.pop_front();
        }
        let then = self.ended.iter().filter(|ended| ended.placed <= sampled);
        then.fold(Crowd::default(), |crowd, ended| Crowd {
            count: crowd.count + 1.0,
            tokens: crowd.tokens + self.tokens_then(ended.tokens, ended.left, sampled),
        })
    }

    /// Tokens at `sampled` of a request that has `tokens` at `now`.
    pub fn tokens_then(&self, tokens: u32, now: Time, sampled: Time) -> f32 {
        let grown = self.decode_rate * now.since(sampled).as_secs_f32();
        (tokens as f32 - grown).max(0.0)
    }

    /// An own request has produced `tokens` in `seconds`.
    pub fn note_pace(&mut self, tokens: u32, seconds: f32) {
        if seconds > 1e-4 {
            let pace = (tokens as f32 / seconds).clamp(0.1, 1_000.0);
            self.decode_rate += PACE_WEIGHT * (pace - self.decode_rate);
        }
    }

    /// Forgets all load, because the upstream's process is new.
    pub fn reset_load(&mut self) {
        self.seen = None;
        self.foreign = Crowd::default();
        self.ended.clear();
    }
}
