//! The choice of an upstream for one request.

use std::time::Duration;

use carob_base::{RequestKey, Time, UpstreamKey};
use carob_config::Kind;
use rand::RngExt;

use crate::{
    breaker::State,
    forecast::{MemoryForecast, residual_survival},
    router::Router,
    state::{Open, Phase, Service},
    submit::{Choice, Locality, Reason},
    upstream::{Crowd, Upstream},
};

/// Most upstreams that are all looked at; of more, a sample is.
const ALL_LIMIT: usize = 16;
/// Upstreams sampled from the own failure domain, the rest of the region and the rest.
const SAMPLES: [usize; 3] = [8, 3, 3];
/// Age at which the prediction of own requests is made anew.
const REBUILD_AFTER: Duration = Duration::from_millis(500);
/// Age at which a service's residual survival is computed anew.
const RESIDUAL_AFTER: Duration = Duration::from_secs(1);
/// Prompt whose prefill weighs as much as the whole prefix credit, in tokens.
const PREFIX_SCALE: f32 = 4_000.0;
/// Cost of a failure share of one, in fractions of memory.
const FAILURE_PRICE: f32 = 1.0;
/// Random part of a cost when load is known exactly, in fractions of memory.
const JITTER: f32 = 0.01;
/// Growth of the random part with the age of the load report, per second.
const JITTER_GROWTH: f32 = 0.02;
/// Most random part of a cost.
const JITTER_LIMIT: f32 = 0.1;

/// The chosen upstream with the figures behind the choice.
#[derive(Debug)]
pub struct Chosen {
    pub upstream: UpstreamKey,
    pub reason: Reason,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// None takes work.
    None,
    /// None has room now.
    Full,
}

/// What a request is compared with on every candidate.
struct Want<'a> {
    open: &'a Open,
    service: &'a Service,
    curve: MemoryForecast,
    /// Other instances that are likely to choose among the same upstreams.
    rivals: f32,
    /// When the other instances told their shares, on average.
    told: Time,
    now: Time,
}

/// A candidate's figures.
#[derive(Clone, Copy)]
struct Figures {
    fits: bool,
    cost: f32,
    peak: f32,
    batch: f32,
    caution: f32,
    cached: f32,
}

impl Router {
    /// Chooses an upstream for the request; with `force` the least loaded one if none has room.
    pub(crate) fn choose(&mut self, key: RequestKey, force: bool, now: Time) -> Result<Chosen, Miss> {
        let mut candidates = std::mem::take(&mut self.candidates);
        self.collect_candidates(key, now, &mut candidates);
        self.refresh_residual(self.open[key].service, now);
        for &candidate in &candidates {
            self.rebuild_if_due(candidate, now);
        }
        let chosen = self.cheapest(key, &candidates, force, now);
        self.candidates = candidates;
        chosen
    }

    /// Lists the upstreams to look at: all of a small service, a sample and the prefix's holders of a large one.
    fn collect_candidates(&mut self, key: RequestKey, now: Time, candidates: &mut Vec<UpstreamKey>) {
        candidates.clear();
        let open = &self.open[key];
        let service = &self.services[open.service];
        if service.upstreams.len() <= ALL_LIMIT {
            candidates.extend(&service.upstreams);
        } else {
            let [domain, region] = service.tiers;
            let tiers = [0..domain, domain..region, region..service.upstreams.len()];
            for (tier, samples) in tiers.into_iter().zip(SAMPLES) {
                if tier.len() <= samples {
                    candidates.extend(&service.upstreams[tier]);
                    continue;
                }
                for _ in 0..samples {
                    let at = self.random.random_range(tier.clone());
                    candidates.push(service.upstreams[at]);
                }
            }
            if let Some(&longest) = open.prefix.last() {
                candidates.extend(self.prefixes.holders(longest));
            }
        }
        let usable = |upstream: &UpstreamKey| {
            let takes_work = |state: &Upstream| state.service == open.service && state.takes_work(now);
            self.upstreams.get(*upstream).is_some_and(takes_work) && !open.excluded.contains(upstream)
        };
        candidates.retain(usable);
    }

    fn cheapest(
        &mut self,
        key: RequestKey,
        candidates: &[UpstreamKey],
        force: bool,
        now: Time,
    ) -> Result<Chosen, Miss> {
        let open = &self.open[key];
        // Of a large service each instance looks at a sample, and few others look at the same upstreams.
        let listed = self.services[open.service].upstreams.len().max(1);
        let overlap = (candidates.len() as f32 / listed as f32).min(1.0);
        let want = Want {
            open,
            service: &self.services[open.service],
            curve: open.curve(self.lengths.table(open.group)),
            rivals: self.peers.count() as f32 * overlap,
            told: self.peers.mean_received(),
            now,
        };
        let mut best: Option<(UpstreamKey, Figures)> = None;
        let mut fitting = 0;
        for &candidate in candidates {
            let upstream = &self.upstreams[candidate];
            let mut figures = self.figures(&want, candidate, upstream);
            figures.cost += self.random.random::<f32>() * jitter(upstream, now);
            fitting += u16::from(figures.fits);
            let rank = |figures: &Figures| (!figures.fits, figures.cost);
            let better = best.is_none_or(|(_, old)| rank(&figures) < rank(&old));
            if better && (figures.fits || force) {
                best = Some((candidate, figures));
            }
        }
        let miss = if candidates.is_empty() {
            Miss::None
        } else {
            Miss::Full
        };
        let (upstream, figures) = best.ok_or(miss)?;
        let considered = candidates.len() as u16;
        let reason = reason(&want, &self.upstreams[upstream], &figures, (considered, fitting));
        Ok(Chosen { upstream, reason })
    }

    fn figures(&self, want: &Want<'_>, key: UpstreamKey, upstream: &Upstream) -> Figures {
        let others = self.others(want, upstream);
        let batch = upstream.own.len() as f32 + others.count;
        let busy = batch / upstream.slots.max(1) as f32;
        let price = match upstream.locality {
            Locality::Domain => 0.0,
            Locality::Region => self.options.domain_penalty,
            Locality::Remote => self.options.region_penalty,
        };
        let base = price + FAILURE_PRICE * upstream.breaker.failure_rate();
        let has_slot = batch < upstream.slots as f32;
        if want.service.kind == Kind::Plain {
            return Figures {
                fits: has_slot,
                cost: base + busy,
                peak: 0.0,
                batch,
                caution: 0.0,
                cached: 0.0,
            };
        }
        let caution = self.caution(want, upstream);
        let peak = self.peak(want, upstream, others, caution);
        let memory = upstream.memory.max(1) as f32;
        let has_room = peak <= memory;
        let lonely = !want.open.exclusive || batch < 0.5;
        let cached = self.cached(want, key);
        let credit = self.options.prefix_credit * cached * (want.open.prompt as f32 / PREFIX_SCALE).min(1.0);
        Figures {
            fits: has_slot && has_room && lonely,
            cost: base + (peak / memory).max(busy) - credit,
            peak,
            batch,
            caution,
            cached,
        }
    }

    /// The requests of other instances: those reported and told, and as many again per instance as this one has sent
    /// since then, because all see the same reports and choose alike.
    fn others(&self, want: &Want<'_>, upstream: &Upstream) -> Crowd {
        let mut others = upstream.others();
        if !self.options.mechanisms.extrapolate_peers {
            return others;
        }
        let sampled = upstream.seen.as_ref().map_or(Time::ZERO, |seen| seen.sampled);
        let since = sampled.max(want.told);
        for own in upstream.own.iter().rev() {
            let open = &self.open[*own];
            let Phase::Running { placed, .. } = open.phase else {
                continue;
            };
            if placed <= since {
                break;
            }
            others.count += want.rivals;
            others.tokens += want.rivals * open.tokens() as f32;
        }
        others
    }

    /// Deviations above the mean at which memory has to fit.
    fn caution(&self, want: &Want<'_>, upstream: &Upstream) -> f32 {
        let weights = want.service.weights;
        let (stall, preempt) = (f32::from(weights.stall), f32::from(weights.preempt));
        let part = if stall + preempt > 0.0 {
            preempt / (stall + preempt)
        } else {
            0.5
        };
        let (low, high) = (self.options.stall_margin, self.options.preemption_margin);
        let base = low + (high - low) * part;
        if self.options.mechanisms.feedback {
            base + upstream.caution(want.now)
        } else {
            base
        }
    }

    fn peak(&self, want: &Want<'_>, upstream: &Upstream, others: Crowd, caution: f32) -> f32 {
        let mut curve = upstream.curve;
        curve.add(&MemoryForecast::of_background(
            &want.service.residual,
            others.count,
            others.tokens,
        ));
        curve.add(&want.curve);
        if self.options.mechanisms.forecast {
            curve.peak(caution)
        } else {
            curve.near()
        }
    }

    fn cached(&self, want: &Want<'_>, key: UpstreamKey) -> f32 {
        if !self.options.mechanisms.prefix || want.open.prefix.is_empty() {
            return 0.0;
        }
        self.prefixes.cached_share(key, &want.open.prefix)
    }

    /// Predicts the own requests' memory on an upstream anew if the last prediction is old.
    fn rebuild_if_due(&mut self, key: UpstreamKey, now: Time) {
        let upstream = &self.upstreams[key];
        if now.since(upstream.built) < REBUILD_AFTER {
            return;
        }
        let curve = self.own_curve(upstream);
        let upstream = &mut self.upstreams[key];
        upstream.curve = curve;
        upstream.built = now;
    }

    /// Predicted memory of the own requests on an upstream.
    pub(crate) fn own_curve(&self, upstream: &Upstream) -> MemoryForecast {
        let mut curve = MemoryForecast::default();
        for own in &upstream.own {
            let open = &self.open[*own];
            curve.add(&open.curve(self.lengths.table(open.group)));
        }
        curve
    }

    fn refresh_residual(&mut self, key: carob_base::ServiceKey, now: Time) {
        let service = &mut self.services[key];
        if service
            .residual_at
            .is_some_and(|at| now.since(at) < RESIDUAL_AFTER)
        {
            return;
        }
        service.residual_at = Some(now);
        service.residual = residual_survival(self.lengths.service_table(key));
    }

    /// Puts the request onto the chosen upstream.
    pub(crate) fn attach(&mut self, key: RequestKey, chosen: &Chosen, now: Time) {
        let open = &mut self.open[key];
        open.phase = Phase::Running {
            upstream: chosen.upstream,
            placed: now,
            moved: now,
        };
        let curve = open.curve(self.lengths.table(open.group));
        let upstream = &mut self.upstreams[chosen.upstream];
        upstream.own.push(key);
        upstream.curve.add(&curve);
        upstream.breaker.sent();
        if open.exclusive {
            upstream.sealed = Some(key);
        }
        self.prefixes.insert(chosen.upstream, &open.prefix);
    }
}

fn jitter(upstream: &Upstream, now: Time) -> f32 {
    let age = upstream
        .seen
        .as_ref()
        .map_or(0.0, |seen| now.since(seen.sampled).as_secs_f32());
    (JITTER + JITTER_GROWTH * age).min(JITTER_LIMIT)
}

fn reason(want: &Want<'_>, upstream: &Upstream, figures: &Figures, counts: (u16, u16)) -> Reason {
    let choice = match (upstream.breaker.state(), want.service.kind) {
        (State::Open(_), _) => Choice::Probe,
        _ if !figures.fits => Choice::Overcommitted,
        (_, Kind::Plain) => Choice::LeastBusy,
        _ if want.open.exclusive => Choice::Exclusive,
        _ => Choice::Fits,
    };
    Reason {
        choice,
        considered: counts.0,
        fitting: counts.1,
        peak: figures.peak as u32,
        memory: upstream.memory,
        margin: (figures.caution * 100.0) as u16,
        batch: figures.batch as u32,
        expected: want.open.expected,
        cached: (figures.cached * 100.0) as u8,
        locality: upstream.locality,
        waited: want.now.since(want.open.submitted),
    }
}
