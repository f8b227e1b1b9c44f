//! Whether upstreams can be reached from this instance.
//!
//! A link is lost with the first direct connection that fails, and back with the first answer to one. Lost links are
//! probed, so that no request has to find out. A lost link alone does not tell whether the link or the upstream is the
//! cause; whether other instances reach the upstream does.

use std::time::Duration;

use carob_base::Time;
use smallvec::SmallVec;

use super::{Fleet, Upstream, UpstreamKey, UpstreamState};

/// Time between two probes of a lost link.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of upstreams of one service that are probed at a time while none answers.
const MAX_PROBES: usize = 3;

/// Number of upstreams of one service that are probed at a time once one of them answers again.
const MAX_RETURNS: usize = 8;

/// Time for which an answer shows that a link works.
const FRESH_TIME: Duration = Duration::from_millis(300);

/// Time after which another call may be made although it is not known of the one before whether it could be sent.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two questions to other instances whether they reach an upstream that leaves. The process may have ended, so
/// that nobody will.
const RELAY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the links of a service that answers again are probed.
const RETURN_INTERVAL: Duration = Duration::from_millis(100);

/// State of the link to an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Link {
    /// When something last arrived from the upstream on a direct connection.
    answered: Option<Time>,
    /// Since when it is lost.
    lost_since: Option<Time>,
    /// Whether connections come about and nothing arrives on them. An upstream that is overloaded or stands still
    /// looks the same.
    is_silent: bool,
    /// When it is to be probed next.
    probe_due: Time,
    /// Whether it is to be probed although it is not lost.
    suspected: bool,
    /// When the next call may be made; `None` unless the last one could not be sent.
    call_due: Option<Time>,
    /// When other instances may be asked again to call it, if its link is not probed.
    relay_due: Time,
}

carob_base::plain! {
    /// How a direct connection failed before anything arrived on it.
    pub enum LinkFailure {
        /// It did not come about for a request, or broke.
        Request,
        /// The same for a probe.
        Probe,
        /// Nothing arrived on it in the time of a probe.
        Silence,
    }
}

impl Fleet {
    /// Records that something arrived from an upstream on a direct connection. Returns for how long its link had been
    /// lost, if it had.
    pub fn record_link_answer(&mut self, key: UpstreamKey, now: Time) -> Option<Duration> {
        let upstream = self.upstreams.get_mut(key)?;
        let link = &mut upstream.link;
        link.answered = Some(now);
        link.suspected = false;
        link.call_due = None;
        let since = link.lost_since.take()?;
        // What failed were connections, not the upstream.
        upstream.failure_rate = 0.0;
        upstream.avoid_until = Time::ZERO;
        let service = upstream.entry.service.clone();
        for other in self.upstreams.values_mut() {
            if other.entry.service == service && other.link.lost_since.is_some() {
                other.link.probe_due = now;
            }
        }
        Some(now.since(since))
    }

    /// Records that a direct connection to an upstream failed before anything arrived on it. Returns whether its link is
    /// lost by this. Other links of the service that have not shown lately that they work are to be probed.
    pub fn record_link_failure(&mut self, key: UpstreamKey, failure: LinkFailure, now: Time) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let service = upstream.entry.service.clone();
        upstream.link.suspected = false;
        upstream.link.is_silent = failure == LinkFailure::Silence;
        if upstream.link.lost_since.is_some() {
            return false;
        }
        upstream.link.lost_since = Some(now);
        upstream.link.probe_due = match failure {
            LinkFailure::Request => now,
            LinkFailure::Probe | LinkFailure::Silence => now + PROBE_INTERVAL,
        };
        let unsure: SmallVec<[UpstreamKey; MAX_PROBES]> = self
            .upstreams
            .iter()
            .filter(|(_, other)| {
                other.entry.service == service
                    && other.entry.state == UpstreamState::Ready
                    && other.link.lost_since.is_none()
                    && !other.link.is_fresh(now)
                    && self.may_probe(other)
            })
            .map(|(key, _)| key)
            .take(MAX_PROBES)
            .collect();
        for key in unsure {
            self.upstreams[key].link.suspected = true;
        }
        true
    }

    /// Records that an upstream has not answered a request that was sent at `sent` on a direct connection. It is to be
    /// probed unless something arrived from it since, or a probe is under way. Returns whether it is.
    pub fn suspect_link(&mut self, key: UpstreamKey, sent: Time, now: Time) -> bool {
        let may_probe = self.upstreams.get(key).is_some_and(|found| self.may_probe(found));
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let link = &mut upstream.link;
        let is_silent = link.answered.is_none_or(|answered| answered < sent);
        if may_probe && is_silent && link.lost_since.is_none() && link.probe_due <= now {
            link.suspected = true;
        }
        link.suspected
    }

    /// Whether an upstream whose link is in doubt may be probed. One that is brittle may have to reject the probe, and falls
    /// over if it has to reject too much.
    fn may_probe(&self, upstream: &Upstream) -> bool {
        self.limits.brittle(upstream.hash()).is_none()
    }

    /// Whether the link to an upstream is probed if it is lost. That to an upstream which leaves is not: only a request or
    /// a call shows that it is back.
    pub fn is_probed(&self, key: UpstreamKey) -> bool {
        let upstream = self.upstreams.get(key);
        upstream.is_some_and(|found| found.entry.state == UpstreamState::Ready)
    }

    /// Whether a call may be made to an upstream now. While none can be sent to it, one at a time tries, for all that wait.
    /// [`end_call`](Self::end_call) is to follow.
    pub fn try_start_call(&mut self, key: UpstreamKey, now: Time) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let Some(due) = &mut upstream.link.call_due else {
            return true;
        };
        let is_due = *due <= now;
        if is_due {
            *due = now + CALL_TIMEOUT;
        }
        is_due
    }

    /// Whether other instances may be asked now to call an upstream whose link is lost and not probed; if so, they are not to be
    /// asked again for [`RELAY_INTERVAL`].
    pub fn try_ask_peers(&mut self, key: UpstreamKey, now: Time) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let is_due = upstream.link.relay_due <= now;
        if is_due {
            upstream.link.relay_due = now + RELAY_INTERVAL;
        }
        is_due
    }

    /// Records that a call to an upstream is sent or, if `retry_at` names the time for the next one, that it could not be.
    pub fn end_call(&mut self, key: UpstreamKey, retry_at: Option<Time>) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.link.call_due = retry_at;
            if retry_at.is_none() {
                upstream.link.relay_due = Time::ZERO;
            }
        }
    }

    /// Whether something has arrived from an upstream on a direct connection since `since`.
    pub fn has_answered_since(&self, key: UpstreamKey, since: Time) -> bool {
        let answered = self.upstreams.get(key).and_then(|found| found.link.answered);
        answered.is_some_and(|answered| answered >= since)
    }

    /// Whether the link to an upstream is lost.
    pub fn is_link_lost(&self, key: UpstreamKey) -> bool {
        self.link_lost_since(key).is_some()
    }

    /// Since when the link to an upstream is lost.
    pub fn link_lost_since(&self, key: UpstreamKey) -> Option<Time> {
        self.upstreams.get(key)?.link.lost_since
    }

    /// Whether another upstream of the service has shown lately that it can be reached directly.
    pub fn has_fresh_link(&self, key: UpstreamKey, now: Time) -> bool {
        let Some(upstream) = self.upstreams.get(key) else {
            return false;
        };
        self.upstreams.iter().any(|(other, found)| {
            other != key
                && found.entry.service == upstream.entry.service
                && found.entry.state == UpstreamState::Ready
                && found.link.lost_since.is_none()
                && found.link.is_fresh(now)
        })
    }

    /// Services all of whose ready upstreams have lost links, sorted.
    pub fn cut_services(&self) -> SmallVec<[Box<str>; 2]> {
        let mut cut: SmallVec<[Box<str>; 2]> = SmallVec::new();
        for upstream in self.upstreams.values() {
            let service = &upstream.entry.service;
            if upstream.link.lost_since.is_some() && !cut.contains(service) && self.is_cut(service) {
                cut.push(service.clone());
            }
        }
        cut.sort_unstable();
        cut
    }

    /// Whether the links to all ready upstreams of a service are lost.
    pub fn is_cut(&self, service: &str) -> bool {
        let mut ready = self
            .upstreams
            .values()
            .filter(|upstream| {
                *upstream.entry.service == *service && upstream.entry.state == UpstreamState::Ready
            })
            .peekable();
        ready.peek().is_some() && ready.all(|upstream| upstream.link.lost_since.is_some())
    }

    /// Whether connections to all ready upstreams of a service fail, so that none of them can be meant to answer later.
    pub fn is_refused(&self, service: &str) -> bool {
        let ready = self.upstreams.values().filter(|upstream| {
            *upstream.entry.service == *service && upstream.entry.state == UpstreamState::Ready
        });
        self.is_cut(service) && ready.map(|upstream| upstream.link).all(|link| !link.is_silent)
    }

    /// Whether the link to an upstream is lost because nothing arrives on its connections.
    pub fn is_link_silent(&self, key: UpstreamKey) -> bool {
        let upstream = self.upstreams.get(key);
        upstream.is_some_and(|found| found.link.is_lost() && found.link.is_silent)
    }

    /// Number of ready upstreams with lost links.
    pub fn lost_links(&self) -> usize {
        let ready = self
            .upstreams
            .values()
            .filter(|upstream| upstream.entry.state == UpstreamState::Ready);
        ready
            .filter(|upstream| upstream.link.lost_since.is_some())
            .count()
    }

    /// Returns the upstreams that are to be probed now; their next probes are due after [`PROBE_INTERVAL`].
    pub fn take_probes(&mut self, now: Time) -> SmallVec<[UpstreamKey; 4]> {
        let mut due: Vec<(bool, Time, UpstreamKey)> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| {
                let link = &upstream.link;
                let is_lost = link.lost_since.is_some() && link.probe_due <= now;
                upstream.entry.state == UpstreamState::Ready
                    && upstream.paused_until <= now
                    && (link.suspected || is_lost)
            })
            .map(|(key, upstream)| (!upstream.link.suspected, upstream.link.probe_due, key))
            .collect();
        due.sort_unstable();
        let mut taken: SmallVec<[UpstreamKey; 4]> = SmallVec::new();
        for (_, _, key) in due {
            let service = &self.upstreams[key].entry.service;
            let same = |other: &&UpstreamKey| self.upstreams[**other].entry.service == *service;
            let most = if self.has_fresh_link(key, now) {
                MAX_RETURNS
            } else {
                MAX_PROBES
            };
            if taken.iter().filter(same).count() < most {
                taken.push(key);
            }
        }
        for key in &taken {
            let link = &mut self.upstreams[*key].link;
            link.suspected = false;
            link.probe_due = now + PROBE_INTERVAL;
        }
        taken
    }

    /// Time until the next probe may be due; `None` if all links work.
    pub fn next_probe(&self, now: Time) -> Option<Duration> {
        let ready = self
            .upstreams
            .values()
            .filter(|upstream| upstream.entry.state == UpstreamState::Ready);
        let due = ready.filter_map(|upstream| match upstream.link {
            Link { suspected: true, .. } => Some(Duration::ZERO),
            Link {
                lost_since: Some(_),
                probe_due,
                ..
            } => Some(probe_due.since(now)),
            Link { .. } => None,
        });
        due.min().map(|time| time.max(RETURN_INTERVAL))
    }
}

impl Link {
    pub(super) const fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    fn is_fresh(&self, now: Time) -> bool {
        self.answered
            .is_some_and(|answered| now.since(answered) < FRESH_TIME)
    }
}
