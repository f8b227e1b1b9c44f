//! How fast upstreams work, learned from the answers that pass.
//!
//! The pace of an engine is the time of one event while one request runs, that of a plain upstream the duration of a
//! call. An instance sees few answers of each upstream, so it also uses what others have learned. Placement multiplies
//! the load of an upstream, the new request included, by its pace relative to the median of its service. Requests then
//! go where their callers, and those of requests that already run there, wait least.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use carob_base::Time;

use super::{
    Fleet, RequestSize, Requirements, Upstream, UpstreamKey, UpstreamState,
    engine::{CHUNK_TOKENS, PREFILL_RATE, REQUEST_STEP_MS, STEP_MS},
};

mod estimate;

pub(super) use estimate::Pace;
use estimate::{Estimate, KNOWN_WEIGHT, MAX_AGE, MIN_TOLD};

/// Prompt tokens taken for one prompt when pending tokens are counted in prompts; those of the deployments have 2,200 and
/// 3,000.
const PROMPT_TOKENS: f64 = 2_600.0;

/// Maximum number of estimates in one message: 64 take 2 KB.
pub const MAX_REPORTS: usize = 64;

/// Weight with which a pace has half of its effect.
const HALF_WEIGHT: f64 = 0.5;

/// Paces within a quarter of the median count as equal.
const EQUAL_BAND: f64 = 0.25;

/// Relative paces of a fast and a slow upstream ([`FAST_QUANTILE`], [`SLOW_QUANTILE`]) beyond which the paces of a service
/// differ. The fast engines of the deployments are at 0.46.
const MIXED_FAST: f64 = 0.7;
const MIXED_SLOW: f64 = 1.5;

/// Bounds of a relative pace: a faulty estimate must neither draw nor repel all requests. The lower one is a little below
/// the ratio of the fastest to the median in the deployments.
const MIN_FACTOR: f64 = 0.4;
const MAX_FACTOR: f64 = 4.0;

/// Relative pace of an upstream of unknown pace while it has nothing to do, if those of its service differ: a little
/// better than the median, so that its pace is learned soon.
const UNKNOWN_FACTOR: f64 = 0.9;

/// Upper bound of a random load added to each upstream if the paces of its service differ. Otherwise the few fast ones are
/// the best choice of all instances at the same time, before they hear of each other's requests. A prompt that is pending
/// at a fast engine weighs three times as much.
const MIXED_SPREAD: f64 = 0.1;

/// The same for an upstream of unknown pace, which is the best choice of many while it is empty.
const UNKNOWN_SPREAD: f64 = 0.5;

/// Share of a service's upstreams that are faster than what counts as a fast one.
const FAST_QUANTILE: f64 = 0.1;

/// Share of a service's upstreams that are faster than what counts as a slow one. None counts as slower: prompts that an
/// instance does not know of make some engines look up to three times as slow as they are, also after those prompts.
const SLOW_QUANTILE: f64 = 0.85;

/// Instances in other regions are told again of a pace that has not changed at an interval of so much for each of them, so
/// that what that takes does not grow with their number: 64 paces make 56 KB a second.
///
/// With 56 of them it is 1.4 s, with 200 it is 5 s, in which an estimate loses 3/10 of its weight. They need to know, since
/// requests restricted to a region come from instances in all of them.
const GLOBAL_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum time between two evaluations of the paces of all upstreams. Messages of hundreds of instances would otherwise
/// each cause one.
const REFRESH_INTERVAL: Duration = Duration::from_millis(30);

/// What one instance has learned of an upstream's pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceReport {
    /// [`Fleet::upstream_hash`] of the upstream.
    pub upstream_hash: u64,
    /// Milliseconds for one event while one request runs, or for one plain call.
    pub pace_ms: f64,
    /// Number of samples that it rests on.
    pub observations: u32,
    /// Time since the last one.
    pub age: Duration,
    /// Whether instances in other regions are told as well.
    pub is_global: bool,
}

/// An upstream's pace as all instances together know it, for log lines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownPace {
    /// Milliseconds for one event while one request runs, or for one plain call.
    pub pace_ms: f64,
    /// Number of samples, weighted by their age.
    pub weight: f64,
    /// Samples of this instance alone.
    pub own: u32,
    /// Time since the latest sample.
    pub age: Duration,
    /// Relative to the median of its service; 1 if it is about that.
    pub factor: f64,
}

/// Paces of a service's upstreams, and relative to their median, as placement uses them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceRange {
    /// Number of upstreams whose pace is known.
    pub known: usize,
    /// Pace of the fastest of them, in milliseconds; infinite if there is none.
    pub least_ms: f64,
    /// Pace of the slowest of them, in milliseconds; zero if there is none.
    pub most_ms: f64,
    /// Least of them, 1 at most.
    pub fastest: f64,
    /// Greatest of them, 1 at least.
    pub slowest: f64,
}

carob_base::plain! {
    /// Load of an engine when a request was sent to it, by which the time to its first event is judged.
    pub struct SentLoad {
        /// Prompt tokens that were not prefilled, those of the request included.
        pub prefill: u64,
        /// Requests that ran, this one included.
        pub requests: u32,
    }
}

/// Time of a step of an engine with `requests` running and `prompts` being prefilled between steps, relative to that with
/// one request.
fn step_ratio(requests: u32, prompts: f64) -> f64 {
    let chunk = CHUNK_TOKENS / PREFILL_RATE;
    (STEP_MS + REQUEST_STEP_MS * f64::from(requests) + chunk * prompts) / (STEP_MS + REQUEST_STEP_MS)
}

/// Paces of a service's upstreams.
struct Summary {
    median: f64,
    /// Relative pace of the slow ones.
    slow: f64,
    /// Whether paces differ.
    is_mixed: bool,
}

impl Summary {
    /// Summarises paces; `None` of fewer than two, which cannot be compared.
    fn new(mut paces: Vec<f64>) -> Option<Self> {
        if paces.len() < 2 {
            return None;
        }
        paces.sort_unstable_by(f64::total_cmp);
        let last = paces.len() - 1;
        let at = |share: f64| paces[(last as f64 * share).round() as usize];
        let median = paces[last / 2];
        let slow = at(SLOW_QUANTILE) / median;
        // Rounded down, so that one of a few fast upstreams counts.
        let fast = paces[(last as f64 * FAST_QUANTILE) as usize] / median;
        Some(Self {
            median,
            slow: slow.clamp(1.0, MAX_FACTOR),
            is_mixed: slow > MIXED_SLOW || fast < MIXED_FAST,
        })
    }

    /// Relative pace of an upstream while it has nothing pending, and while it has.
    fn factors(&self, known: Option<(f64, f64)>) -> (f64, f64) {
        if !self.is_mixed {
            return (1.0, 1.0);
        }
        let Some((ms, weight)) = known.filter(|(_, weight)| *weight >= KNOWN_WEIGHT) else {
            return (UNKNOWN_FACTOR, self.slow);
        };
        let confidence = weight / (weight + HALF_WEIGHT);
        let factor = 1.0 + (ms / self.median - 1.0) * confidence;
        let factor = if (factor - 1.0).abs() < EQUAL_BAND {
            1.0
        } else {
            factor.clamp(MIN_FACTOR, self.slow)
        };
        (factor, factor)
    }
}

impl Fleet {
    /// Records that an engine's event came `gap` after the one before it. Returns whether other instances should learn
    /// of the estimate at once.
    pub fn record_gap(&mut self, key: UpstreamKey, gap: Duration, now: Time) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        // The time of pending prompts is not subtracted: they may be prefilled already, and a slow engine would look fast
        // while it is loaded, and so draw more load.
        let is_clean = upstream.pending_prefill() == 0;
        let ratio = step_ratio(upstream.total_requests(), 0.0);
        let is_news = upstream.pace.add(gap.as_secs_f64() * 1e3 / ratio, is_clean, now);
        self.refresh_paces(now);
        is_news
    }

    /// Records that the first event of a request came `elapsed` after it was sent to an engine whose load was `sent`; an
    /// event holds `event_tokens`. Says nothing if other prompts were ahead, since how much of them was prefilled by then
    /// is not known. Returns whether other instances should learn of the estimate at once.
    pub fn record_first_event(
        &mut self,
        key: UpstreamKey,
        elapsed: Duration,
        (size, sent, event_tokens): (RequestSize, SentLoad, u32),
        now: Time,
    ) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        if size.prefill == 0 || sent.prefill > size.prefill || event_tokens == 0 {
            return false;
        }
        let step = (STEP_MS + REQUEST_STEP_MS) * step_ratio(sent.requests, 0.0);
        let chunks = size.prefill as f64 / CHUNK_TOKENS;
        let steps = if sent.requests > 1 { chunks } else { 0.0 } + f64::from(event_tokens);
        let nominal = size.prefill as f64 / PREFILL_RATE + steps * step;
        let event = f64::from(event_tokens) * (STEP_MS + REQUEST_STEP_MS);
        let pace = elapsed.as_secs_f64() * 1e3 * event / nominal;
        let is_news = upstream.pace.add(pace, false, now);
        self.refresh_paces(now);
        is_news
    }

    /// Records the duration of a call at a plain upstream. Returns whether other instances should learn of the estimate
    /// at once.
    pub fn record_call(&mut self, key: UpstreamKey, duration: Duration, now: Time) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        // Calls beyond the slots wait inside the upstream.
        let slots = f64::from(upstream.entry.slots.max(1));
        let rounds = (f64::from(upstream.total_requests()) / slots).max(1.0);
        let is_news = upstream
            .pace
            .add(duration.as_secs_f64() * 1e3 / rounds, true, now);
        self.refresh_paces(now);
        is_news
    }

    /// Applies what the instance at `peer` has learned. What concerns unknown upstreams is ignored.
    pub fn apply_pace_reports(&mut self, peer: SocketAddr, reports: &[PaceReport], now: Time) {
        for report in reports.iter().take(MAX_REPORTS) {
            let is_sound = report.pace_ms.is_finite() && report.pace_ms > 0.0 && report.observations > 0;
            let key = self.find_hash(report.upstream_hash);
            if let Some(upstream) = key.and_then(|key| self.upstreams.get_mut(key))
                && is_sound
                && report.age < MAX_AGE
            {
                let estimate = Estimate {
                    ms: report.pace_ms,
                    observations: report.observations,
                    at: now - report.age,
                };
                upstream.pace.merge(peer, estimate);
            }
        }
        self.refresh_paces(now);
    }

    /// What this instance has learned that others lack, for a message to them; all that it has learned lately if
    /// `complete`, the latest first.
    pub fn take_pace_reports(&mut self, complete: bool, remote: u32, now: Time) -> Vec<PaceReport> {
        let mut reports = Vec::new();
        for upstream in self.upstreams.values_mut() {
            let hash = upstream.hash();
            let Some(own) = upstream
                .pace
                .own
                .filter(|own| own.observations >= MIN_TOLD && now.since(own.at) < MAX_AGE)
            else {
                continue;
            };
            let is_news = upstream.pace.is_news(now);
            if upstream.entry.state == UpstreamState::Ready && (complete || is_news) {
                let pace = &mut upstream.pace;
                let is_due = pace
                    .told_globally
                    .is_none_or(|at| now.since(at) >= GLOBAL_INTERVAL * remote);
                if is_news || is_due {
                    pace.told_globally = Some(now);
                }
                pace.told = Some(own);
                reports.push(PaceReport {
                    upstream_hash: hash,
                    pace_ms: own.ms,
                    observations: own.observations,
                    age: now.since(own.at),
                    is_global: is_news || is_due,
                });
            }
        }
        reports.sort_unstable_by_key(|report| report.age);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// What is known of an upstream's pace; `None` if that is nothing.
    pub fn known_pace(&self, key: UpstreamKey, now: Time) -> Option<KnownPace> {
        let pace = &self.upstreams.get(key)?.pace;
        let (pace_ms, weight) = pace.combine(now)?;
        let others = pace.others.iter().map(|(_, other)| other);
        let latest = others.chain(&pace.own).map(|estimate| estimate.at).max()?;
        Some(KnownPace {
            pace_ms,
            weight,
            own: pace.own.map_or(0, |own| own.observations),
            age: now.since(latest),
            factor: pace.idle_factor,
        })
    }

    /// Paces of a service's upstreams, as placement uses them.
    pub fn pace_range(&self, service: &str) -> PaceRange {
        let upstreams = self.upstreams.values();
        let used = upstreams.filter(|upstream| {
            *upstream.entry.service == *service && upstream.entry.state == UpstreamState::Ready
        });
        let empty = PaceRange {
            known: 0,
            least_ms: f64::INFINITY,
            most_ms: 0.0,
            fastest: 1.0,
            slowest: 1.0,
        };
        used.filter_map(|upstream| Some((upstream.pace.known_ms()?, upstream.pace.idle_factor)))
            .fold(empty, |range, (ms, factor)| PaceRange {
                known: range.known + 1,
                least_ms: range.least_ms.min(ms),
                most_ms: range.most_ms.max(ms),
                fastest: range.fastest.min(factor),
                slowest: range.slowest.max(factor),
            })
    }

    /// Whether an upstream is in the region of this instance.
    pub fn is_same_region(&self, key: UpstreamKey) -> bool {
        let domain = self.upstreams.get(key).map(|upstream| &upstream.entry.domain);
        domain.is_some_and(|domain| {
            *domain == self.topology.domain || {
                let region = self.region(domain);
                region.is_some() && region == self.region(&self.topology.domain)
            }
        })
    }

    /// Evaluates the paces of all upstreams, unless that was done just before.
    pub(super) fn refresh_paces(&mut self, now: Time) {
        if now.since(self.paces_at) < REFRESH_INTERVAL && self.paces_at > Time::ZERO {
            return;
        }
        self.paces_at = now;
        let mut upstreams = self.upstreams.values();
        if !upstreams.any(|upstream| upstream.pace.needs_refresh()) {
            return;
        }
        let mut known: HashMap<Box<str>, Vec<f64>> = HashMap::new();
        for upstream in self.upstreams.values_mut() {
            upstream.pace.combined = upstream.pace.combine(now);
            if upstream.entry.state == UpstreamState::Ready
                && let Some(ms) = upstream.pace.known_ms()
            {
                match known.get_mut(&upstream.entry.service) {
                    Some(paces) => paces.push(ms),
                    None => drop(known.insert(upstream.entry.service.clone(), vec![ms])),
                }
            }
        }
        let summaries: HashMap<Box<str>, Summary> = known
            .into_iter()
            .filter_map(|(service, paces)| Some((service, Summary::new(paces)?)))
            .collect();
        for upstream in self.upstreams.values_mut() {
            let summary = summaries.get(&upstream.entry.service);
            let pace = &mut upstream.pace;
            (pace.idle_factor, pace.busy_factor) =
                summary.map_or((1.0, 1.0), |summary| summary.factors(pace.combined));
            pace.spread = match summary.filter(|summary| summary.is_mixed) {
                Some(_) if pace.known_ms().is_none() => UNKNOWN_SPREAD,
                Some(_) => MIXED_SPREAD,
                None => 0.0,
            };
            pace.median = summary.map(|summary| summary.median);
        }
    }
}

/// Expected gap between two events of an engine after it gets a request; `None` if its pace is unknown.
pub(super) fn expected_gap(upstream: &Upstream) -> Option<Duration> {
    let ms = upstream.pace.known_ms()?;
    let prompts = (upstream.pending_prefill() as f64 / PROMPT_TOKENS).ceil();
    let ratio = step_ratio(upstream.total_requests() + 1, prompts);
    Duration::try_from_secs_f64(ms * ratio / 1e3).ok()
}

/// Whether the paces of the upstream's service differ, so that they are weighed at all.
pub(super) const fn differs(upstream: &Upstream) -> bool {
    upstream.pace.spread() > 0.0
}

/// Relative pace of an upstream for a request.
///
/// One of unknown pace gets its first request at about the median pace. While it is busy it counts as a slow one, so
/// that it does not get more than others before its pace is known. Plain calls are weighed by the root of the pace:
/// their durations also depend on what is called.
pub(super) fn factor(upstream: &Upstream, requirements: &Requirements) -> f64 {
    let is_plain = requirements.capacity == 0;
    let is_busy = if is_plain {
        upstream.total_requests() > 0
    } else {
        upstream.pending_prefill() > 0
    };
    let factor = if is_busy {
        upstream.pace.busy_factor
    } else {
        upstream.pace.idle_factor
    };
    if is_plain { factor.sqrt() } else { factor }
}
