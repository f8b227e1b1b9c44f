//! Hashes of a prompt's prefixes, by which routing and the cache events of engines refer to the same blocks.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of the part of a prompt that makes one block of an engine's prefix cache, in bytes.
pub const BLOCK_BYTES: usize = 64;
/// Lengths of the prefixes that routing compares, in blocks.
const PREFIX_BLOCKS: [usize; 4] = [4, 16, 64, 256];

/// For each complete block of `prompt`, in order, the hash of the prefix that ends with it.
pub fn block_hashes(prompt: &str) -> impl Iterator<Item = u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks.scan(0, |hash, block| {
        *hash = xxh3_64_with_seed(block, *hash);
        Some(*hash)
    })
}

/// The hashes of the prefixes of `prompt` with 4, 16, 64 and 256 blocks, longest last. A shorter prompt has
/// fewer of them, and none if it has less than 4 blocks.
pub fn prefix_hashes(prompt: &str) -> SmallVec<[u64; 4]> {
    let mut hashes = SmallVec::new();
    for (at, hash) in block_hashes(prompt)
        .enumerate()
        .take(PREFIX_BLOCKS[PREFIX_BLOCKS.len() - 1])
    {
        if PREFIX_BLOCKS.contains(&(at + 1)) {
            hashes.push(hash);
        }
    }
    hashes
}
