//! Upstreams that say themselves that they leave, in their answers, and what other instances tell of them.

use std::net::SocketAddr;

use carob_dispatch::fleet::UpstreamKey;
use carob_platform::answer::{self, AnswerKind};
use hyper::{HeaderMap, StatusCode};

use super::{call::Call, exchange::upstream_name, shared::Shared};

/// Reads from the head of an answer whether the upstream leaves.
pub(super) fn record_answer(call: &Call, upstream: UpstreamKey, (status, headers): (StatusCode, &HeaderMap)) {
    let shared = &call.shared;
    // Another upstream has the address now, or the answer is not the upstream's.
    if !answer::says_leaving(headers)
        || status == StatusCode::MISDIRECTED_REQUEST
        || answer::classify(status, headers, &call.head.id) == AnswerKind::Foreign
        || shared.fleet().said_leaving(upstream)
    {
        return;
    }
    log::info!(
        request:% = call.id(), upstream:% = upstream_name(call, upstream); "upstream says itself that it leaves"
    );
    shared.mark_leaving(upstream);
}

/// Records that an answer which this instance has forwarded to the instance at `peer` says that the upstream leaves.
pub(super) fn record_relayed(shared: &Shared, upstream: UpstreamKey, id: &[u8], peer: &str) {
    if shared.fleet().said_leaving(upstream) {
        return;
    }
    let name = shared
        .fleet()
        .upstream(upstream)
        .map(|found| found.entry.id.clone());
    log::info!(
        request:% = String::from_utf8_lossy(id), upstream:% = name.unwrap_or_default(), peer:% = peer;
        "upstream says itself that it leaves, in a relayed answer"
    );
    shared.mark_leaving(upstream);
}

/// Applies what the instance at `peer` tells about upstreams that leave.
pub(super) fn merge(shared: &Shared, peer: SocketAddr, hashes: &[u64]) {
    if hashes.is_empty() || !shared.peers().contains(&peer) {
        return;
    }
    for hash in hashes {
        let found = shared.fleet().find_hash(*hash);
        let Some(upstream) = found.filter(|key| !shared.fleet().said_leaving(*key)) else {
            continue;
        };
        let name = shared
            .fleet()
            .upstream(upstream)
            .map(|found| found.entry.id.clone());
        log::info!(upstream:% = name.unwrap_or_default(), peer:% = peer; "upstream leaves, another instance says");
        shared.mark_leaving(upstream);
    }
}
