//! Assignment of keys to instances by rendezvous (highest random weight) hashing.
//!
//! The home of a key is the instance that is responsible for it. Instances with the same view of the members
//! choose the same home; when a member joins or leaves, only the keys that it gains or loses move.

use smallvec::SmallVec;

/// Returns the `count` members with the highest weight for `key`, highest first.
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

/// Mixes a 64-bit value: each input bit changes about half of the output bits.
fn mix(value: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&value.to_le_bytes())
}
