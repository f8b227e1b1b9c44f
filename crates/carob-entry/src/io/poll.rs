//! Periodic polls of upstreams for their load reports, and health checks on demand.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use carob_base::{Name, Time};
use carob_config::{ServiceKind, Upstream};
use carob_http::client::{self, PendingResponse};
use carob_wire::load::Report;
use flume::Receiver;

use crate::{
    control::{Event, health::ProbeFailure},
    shared::{Phase, Shared},
};

/// Maximum size of a load report, in bytes.
const MAX_REPORT_BYTES: usize = 256 << 10;
/// Number of rounds between two polls of an upstream in another failure domain of this region.
const SAME_REGION_ROUNDS: u32 = 3;
/// Number of rounds between two polls of an upstream in another region; its report must not become stale in
/// between.
const OTHER_REGION_ROUNDS: u32 = 10;
/// Path of load reports at every engine.
const METRICS_PATH: &str = "/metrics";

/// A health check to make at once.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The upstream.
    pub upstream: Name,
}

/// Polls at the configured interval until the instance is closed.
pub fn run(shared: &Arc<Shared>) {
    let mut count = 0;
    while shared.phase() != Phase::Closed {
        let round = Instant::now();
        let polled = shared.polled();
        poll(shared, |upstream| {
            polled.contains(&upstream.name) && is_due(shared, upstream, count)
        });
        count = count.wrapping_add(1);
        thread::sleep(shared.options.poll_interval.saturating_sub(round.elapsed()));
    }
}

/// Whether an upstream is polled in round `count`. Upstreams in other failure domains are polled less often:
/// they only serve as overflow, and traffic between regions costs money.
fn is_due(shared: &Shared, upstream: &Upstream, count: u32) -> bool {
    let options = &shared.options;
    let every = if upstream.domain == options.domain {
        1
    } else if upstream.region == options.region {
        SAME_REGION_ROUNDS
    } else {
        OTHER_REGION_ROUNDS
    };
    count.is_multiple_of(every)
}

/// Makes the requested health checks until the channel is closed.
pub fn run_probes(shared: &Arc<Shared>, probes: &Receiver<Probe>) {
    for probe in probes {
        poll(shared, |upstream| upstream.name == probe.upstream);
    }
}

/// Polls the chosen upstreams in parallel, so that one that does not answer delays no other's report.
fn poll(shared: &Shared, chosen: impl Fn(&Upstream) -> bool) {
    let config = shared.config();
    let limit = shared.options.poll_interval;
    let upstreams = config.upstreams.values().filter(|upstream| chosen(upstream));
    let started: Vec<_> = upstreams
        .map(|upstream| {
            let kind = config.services.get(&upstream.service).map(|service| service.kind);
            (
                upstream.name.clone(),
                kind,
                shared.now(),
                start_request(upstream.address, limit),
            )
        })
        .collect();
    for (upstream, kind, sampled_at, pending) in started {
        let result = read(pending, limit);
        shared.send_event(event_of(upstream, kind, sampled_at, result));
    }
}

fn start_request(address: SocketAddr, limit: Duration) -> PendingResponse {
    client::start(&client::Request::get(address, METRICS_PATH).with_deadline(limit))
}

/// The result of a poll or a health check.
enum ProbeResult {
    Report(Report),
    /// A response that is no load report.
    OtherResponse,
    Refused,
    NoResponse,
}

/// The event for a result. A plain service counts as reachable if it answers at all, with whatever response.
fn event_of(upstream: Name, kind: Option<ServiceKind>, sampled_at: Time, result: ProbeResult) -> Event {
    match result {
        ProbeResult::Report(report) => Event::LoadReport {
            upstream,
            report,
            sampled_at,
        },
        ProbeResult::OtherResponse if kind == Some(ServiceKind::Plain) => Event::Reachable {
            upstream,
            checked_at: sampled_at,
        },
        ProbeResult::Refused => Event::Unreachable {
            upstream,
            checked_at: sampled_at,
            failure: ProbeFailure::Refused,
        },
        ProbeResult::OtherResponse | ProbeResult::NoResponse => Event::Unreachable {
            upstream,
            checked_at: sampled_at,
            failure: ProbeFailure::Silent,
        },
    }
}

fn read(pending: PendingResponse, limit: Duration) -> ProbeResult {
    let response = match pending.into_response(limit, MAX_REPORT_BYTES) {
        Ok(response) => response,
        Err(client::Error::Refused(_)) => return ProbeResult::Refused,
        Err(client::Error::NotSent(_) | client::Error::Unknown(_)) => return ProbeResult::NoResponse,
    };
    let text = std::str::from_utf8(&response.body)
        .ok()
        .filter(|_| response.status == 200);
    let report = text.and_then(|text| Report::parse(text).ok());
    report.map_or(ProbeResult::OtherResponse, ProbeResult::Report)
}
