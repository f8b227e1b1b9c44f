//! Which beginnings of prompts upstreams are likely to have cached, and what that saves a request.
//!
//! An engine does not prefill a part of a prompt again that it has cached, if it has all parts before it too. What it has
//! is inferred from the prompts that were sent to it, by this instance and as others tell. Engines do not confirm it, so
//! that it counts for less than everything that is known for sure: see docs/design/prefixes.md.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use carob_base::Time;
use slotmap::SecondaryMap;
use smallvec::SmallVec;

use super::{
    Fleet, RequestSize, Requirements, Upstream, UpstreamKey,
    place::{PREFILL_SHARE, REGION_PENALTY},
};
use crate::head::{MAX_PARTS, PromptPart};

/// How long an upstream with enough free memory is expected to keep a part that is not used.
///
/// An engine of the deployments gets 1.24 prompts a second of 2,500 tokens each and so writes 3,100 tokens a second; half
/// of its memory, 13,440 tokens, is overwritten after 4.3 s.
const RETENTION: Duration = Duration::from_secs(5);

/// Share of an engine's memory that must be free for parts to be kept for [`RETENTION`]. With less, they are kept for
/// proportionally less time, since they yield to running requests.
const AMPLE_FREE: f64 = 0.5;

/// Maximum number of parts per upstream; the least recently used ones are dropped.
const UPSTREAM_PARTS: usize = 256;

/// Maximum number of parts at all upstreams together, which take about 1 MB. Instances have 88 MB and more.
const TOTAL_PARTS: usize = 16_384;

/// Bytes that a part takes: id and times in a hash table that is half full.
const PART_MEMORY: usize = 64;

/// Minimum time between two searches of all upstreams for parts to drop.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Other instances are told again that an upstream has a part when they last heard of it this long ago.
const REFRESH: Duration = Duration::from_millis(2_500);

/// Maximum number of prompts that other instances are still to be told of; the oldest are dropped.
const MAX_UNTOLD: usize = 64;

/// Maximum number of parts of a prompt that are told, the first ones; so that they fit into [`MIN_SAVED_BYTES`].
const MAX_TOLD_PARTS: usize = 8;

/// Number of messages that tell of a prompt, if the allowance suffices.
const MAX_TELLS: u8 = 2;

/// Bytes that all instances together send to each one in a second: two fifths of the 5 KB that control may use. All
/// prompts of 66 instances with 70 requests a second take 1.5 KB.
const BYTES_PER_SECOND: f64 = 2_048.0;

/// Bytes that an instance may always save up, so that its share suffices for a prompt of several parts some time.
const MIN_SAVED_BYTES: f64 = 64.0;

/// Maximum number of bytes in one message.
const MAX_MESSAGE_BYTES: f64 = 512.0;

/// Bytes of a report without its parts, and of each part.
const REPORT_BYTES: usize = 14;
const PART_BYTES: usize = 4;

/// Maximum number of reports that are taken from one message.
const MAX_REPORTS: usize = 64;

/// Divisor of a request's prefill: saved tokens count up to that share of it, in the choice of an upstream and in the
/// prefill that is expected there.
///
/// If nothing is cached after all, the pending prefill of an engine is 4/3 of what is expected. Urgent requests have their
/// first event within 1 s with 4,400 pending tokens ahead of them; 1,470 more take 105 ms, well within their target of 1.5 s.
const MAX_SAVED_DIVISOR: u64 = 4;

/// Beginning of a prompt that an upstream is likely to have cached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldPrefix {
    /// Tokens that it does not prefill again; at most the request's prefill.
    pub tokens: u64,
    /// Number of parts.
    pub parts: usize,
    /// Time since the part was used that has not been used for longest.
    pub age: Duration,
}

/// Parts of a prompt that an upstream got lately, as instances tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixReport {
    /// [`Fleet::upstream_hash`] of the upstream.
    pub upstream_hash: u64,
    /// [`PromptPart::id`]s.
    pub parts: SmallVec<[u32; 4]>,
}

/// A part that an upstream is likely to have cached.
#[derive(Clone, Copy, Debug)]
struct Held {
    /// When a prompt with it was last sent there.
    used: Time,
    /// When other instances last learned that.
    told: Option<Time>,
}

/// A prompt that other instances are to be told of.
#[derive(Clone, Debug)]
struct Untold {
    upstream: UpstreamKey,
    parts: SmallVec<[u32; 4]>,
    at: Time,
    /// Number of messages that have told of it. A complete message repeats it once, since the first one may be lost.
    tells: u8,
}

/// Parts of one upstream, by their ids.
type Cache = HashMap<u32, Held>;

/// Parts by upstream.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    caches: SecondaryMap<UpstreamKey, Cache>,
    /// Number of parts in all of `caches`.
    total: usize,
    pruned_at: Time,
    untold: VecDeque<Untold>,
    /// Bytes that may be sent now.
    allowance: f64,
    allowed_at: Time,
}

impl Prefixes {
    fn has(&self, key: UpstreamKey, id: u32) -> bool {
        self.caches.get(key).is_some_and(|cache| cache.contains_key(&id))
    }

    /// Finds the beginning of `prompt` whose parts the upstream has used within `retention`.
    fn find(&self, key: UpstreamKey, prompt: &[PromptPart], retention: Duration, now: Time) -> HeldPrefix {
        let mut found = HeldPrefix::default();
        let Some(cache) = self.caches.get(key) else {
            return found;
        };
        for part in prompt {
            let age = cache.get(&part.id).map(|held| now.since(held.used));
            let Some(age) = age.filter(|age| *age < retention) else {
                break;
            };
            found.tokens += u64::from(part.tokens);
            found.parts += 1;
            found.age = found.age.max(age);
        }
        found
    }

    /// Records the use of a part; returns whether other instances are to be told of it.
    fn record(&mut self, key: UpstreamKey, id: u32, is_told: bool, now: Time) -> bool {
        if let Some(cache) = self.caches.get_mut(key) {
            if let Some(held) = cache.get_mut(&id) {
                held.used = now;
                if is_told {
                    held.told = Some(now);
                }
                return held.told.is_none_or(|told| now.since(told) >= REFRESH);
            }
            if cache.len() >= UPSTREAM_PARTS {
                self.total -= drop_oldest(cache, now);
            }
        }
        if self.total >= TOTAL_PARTS {
            if now.since(self.pruned_at) >= PRUNE_INTERVAL {
                self.evict_stale(|_| true, now);
            }
            if self.total >= TOTAL_PARTS {
                return false;
            }
        }
        let told = is_told.then_some(now);
        if let Some(cache) = self.caches.entry(key) {
            cache.or_default().insert(id, Held { used: now, told });
            self.total += 1;
        }
        true
    }

    /// Drops the parts of upstreams that are not known any more, and those that are not expected to be cached.
    pub(super) fn evict_stale(&mut self, is_known: impl Fn(UpstreamKey) -> bool, now: Time) {
        self.pruned_at = now;
        self.caches.retain(|key, cache| {
            cache.retain(|_, held| now.since(held.used) < RETENTION);
            is_known(key) && !cache.is_empty()
        });
        self.total = self.caches.values().map(HashMap::len).sum();
    }

    /// Adds what may be sent since the last call to the allowance, with `peers` other instances.
    fn refill(&mut self, peers: usize, now: Time) {
        let rate = BYTES_PER_SECOND / peers.max(1) as f64;
        let most = rate.clamp(MIN_SAVED_BYTES, MAX_MESSAGE_BYTES);
        let passed = now.since(self.allowed_at).as_secs_f64();
        self.allowance = (self.allowance + rate * passed).min(most);
        self.allowed_at = now;
    }

    /// Takes the prompts to be told of in a message, the newest first, as far as the allowance reaches. A `complete`
    /// message repeats those of earlier messages.
    fn take_untold(&mut self, complete: bool, now: Time) -> Vec<Untold> {
        self.untold.retain(|prompt| now.since(prompt.at) < REFRESH);
        let news = (0..self.untold.len())
            .rev()
            .filter(|index| self.untold[*index].tells == 0);
        let repeats = (0..self.untold.len())
            .rev()
            .filter(|index| complete && self.untold[*index].tells > 0);
        let order: Vec<usize> = news.chain(repeats).collect();
        let mut taken = Vec::new();
        for index in order {
            let prompt = &mut self.untold[index];
            let bytes = (REPORT_BYTES + PART_BYTES * prompt.parts.len()) as f64;
            if bytes <= self.allowance {
                self.allowance -= bytes;
                prompt.tells += 1;
                taken.push(prompt.clone());
            }
        }
        self.untold.retain(|prompt| prompt.tells < MAX_TELLS);
        taken
    }
}

/// Drops parts that are not expected to be cached any more, and a quarter of [`UPSTREAM_PARTS`] if they are too few;
/// returns their number.
fn drop_oldest(cache: &mut Cache, now: Time) -> usize {
    let before = cache.len();
    cache.retain(|_, held| now.since(held.used) < RETENTION);
    if cache.len() > UPSTREAM_PARTS * 3 / 4 {
        let mut times: Vec<Time> = cache.values().map(|held| held.used).collect();
        let (_, limit, _) = times.select_nth_unstable(UPSTREAM_PARTS / 4);
        let limit = *limit;
        cache.retain(|_, held| held.used > limit);
    }
    before - cache.len()
}

/// How long an upstream is expected to keep unused parts, with `capacity` tokens of memory.
fn retention(upstream: &Upstream, capacity: u64) -> Duration {
    let free = 1.0 - upstream.expected_tokens() as f64 / capacity.max(1) as f64;
    RETENTION.mul_f64((free / AMPLE_FREE).clamp(0.0, 1.0))
}

impl Fleet {
    /// Records that a request with this prompt is sent to `upstream`.
    pub fn record_prompt(&mut self, upstream: UpstreamKey, prompt: &[PromptPart], now: Time) {
        if !self.upstreams.contains_key(upstream) {
            return;
        }
        let mut untold = SmallVec::new();
        for part in prompt {
            let is_news = self.prefixes.record(upstream, part.id, false, now);
            if is_news && untold.len() < MAX_TOLD_PARTS {
                untold.push(part.id);
            }
        }
        if untold.is_empty() {
            return;
        }
        let waiting = &mut self.prefixes.untold;
        if waiting.len() >= MAX_UNTOLD {
            waiting.pop_front();
        }
        waiting.push_back(Untold {
            upstream,
            parts: untold,
            at: now,
            tells: 0,
        });
    }

    /// The beginning of the request's prompt that `upstream` is likely to have cached.
    pub fn held_prefix(&self, upstream: UpstreamKey, requirements: &Requirements, now: Time) -> HeldPrefix {
        let prompt = &requirements.prompt;
        // Most upstreams do not have the first part, and this is asked of all for every request.
        let known = prompt
            .first()
            .filter(|part| self.prefixes.has(upstream, part.id))
            .and_then(|_| self.upstreams.get(upstream));
        let Some(known) = known else {
            return HeldPrefix::default();
        };
        let retention = retention(known, requirements.capacity);
        let mut held = self.prefixes.find(upstream, prompt, retention, now);
        // Clients declare the tokens of parts as they like.
        held.tokens = held.tokens.min(requirements.size.prefill);
        held
    }

    /// Size that the request is expected to have at `upstream`, which need not prefill what it has cached.
    pub fn expected_size(
        &self,
        upstream: UpstreamKey,
        requirements: &Requirements,
        now: Time,
    ) -> RequestSize {
        let size = requirements.size;
        RequestSize {
            prefill: size.prefill - self.counted_tokens(upstream, requirements, now),
            ..size
        }
    }

    /// Saved tokens that count in decisions.
    fn counted_tokens(&self, upstream: UpstreamKey, requirements: &Requirements, now: Time) -> u64 {
        let held = self.held_prefix(upstream, requirements, now);
        held.tokens.min(requirements.size.prefill / MAX_SAVED_DIVISOR)
    }

    /// Load that the request does not cause at `upstream` since the beginning of its prompt is likely to be cached there:
    /// as much as so many pending prefill tokens.
    ///
    /// Of the penalty for another region, whose traffic is paid for, or for a way through another instance, at least half
    /// is left.
    pub(super) fn saved_load(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        requirements: &Requirements,
        now: Time,
    ) -> f64 {
        if requirements.prompt.is_empty() || requirements.capacity == 0 {
            return 0.0;
        }
        let saved = self.counted_tokens(key, requirements, now);
        if saved == 0 {
            return 0.0;
        }
        let load = saved as f64 / (requirements.capacity as f64 * PREFILL_SHARE);
        let is_far =
            upstream.link.is_lost() || self.distance_penalty(&upstream.entry.domain) >= REGION_PENALTY;
        if is_far {
            load.min(REGION_PENALTY / 2.0)
        } else {
            load
        }
    }

    /// Takes what `peers` other instances are to be told in the next message. A `complete` message repeats what earlier
    /// ones told.
    pub fn take_prefix_reports(&mut self, peers: usize, complete: bool, now: Time) -> Vec<PrefixReport> {
        self.prefixes.refill(peers, now);
        let mut reports = Vec::new();
        for prompt in self.prefixes.take_untold(complete, now) {
            let Some(upstream) = self.upstreams.get(prompt.upstream) else {
                continue;
            };
            if let Some(cache) = self.prefixes.caches.get_mut(prompt.upstream) {
                for id in &prompt.parts {
                    cache.entry(*id).and_modify(|held| held.told = Some(now));
                }
            }
            reports.push(PrefixReport {
                upstream_hash: upstream.hash(),
                parts: prompt.parts,
            });
        }
        reports
    }

    /// Records what another instance tells. Upstreams that are not known here are ignored.
    pub fn merge_prefix_reports(&mut self, reports: &[PrefixReport], now: Time) {
        for report in reports.iter().take(MAX_REPORTS) {
            let Some(key) = self.find_hash(report.upstream_hash) else {
                continue;
            };
            for id in report.parts.iter().take(MAX_PARTS) {
                self.prefixes.record(key, *id, true, now);
            }
        }
    }

    /// Number of parts that upstreams are expected to have cached.
    pub const fn prefix_parts(&self) -> usize {
        self.prefixes.total
    }

    /// Memory in bytes that these parts take here.
    pub const fn prefix_bytes(&self) -> usize {
        self.prefixes.total * PART_MEMORY
    }
}
