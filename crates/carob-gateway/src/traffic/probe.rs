//! Requests reports from upstreams when other information about them does not arrive.
//!
//! While the store is unreachable, upstreams cannot announce in the directory that they leave; while other
//! instances are unreachable, the load that they cause is unknown. The reports of upstreams are priced and
//! some hundred milliseconds old, so they are requested only in these cases: to learn whether an upstream
//! that runs a generation of this instance leaves, and to learn the load of a few candidates for each
//! placement.

use std::{rc::Rc, time::Duration};

use carob_dispatch::fleet::{LoadReport, Requirements, UpstreamKey};
use carob_platform::engine::{self, Report};
use futures_util::future::join_all;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::{cold, link, shared::Shared};

/// Time between two reports of an upstream; the shortest notice before an upstream leaves is four of these.
const PROBE_INTERVAL: Duration = Duration::from_millis(350);

/// Time limit of a report: more than two round trips between regions.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Candidates whose reports are requested for a placement. The best of three is far better than a random one;
/// each further one adds little.
const MAX_CANDIDATES: usize = 3;

/// Requests reports of a generation's upstream while directory updates do not arrive, until one says that the
/// upstream leaves. The future is to be dropped when the generation ends.
pub(super) async fn watch_departure(shared: Rc<Shared>, upstream: UpstreamKey) {
    loop {
        if !shared.is_uninformed() {
            shared.uninformed_changed.notified().await;
            continue;
        }
        let started = shared.try_start_probe(upstream, PROBE_INTERVAL);
        if started {
            let report = fetch_report(&shared, upstream).await;
            if report.is_some_and(|report| report.leaving) {
                if let Some(found) = shared.fleet().upstream(upstream) {
                    log::info!(upstream:% = found.entry.id; "upstream says itself that it leaves");
                }
                shared.mark_leaving(upstream);
                return;
            }
        }
        tokio::time::sleep(PROBE_INTERVAL / 2).await;
    }
}

/// Places a request by the load that a few candidates report. Returns `None` if none of them answers.
pub(super) async fn place(shared: &Rc<Shared>, requirements: &Requirements) -> Option<UpstreamKey> {
    let started = shared.now();
    let candidates: SmallVec<[UpstreamKey; 4]> =
        shared
            .fleet()
            .sample(requirements, MAX_CANDIDATES, rand::random(), started);
    join_all(candidates.iter().map(|key| fetch_report(shared, *key))).await;
    shared.fleet().place_observed(requirements, &candidates, started)
}

/// Requests an upstream's report and records the load in it.
async fn fetch_report(shared: &Rc<Shared>, upstream: UpstreamKey) -> Option<Report> {
    let address = shared.fleet().upstream(upstream)?.entry.address;
    metrics::counter!("carobhaven_reports_total").increment(1);
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let response = match link::call(shared, upstream, engine::get_report(), b"", deadline).await {
        Ok(response) => response,
        Err(error) => {
            log::info!(upstream:% = address, error:% = error; "no report from upstream");
            return None;
        }
    };
    cold::record_health(shared, upstream, &response);
    let status = response.status();
    let report = engine::decode_report(status, response.body());
    match report {
        Some(report) => shared.fleet_mut().record_load(
            upstream,
            LoadReport {
                at: shared.now(),
                used_tokens: report.used_tokens,
                waiting: report.waiting,
            },
        ),
        None => {
            log::info!(upstream:% = address, status = status.as_u16(); "malformed report from upstream");
        }
    }
    report
}
