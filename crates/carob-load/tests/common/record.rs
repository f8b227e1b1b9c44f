//! What the upstreams ran, read from the stand-ins.

use std::{collections::HashMap, sync::Arc};

use carob_load::{UpstreamRecord, body};
use carob_standin::{Engine, Orders};

/// Returns everything that `engines` and `orders` ran. Of a generation whose prompt has no tag, only the
/// preemptions are counted.
pub fn upstream_record(engines: &[Arc<Engine>], orders: Option<&Orders>) -> UpstreamRecord {
    let mut generations = HashMap::<_, Vec<String>>::new();
    let mut preemptions = 0;
    for generation in engines.iter().flat_map(|engine| engine.records()) {
        preemptions += u64::from(generation.preemptions);
        if let Some(tag) = body::tag_of(&generation.prompt) {
            generations
                .entry(tag.to_owned())
                .or_default()
                .push(generation.text);
        }
    }
    UpstreamRecord {
        generations: Some(generations),
        orders: orders.map(count_bookings),
        preemptions: Some(preemptions),
    }
}

/// Counts the bookings by idempotency key.
fn count_bookings(orders: &Orders) -> HashMap<String, usize> {
    let mut count = HashMap::new();
    for key in orders
        .bookings()
        .into_iter()
        .filter_map(|booking| booking.idempotency_key)
    {
        *count.entry(key).or_default() += 1;
    }
    count
}
