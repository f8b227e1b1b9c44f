//! Scarce engine capacity: what urgent requests get before patient ones.

use crate::table::PriorityClass;

/// Least urgent priority that engines know.
const MAX_ENGINE_PRIORITY: u8 = 9;

/// Priority that an engine is told with a generation, so that it admits more urgent ones first. `classes` are the
/// priorities of the service; `None` if they do not differ, so that engines treat all requests alike.
pub fn engine_priority(classes: &[PriorityClass], priority: u8) -> Option<u8> {
    (classes.len() > 1).then(|| priority.min(MAX_ENGINE_PRIORITY))
}
