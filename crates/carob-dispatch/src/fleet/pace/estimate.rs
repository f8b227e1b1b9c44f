//! What one instance knows of one upstream's pace: its own samples, and what others have learned.

use std::{net::SocketAddr, time::Duration};

use carob_base::Time;
use smallvec::SmallVec;

/// Latest samples of an upstream that an instance keeps.
const MAX_SAMPLES: usize = 16;

/// Number of samples during a prefill that count as much as one without. How much a prefill slows events down depends on
/// how many prompts the engine takes at a time, which is not known: they are used only while there are no others.
const UNCLEAN_SHARE: usize = 4;

/// Share of the service's median below which a pace that was seen during prefills counts: since the engine may be faster
/// than that and not slower, other values say nothing.
const FAST_SHARE: f64 = 0.75;

/// Of samples and of sources, the lower quartile is used: prompts that this instance does not know of, and delays on the way,
/// only ever make gaps longer. One in so many lies below.
const LOW_QUANTILE: usize = 4;

/// Samples from which on an instance tells others. The first gap follows a prefill, and a single one may be spoilt by a
/// delay on the way.
pub(super) const MIN_TOLD: u32 = 2;

/// Samples with which an estimate is told again, since it is now hardly affected by a single delay.
const FIRM: u32 = 5;

/// Ratio by which an estimate differs from what others know, so that it is told at once.
const NEWS_RATIO: f64 = 1.15;

/// Number of other instances whose estimates of an upstream are kept; the latest ones are.
const MAX_SOURCES: usize = 8;

/// Time in which an estimate loses half of its weight. Upstreams of the deployments live 3 to 20 s.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Age from which on an estimate is neither used nor told: little more than a tenth of its weight is left.
pub(super) const MAX_AGE: Duration = Duration::from_secs(30);

/// Weight of a single source, in samples, beyond which more samples add none: the delays of one instance may be common
/// to all that it sees.
const MAX_WEIGHT: f64 = 8.0;

/// Weight from which on a pace counts as known: an observation that is one half-life old.
pub(super) const KNOWN_WEIGHT: f64 = 0.5;

/// What one instance knows of one upstream's pace.
#[derive(Clone, Copy, Debug)]
pub(in crate::fleet) struct Estimate {
    pub(super) ms: f64,
    pub(super) observations: u32,
    pub(super) at: Time,
}

impl Estimate {
    /// Samples that the estimate counts for.
    fn weight(&self, now: Time) -> f64 {
        let age = now.since(self.at);
        if age > MAX_AGE {
            return 0.0;
        }
        let decay = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        f64::from(self.observations).min(MAX_WEIGHT) * decay
    }
}

/// Pace of one incarnation of an upstream.
#[derive(Clone, Debug)]
pub(in crate::fleet) struct Pace {
    /// Latest samples of this instance, each with whether no prompt was prefilled meanwhile; the oldest is replaced.
    samples: SmallVec<[(f64, bool); 4]>,
    /// Number of samples so far, which also says which one is replaced next.
    count: u32,
    pub(super) own: Option<Estimate>,
    pub(super) others: SmallVec<[(SocketAddr, Estimate); 2]>,
    /// What the others were told last.
    pub(super) told: Option<Estimate>,
    /// When instances in other regions were told last.
    pub(super) told_globally: Option<Time>,
    /// Median pace of its service, if that is known.
    pub(super) median: Option<f64>,
    /// What all instances together knew when paces were last evaluated: milliseconds, and the weight in samples.
    pub(super) combined: Option<(f64, f64)>,
    /// Relative pace for a request to the upstream while it has nothing pending.
    pub(super) idle_factor: f64,
    /// The same while it has; differs if the pace is unknown.
    pub(super) busy_factor: f64,
    /// Upper bound of the random load that is added to it.
    pub(super) spread: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            samples: SmallVec::new(),
            count: 0,
            own: None,
            others: SmallVec::new(),
            told: None,
            told_globally: None,
            median: None,
            combined: None,
            idle_factor: 1.0,
            busy_factor: 1.0,
            spread: 0.0,
        }
    }
}

impl Pace {
    /// Adds a sample; returns whether other instances should learn of the estimate at once.
    pub(super) fn add(&mut self, ms: f64, is_clean: bool, now: Time) -> bool {
        let is_needed = is_clean || self.values(true).len() < MIN_TOLD as usize;
        if !is_needed || !ms.is_finite() || ms <= 0.0 {
            return false;
        }
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push((ms, is_clean));
        } else {
            self.samples[self.count as usize % MAX_SAMPLES] = (ms, is_clean);
        }
        self.count = self.count.wrapping_add(1);
        self.own = self.estimate(now);
        self.is_news(now)
    }

    /// Upper bound of the random load that is added to the upstream.
    pub(in crate::fleet) const fn spread(&self) -> f64 {
        self.spread
    }

    /// Whether anything was learned, or is in effect.
    pub(super) fn needs_refresh(&self) -> bool {
        self.own.is_some() || !self.others.is_empty() || self.median.is_some()
    }

    /// Pace when paces were last evaluated, if enough was known for it to be compared with others.
    pub(super) fn known_ms(&self) -> Option<f64> {
        let known = self.combined.filter(|(_, weight)| *weight >= KNOWN_WEIGHT);
        known.map(|(ms, _)| ms)
    }

    /// What the samples of this instance show.
    fn estimate(&self, now: Time) -> Option<Estimate> {
        let clean = self.values(true);
        if !clean.is_empty() {
            return Some(Estimate {
                ms: clean[(clean.len() - 1) / LOW_QUANTILE],
                observations: clean.len() as u32,
                at: now,
            });
        }
        let unclean = self.values(false);
        // A first event may come early since parts of the prompt were cached.
        let ms = unclean[(unclean.len() - 1) * (LOW_QUANTILE - 1) / LOW_QUANTILE];
        let is_fast = self.median.is_some_and(|median| ms < median * FAST_SHARE);
        let observations = unclean.len() / UNCLEAN_SHARE;
        (is_fast && observations > 0).then_some(Estimate {
            ms,
            observations: observations as u32,
            at: now,
        })
    }

    /// Sorted samples without a prefill, or with one.
    fn values(&self, is_clean: bool) -> SmallVec<[f64; MAX_SAMPLES]> {
        let kept = self.samples.iter().filter(|(_, clean)| *clean == is_clean);
        let mut values: SmallVec<[f64; MAX_SAMPLES]> = kept.map(|(ms, _)| *ms).collect();
        values.sort_unstable_by(f64::total_cmp);
        values
    }

    /// Whether others should learn of this instance's estimate before the next regular message: if they have none, or
    /// one that differs or rests on less.
    pub(super) fn is_news(&self, now: Time) -> bool {
        let Some(own) = self.own.filter(|own| own.observations >= MIN_TOLD) else {
            return false;
        };
        let differs = |ms: f64| own.ms / ms > NEWS_RATIO || ms / own.ms > NEWS_RATIO;
        if let Some(told) = self.told {
            own.observations >= told.observations + MIN_TOLD
                && (differs(told.ms) || (told.observations < FIRM && own.observations >= FIRM))
        } else {
            let weight: f64 = self.others.iter().map(|(_, other)| other.weight(now)).sum();
            weight < f64::from(FIRM) || self.combine(now).is_none_or(|(ms, _)| differs(ms))
        }
    }

    /// Weighted lower quartile of what all instances know, and its weight.
    pub(super) fn combine(&self, now: Time) -> Option<(f64, f64)> {
        let others = self.others.iter().map(|(_, other)| other);
        let mut known: SmallVec<[(f64, f64); MAX_SOURCES]> = others
            .chain(&self.own)
            .map(|estimate| (estimate.ms, estimate.weight(now)))
            .filter(|(_, weight)| *weight > 0.0)
            .collect();
        known.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let total: f64 = known.iter().map(|(_, weight)| weight).sum();
        let mut below = 0.0;
        let low = known.iter().find(|(_, weight)| {
            below += weight;
            below * LOW_QUANTILE as f64 >= total
        })?;
        Some((low.0, total))
    }

    pub(super) fn merge(&mut self, peer: SocketAddr, estimate: Estimate) {
        if let Some((_, known)) = self.others.iter_mut().find(|(source, _)| *source == peer) {
            *known = estimate;
        } else if self.others.len() < MAX_SOURCES {
            self.others.push((peer, estimate));
        } else if let Some(oldest) = self.others.iter_mut().min_by_key(|(_, known)| known.at)
            && oldest.1.at < estimate.at
        {
            *oldest = (peer, estimate);
        }
    }
}
