//! Blocks of prompt prefixes, as engines name them in cache events.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text in a block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Hashes of the whole blocks of a prompt, first block first.
///
/// Each is XXH3-64 of the block's bytes with the hash of the block before as the seed, so that equal
/// hashes mean equal prefixes. The seed of the first block is the XXH3-64 of the adapter's name, or
/// zero without one, since an adapter changes the cache's content.
pub fn prefix_blocks(adapter: Option<&str>, prompt: &str) -> Vec<u64> {
    let first = adapter.map_or(0, |name| xxh3_64_with_seed(name.as_bytes(), 0));
    let blocks = prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES);
    blocks
        .scan(first, |seed, block| {
            *seed = xxh3_64_with_seed(block, *seed);
            Some(*seed)
        })
        .collect()
}
