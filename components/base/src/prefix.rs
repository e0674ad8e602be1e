//! Hashes of prompt prefix blocks, as engines report them in cache events.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::hash_bytes;

/// Size of a prefix block in bytes of prompt text.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Returns the hashes of the complete blocks of a prompt in order.
///
/// Each hash is the XXH3-64 of the block's bytes, seeded with the hash of the preceding block, so
/// equal hashes mean equal prefixes. The seed of the first block is the XXH3-64 of the adapter name
/// (empty if there is no adapter), seeded with the XXH3-64 of the model name.
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
