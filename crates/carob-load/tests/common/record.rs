//! The upstreams' record, read from the stand-ins.

use std::{collections::HashMap, sync::Arc};

use carob_load::{UpstreamRecord, body};
use carob_standin::{Engine, Orders};

/// Returns the record of everything that `engines` and `orders` ran.
pub fn upstream_record(engines: &[Arc<Engine>], orders: Option<&Orders>) -> UpstreamRecord {
    let mut generations = HashMap::<_, Vec<String>>::new();
    let mut preemptions = 0;
    for record in engines.iter().flat_map(|engine| engine.records()) {
        preemptions += u64::from(record.preemptions);
        if let Some(tag) = body::tag_of(&record.prompt) {
            generations.entry(tag.to_owned()).or_default().push(record.text);
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
