//! Rendezvous (highest random weight) hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// 64-bit XXH3 hash; the same in all processes and versions.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// 32-bit hash for names in datagrams.
///
/// With a few thousand names, about one fleet in a thousand has a collision. Its only effect is a
/// wrong estimate.
pub fn short_hash(bytes: &[u8]) -> u32 {
    (xxh3_64(bytes) >> 32) as u32
}

/// Weight of `member` for `key`; the member with the largest weight is preferred.
pub fn rendezvous_score(key: &[u8], member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64(key))
}

/// Returns the members in order of preference for `key`.
pub fn rank_members<'a>(key: &[u8], members: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = members.map(|m| (rendezvous_score(key, m), m)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, member)| member).collect()
}
