//! The rate limit that all loads from the weight store share.
//!
//! The store keeps the time of the next permitted load. An instance that wants to load takes that time and moves
//! it on by one gap with a compare-and-swap; it loads when its clock has reached the time. A clock that is off
//! shifts the loads of its instance but never takes another's turn.

use std::time::Duration;

use bytes::Bytes;
use carob_store::{Call, Entry, Expect};

/// The store's key for the time of the next permitted load, in milliseconds since 1970.
pub const KEY: &str = "carob/order/next-load";

/// Time left for recording the intent before the turn comes, so that the load can start on time.
const LEAD: Duration = Duration::from_secs(1);

/// Reads the limit.
pub fn read_next_load() -> Call {
    Call::Get {
        key: Bytes::from_static(KEY.as_bytes()),
    }
}

/// Takes the next turn after `wall`, in milliseconds since 1970: the turn and the call that takes it.
pub fn reserve_load(entry: Option<&Entry>, gap: Duration, wall: u64) -> (u64, Call) {
    let next = entry.and_then(|entry| std::str::from_utf8(&entry.value).ok()?.parse().ok());
    let turn = next.unwrap_or(0).max(wall + LEAD.as_millis() as u64);
    let call = Call::Swap {
        key: Bytes::from_static(KEY.as_bytes()),
        expect: entry.map_or(Expect::Absent, |entry| Expect::At(entry.revision)),
        value: Bytes::from((turn + gap.as_millis() as u64).to_string()),
        lease: None,
    };
    (turn, call)
}
