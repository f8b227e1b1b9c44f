//! The instance's status as JSON.

use carob_member::Member;
use carob_route::status::{ServiceStatus, UpstreamStatus};
use serde_json::{Value, json};

use crate::{control::status::Status, shared::Shared};

/// Renders a snapshot.
pub fn render(shared: &Shared, status: &Status) -> String {
    let options = &shared.options;
    let value = json!({
        "instance": options.name.as_str(),
        "domain": options.domain.as_str(),
        "region": options.region.as_str(),
        "phase": format!("{:?}", shared.phase()).to_lowercase(),
        "revision": status.revision.0,
        "digest": status.digest.to_string(),
        "requests": status.requests,
        "claims_pending": status.claims,
        "instances": status.members.iter().map(member).collect::<Vec<_>>(),
        "sent": {
            "datagrams": status.traffic.datagrams,
            "bytes": status.traffic.bytes,
            "cross_domain_bytes": status.traffic.cross_domain,
            "cross_region_bytes": status.traffic.cross_region,
        },
        "services": status.route.services.iter().map(service).collect::<Vec<_>>(),
        "upstreams": status.route.upstreams.iter().map(upstream).collect::<Vec<_>>(),
    });
    format!("{value:#}\n")
}

fn member(member: &Member) -> Value {
    json!({
        "name": member.name.as_str(),
        "domain": member.domain.as_str(),
        "region": member.region.as_str(),
        "status": format!("{:?}", member.status).to_lowercase(),
        "ready": member.ready,
        "leaving": member.leaving,
        "revision": member.revision.0,
        "digest": member.digest.to_string(),
    })
}

fn service(service: &ServiceStatus) -> Value {
    json!({
        "name": service.name.as_str(),
        "waiting": service.waiting,
        "retries_left": service.retries,
    })
}

fn upstream(upstream: &UpstreamStatus) -> Value {
    json!({
        "name": upstream.name.as_str(),
        "service": upstream.service.as_str(),
        "own": upstream.own,
        "batch": upstream.batch,
        "peak_tokens": upstream.peak,
        "memory_tokens": upstream.memory,
        "breaker": format!("{:?}", upstream.breaker).to_lowercase(),
        "leaving": upstream.leaving,
        "report_age_ms": upstream.report_age.map(|age| age.as_millis() as u64),
        "tokens_per_second": upstream.decode_rate,
    })
}
