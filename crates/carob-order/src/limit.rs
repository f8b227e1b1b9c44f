//! The rate limit on loads from the weight store, common to all instances.
//!
//! The store keeps the start time of the next permitted load. To load, an instance reserves that time by
//! advancing it by the load interval with a compare-and-swap, and starts the load when its own clock reaches
//! the reserved time. A wrong clock shifts the loads of its instance, but two instances never reserve the
//! same time.

use std::time::Duration;

use bytes::Bytes;
use carob_store::{Call, Entry, Expect};

/// Store key of the start time of the next permitted load, as Unix time in milliseconds.
pub const KEY: &str = "carob/order/next-load";

/// Minimum time from the reservation to the start of the load. It leaves time to record the intent, so that
/// the load can start on time.
const RESERVATION_LEAD: Duration = Duration::from_secs(1);

/// Returns the call that reads the start time of the next permitted load.
pub fn read_next_load() -> Call {
    Call::Get {
        key: Bytes::from_static(KEY.as_bytes()),
    }
}

/// Returns the next permitted start time after `wall` and the call that reserves it. Times are Unix times in
/// milliseconds; `entry` is the result of [`read_next_load`].
pub fn reserve_load(entry: Option<&Entry>, interval: Duration, wall: u64) -> (u64, Call) {
    let next = entry.and_then(|entry| std::str::from_utf8(&entry.value).ok()?.parse().ok());
    let start = next.unwrap_or(0).max(wall + RESERVATION_LEAD.as_millis() as u64);
    let call = Call::Swap {
        key: Bytes::from_static(KEY.as_bytes()),
        expect: entry.map_or(Expect::Absent, |entry| Expect::At(entry.revision)),
        value: Bytes::from((start + interval.as_millis() as u64).to_string()),
        lease: None,
    };
    (start, call)
}
