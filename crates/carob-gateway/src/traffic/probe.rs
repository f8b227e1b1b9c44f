//! Asks upstreams about themselves when news of them does not come.
//!
//! While the store is away, upstreams cannot say there that they leave; while other instances are cut off, what they
//! run is not known. Upstreams' own reports are priced and some hundred milliseconds old, and are asked for only
//! then: about departures of the upstreams that have generations of this instance, and about the load of a few
//! candidates for each placement.

use std::{rc::Rc, time::Duration};

use carob_dispatch::fleet::{LoadReport, Requirements, UpstreamKey};
use carob_platform::engine::{self, Report};
use futures_util::future::join_all;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::shared::Shared;
use crate::socket;

/// Time between two questions to an upstream; the shortest notice of leaving is four of these.
const EVERY: Duration = Duration::from_millis(350);

/// Time for a report: more than the way between regions and back twice.
const REPORT: Duration = Duration::from_millis(200);

/// Candidates that are asked for a placement. The best of three is far better than a random one; each more adds
/// little.
const CANDIDATES: usize = 3;

/// Asks the upstream of a generation whether it leaves, for as long as news does not come, until it says that it
/// does. Drop it with the generation.
pub(super) async fn follow(shared: Rc<Shared>, upstream: UpstreamKey) {
    loop {
        if !shared.blind() {
            shared.sight.notified().await;
            continue;
        }
        let due = shared.probe_due(upstream, EVERY);
        if due {
            let report = ask(&shared, upstream).await;
            if report.is_some_and(|report| report.leaving) {
                if let Some(found) = shared.fleet().upstream(upstream) {
                    log::info!(upstream:% = found.entry.id; "upstream says itself that it leaves");
                }
                shared.leaves(upstream);
                return;
            }
        }
        tokio::time::sleep(EVERY / 2).await;
    }
}

/// Places a request by what a few upstreams say of their load. `None` if none of them answers.
pub(super) async fn place(shared: &Rc<Shared>, need: &Requirements) -> Option<UpstreamKey> {
    let asked = shared.now();
    let candidates: SmallVec<[UpstreamKey; 4]> = shared.fleet().sample(need, CANDIDATES, rand::random());
    join_all(candidates.iter().map(|key| ask(shared, *key))).await;
    shared.fleet().place_observed(need, &candidates, asked)
}

async fn ask(shared: &Rc<Shared>, upstream: UpstreamKey) -> Option<Report> {
    let address = shared.fleet().upstream(upstream)?.entry.address;
    metrics::counter!("carobhaven_reports_total").increment(1);
    let deadline = Instant::now() + REPORT;
    let (status, body) = match socket::call(address, engine::ask(), deadline).await {
        Ok(answer) => answer,
        Err(error) => {
            log::info!(upstream:% = address, error:% = error; "upstream gave no report");
            return None;
        }
    };
    let report = engine::report(status, &body);
    match report {
        Some(report) => shared.fleet_mut().record_load(
            upstream,
            LoadReport {
                at: shared.now(),
                used_tokens: report.used,
                waiting: report.waiting,
            },
        ),
        None => {
            log::info!(upstream:% = address, status = status.as_u16(); "upstream's report cannot be read");
        }
    }
    report
}
