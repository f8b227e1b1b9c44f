//! What upstreams have cached of prompts: recorded when requests are sent, and exchanged with other instances.

use std::{net::SocketAddr, rc::Rc};

use carob_dispatch::fleet::{HeldPrefix, PrefixReport, Requirements, UpstreamKey};

use super::{announce::Audience, call::Call, guard::Reservation, shared::Shared};
use crate::peer::Prefix;

/// Reserves capacity at an upstream, less what the request saves by the beginning of its prompt there.
pub(super) fn reserve(
    shared: &Rc<Shared>,
    upstream: UpstreamKey,
    requirements: &Requirements,
) -> Reservation {
    let size = shared.fleet().expected_size(upstream, requirements, shared.now());
    Reservation::new(shared, upstream, size)
}

/// Counts the shared tokens of a request that is about to be sent, and returns the beginning of its prompt that its
/// upstream is likely to have cached.
pub(super) fn count_expected(call: &Call, upstream: UpstreamKey) -> HeldPrefix {
    let Some(engine) = call.engine.as_ref().filter(|_| !call.head.prefix.is_empty()) else {
        return HeldPrefix::default();
    };
    let requirements = Requirements::new(Box::default(), call.run_size(0), engine.capacity)
        .with_prompt(call.head.prefix.clone());
    let shared = &call.shared;
    let held = shared.fleet().held_prefix(upstream, &requirements, shared.now());
    let tokens = call.head.prefix.iter().map(|part| u64::from(part.tokens)).sum();
    metrics::counter!("carobhaven_prefix_tokens_total", "kind" => "shared").increment(tokens);
    metrics::counter!("carobhaven_prefix_tokens_total", "kind" => "expected").increment(held.tokens);
    held
}

/// Records that the request is sent to `upstream`, which caches its prompt.
pub(super) fn record_sent(call: &Call, upstream: UpstreamKey) {
    let shared = &call.shared;
    if call.engine.is_some() {
        shared
            .fleet_mut()
            .record_prompt(upstream, &call.head.prefix, shared.now());
    }
}

/// Takes what the other instances of the region are told in the next message; a `complete` one repeats earlier ones.
pub(super) fn take(shared: &Shared, audience: &Audience, complete: bool) -> Vec<Prefix> {
    let mut fleet = shared.fleet_mut();
    let reports = fleet.take_prefix_reports(audience.regional_count(), complete, shared.now());
    if complete {
        metrics::gauge!("carobhaven_prefix_bytes").set(fleet.prefix_bytes() as f64);
    }
    metrics::counter!("carobhaven_prefix_reports_total", "direction" => "sent")
        .increment(reports.len() as u64);
    reports.into_iter().map(Prefix::from).collect()
}

/// Applies what the instance at `peer` tells.
pub(super) fn merge(shared: &Shared, peer: SocketAddr, prefixes: Vec<Prefix>) {
    if prefixes.is_empty() || !shared.peers().contains(&peer) {
        return;
    }
    let reports: Vec<PrefixReport> = prefixes.into_iter().map(PrefixReport::from).collect();
    metrics::counter!("carobhaven_prefix_reports_total", "direction" => "received")
        .increment(reports.len() as u64);
    shared.fleet_mut().merge_prefix_reports(&reports, shared.now());
}
