//! Events of engines' prefix caches, asked for at regular times.
//!
//! The events are hints: they come late and with gaps, and an engine that publishes none is no fault.

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

/// Time between two looks.
const PERIOD: Duration = Duration::from_secs(1);
/// Largest answer, in bytes.
const LIMIT: usize = 1 << 20;

/// Asks until the instance is closed.
pub fn run(shared: &Arc<Shared>) {
    let mut seen: HashMap<Name, u64> = HashMap::new();
    while shared.phase() != Phase::Closed {
        let round = Instant::now();
        look(shared, &mut seen);
        thread::sleep(PERIOD.saturating_sub(round.elapsed()));
    }
}

/// Asks the engines of the failure domain that this instance looks after for what follows the events that it has seen.
fn look(shared: &Shared, seen: &mut HashMap<Name, u64>) {
    let config = shared.config();
    let mine = shared.polled();
    let generates = |service: &Name| {
        let service = config.services.get(service);
        service.is_some_and(|service| service.kind == ServiceKind::Generation)
    };
    let engines = config
        .upstreams
        .values()
        .filter(|upstream| mine.contains(&upstream.name));
    let asked: Vec<_> = engines
        .filter(|upstream| generates(&upstream.service))
        .map(|upstream| {
            let after = seen.get(&upstream.name).copied().unwrap_or_default();
            let path = format!("/cache/events?after={after}");
            let request = client::Request::get(upstream.address, &path).with_deadline(PERIOD);
            (upstream.name.clone(), client::start(&request))
        })
        .collect();
    for (upstream, opening) in asked {
        let response = opening
            .whole(PERIOD, LIMIT)
            .ok()
            .filter(|response| response.status == 200);
        if let Some(answer) = response.and_then(|response| serde_json::from_slice(&response.body).ok()) {
            take(shared, seen, upstream, &answer);
        }
    }
}

fn take(shared: &Shared, seen: &mut HashMap<Name, u64>, upstream: Name, answer: &Value) {
    let last = answer["last"].as_u64().unwrap_or_default();
    let known = seen.insert(upstream.clone(), last).unwrap_or_default();
    if last < known {
        // The numbers have begun anew with a new process; its events are asked for from the start.
        seen.insert(upstream, 0);
        return;
    }
    let published = answer["events"].as_array().map(Vec::as_slice).unwrap_or_default();
    let events: Vec<CacheEvent> = published.iter().filter_map(event).collect();
    if !events.is_empty() {
        shared.tell(Event::Cached { upstream, events });
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
