//! Load reports of upstreams, asked for at regular times.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use carob_base::{Name, Time};
use carob_config::{ServiceKind, Upstream};
use carob_http::client::{self, Opening};
use carob_wire::load::Report;
use flume::Receiver;

use crate::{
    control::{Event, health::Miss},
    shared::{Phase, Shared},
};

/// Largest load report, in bytes.
const REPORT_LIMIT: usize = 256 << 10;
/// Rounds from one poll of an upstream in another failure domain of the region to the next.
const NEAR_EVERY: u32 = 3;
/// Rounds from one poll of an upstream in another region to the next; its report must not be stale before.
const FAR_EVERY: u32 = 10;
/// Path of load reports at every engine.
const PATH: &str = "/metrics";

/// A health check that is wanted at once.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The upstream.
    pub upstream: Name,
}

/// Polls at regular times until the instance is closed.
pub fn run(shared: &Arc<Shared>) {
    let mut count = 0;
    while shared.phase() != Phase::Closed {
        let round = Instant::now();
        let mine = shared.polled();
        poll(shared, |upstream| {
            mine.contains(&upstream.name) && is_due(shared, upstream, count)
        });
        count = count.wrapping_add(1);
        thread::sleep(shared.options.poll_interval.saturating_sub(round.elapsed()));
    }
}

/// Whether an upstream is polled in round `count`. Upstreams elsewhere serve as overflow only, and what crosses
/// regions is paid for.
fn is_due(shared: &Shared, upstream: &Upstream, count: u32) -> bool {
    let options = &shared.options;
    let every = if upstream.domain == options.domain {
        1
    } else if upstream.region == options.region {
        NEAR_EVERY
    } else {
        FAR_EVERY
    };
    count.is_multiple_of(every)
}

/// Makes health checks that are wanted at once, until the channel is closed.
pub fn run_probes(shared: &Arc<Shared>, probes: &Receiver<Probe>) {
    for probe in probes {
        poll(shared, |upstream| upstream.name == probe.upstream);
    }
}

/// Asks the chosen upstreams at the same time, so that one that does not answer delays no other's report.
fn poll(shared: &Shared, chosen: impl Fn(&Upstream) -> bool) {
    let config = shared.config();
    let limit = shared.options.poll_interval;
    let engines = config.upstreams.values().filter(|upstream| chosen(upstream));
    let asked: Vec<_> = engines
        .map(|upstream| {
            let kind = config.services.get(&upstream.service).map(|service| service.kind);
            (
                upstream.name.clone(),
                kind,
                shared.now(),
                ask(upstream.address, limit),
            )
        })
        .collect();
    for (upstream, kind, sampled, opening) in asked {
        let check = read(opening, limit);
        shared.tell(event_of(upstream, kind, sampled, check));
    }
}

fn ask(address: SocketAddr, limit: Duration) -> Opening {
    client::start(&client::Request::get(address, PATH).with_deadline(limit))
}

/// What a health check found.
enum Check {
    Report(Report),
    /// An answer that is no load report.
    Answer,
    Refused,
    Silent,
}

/// A plain service that answers at all is well, whatever it says.
fn event_of(upstream: Name, kind: Option<ServiceKind>, sampled: Time, check: Check) -> Event {
    match check {
        Check::Report(report) => Event::Report {
            upstream,
            report,
            sampled,
        },
        Check::Answer if kind == Some(ServiceKind::Plain) => Event::Reachable {
            upstream,
            asked: sampled,
        },
        Check::Refused => Event::Unreachable {
            upstream,
            asked: sampled,
            miss: Miss::Refused,
        },
        Check::Answer | Check::Silent => Event::Unreachable {
            upstream,
            asked: sampled,
            miss: Miss::Silent,
        },
    }
}

fn read(opening: Opening, limit: Duration) -> Check {
    let response = match opening.whole(limit, REPORT_LIMIT) {
        Ok(response) => response,
        Err(client::Error::Refused(_)) => return Check::Refused,
        Err(client::Error::NotSent(_) | client::Error::Unknown(_)) => return Check::Silent,
    };
    let text = std::str::from_utf8(&response.body)
        .ok()
        .filter(|_| response.status == 200);
    let report = text.and_then(|text| Report::parse(text).ok());
    report.map_or(Check::Answer, Check::Report)
}
