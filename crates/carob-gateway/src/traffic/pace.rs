//! What answers show of the pace of their upstreams, and what other instances tell of it.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use carob_dispatch::fleet::{
    Fleet, KnownPace, MAX_PACE_REPORTS, PaceReport, RequestSize, SentLoad, UpstreamKey,
};
use tokio::time::Instant;

use super::{announce::Audience, call::Call, guard::Reservation, shared::Shared};
use crate::peer::Pace;

/// Wait for a slow client from which on the time to the next event says nothing about the upstream. Without a wait,
/// queueing an event for the client takes microseconds.
const MAX_CLIENT_WAIT: Duration = Duration::from_millis(2);

/// When a request was sent, and how loaded its upstream was.
#[derive(Clone, Copy)]
pub(super) struct Sent {
    at: Instant,
    size: RequestSize,
    load: SentLoad,
}

impl Sent {
    /// Describes a request of `size` that is sent to `upstream` now, where it is counted already.
    pub(super) fn new(fleet: &Fleet, upstream: UpstreamKey, size: RequestSize) -> Option<Self> {
        let found = fleet.upstream(upstream)?;
        Some(Self {
            at: Instant::now(),
            size,
            load: SentLoad {
                prefill: found.pending_prefill(),
                requests: found.total_requests(),
            },
        })
    }
}

/// Follows the events of a stream for the pace of the engines that send them.
#[derive(Default)]
pub(super) struct EventPace {
    /// Engine that sends the events; absent before the first.
    upstream: Option<UpstreamKey>,
    /// When its last event was received; absent if the wait for the next one would not be the engine's.
    last: Option<Instant>,
}

impl EventPace {
    /// Records that `count` events have been received now, before they are passed on.
    pub(super) fn record(&mut self, call: &Call, reservation: &Reservation, count: u32) {
        let Some(engine) = &call.engine else {
            return;
        };
        let upstream = reservation.upstream;
        let is_first = self.upstream.replace(upstream) != Some(upstream);
        let received = Instant::now();
        let last = self.last.replace(received);
        let shared = &call.shared;
        let now = shared.now();
        let (kind, is_news) = if is_first {
            let Some(sent) = reservation.sent().filter(|_| count == 1) else {
                return;
            };
            let request = (sent.size, sent.load, engine.event_tokens);
            let is_news = shared
                .fleet_mut()
                .record_first_event(upstream, sent.at.elapsed(), request, now);
            ("first-event", is_news)
        } else if let Some(last) = last {
            // Events that are read together came one after the other while this thread was busy.
            let gap = (received - last) / count.max(1);
            ("gap", shared.fleet_mut().record_gap(upstream, gap, now))
        } else {
            return;
        };
        count_sample(kind);
        announce_news(shared, upstream, is_news);
    }

    /// Records that passing events on took `waited`, during which nothing was read from the upstream.
    pub(super) fn record_wait(&mut self, waited: Duration) {
        if waited > MAX_CLIENT_WAIT {
            self.last = None;
        }
    }
}

/// Records the duration of a call that a plain upstream has answered.
pub(super) fn record_call(call: &Call, reservation: &Reservation) {
    let shared = &call.shared;
    let upstream = reservation.upstream;
    // The way to other regions takes longer than many calls; instances there tell how long theirs take.
    let Some(sent) = reservation
        .sent()
        .filter(|_| call.engine.is_none() && shared.fleet().is_same_region(upstream))
    else {
        return;
    };
    let now = shared.now();
    let is_news = shared.fleet_mut().record_call(upstream, sent.at.elapsed(), now);
    count_sample("call");
    announce_news(shared, upstream, is_news);
}

fn count_sample(kind: &'static str) {
    metrics::counter!("carobhaven_pace_samples_total", "kind" => kind).increment(1);
}

/// Has the other instances told at once if they lack what is known of an upstream.
fn announce_news(shared: &Shared, upstream: UpstreamKey, is_news: bool) {
    if !is_news {
        return;
    }
    shared.load_changed.notify_one();
    let fleet = shared.fleet();
    let known = Known::new(fleet.known_pace(upstream, shared.now()));
    log::info!(
        upstream:% = fleet.upstream(upstream).map_or("forgotten", |found| &found.entry.id),
        pace_ms = known.pace_ms, factor = known.factor, weight = known.weight, own = known.own, age_ms = known.age_ms;
        "pace of an upstream learned"
    );
}

/// What is known of an upstream's pace, for log lines; zero if it is unknown.
#[derive(Default)]
pub(super) struct Known {
    pub(super) pace_ms: f64,
    pub(super) factor: f64,
    pub(super) weight: f64,
    pub(super) own: u32,
    pub(super) age_ms: u64,
}

impl Known {
    pub(super) fn new(known: Option<KnownPace>) -> Self {
        known.map_or_else(Self::default, |known| Self {
            pace_ms: rounded(known.pace_ms),
            factor: rounded(known.factor),
            weight: rounded(known.weight),
            own: known.own,
            age_ms: known.age.as_millis() as u64,
        })
    }
}

fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// What other instances are told of paces in the next message.
pub(super) struct Reports {
    /// For those in the same region; all of it if the message is complete.
    pub(super) regional: Vec<Pace>,
    /// For those in other regions.
    pub(super) global: Vec<Pace>,
}

/// Takes what other instances are told of paces in the next message.
pub(super) fn take_reports(shared: &Shared, audience: &Audience, complete: bool) -> Reports {
    let now = shared.now();
    let remote = audience.remote_count() as u32;
    let reports = shared.fleet_mut().take_pace_reports(complete, remote, now);
    if complete {
        set_gauges(&shared.fleet());
    }
    let encode = |report: &PaceReport| Pace {
        upstream_hash: report.upstream_hash,
        time_us: (report.pace_ms * 1e3).round() as u64,
        observations: report.observations,
        age_ms: report.age.as_millis() as u64,
    };
    let global = reports.iter().filter(|report| report.is_global);
    Reports {
        regional: reports.iter().map(encode).collect(),
        global: global.map(encode).collect(),
    }
}

fn set_gauges(fleet: &Fleet) {
    let services: BTreeSet<&str> = fleet
        .upstreams()
        .map(|(_, upstream)| &*upstream.entry.service)
        .collect();
    for service in services {
        let range = fleet.pace_range(service);
        if range.known > 0 {
            let name = service.to_owned();
            metrics::gauge!("carobhaven_pace_fastest_seconds", "service" => name.clone())
                .set(range.least_ms / 1e3);
            metrics::gauge!("carobhaven_pace_slowest_seconds", "service" => name).set(range.most_ms / 1e3);
        }
    }
}

/// Applies what the instance at `peer` tells of paces.
pub(super) fn merge(shared: &Shared, peer: SocketAddr, paces: &[Pace]) {
    if paces.is_empty() || !shared.peers().contains(&peer) {
        return;
    }
    let reports: Vec<PaceReport> = paces
        .iter()
        .take(MAX_PACE_REPORTS)
        .map(|pace| PaceReport {
            upstream_hash: pace.upstream_hash,
            pace_ms: pace.time_us as f64 / 1e3,
            observations: pace.observations,
            age: Duration::from_millis(pace.age_ms),
            is_global: false,
        })
        .collect();
    metrics::counter!("carobhaven_pace_reports_received_total").increment(reports.len() as u64);
    let now = shared.now();
    shared.fleet_mut().apply_pace_reports(peer, &reports, now);
}
