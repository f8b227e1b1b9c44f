//! Periodic polls of engines for the events of their prefix caches.
//!
//! The events are hints: they arrive late and with gaps, and an engine may publish none.

use std::{
    collections::HashMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use carob_base::Name;
use carob_config::ServiceKind;
use carob_http::client;
use carob_route::cache::{Change, Event as CacheEvent};
use serde_json::Value;
use smallvec::smallvec;

use crate::{
    control::Event,
    shared::{Phase, Shared},
};

/// Interval of the polls, and time limit of each.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Polls until the instance is closed.
pub fn run(shared: &Arc<Shared>) {
    let mut last_seen: HashMap<Name, u64> = HashMap::new();
    while shared.phase() != Phase::Closed {
        let round = Instant::now();
        poll_engines(shared, &mut last_seen);
        thread::sleep(POLL_INTERVAL.saturating_sub(round.elapsed()));
    }
}

/// Asks the engines that are assigned to this instance for the events after the last ones that it has seen.
fn poll_engines(shared: &Shared, last_seen: &mut HashMap<Name, u64>) {
    let config = shared.config();
    let polled = shared.polled();
    let generates = |service: &Name| {
        let service = config.services.get(service);
        service.is_some_and(|service| service.kind == ServiceKind::Generation)
    };
    let engines = config
        .upstreams
        .values()
        .filter(|upstream| polled.contains(&upstream.name));
    let requests: Vec<_> = engines
        .filter(|upstream| generates(&upstream.service))
        .map(|upstream| {
            let after = last_seen.get(&upstream.name).copied().unwrap_or_default();
            let path = format!("/cache/events?after={after}");
            let request = client::Request::get(upstream.address, &path).with_deadline(POLL_INTERVAL);
            (upstream.name.clone(), client::start(&request))
        })
        .collect();
    for (upstream, pending) in requests {
        let response = pending
            .into_response(POLL_INTERVAL, MAX_RESPONSE_BYTES)
            .ok()
            .filter(|response| response.status == 200);
        if let Some(response) = response.and_then(|response| serde_json::from_slice(&response.body).ok()) {
            apply_response(shared, last_seen, upstream, &response);
        }
    }
}

fn apply_response(shared: &Shared, last_seen: &mut HashMap<Name, u64>, upstream: Name, response: &Value) {
    let last = response["last"].as_u64().unwrap_or_default();
    let known = last_seen.insert(upstream.clone(), last).unwrap_or_default();
    if last < known {
        // A new process has restarted the sequence numbers; its events are requested from the start.
        last_seen.insert(upstream, 0);
        return;
    }
    let published = response["events"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let events: Vec<CacheEvent> = published.iter().filter_map(event).collect();
    if !events.is_empty() {
        shared.send_event(Event::CacheEvents { upstream, events });
    }
}

fn event(value: &Value) -> Option<CacheEvent> {
    let hash = u64::from_str_radix(value["block"].as_str()?, 16).ok()?;
    let change = match value["kind"].as_str()? {
        "stored" => Change::Stored(smallvec![hash]),
        "removed" => Change::Removed(smallvec![hash]),
        _ => return None,
    };
    Some(CacheEvent {
        sequence: value["sequence"].as_u64()?,
        change,
    })
}
