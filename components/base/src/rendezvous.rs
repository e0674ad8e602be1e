//! Rendezvous (highest random weight) hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Stable 64-bit hash of bytes (XXH3); the same on every process and version.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Short stable hash of bytes, for names in datagrams: two of a few thousand names are equal by chance
/// once in about a thousand fleets, which costs a wrong estimate and nothing else.
pub fn short_hash(bytes: &[u8]) -> u32 {
    (xxh3_64(bytes) >> 32) as u32
}

/// Weight of `member` for `key`; the member with the largest weight is the first choice.
pub fn rendezvous_score(key: &[u8], member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64(key))
}

/// Members in order of preference for `key`, first choice first.
pub fn rank_members<'a>(key: &[u8], members: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = members.map(|m| (rendezvous_score(key, m), m)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, member)| member).collect()
}
