//! Hashes of a prompt's prefixes, by which engines' cache events and routing name the same blocks.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt that make one block of an engine's prefix cache.
pub const BLOCK_BYTES: usize = 64;
/// Lengths of the prefixes that routing compares, in blocks.
const LANDMARKS: [usize; 4] = [4, 16, 64, 256];

/// The hash of the prefix that ends with each whole block of `prompt`, shortest first.
pub fn block_hashes(prompt: &str) -> impl Iterator<Item = u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks.scan(0, |hash, block| {
        *hash = xxh3_64_with_seed(block, *hash);
        Some(*hash)
    })
}

/// The hashes of a few prefixes of `prompt`, longest last; none if it is short.
pub fn prefix_hashes(prompt: &str) -> SmallVec<[u64; 4]> {
    let mut hashes = SmallVec::new();
    for (at, hash) in block_hashes(prompt)
        .enumerate()
        .take(LANDMARKS[LANDMARKS.len() - 1])
    {
        if LANDMARKS.contains(&(at + 1)) {
            hashes.push(hash);
        }
    }
    hashes
}
