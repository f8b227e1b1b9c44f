//! Upstreams that name a limit on the requests that they take, or ask for a pause.

use std::time::Duration;

use carob_base::Time;

use super::{Fleet, Requirements, RunKey, Upstream, UpstreamKey, place::has_room};
use crate::limits::{Access, Limits, Members, Message, Usage};

/// Cold upstreams for which a new request asks for permits at most, since hundreds may be cold at the same time. Those are
/// equal but for the random part of their scores, which differs with each request.
const MAX_WANTED_COLD: usize = 4;

/// A request that no upstream may get at present, since all of its service name limits, are brittle or cold, or ask for a
/// pause.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// The upstream from which most permits are expected, or that can be asked first.
    pub upstream: UpstreamKey,
    /// Time until a request that waits now can expect a permit, or until an upstream can be asked again.
    pub wait: Duration,
    /// Time until the first upstream that asks for a pause can be asked again, if one does.
    pub pause: Option<Duration>,
    /// Whether a permit may come sooner, so that the request is to wait for
    /// [`ASK_TIME`](crate::limits::ASK_TIME), or [`COLD_ASK_TIME`](crate::limits::COLD_ASK_TIME).
    pub may_ask: bool,
}

impl Fleet {
    /// The limits that upstreams name.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The limits that upstreams name, to be changed.
    pub const fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Hands out places at brittle upstreams, or asks for them; see [`Limits::poll_places`].
    pub fn poll_places(&mut self, members: Members<'_>, now: Time) -> (Vec<Message>, u32) {
        let mut limits = std::mem::take(&mut self.limits);
        let polled = limits.poll_places(members, |hash| self.usage(hash), now);
        self.limits = limits;
        polled
    }

    /// What this instance does at the upstream with this hash, and how much that can do.
    pub fn usage(&self, hash: u64) -> Usage {
        let upstream = self.find_hash(hash).and_then(|key| self.upstreams.get(key));
        upstream.map_or(Usage { running: 0, slots: 1 }, |found| Usage {
            running: found.local_requests,
            slots: found.entry.slots,
        })
    }

    /// Sends nothing to an upstream until `until`, since it asked for that; an earlier time changes nothing.
    pub fn pause(&mut self, key: UpstreamKey, until: Time) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.paused_until = upstream.paused_until.max(until);
        }
    }

    /// Takes a permit for a request whose capacity has been taken, if its upstream names a limit. Without
    /// [`Self::record_sent`] the permit is given back when the request ends.
    pub fn take_permit(&mut self, run: RunKey, now: Time) {
        if self.limits.is_empty() && self.cold.is_empty() {
            return;
        }
        let Some(running) = self.runs.get_mut(run) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get(running.upstream) {
            running.permit = self.limits.take_permit(upstream.hash(), now);
            running.place = self.limits.take_place(upstream.hash(), now);
            running.cold = self.cold.take_permit(upstream.hash(), now);
        }
    }

    /// Records that a request is sent to its upstream; returns whether it had a permit.
    pub fn record_sent(&mut self, run: RunKey) -> bool {
        let permit = self.runs.get_mut(run).and_then(|running| running.permit.take());
        permit.is_some()
    }

    /// Records that a new request would be sent to upstreams if there were permits: those that name a limit or are cold and a
    /// better choice than all others with room, and those whose limit has to be confirmed.
    pub fn record_demand(&mut self, requirements: &Requirements, now: Time) {
        if self.limits.is_empty() && self.cold.is_empty() {
            return;
        }
        let mut limited = Vec::new();
        let mut least = f64::INFINITY;
        for (key, upstream) in &self.upstreams {
            if !self.is_candidate(key, upstream, requirements)
                || upstream.paused_until > now
                || !has_room(upstream, requirements)
            {
                continue;
            }
            let score = self.score(key, upstream, requirements, now).total();
            let hash = upstream.hash();
            if self.limits.is_bounded(hash) || self.cold.is_bounded(hash, now) {
                limited.push((score, hash));
            } else {
                least = least.min(score);
            }
        }
        limited.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
        let mut wanted_cold = 0;
        for (score, hash) in limited {
            if score < least || self.limits.is_unconfirmed(hash, now) {
                self.limits.record_demand(hash, now);
            }
            if score < least && wanted_cold < MAX_WANTED_COLD && self.cold.is_bounded(hash, now) {
                self.cold.record_demand(hash, now);
                wanted_cold += 1;
            }
        }
    }

    /// Returns how long a request that joins the queue now waits for a permit among `instances`, or for an upstream that
    /// asks for a pause; `None` unless every upstream that could run it names a limit, is cold or paused.
    pub fn held(&self, requirements: &Requirements, instances: usize, now: Time) -> Option<Held> {
        let (mut rate, mut is_rare) = (0.0, false);
        let mut first: Option<(f64, UpstreamKey)> = None;
        let mut pause: Option<(Duration, UpstreamKey)> = None;
        for (key, upstream) in &self.upstreams {
            if !self.is_candidate(key, upstream, requirements) {
                continue;
            }
            if upstream.paused_until > now {
                let time = upstream.paused_until.since(now);
                pause = Some(pause.map_or((time, key), |least| least.min((time, key))));
                continue;
            }
            let hash = upstream.hash();
            let named = self
                .limits
                .is_bounded(hash)
                .then(|| self.limits.expected_rate(hash, instances, now));
            let cold = self.cold.expected_rate(hash, instances, now);
            let expected = match (named, cold) {
                (Some(named), Some(cold)) => named.min(cold),
                (Some(one), None) | (None, Some(one)) => one,
                (None, None) => return None,
            };
            rate += expected;
            is_rare |= self.limits.is_rarely_wanted(hash) || self.cold.is_rarely_wanted(hash);
            if first.is_none_or(|(most, _)| expected > most) {
                first = Some((expected, key));
            }
        }
        let ahead = self.queue_length(&requirements.service);
        let permit = Duration::try_from_secs_f64((ahead as f64 + 1.0) / rate).unwrap_or(Duration::MAX);
        let upstream = match (first, pause) {
            (Some((_, key)), Some((time, _))) if permit <= time => key,
            (_, Some((_, key))) | (Some((_, key)), None) => key,
            (None, None) => return None,
        };
        Some(Held {
            upstream,
            wait: pause.map_or(permit, |(time, _)| time.min(permit)),
            pause: pause.map(|(time, _)| time),
            may_ask: is_rare && ahead == 0,
        })
    }

    /// Records that a request waits in the queue until `until` at most, for a permit of any upstream that could run it.
    pub fn record_wait(&mut self, requirements: &Requirements, until: Time) {
        let candidates = self
            .upstreams
            .iter()
            .filter(|(key, upstream)| self.is_candidate(*key, upstream, requirements));
        let hashes: Vec<u64> = candidates.map(|(_, upstream)| upstream.hash()).collect();
        for hash in hashes {
            self.limits.record_wait(hash, until);
        }
    }

    /// Whether a request may be sent to an upstream now, as far as what it says of itself goes.
    pub(super) fn access(&self, upstream: &Upstream, now: Time) -> Access {
        if self.is_cold_held(upstream, now) {
            return Access::Held;
        }
        self.access_when_warm(upstream, now)
    }

    /// Like [`Self::access`], for a request that is sent some time later: a cold upstream is warm by then, or a permit has
    /// come.
    pub(super) fn access_when_warm(&self, upstream: &Upstream, now: Time) -> Access {
        if upstream.paused_until > now {
            Access::Held
        } else if self.limits.is_empty() {
            Access::Open
        } else {
            self.limits.access(upstream.hash(), now)
        }
    }
}
