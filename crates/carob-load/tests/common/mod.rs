//! What the tests over sockets share.

use std::{collections::HashMap, sync::Arc};

use carob_load::{Recorded, body};
use carob_standin::{Engine, Orders};

/// What `engines` and `orders` have run.
pub fn recorded(engines: &[Arc<Engine>], orders: Option<&Orders>) -> Recorded {
    let mut generations = HashMap::<_, Vec<String>>::new();
    for record in engines.iter().flat_map(|engine| engine.records()) {
        if let Some(tag) = body::tag_of(&record.prompt) {
            generations.entry(tag.to_owned()).or_default().push(record.text);
        }
    }
    let count = |orders: &Orders| {
        let mut count = HashMap::new();
        for key in orders.bookings().into_iter().filter_map(|booking| booking.key) {
            *count.entry(key).or_default() += 1;
        }
        count
    };
    Recorded {
        generations: Some(generations),
        orders: orders.map(count),
    }
}
