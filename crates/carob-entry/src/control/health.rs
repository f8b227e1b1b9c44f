//! Health of upstreams: their load reports, and the detection of process crashes.
//!
//! A process has certainly ended if its address shows another incarnation, or refuses connections right after
//! open ones broke. Only then do the requests that ran on it become suspects; an upstream that is merely
//! unreachable is no evidence against them.

use std::{collections::HashMap, time::Duration};

use carob_base::{Name, Time};
use carob_member::UpstreamHealth;
use carob_route::End;
use carob_suspect::Fingerprint;
use carob_wire::load::Report;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Control;
use crate::io::poll::Probe;

/// Number of consecutive failed health checks after which an upstream counts as down.
const DOWN_THRESHOLD: u32 = 2;
/// How long after its connection broke a request still counts as running on the process.
const BROKEN_WINDOW: Duration = Duration::from_secs(5);
/// Maximum time for which a retry waits for the health check of the upstream that failed it.
const HOLD_TIMEOUT: Duration = Duration::from_secs(2);

/// Health of each upstream, and the retries that wait for a health check.
#[derive(Debug, Default)]
pub struct Health {
    upstreams: HashMap<Name, UpstreamState>,
    held: Vec<HeldRetry>,
}

#[derive(Debug, Default)]
struct UpstreamState {
    /// Low 32 bits of the incarnation, which is what instances share; `None` before the first report or
    /// answer.
    incarnation: Option<u64>,
    /// Whether this incarnation was seen to be leaving.
    leaving: bool,
    /// Consecutive failed health checks.
    failures: u32,
    /// Requests whose connection broke within [`BROKEN_WINDOW`], with the time at which it broke.
    broken_requests: SmallVec<[(RunningRequest, Time); 4]>,
}

carob_base::plain! {
    /// A request that ran on an upstream, as evidence in a crash report.
    pub struct RunningRequest {
        /// Its fingerprint.
        pub fingerprint: Fingerprint,
        /// Whether it was placed as the upstream's only request, because it was a suspect.
        pub isolated: bool,
    }
}

/// A retry that waits for a health check of the upstream that failed it, which shows whether its process
/// crashed.
#[derive(Clone, Debug)]
struct HeldRetry {
    upstream: Name,
    id: u64,
    end: End,
    since: Time,
}

carob_base::plain! {
    /// Why a health check failed. The names of the variants are written into log lines.
    pub enum ProbeFailure {
        /// The connection was refused.
        Refused,
        /// There was no valid answer in time.
        Silent,
        /// Another instance reported the upstream down.
        Told,
    }
}

carob_base::plain! {
    /// Who observed an upstream's state.
    pub enum Source {
        /// This instance, which shares the observation with the others.
        Local,
        /// Another instance or the platform's instance list.
        Remote,
    }
}

impl Control {
    /// Shares and applies the load report with which an upstream answered this instance's poll.
    pub(super) fn on_load_report(&mut self, upstream: &Name, report: Report, sampled_at: Time, now: Time) {
        self.share_report(upstream, &report, now);
        self.apply_report(upstream, as_shared(report), sampled_at, Source::Local, now);
    }

    /// Applies a load report that this or another instance polled.
    pub(super) fn apply_report(
        &mut self,
        upstream: &Name,
        mut report: Report,
        sampled_at: Time,
        source: Source,
        now: Time,
    ) {
        let state = self.health.upstream(upstream);
        if state
            .incarnation
            .is_some_and(|before| before != report.incarnation)
        {
            log::warn!("health: upstream={upstream} runs a new process");
            self.on_process_ended(upstream, now);
            self.health.upstream(upstream).leaving = false;
        }
        let state = self.health.upstream(upstream);
        state.incarnation = Some(report.incarnation);
        // The instance list may have shown that the upstream is leaving before its own report does.
        report.leaving |= state.leaving;
        state.leaving = report.leaving;
        self.router.apply_report(upstream, report, sampled_at, now);
        self.on_reachable(upstream, sampled_at, source, now);
    }

    /// The upstream answered the health check sent at `checked_at`.
    pub(super) fn on_reachable(&mut self, upstream: &Name, checked_at: Time, source: Source, now: Time) {
        let state = self.health.upstream(upstream);
        if std::mem::take(&mut state.failures) >= DOWN_THRESHOLD {
            log::info!("health: upstream={upstream} up");
            self.router.mark_up(upstream, now);
            self.share_health(upstream, UpstreamHealth::Serving, source);
        }
        self.release_held(upstream, checked_at, now);
    }

    /// The upstream failed the health check sent at `checked_at`.
    pub(super) fn on_unreachable(
        &mut self,
        upstream: &Name,
        checked_at: Time,
        failure: ProbeFailure,
        now: Time,
    ) {
        let state = self.health.upstream(upstream);
        let was_down = state.failures >= DOWN_THRESHOLD;
        state.failures = match failure {
            ProbeFailure::Silent => state.failures + 1,
            ProbeFailure::Refused | ProbeFailure::Told => DOWN_THRESHOLD.max(state.failures),
        };
        let down = !was_down && state.failures >= DOWN_THRESHOLD;
        let ended = failure == ProbeFailure::Refused && state.has_broken(now);
        if down {
            log::warn!("health: upstream={upstream} down, {failure:?}");
            self.router.mark_down(upstream, now);
            let source = if failure == ProbeFailure::Told {
                Source::Remote
            } else {
                Source::Local
            };
            self.share_health(upstream, UpstreamHealth::Down, source);
        }
        if ended {
            self.on_process_ended(upstream, now);
        }
        self.release_held(upstream, checked_at, now);
    }

    /// Marks the upstream as leaving: it gets no new work.
    pub(super) fn mark_leaving(&mut self, upstream: &Name, source: Source) {
        let state = self.health.upstream(upstream);
        if !std::mem::replace(&mut state.leaving, true) {
            log::info!("health: upstream={upstream} leaving");
            self.router.mark_leaving(upstream);
            self.share_health(upstream, UpstreamHealth::Leaving, source);
        }
    }

    /// Records that a request's connection broke without an answer, and has the upstream checked at once.
    pub(super) fn record_broken(&mut self, upstream: &Name, running: RunningRequest, now: Time) {
        let state = self.health.upstream(upstream);
        state
            .broken_requests
            .retain(|(_, at)| now.since(*at) < BROKEN_WINDOW);
        state.broken_requests.push((running, now));
        let probe = Probe {
            upstream: upstream.clone(),
        };
        if self.channels.probe.send(probe).is_err() {
            log::debug!("control: the probe thread has ended");
        }
    }

    /// Holds a retry back until the upstream has been checked.
    pub(super) fn hold_retry(&mut self, upstream: Name, id: u64, end: End, now: Time) {
        self.health.held.push(HeldRetry {
            upstream,
            id,
            end,
            since: now,
        });
    }

    /// Releases the retries whose upstream was checked after it had failed them.
    fn release_held(&mut self, upstream: &Name, checked_at: Time, now: Time) {
        self.release_if(now, |held| &held.upstream == upstream && held.since <= checked_at);
    }

    /// Releases the retries that have waited for a health check for [`HOLD_TIMEOUT`].
    pub(super) fn release_expired(&mut self, now: Time) {
        self.release_if(now, |held| now.since(held.since) >= HOLD_TIMEOUT);
    }

    fn release_if(&mut self, now: Time, ready: impl Fn(&HeldRetry) -> bool) {
        let (release, keep) = std::mem::take(&mut self.health.held).into_iter().partition(ready);
        self.health.held = keep;
        let release: Vec<HeldRetry> = release;
        for held in release {
            self.retry_now(held.id, held.end, now);
        }
    }

    /// Records a crash with the requests that ran on the process. A process that had announced its leaving
    /// did not crash.
    fn on_process_ended(&mut self, upstream: &Name, now: Time) {
        let state = self.health.upstream(upstream);
        let broken = std::mem::take(&mut state.broken_requests);
        let Some(incarnation) = state.incarnation.filter(|_| !state.leaving) else {
            return;
        };
        let recent = broken
            .into_iter()
            .filter(|(_, at)| now.since(*at) < BROKEN_WINDOW);
        let mut running: Vec<RunningRequest> = recent.map(|(running, _)| running).collect();
        running.extend(self.requests.running_on(upstream));
        running.sort_unstable();
        running.dedup();
        let isolated = running.len() == 1 && running[0].isolated;
        let fingerprints: Vec<Fingerprint> = running.into_iter().map(|running| running.fingerprint).collect();
        let id = xxh3_64_with_seed(upstream.as_str().as_bytes(), incarnation);
        self.record_crash(id, &fingerprints, isolated, now);
    }
}

impl Health {
    fn upstream(&mut self, upstream: &Name) -> &mut UpstreamState {
        self.upstreams.entry(upstream.clone()).or_default()
    }

    /// Records the incarnation that an answer showed, unless one is known: load reports take precedence.
    pub fn note_incarnation(&mut self, upstream: &Name, incarnation: u64) {
        let state = self.upstream(upstream);
        state.incarnation.get_or_insert(u64::from(incarnation as u32));
    }

    /// The low 32 bits of the upstream's incarnation, which is what instances share; `None` if it is not
    /// known.
    pub fn incarnation(&self, upstream: &Name) -> Option<u64> {
        self.upstreams.get(upstream)?.incarnation
    }
}

/// Truncates the counters of a polled report to the widths that instances share, so that it can be compared
/// with reports from other instances.
fn as_shared(mut report: Report) -> Report {
    report.incarnation = u64::from(report.incarnation as u32);
    report.preemptions = u64::from(report.preemptions as u16);
    report
}

impl UpstreamState {
    fn has_broken(&self, now: Time) -> bool {
        self.broken_requests
            .iter()
            .any(|(_, at)| now.since(*at) < BROKEN_WINDOW)
    }
}
