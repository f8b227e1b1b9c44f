//! Chooses an upstream for a request.
//!
//! A generation holds memory for its prompt and its answer until it ends. An engine that runs out of memory
//! preempts a running generation, whose caller sees a stall while the prompt is prefilled again. A generation
//! is therefore placed only on an engine where all running generations are expected to fit until they end, on
//! the emptiest one first; if no engine has room, it is queued. Plain calls go to the upstream with the
//! fewest requests per slot.

use std::time::Duration;

use carob_base::Time;
use smallvec::SmallVec;

use super::{
    Exclusion, Fleet, RequestSize, Upstream, UpstreamKey, UpstreamState, pace, urgency::PatientBound,
};
use crate::{head::PromptPart, limits::Access, regions::Regions};

carob_base::plain! {
    /// Health of an upstream, as the outcome of one forwarded request showed it.
    pub enum UpstreamHealth {
        /// It answered without an error.
        Healthy,
        /// It may have received the request, and answered with an error, not properly or not in time.
        Failing,
        /// No connection was established, or another upstream answered at its address.
        Unreachable,
    }

    /// Result of choosing an upstream.
    pub enum Placement {
        /// The request goes to this upstream.
        Upstream(UpstreamKey),
        /// Every upstream that could run the request is full; it has to be queued.
        Full,
        /// Every ready upstream of the service is excluded, or none is ready.
        NoUpstream,
    }
}

/// What a request requires of an upstream.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// Service that the upstream has to provide.
    pub service: Box<str>,
    /// Capacity that the request takes.
    pub size: RequestSize,
    /// Memory of each engine of the service, in tokens; zero for plain calls.
    pub capacity: u64,
    /// Upstreams that must not be chosen, such as those already tried.
    pub excluded: SmallVec<[UpstreamKey; 4]>,
    /// Regions in which it may run.
    pub regions: Regions,
    /// Longest gap between two events of a stream that is on time; zero if there is no such target.
    pub gap_target: Duration,
    /// Further bounds on the load of an engine; `None` unless the request is patient.
    pub patience: Option<PatientBound>,
    /// Parts of its prompt that other requests may share, which upstreams may have cached; empty if it names none.
    pub prompt: SmallVec<[PromptPart; 4]>,
}

impl Requirements {
    /// Creates the requirements of a request of `size` to `service`, whose engines have memory for `capacity` tokens each;
    /// zero for plain calls. No upstream is excluded.
    pub fn new(service: Box<str>, size: RequestSize, capacity: u64) -> Self {
        Self {
            service,
            size,
            capacity,
            excluded: SmallVec::new(),
            regions: Regions::any(),
            gap_target: Duration::ZERO,
            patience: None,
            prompt: SmallVec::new(),
        }
    }

    /// Bounds the load of engines that a patient request may go to.
    #[must_use]
    pub const fn with_patience(mut self, patience: Option<PatientBound>) -> Self {
        self.patience = patience;
        self
    }

    /// Excludes upstreams.
    #[must_use]
    pub fn with_excluded(mut self, excluded: SmallVec<[UpstreamKey; 4]>) -> Self {
        self.excluded = excluded;
        self
    }

    /// Names the longest gap between two events of a stream that is on time.
    #[must_use]
    pub const fn with_gap_target(mut self, target: Duration) -> Self {
        self.gap_target = target;
        self
    }

    /// Restricts the request to `regions`.
    #[must_use]
    pub fn with_regions(mut self, regions: Regions) -> Self {
        self.regions = regions;
        self
    }

    /// Names the parts of the prompt.
    #[must_use]
    pub fn with_prompt(mut self, prompt: SmallVec<[PromptPart; 4]>) -> Self {
        self.prompt = prompt;
        self
    }
}

/// Maximum sum of the expected sizes of an engine's generations, as a share of its memory.
///
/// It may exceed 1 because generations on one engine end at different times and so do not all have their full
/// size at once. Source: docs/design/platform.md.
const MAX_FILL: f64 = 1.15;

/// Share of an engine's memory: that many prompt tokens not prefilled yet add a load of 1, as a full memory
/// does.
///
/// Engines prefill prompts one after another, in chunks between the decoding steps of running generations, so
/// that each prompt ahead delays the first event by its whole prefill time. With eight generations to an
/// engine, one prompt counts like three quarters of the memory (5/6 at most: 1/8 divided by 0.15, if a
/// generation is all prompt), so pending prompts weigh more than memory in the choice.
pub(super) const PREFILL_SHARE: f64 = 0.15;

/// Maximum number of requests per slot of an upstream for plain calls. Further ones are queued here,
/// since they would only wait inside the upstream.
const MAX_BACKLOG: f64 = 3.0;

/// Minimum share of free memory assumed for a migration target, so that even a full one has a chance in
/// the random choice.
const MIN_FREE: f64 = 0.05;

/// Share of its memory by which a target in the same failure domain may be overcommitted before a generation
/// migrates to another domain.
///
/// Acceptable because the sizes are those expected when generations end; preferable because copies between
/// domains occupy the leaving upstream's link twice as long.
const DOMAIN_OVERCOMMIT: f64 = 0.25;

/// Tier of migration targets in another failure domain with free memory; higher ones are overcommitted.
const FREE_TIER: u8 = 2;

/// Load added to an upstream in another failure domain, as a share of its capacity; to be chosen, its load
/// must be lower by more than this.
const DOMAIN_PENALTY: f64 = 0.02;

/// Load added to an upstream in another region, as a share of its capacity; to be chosen, its load must be
/// lower by more than this.
pub(super) const REGION_PENALTY: f64 = 0.08;

/// Load added to an upstream that is reached through another instance only, as a share of its capacity: the way is
/// longer and takes that instance's time.
const RELAY_PENALTY: f64 = 0.25;

/// Upper bound of the random load that decides between upstreams with about equal load; below
/// [`DOMAIN_PENALTY`], so that it never outweighs the penalties for distance.
const TIE_BREAK: f64 = 0.01;

/// Load added to an upstream that fails every request, as a multiple of its capacity; proportionally less at
/// lower failure rates.
const FAILURE_PENALTY: f64 = 3.0;

/// Load added to an upstream that recently could not be reached, so that it is chosen last.
const UNREACHABLE_PENALTY: f64 = 10.0;

/// Load subtracted from an upstream that names a limit while a permit is about to be void or the limit has to be
/// confirmed, so that it is chosen before others unless it could not be reached lately.
const PERMIT_BONUS: f64 = 8.0;

/// Terms by which an upstream is compared with others, as shares of its capacity. The one with the lowest [`Score::total`]
/// is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Score {
    /// Its load: memory and pending prompts of an engine, requests per slot of a plain upstream.
    pub load: f64,
    /// Added for its pace; negative if it is fast.
    pub pace: f64,
    /// Added for attempts that failed lately.
    pub failures: f64,
    /// Added if it could not be reached just before.
    pub unreachable: f64,
    /// Added if it is reached through another instance only.
    pub relay: f64,
    /// Added if it is in another failure domain or region.
    pub distance: f64,
    /// Random load that spreads requests over equal upstreams.
    pub random: f64,
    /// Subtracted for prompt tokens that it is likely to have cached.
    pub saved: f64,
    /// Subtracted if a permit for it is about to be void, or its limit has to be confirmed.
    pub permit: f64,
}

impl Score {
    /// The score: all terms together.
    pub fn total(&self) -> f64 {
        self.load + self.pace + self.failures + self.unreachable + self.relay + self.distance + self.random
            - self.saved
            - self.permit
    }
}

impl Fleet {
    /// Chooses the upstream with the lowest score, its load plus penalties, among those that have room and, if they name
    /// a limit, a permit.
    pub fn place(&self, requirements: &Requirements, now: Time) -> Placement {
        let mut best = None;
        let mut any_ready = false;
        for (key, upstream) in &self.upstreams {
            match self.evaluate(key, upstream, requirements, now) {
                Ok(score) => {
                    any_ready = true;
                    let score = score.total();
                    if best.is_none_or(|(least, _)| score < least) {
                        best = Some((score, key));
                    }
                }
                Err(exclusion) => any_ready |= !exclusion.is_lasting(),
            }
        }
        match best {
            Some((_, key)) => Placement::Upstream(key),
            None if any_ready => Placement::Full,
            None => Placement::NoUpstream,
        }
    }

    /// Evaluates an upstream for a request, for a placement and for the explanation of one.
    ///
    /// # Errors
    ///
    /// Returns the [`Exclusion`] if the request may not go there now.
    pub(super) fn evaluate(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        requirements: &Requirements,
        now: Time,
    ) -> Result<Score, Exclusion> {
        if let Some(exclusion) = self.lasting_exclusion(key, upstream, requirements) {
            return Err(exclusion);
        }
        let access = self.access(upstream, now);
        if access == Access::Held {
            return Err(self
                .access_exclusion(upstream, now)
                .unwrap_or(Exclusion::NoPermit));
        }
        if !has_room(upstream, requirements) {
            return Err(Exclusion::Full);
        }
        let permit = if access == Access::Preferred {
            PERMIT_BONUS
        } else {
            0.0
        };
        Ok(Score {
            permit,
            ..self.score(key, upstream, requirements, now)
        })
    }

    /// Draws up to `count` ready upstreams at random, to query their load. `draw` is a random number.
    pub fn sample(
        &self,
        requirements: &Requirements,
        count: usize,
        draw: u64,
        now: Time,
    ) -> SmallVec<[UpstreamKey; 4]> {
        let mut drawn: Vec<(u64, UpstreamKey)> = self
            .upstreams
            .iter()
            .filter(|(key, upstream)| {
                self.is_candidate(*key, upstream, requirements) && self.access(upstream, now) != Access::Held
            })
            .map(|(key, _)| {
                let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&draw.to_le_bytes(), self.upstream_hash(key));
                (hash, key)
            })
            .collect();
        drawn.sort_unstable();
        drawn.into_iter().take(count).map(|(_, key)| key).collect()
    }

    /// Chooses among `candidates` by the load that they have reported since `queried_at` and by the requests
    /// that this instance runs on them. Returns `None` if none has reported since.
    pub fn place_observed(
        &self,
        requirements: &Requirements,
        candidates: &[UpstreamKey],
        queried_at: Time,
    ) -> Option<UpstreamKey> {
        let fresh_load = |key: &UpstreamKey| {
            let upstream = self.upstreams.get(*key)?;
            let report = upstream.load_report.filter(|report| report.at >= queried_at)?;
            let tokens = report.used_tokens.max(upstream.local_tokens) + requirements.size.tokens;
            let prefill = u64::from(report.waiting) * requirements.size.prefill + upstream.local_prefill;
            let load = tokens as f64 + prefill as f64 / PREFILL_SHARE;
            Some(load * pace::factor(upstream, requirements))
        };
        let loads = candidates.iter().filter_map(|key| Some((fresh_load(key)?, *key)));
        loads.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
    }

    /// Chooses the target of a migration from `from`: an upstream with room in the same failure domain if
    /// there is one, since copies between domains take twice as long.
    ///
    /// All instances learn at the same moment that an upstream leaves. If each took the emptiest target, one
    /// target would be asked to take all copies and refuse most of them. Each migration therefore draws its
    /// target at random, weighted by free memory and by pace. `draw` is a random number. Targets where the gap between
    /// events would exceed the request's target come last.
    pub fn migration_target(
        &self,
        from: UpstreamKey,
        requirements: &Requirements,
        draw: u64,
        now: Time,
    ) -> Option<UpstreamKey> {
        // An upstream that started again under its address runs there what was sent to it since, and a copy to itself
        // would stop that.
        let address = self.upstreams.get(from).map(|upstream| upstream.entry.address);
        let candidates = self.upstreams.iter().filter(|(key, upstream)| {
            *key != from
                && Some(upstream.entry.address) != address
                && self.is_candidate(*key, upstream, requirements)
                && self.access_when_warm(upstream, now) != Access::Held
        });
        let rank = |key: UpstreamKey, upstream: &Upstream| {
            let free = 1.0
                - (upstream.expected_tokens() + requirements.size.tokens) as f64
                    / requirements.capacity.max(1) as f64;
            // The lowest tier is preferred; within it, the target is drawn.
            let tier = match self.same_domain(from, key) {
                true if free > 0.0 => 0,
                true if free > -DOMAIN_OVERCOMMIT => 1,
                false if free > 0.0 => FREE_TIER,
                true => 3,
                false => 4,
            };
            // A gap that is too long there would harm what runs there as well.
            let is_slow = !requirements.gap_target.is_zero()
                && pace::differs(upstream)
                && pace::expected_gap(upstream).is_some_and(|gap| gap > requirements.gap_target);
            let weight = free.max(MIN_FREE) / pace::factor(upstream, requirements);
            ((is_slow, tier), -self.uniform(key, draw).ln() / weight)
        };
        // Nothing ends a generation in an evacuated failure domain, so it is worth moving to free memory only.
        let worst_tier = if self.is_evacuated(from) && !self.is_leaving(from) {
            FREE_TIER
        } else {
            u8::MAX
        };
        candidates
            .map(|(key, upstream)| (rank(key, upstream), key))
            .filter(|(((_, tier), _), _)| *tier <= worst_tier)
            .min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, key)| key)
    }

    fn is_leaving(&self, key: UpstreamKey) -> bool {
        self.upstreams
            .get(key)
            .is_some_and(|upstream| upstream.leaving_since.is_some())
    }

    /// Whether two upstreams are in the same failure domain.
    pub fn same_domain(&self, one: UpstreamKey, other: UpstreamKey) -> bool {
        let domain = |key| self.upstreams.get(key).map(|upstream| &upstream.entry.domain);
        domain(one) == domain(other)
    }

    /// Mean load of the service's ready upstreams, as a share of their memory or slots; above 1 if
    /// overcommitted, and 1 if there is none.
    pub fn utilization(&self, requirements: &Requirements) -> f64 {
        let shares = self
            .upstreams
            .values()
            .filter(|upstream| {
                *upstream.entry.service == *requirements.service
                    && upstream.entry.state == UpstreamState::Ready
            })
            .map(|upstream| load(upstream, requirements));
        let (sum, count) = shares.fold((0.0, 0), |(sum, count), share| (sum + share, count + 1));
        if count == 0 { 1.0 } else { sum / f64::from(count) }
    }

    /// Load plus penalties, without regard to permits.
    pub(super) fn score(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        requirements: &Requirements,
        now: Time,
    ) -> Score {
        let load = load(upstream, requirements);
        let draw = self.uniform(key, self.tie_seed);
        Score {
            load,
            pace: pace_load(upstream, requirements, load),
            failures: upstream.failure_rate * FAILURE_PENALTY,
            unreachable: if upstream.avoid_until > now {
                UNREACHABLE_PENALTY
            } else {
                0.0
            },
            relay: if upstream.link.is_lost() {
                RELAY_PENALTY
            } else {
                0.0
            },
            distance: self.distance_penalty(&upstream.entry.domain),
            random: draw * (TIE_BREAK + upstream.pace.spread()),
            saved: self.saved_load(key, upstream, requirements, now),
            permit: 0.0,
        }
    }

    /// Hashes an upstream and a random number to a number above 0 and up to 1.
    fn uniform(&self, key: UpstreamKey, draw: u64) -> f64 {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&draw.to_le_bytes(), self.upstream_hash(key));
        ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64
    }

    /// Load added for the distance between this instance and `domain`.
    pub(super) fn distance_penalty(&self, domain: &str) -> f64 {
        let regions = &self.topology.regions;
        if *domain == *self.topology.domain {
            0.0
        } else if regions.get(domain) == regions.get(&self.topology.domain) {
            DOMAIN_PENALTY
        } else {
            REGION_PENALTY
        }
    }
}

/// Whether the upstream can run the request in addition to those that it already runs.
pub(super) fn has_room(upstream: &Upstream, requirements: &Requirements) -> bool {
    if requirements
        .patience
        .is_some_and(|bound| !bound.permits(upstream, requirements))
    {
        return false;
    }
    let slots = f64::from(upstream.entry.slots.max(1));
    if requirements.capacity == 0 {
        return f64::from(upstream.total_requests()) < slots * MAX_BACKLOG;
    }
    // An idle engine gets any request; the engine itself refuses one that exceeds its memory.
    let fits = (upstream.expected_tokens() + requirements.size.tokens) as f64
        <= requirements.capacity as f64 * MAX_FILL;
    upstream.total_requests() == 0 || (fits && f64::from(upstream.total_requests()) < slots)
}

/// Load as a share of capacity, without penalties.
fn load(upstream: &Upstream, requirements: &Requirements) -> f64 {
    if requirements.capacity == 0 {
        f64::from(upstream.total_requests()) / f64::from(upstream.entry.slots.max(1))
    } else {
        let capacity = requirements.capacity as f64;
        let prefill = upstream.pending_prefill() as f64 / (capacity * PREFILL_SHARE);
        upstream.expected_tokens() as f64 / capacity + prefill
    }
}

/// What is added to the [`load`] so that it is as it is felt at the upstream's pace: an upstream that takes twice as long
/// counts as twice as loaded, and the request itself takes twice as long there also if nothing else runs. At the pace of the
/// median it is nothing.
fn pace_load(upstream: &Upstream, requirements: &Requirements, load: f64) -> f64 {
    let size = requirements.size;
    let own = if requirements.capacity == 0 {
        1.0 / f64::from(upstream.entry.slots.max(1))
    } else {
        (size.tokens as f64 + size.prefill as f64 / PREFILL_SHARE) / requirements.capacity as f64
    };
    (pace::factor(upstream, requirements) - 1.0) * (load + own)
}
