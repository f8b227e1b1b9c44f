//! Correction of clock differences, which puts the records of several instances in one order.
//!
//! The clocks of instances differ by seconds and may jump. But all instances learn of a change of the directory
//! or the configuration within some tens of milliseconds, and each logs it. The median difference between the
//! times at which two instances logged the same changes is taken as the difference of their clocks.

use std::collections::HashMap;

use crate::Record;

/// Messages that all instances log about the same change, with the fields that identify the change.
const SHARED_MESSAGES: [(&str, &[&str]); 3] = [
    ("directory entry", &["upstream", "state", "born"]),
    ("directory entry removed", &["upstream"]),
    ("configuration in force", &["version"]),
];

/// Sorts records by the clock of the instance that has logged the most such changes, and sets their times to
/// that clock. Records of an instance that has no change in common with it keep their times.
pub fn align(records: &mut [Record]) {
    let mut change_times: HashMap<&str, HashMap<String, i64>> = HashMap::new();
    for record in records.iter() {
        if let Some(change) = change_id(record) {
            let times = change_times.entry(record.instance.as_str()).or_default();
            times.entry(change).or_insert(record.time_ms);
        }
    }
    let reference = change_times
        .iter()
        .max_by_key(|(name, times)| (times.len(), **name));
    let offsets: HashMap<String, i64> = match reference {
        None => HashMap::new(),
        Some((_, reference)) => change_times
            .iter()
            .map(|(name, times)| ((*name).to_owned(), offset(times, reference)))
            .collect(),
    };
    for record in records.iter_mut() {
        record.time_ms -= offsets.get(&record.instance).copied().unwrap_or(0);
    }
    records.sort_by_key(|record| record.time_ms);
}

/// Identifies the change that a record is about; `None` if the record is not about a shared change.
fn change_id(record: &Record) -> Option<String> {
    let (_, fields) = SHARED_MESSAGES
        .iter()
        .find(|(message, _)| *message == record.message)?;
    let parts: Vec<String> = fields.iter().map(|field| record.text(field)).collect();
    Some(format!("{} {}", record.message, parts.join(" ")))
}

/// Returns the median of the differences between `times` and `reference`, in milliseconds; positive if
/// `times` are later, and zero if no change is in both.
fn offset(times: &HashMap<String, i64>, reference: &HashMap<String, i64>) -> i64 {
    let mut differences: Vec<i64> = times
        .iter()
        .filter_map(|(change, time)| Some(time - reference.get(change)?))
        .collect();
    differences.sort_unstable();
    differences.get(differences.len() / 2).copied().unwrap_or(0)
}
