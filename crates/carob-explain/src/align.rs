//! One order for the records of several instances.
//!
//! Clocks of instances differ by seconds and may jump. All instances learn of a change of the directory or
//! the configuration within some tens of milliseconds, though, and each writes a line for it: the median
//! difference between two instances' times of the same changes is the difference of their clocks.

use std::collections::HashMap;

use crate::Record;

/// Messages that all instances write about the same change, with the fields that name the change.
const SHARED: [(&str, &[&str]); 3] = [
    ("directory entry", &["upstream", "state", "born"]),
    ("directory entry removed", &["upstream"]),
    ("configuration in force", &["version"]),
];

/// Sorts records by the clock of the instance that shares the most changes with others, and sets their times
/// to that clock. Records of an instance that shares no change keep their times.
pub fn align(records: &mut [Record]) {
    let mut seen: HashMap<&str, HashMap<String, i64>> = HashMap::new();
    for record in records.iter() {
        if let Some(change) = change(record) {
            let times = seen.entry(record.instance.as_str()).or_default();
            times.entry(change).or_insert(record.time_ms);
        }
    }
    let reference = seen.iter().max_by_key(|(name, times)| (times.len(), **name));
    let offsets: HashMap<String, i64> = match reference {
        None => HashMap::new(),
        Some((_, reference)) => seen
            .iter()
            .map(|(name, times)| ((*name).to_owned(), offset(times, reference)))
            .collect(),
    };
    for record in records.iter_mut() {
        record.time_ms -= offsets.get(&record.instance).copied().unwrap_or(0);
    }
    records.sort_by_key(|record| record.time_ms);
}

fn change(record: &Record) -> Option<String> {
    let (_, fields) = SHARED.iter().find(|(message, _)| *message == record.message)?;
    let parts: Vec<String> = fields.iter().map(|field| record.text(field)).collect();
    Some(format!("{} {}", record.message, parts.join(" ")))
}

/// How much later `times` are than `reference`, in milliseconds.
fn offset(times: &HashMap<String, i64>, reference: &HashMap<String, i64>) -> i64 {
    let mut differences: Vec<i64> = times
        .iter()
        .filter_map(|(change, time)| Some(time - reference.get(change)?))
        .collect();
    differences.sort_unstable();
    differences.get(differences.len() / 2).copied().unwrap_or(0)
}
