//! Which instance looks after a key, by rendezvous hashing.
//!
//! Every instance that knows the same members names the same home; when a member comes or goes, only the keys
//! that it gains or loses move.

use smallvec::SmallVec;

/// The `count` members out of `members` that come first for `key`, best first.
pub fn top_ranked(key: &[u8], members: impl IntoIterator<Item = u32>, count: usize) -> SmallVec<[u32; 4]> {
    let seed = xxhash_rust::xxh3::xxh3_64(key);
    let mut best = SmallVec::<[(u64, u32); 4]>::new();
    for id in members {
        let entry = (mix(seed ^ u64::from(id)), id);
        let position = best.partition_point(|other| *other > entry);
        if position < count {
            best.insert(position, entry);
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, id)| id).collect()
}

/// A 64-bit finaliser: every bit of the input changes about half of the output's.
fn mix(value: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&value.to_le_bytes())
}
