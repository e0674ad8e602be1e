//! Estimate of the prompt prefixes in an engine's cache, derived from the requests sent to it.

use std::cmp::Reverse;

use base::{SortedMap, Timestamp};

use crate::PrefixLink;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    /// Number of parts before this one.
    depth: usize,
    used_at: Timestamp,
}

/// Prefixes that one engine probably has cached, according to the known sends.
///
/// Engines evict the least recently used parts when their memory is full. This estimate does the
/// same, so it needs no reports from the engine.
#[derive(Clone, Debug)]
pub struct PrefixCacheEstimate {
    capacity_tokens: u64,
    cached_tokens: u64,
    cached: SortedMap<u32, CachedPart>,
}

impl PrefixCacheEstimate {
    /// Creates an empty estimate for an engine with a cache of `capacity_tokens`.
    pub const fn new(capacity_tokens: u64) -> Self {
        Self { capacity_tokens, cached_tokens: 0, cached: SortedMap::new() }
    }

    /// Changes the capacity, and evicts parts beyond it.
    pub fn set_capacity(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = capacity_tokens;
        self.evict();
    }

    /// Returns the number of leading prompt tokens that are cached. A part counts only if all parts
    /// before it are cached.
    pub fn matched_tokens(&self, links: &[PrefixLink]) -> u64 {
        links
            .iter()
            .take_while(|link| self.cached.contains_key(&link.hash))
            .map(|link| u64::from(link.tokens))
            .sum()
    }

    /// Records that a prompt was sent to the engine.
    pub fn record_prompt(&mut self, links: &[PrefixLink], now: Timestamp) {
        for (depth, link) in links.iter().enumerate() {
            let cached = CachedPart { tokens: link.tokens, depth, used_at: now };
            match self.cached.get_mut(&link.hash) {
                Some(known) => known.used_at = known.used_at.max(now),
                None => {
                    self.cached.insert(link.hash, cached);
                    self.cached_tokens += u64::from(link.tokens);
                }
            }
        }
        self.evict();
    }

    /// Removes all prefixes, after a restart of the engine.
    pub fn clear(&mut self) {
        self.cached = SortedMap::new();
        self.cached_tokens = 0;
    }

    fn evict(&mut self) {
        while self.cached_tokens > self.capacity_tokens {
            // A part is never used later than the parts before it. Among parts used at the same
            // time the deepest is evicted first, because it is useless without the others.
            let oldest = self
                .cached
                .iter()
                .min_by_key(|(_, cached)| (cached.used_at, Reverse(cached.depth)))
                .map(|(hash, _)| *hash);
            let Some(dropped) = oldest.and_then(|hash| self.cached.remove(&hash)) else { return };
            self.cached_tokens -= u64::from(dropped.tokens);
        }
    }
}
