//! Choice of an upstream for a request.

use std::time::Duration;

use carob_base::{RequestKey, Time, UpstreamKey};
use carob_config::ServiceKind;
use rand::RngExt;

use crate::{
    breaker::State,
    forecast::{MemoryForecast, residual_survival},
    router::Router,
    state::{OpenRequest, Phase, Service},
    submit::{Choice, Locality, Reason},
    upstream::{Load, Upstream},
};

/// Largest service whose upstreams are all candidates; of a larger one a sample is taken.
const FULL_SCAN_LIMIT: usize = 16;
/// Sample sizes for the instance's failure domain, the rest of its region and the other regions.
const TIER_SAMPLES: [usize; 3] = [8, 3, 3];
/// Age at which the forecast of this instance's own requests on an upstream is recomputed.
const FORECAST_MAX_AGE: Duration = Duration::from_millis(500);
/// Age at which a service's residual survival is recomputed.
const RESIDUAL_MAX_AGE: Duration = Duration::from_secs(1);
/// Prompt length, in tokens, whose prefill is worth the whole prefix credit; shorter prompts earn a
/// proportional part.
const PREFIX_SCALE: f32 = 4_000.0;
/// Cost of a failure rate of 1, as a fraction of memory.
const FAILURE_PENALTY: f32 = 1.0;
/// Maximum random cost with a load report of age zero, as a fraction of memory.
const JITTER: f32 = 0.01;
/// Increase of the maximum random cost per second of the load report's age, as a fraction of memory.
const JITTER_GROWTH: f32 = 0.02;
/// Upper bound of the maximum random cost, as a fraction of memory.
const JITTER_LIMIT: f32 = 0.1;

/// The chosen upstream and the figures behind the choice.
#[derive(Debug)]
pub struct Chosen {
    pub upstream: UpstreamKey,
    pub reason: Reason,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooseError {
    /// No upstream accepts work.
    NoUpstream,
    /// Upstreams accept work, but none has room now.
    Full,
}

/// Inputs of a decision that are the same for all candidates.
struct Criteria<'a> {
    request: &'a OpenRequest,
    service: &'a Service,
    forecast: MemoryForecast,
    /// Expected number of other instances that choose among the same upstreams.
    competitors: f32,
    /// Mean time at which the loads of the other instances were received.
    peers_reported: Time,
    now: Time,
}

/// Evaluation of a candidate.
#[derive(Clone, Copy)]
struct Score {
    /// Whether the candidate has room for the request.
    fits: bool,
    /// As a fraction of the candidate's memory; lower is better.
    cost: f32,
    /// Forecast peak of memory with the request, margin included, in tokens.
    peak: f32,
    /// Estimated number of requests without this one.
    batch: f32,
    /// Safety margin, in standard deviations.
    margin: f32,
    /// Share of the prompt that is probably cached, 0 to 1.
    cached: f32,
}

impl Router {
    /// Chooses the cheapest upstream with room for the request. If none has room, chooses the cheapest one
    /// with `overcommit`, and fails without.
    pub(crate) fn choose(
        &mut self,
        key: RequestKey,
        overcommit: bool,
        now: Time,
    ) -> Result<Chosen, ChooseError> {
        let mut candidates = std::mem::take(&mut self.candidates);
        self.collect_candidates(key, now, &mut candidates);
        self.refresh_residual(self.requests[key].service, now);
        for &candidate in &candidates {
            self.refresh_forecast(candidate, now);
        }
        let chosen = self.cheapest(key, &candidates, overcommit, now);
        self.candidates = candidates;
        chosen
    }

    /// Collects the candidates that accept work: all upstreams of a small service; of a large one, a sample
    /// and the upstreams that probably have the longest prefix cached.
    fn collect_candidates(&mut self, key: RequestKey, now: Time, candidates: &mut Vec<UpstreamKey>) {
        candidates.clear();
        let request = &self.requests[key];
        let service = &self.services[request.service];
        if service.upstreams.len() <= FULL_SCAN_LIMIT {
            candidates.extend(&service.upstreams);
        } else {
            let [domain, region] = service.tier_ends;
            let tiers = [0..domain, domain..region, region..service.upstreams.len()];
            for (tier, samples) in tiers.into_iter().zip(TIER_SAMPLES) {
                if tier.len() <= samples {
                    candidates.extend(&service.upstreams[tier]);
                    continue;
                }
                for _ in 0..samples {
                    let at = self.rng.random_range(tier.clone());
                    candidates.push(service.upstreams[at]);
                }
            }
            if let Some(&longest) = request.prefix.last() {
                candidates.extend(self.prefixes.holders(longest));
            }
        }
        let usable = |upstream: &UpstreamKey| {
            let accepts_work = |state: &Upstream| state.service == request.service && state.accepts_work(now);
            self.upstreams.get(*upstream).is_some_and(accepts_work) && !request.excluded.contains(upstream)
        };
        candidates.retain(usable);
    }

    fn cheapest(
        &mut self,
        key: RequestKey,
        candidates: &[UpstreamKey],
        overcommit: bool,
        now: Time,
    ) -> Result<Chosen, ChooseError> {
        let request = &self.requests[key];
        // Each instance samples the upstreams of a large service, so only some others consider the same ones.
        let total = self.services[request.service].upstreams.len().max(1);
        let overlap = (candidates.len() as f32 / total as f32).min(1.0);
        let criteria = Criteria {
            request,
            service: &self.services[request.service],
            forecast: request.forecast(self.lengths.table(request.group)),
            competitors: self.peers.count() as f32 * overlap,
            peers_reported: self.peers.mean_received(),
            now,
        };
        let mut best: Option<(UpstreamKey, Score)> = None;
        let mut fitting = 0;
        for &candidate in candidates {
            let upstream = &self.upstreams[candidate];
            let mut score = self.score(&criteria, candidate, upstream);
            score.cost += self.rng.random::<f32>() * jitter(upstream, now);
            fitting += u16::from(score.fits);
            let rank = |score: &Score| (!score.fits, score.cost);
            let better = best.is_none_or(|(_, old)| rank(&score) < rank(&old));
            if better && (score.fits || overcommit) {
                best = Some((candidate, score));
            }
        }
        let error = if candidates.is_empty() {
            ChooseError::NoUpstream
        } else {
            ChooseError::Full
        };
        let (upstream, score) = best.ok_or(error)?;
        let considered = candidates.len() as u16;
        let reason = reason(
            &criteria,
            &self.upstreams[upstream],
            &score,
            (considered, fitting),
        );
        Ok(Chosen { upstream, reason })
    }

    fn score(&self, criteria: &Criteria<'_>, key: UpstreamKey, upstream: &Upstream) -> Score {
        let others = self.background(criteria, upstream);
        let batch = upstream.own.len() as f32 + others.count;
        let busy = batch / upstream.slots.max(1) as f32;
        let penalty = match upstream.locality {
            Locality::Domain => 0.0,
            Locality::Region => self.options.domain_penalty,
            Locality::Remote => self.options.region_penalty,
        };
        let base = penalty + FAILURE_PENALTY * upstream.breaker.failure_rate();
        let has_slot = batch < upstream.slots as f32;
        if criteria.service.kind == ServiceKind::Plain {
            return Score {
                fits: has_slot,
                cost: base + busy,
                peak: 0.0,
                batch,
                margin: 0.0,
                cached: 0.0,
            };
        }
        let margin = self.margin(criteria, upstream);
        let peak = self.peak(criteria, upstream, others, margin);
        let memory = upstream.memory.max(1) as f32;
        let has_room = peak <= memory;
        let exclusivity_ok = !criteria.request.exclusive || batch < 0.5;
        let cached = self.cached(criteria, key);
        let credit =
            self.options.prefix_credit * cached * (criteria.request.prompt as f32 / PREFIX_SCALE).min(1.0);
        Score {
            fits: has_slot && has_room && exclusivity_ok,
            cost: base + (peak / memory).max(busy) - credit,
            peak,
            batch,
            margin,
            cached,
        }
    }

    /// Background load of an upstream, extrapolated: all instances see the same reports and choose alike, so
    /// each competitor is assumed to have placed as much as this instance since the last report or message.
    fn background(&self, criteria: &Criteria<'_>, upstream: &Upstream) -> Load {
        let mut others = upstream.background();
        if !self.options.mechanisms.extrapolate_peers {
            return others;
        }
        let sampled = upstream
            .last_report
            .as_ref()
            .map_or(Time::ZERO, |last| last.sampled);
        let since = sampled.max(criteria.peers_reported);
        for own in upstream.own.iter().rev() {
            let request = &self.requests[*own];
            let Phase::Running { placed, .. } = request.phase else {
                continue;
            };
            if placed <= since {
                break;
            }
            others.count += criteria.competitors;
            others.tokens += criteria.competitors * request.held_tokens() as f32;
        }
        others
    }

    /// Safety margin above the mean of the memory forecast, in standard deviations: interpolated between the
    /// options' margins by the service's weights of stall time and preemptions, and raised after preemptions.
    fn margin(&self, criteria: &Criteria<'_>, upstream: &Upstream) -> f32 {
        let weights = criteria.service.weights;
        let (stall, preempt) = (f32::from(weights.stall), f32::from(weights.preempt));
        let preempt_part = if stall + preempt > 0.0 {
            preempt / (stall + preempt)
        } else {
            0.5
        };
        let (low, high) = (self.options.stall_margin, self.options.preemption_margin);
        let base = low + (high - low) * preempt_part;
        if self.options.mechanisms.feedback {
            base + upstream.extra_margin(criteria.now)
        } else {
            base
        }
    }

    /// Forecast peak of an upstream's memory with the request, in tokens.
    fn peak(&self, criteria: &Criteria<'_>, upstream: &Upstream, others: Load, margin: f32) -> f32 {
        let mut forecast = upstream.forecast;
        forecast.add(&MemoryForecast::of_background(
            &criteria.service.residual,
            others.count,
            others.tokens,
        ));
        forecast.add(&criteria.forecast);
        if self.options.mechanisms.forecast {
            forecast.peak(margin)
        } else {
            forecast.nearest()
        }
    }

    fn cached(&self, criteria: &Criteria<'_>, key: UpstreamKey) -> f32 {
        if !self.options.mechanisms.prefix || criteria.request.prefix.is_empty() {
            return 0.0;
        }
        self.prefixes.cached_share(key, &criteria.request.prefix)
    }

    /// Recomputes the forecast of this instance's own requests on an upstream if it is out of date.
    fn refresh_forecast(&mut self, key: UpstreamKey, now: Time) {
        let upstream = &self.upstreams[key];
        if now.since(upstream.forecast_at) < FORECAST_MAX_AGE {
            return;
        }
        let forecast = self.own_forecast(upstream);
        let upstream = &mut self.upstreams[key];
        upstream.forecast = forecast;
        upstream.forecast_at = now;
    }

    /// Forecast of the memory of this instance's own requests on an upstream.
    pub(crate) fn own_forecast(&self, upstream: &Upstream) -> MemoryForecast {
        let mut forecast = MemoryForecast::default();
        for own in &upstream.own {
            let request = &self.requests[*own];
            forecast.add(&request.forecast(self.lengths.table(request.group)));
        }
        forecast
    }

    /// Recomputes a service's residual survival if it is out of date.
    fn refresh_residual(&mut self, key: carob_base::ServiceKey, now: Time) {
        let service = &mut self.services[key];
        if service
            .residual_at
            .is_some_and(|at| now.since(at) < RESIDUAL_MAX_AGE)
        {
            return;
        }
        service.residual_at = Some(now);
        service.residual = residual_survival(self.lengths.service_table(key));
    }

    /// Assigns the request to the chosen upstream.
    pub(crate) fn attach(&mut self, key: RequestKey, chosen: &Chosen, now: Time) {
        let request = &mut self.requests[key];
        request.phase = Phase::Running {
            upstream: chosen.upstream,
            placed: now,
            progressed: now,
        };
        let forecast = request.forecast(self.lengths.table(request.group));
        let upstream = &mut self.upstreams[chosen.upstream];
        upstream.own.push(key);
        upstream.forecast.add(&forecast);
        upstream.breaker.record_sent();
        if request.exclusive {
            upstream.exclusive = Some(key);
        }
        self.prefixes.insert(chosen.upstream, &request.prefix);
    }
}

/// Maximum random cost of an upstream. It grows with the age of the load report, so that instances with the
/// same old report do not all choose the same upstream.
fn jitter(upstream: &Upstream, now: Time) -> f32 {
    let age = upstream
        .last_report
        .as_ref()
        .map_or(0.0, |last| now.since(last.sampled).as_secs_f32());
    (JITTER + JITTER_GROWTH * age).min(JITTER_LIMIT)
}

fn reason(criteria: &Criteria<'_>, upstream: &Upstream, score: &Score, counts: (u16, u16)) -> Reason {
    let choice = match (upstream.breaker.state(), criteria.service.kind) {
        (State::Open(_), _) => Choice::Probe,
        _ if !score.fits => Choice::Overcommitted,
        (_, ServiceKind::Plain) => Choice::LeastBusy,
        _ if criteria.request.exclusive => Choice::Exclusive,
        _ => Choice::Fits,
    };
    Reason {
        choice,
        considered: counts.0,
        fitting: counts.1,
        peak: score.peak as u32,
        memory: upstream.memory,
        margin: (score.margin * 100.0) as u16,
        batch: score.batch as u32,
        expected: criteria.request.expected_length,
        cached: (score.cached * 100.0) as u8,
        locality: upstream.locality,
        waited: criteria.now.since(criteria.request.submitted),
    }
}
