//! Counts over all cases of a run.

use std::{collections::BTreeMap, sync::Mutex};

use crate::world::World;

#[derive(Debug, Default)]
pub struct Stats {
    cases: u64,
    answers: u64,
    events: u64,
    ends: BTreeMap<String, u64>,
    faults: BTreeMap<String, u64>,
}

static STATS: Mutex<Option<Stats>> = Mutex::new(None);

impl Stats {
    pub fn add(world: &World) {
        let mut guard = STATS.lock().expect("no test panics while it counts");
        let stats = guard.get_or_insert_default();
        stats.cases += 1;
        stats.answers += world.callers.len() as u64;
        for caller in &world.callers {
            stats.events += caller.received.len() as u64;
            *stats.ends.entry(format!("{:?}", caller.state)).or_default() += 1;
        }
        for (fault, count) in &world.faults {
            *stats.faults.entry(fault.clone()).or_default() += count;
        }
    }

    pub fn print() {
        println!("{:#?}", STATS.lock().expect("no test panics while it counts"));
    }
}
