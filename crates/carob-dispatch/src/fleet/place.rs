//! Chooses an upstream for a request.
//!
//! A generation holds memory for its prompt and for what it has made until it ends. An engine that runs out of
//! memory takes a running generation's away, which costs its caller a pause and the prompt's time once more. A
//! generation is therefore placed where all that run there are expected to fit to their ends, on the emptiest
//! engine first; where none has room it waits. Plain calls go to the upstream with the fewest for its slots.

use carob_base::Time;
use smallvec::SmallVec;

use super::{Fleet, RequestSize, Upstream, UpstreamKey, UpstreamState};

carob_base::plain! {
    /// What an attempt showed of an upstream.
    pub enum UpstreamHealth {
        /// It answered as it should.
        Healthy,
        /// It failed a request that it had.
        Failing,
        /// No connection came about.
        Unreachable,
    }

    /// Where a request goes.
    pub enum Placement {
        /// To this upstream.
        Upstream(UpstreamKey),
        /// Nowhere yet: every upstream that could take it is full.
        Full,
        /// No upstream of the service is known.
        NoUpstream,
    }
}

/// What a request asks of an upstream.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// Service.
    pub service: Box<str>,
    /// What it takes of an upstream.
    pub size: RequestSize,
    /// Tokens that an engine of the service holds; zero for plain calls.
    pub capacity: u64,
    /// Upstreams that are not to be chosen.
    pub excluded: SmallVec<[UpstreamKey; 4]>,
}

/// Share of an engine's memory that the expected sizes of its generations may fill.
///
/// Generations on one engine end at different times, so that not all are at their full size at once. Source:
/// docs/design/platform.md.
const FILL: f64 = 1.15;

/// Unread prompts, as a share of an engine's memory, that count like a full memory.
///
/// Engines read prompts one after another in chunks between the steps of what they run, so that each prompt ahead
/// delays the first event by its whole reading time. With eight answers to an engine, one prompt counts like
/// three quarters of its memory: prompts are spread first, memory second.
const UNREAD_SHARE: f64 = 0.15;

/// Requests for each slot of a plain upstream, over which more only wait inside it.
const BACKLOG: f64 = 3.0;

/// Share of free memory that even a full target counts with, so that every target has a chance.
const LEAST_FREE: f64 = 0.05;

/// Share of its memory by which a target in the same failure domain may be overcommitted before a move goes farther.
///
/// Sizes are those expected in the end, and copies between domains hold the leaving upstream's link twice as long.
const NEAR_OVERCOMMIT: f64 = 0.25;

/// Load that a distant upstream's advantage must exceed, as a share of its capacity: another failure domain.
const OTHER_DOMAIN: f64 = 0.02;

/// The same for another region.
const OTHER_REGION: f64 = 0.08;

/// Load that decides between upstreams which are about equal: less than a distance counts.
const TURN: f64 = 0.01;

/// Load that an upstream which fails every request seems to have on top, in capacities.
const FAILURE_LOAD: f64 = 3.0;

/// Load that an upstream which could not be reached lately seems to have on top, so that it is taken last.
const AVOIDED_LOAD: f64 = 10.0;

impl Fleet {
    /// Chooses an upstream for `need`, or says why there is none.
    pub fn place(&self, need: &Requirements, now: Time) -> Placement {
        let mut best = None;
        let mut any = false;
        for (key, found) in &self.upstreams {
            if *found.entry.service != *need.service
                || found.entry.state != UpstreamState::Ready
                || need.excluded.contains(&key)
            {
                continue;
            }
            any = true;
            if !fits(found, need) {
                continue;
            }
            let score = self.score(key, found, need, now);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, key));
            }
        }
        match best {
            Some((_, key)) => Placement::Upstream(key),
            None if any => Placement::Full,
            None => Placement::NoUpstream,
        }
    }

    /// Candidates for asking upstreams themselves about their load, by a random draw.
    pub fn sample(&self, need: &Requirements, count: usize, draw: u64) -> SmallVec<[UpstreamKey; 4]> {
        let mut drawn: Vec<(u64, UpstreamKey)> = self
            .upstreams
            .iter()
            .filter(|(key, found)| {
                *found.entry.service == *need.service
                    && found.entry.state == UpstreamState::Ready
                    && !need.excluded.contains(key)
            })
            .map(|(key, _)| {
                let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&draw.to_le_bytes(), self.upstream_hash(key));
                (hash, key)
            })
            .collect();
        drawn.sort_unstable();
        drawn.into_iter().take(count).map(|(_, key)| key).collect()
    }

    /// Chooses among `candidates` by what they said of themselves since `asked`, and by what this instance has
    /// placed on them itself.
    pub fn place_observed(
        &self,
        need: &Requirements,
        candidates: &[UpstreamKey],
        asked: Time,
    ) -> Option<UpstreamKey> {
        let load = |key: &UpstreamKey| {
            let found = self.upstreams.get(*key)?;
            let observed = found.load_report.filter(|observed| observed.at >= asked)?;
            let tokens = observed.used_tokens.max(found.local_tokens) + need.size.tokens;
            let waiting = u64::from(observed.waiting) * need.size.prefill + found.local_prefill;
            Some(tokens as f64 + waiting as f64 / UNREAD_SHARE)
        };
        let loads = candidates.iter().filter_map(|key| Some((load(key)?, *key)));
        loads.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
    }

    /// Chooses where the generation at `from` moves to: an upstream with room in the same failure domain if there
    /// is one, since copies between domains take twice as long.
    ///
    /// All instances learn at the same moment that an upstream leaves. If each took the emptiest target, one target
    /// would be asked for all copies and turn most of them away; so each draws, with chances as the free memory.
    /// `draw` is a random number.
    pub fn migration_target(&self, from: UpstreamKey, need: &Requirements, draw: u64) -> Option<UpstreamKey> {
        let options = self.upstreams.iter().filter(|(key, found)| {
            *key != from
                && *found.entry.service == *need.service
                && found.entry.state == UpstreamState::Ready
                && !need.excluded.contains(key)
        });
        let rank = |key: UpstreamKey, found: &Upstream| {
            let free =
                1.0 - (found.expected_tokens() + need.size.tokens) as f64 / need.capacity.max(1) as f64;
            let tier = match self.same_domain(from, key) {
                true if free > 0.0 => 0,
                true if free > -NEAR_OVERCOMMIT => 1,
                false if free > 0.0 => 2,
                true => 3,
                false => 4,
            };
            (tier, -self.uniform(key, draw).ln() / free.max(LEAST_FREE))
        };
        options
            .map(|(key, found)| (rank(key, found), key))
            .min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, key)| key)
    }

    /// Whether two upstreams are in one failure domain.
    pub fn same_domain(&self, one: UpstreamKey, other: UpstreamKey) -> bool {
        let domain = |key| self.upstreams.get(key).map(|found| &found.entry.domain);
        domain(one) == domain(other)
    }

    /// The share of the service's upstreams' memory or slots that is taken, from 0; above 1 when overcommitted.
    pub fn utilization(&self, need: &Requirements) -> f64 {
        let shares = self
            .upstreams
            .values()
            .filter(|found| {
                *found.entry.service == *need.service && found.entry.state == UpstreamState::Ready
            })
            .map(|found| load(found, need));
        let (sum, count) = shares.fold((0.0, 0), |(sum, count), share| (sum + share, count + 1));
        if count == 0 { 1.0 } else { sum / f64::from(count) }
    }

    /// Apparent load; less is better.
    fn score(&self, key: UpstreamKey, found: &Upstream, need: &Requirements, now: Time) -> f64 {
        let avoided = if found.avoid_until > now {
            AVOIDED_LOAD
        } else {
            0.0
        };
        let turn = self.uniform(key, self.tie_seed) * TURN;
        load(found, need)
            + found.failure_rate * FAILURE_LOAD
            + avoided
            + self.distance(&found.entry.domain)
            + turn
    }

    /// A number above 0 and up to 1 for an upstream and a random number.
    fn uniform(&self, key: UpstreamKey, draw: u64) -> f64 {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&draw.to_le_bytes(), self.upstream_hash(key));
        ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64
    }

    fn distance(&self, domain: &str) -> f64 {
        let regions = &self.topology.regions;
        if *domain == *self.topology.domain {
            0.0
        } else if regions.get(domain) == regions.get(&self.topology.domain) {
            OTHER_DOMAIN
        } else {
            OTHER_REGION
        }
    }
}

fn fits(found: &Upstream, need: &Requirements) -> bool {
    let slots = f64::from(found.entry.slots.max(1));
    if need.capacity == 0 {
        return f64::from(found.total_requests()) < slots * BACKLOG;
    }
    // An idle engine takes anything; whether it is larger than the memory is the engine's to say.
    let room = (found.expected_tokens() + need.size.tokens) as f64 <= need.capacity as f64 * FILL;
    found.total_requests() == 0 || (room && f64::from(found.total_requests()) < slots)
}

fn load(found: &Upstream, need: &Requirements) -> f64 {
    if need.capacity == 0 {
        f64::from(found.total_requests()) / f64::from(found.entry.slots.max(1))
    } else {
        let capacity = need.capacity as f64;
        let unread = found.pending_prefill() as f64 / (capacity * UNREAD_SHARE);
        found.expected_tokens() as f64 / capacity + unread
    }
}
