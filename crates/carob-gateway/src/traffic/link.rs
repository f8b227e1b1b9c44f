//! Finds out which upstreams this instance reaches: from its requests, and from probes where these fail.

use std::{rc::Rc, time::Duration};

use carob_dispatch::fleet::UpstreamKey;
use carob_platform::engine;
use tokio::time::Instant;

use super::shared::Shared;
use crate::socket;

/// Time limit of a probe: several round trips between regions, and the usual time of an answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without an answer after which an upstream is probed.
pub(super) const SILENT_TIME: Duration = Duration::from_millis(700);

/// Records that something arrived from an upstream on a direct connection.
pub(super) fn record_answer(shared: &Shared, upstream: UpstreamKey) {
    let now = shared.now();
    let lost = shared.fleet_mut().record_link_answer(upstream, now);
    let Some(lost) = lost else { return };
    log::info!(
        upstream:% = name(shared, upstream), lost_ms = lost.as_millis() as u64; "link to an upstream is back"
    );
    after_change(shared);
}

/// Records that a direct connection to an upstream failed for `reason` before anything arrived on it.
pub(super) fn record_failure(shared: &Shared, upstream: UpstreamKey, reason: &dyn std::fmt::Display) {
    let now = shared.now();
    if !shared.fleet_mut().record_link_failure(upstream, now) {
        return;
    }
    log::warn!(
        upstream:% = name(shared, upstream), reason:% = reason; "link to an upstream is lost"
    );
    after_change(shared);
}

/// Has an upstream probed that has not answered a request since `sent`, unless it answered others.
pub(super) fn suspect(shared: &Shared, upstream: UpstreamKey, sent: Instant) {
    let sent = shared.now() - sent.elapsed();
    if shared.fleet_mut().suspect_link(upstream, sent) {
        shared.links_changed.notify_one();
    }
}

/// Waits for the head of an answer on a direct connection, and records what that says about the link.
pub(super) async fn watch<T>(
    shared: &Shared,
    upstream: UpstreamKey,
    answer: impl Future<Output = Result<T, socket::Error>>,
) -> Result<T, socket::Error> {
    let sent = Instant::now();
    tokio::pin!(answer);
    let outcome = loop {
        tokio::select! {
            biased;
            outcome = &mut answer => break outcome,
            () = tokio::time::sleep(SILENT_TIME) => suspect(shared, upstream, sent),
        }
    };
    match &outcome {
        Ok(_) => record_answer(shared, upstream),
        Err(error @ (socket::Error::Connect(_) | socket::Error::Broken(_))) => {
            record_failure(shared, upstream, error);
        }
        // Its deadline may be short; the probe tells.
        Err(socket::Error::Timeout) => suspect(shared, upstream, sent),
    }
    outcome
}

fn after_change(shared: &Shared) {
    metrics::gauge!("carobhaven_links_lost").set(shared.fleet().lost_links() as f64);
    let cut = shared.fleet().cut_services();
    let before = shared.replace_cut(cut.clone());
    metrics::gauge!("carobhaven_services_cut").set(cut.len() as f64);
    for service in cut.iter().filter(|service| !before.contains(service)) {
        log::warn!(service:% = service; "no upstream of a service can be reached from here");
    }
    for service in before.iter().filter(|service| !cut.contains(service)) {
        log::info!(service:% = service; "upstreams of a service can be reached again");
    }
    shared.links_changed.notify_one();
}

/// Probes upstreams whose links are lost or in doubt, for as long as the process runs.
pub(super) async fn run_probes(shared: Rc<Shared>) {
    loop {
        let next = shared.fleet().next_probe(shared.now());
        match next {
            Some(time) => {
                // A timeout is the usual case: the next probe is due.
                let _changed = tokio::time::timeout(time, shared.links_changed.notified()).await;
            }
            None => shared.links_changed.notified().await,
        }
        let now = shared.now();
        let due = shared.fleet_mut().take_probes(now);
        for upstream in due {
            tokio::task::spawn_local(probe(Rc::clone(&shared), upstream));
        }
    }
}

/// Asks an upstream for an answer of any kind.
async fn probe(shared: Rc<Shared>, upstream: UpstreamKey) {
    let Some((address, service)) = shared
        .fleet()
        .upstream(upstream)
        .map(|found| (found.entry.address, found.entry.service.clone()))
    else {
        return;
    };
    metrics::counter!("carobhaven_link_probes_total").increment(1);
    let health = shared
        .table()
        .and_then(|table| Some(table.service(&service)?.health_path.clone()));
    let request = match health {
        Some(path) if !shared.is_engine(&service) => engine::get_health(&path),
        _ => engine::get_report(),
    };
    match socket::call(
        address,
        shared.settings().source,
        request,
        Instant::now() + PROBE_TIMEOUT,
    )
    .await
    {
        Ok(_) => record_answer(&shared, upstream),
        Err(error) => record_failure(&shared, upstream, &error),
    }
}

fn name(shared: &Shared, upstream: UpstreamKey) -> Box<str> {
    let fleet = shared.fleet();
    fleet
        .upstream(upstream)
        .map_or_else(|| Box::from("forgotten"), |found| found.entry.id.clone())
}
