//! Blocks of prompt prefixes, as engines name them in cache events.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::hash_bytes;

/// Bytes of prompt text in a block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Hashes of the whole blocks of a prompt, first block first.
///
/// Each is XXH3-64 of the block's bytes with the hash of the block before as the seed, so that equal
/// hashes mean equal prefixes. The seed of the first block is the XXH3-64 of the adapter's name (empty
/// without one) with the XXH3-64 of the model's name as the seed.
pub fn prefix_blocks(
    model: &str,
    adapter: Option<&str>,
    prompt: &str,
) -> impl Iterator<Item = u64> {
    let first = xxh3_64_with_seed(adapter.unwrap_or("").as_bytes(), hash_bytes(model.as_bytes()));
    prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES).scan(first, |seed, block| {
        *seed = xxh3_64_with_seed(block, *seed);
        Some(*seed)
    })
}
