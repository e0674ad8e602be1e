//! What an engine probably still keeps of the prompts that it was sent.

use std::cmp::Reverse;

use base::{SortedMap, Timestamp};

use crate::PrefixLink;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    /// Number of parts before it.
    depth: usize,
    used_at: Timestamp,
}

/// Prefixes cached by one engine, by the sends that are known of.
///
/// An engine drops the least recently used parts when its memory runs out; the same is done here, so
/// that no word from the engine is needed.
#[derive(Clone, Debug)]
pub struct PrefixCacheEstimate {
    capacity_tokens: u64,
    cached_tokens: u64,
    cached: SortedMap<u32, CachedPart>,
}

impl PrefixCacheEstimate {
    /// A memory of an engine that can keep `capacity_tokens`.
    pub const fn new(capacity_tokens: u64) -> Self {
        Self { capacity_tokens, cached_tokens: 0, cached: SortedMap::new() }
    }

    /// Changes the capacity.
    pub fn set_capacity(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = capacity_tokens;
        self.evict();
    }

    /// Tokens at the start of a prompt that are cached; a part counts only if all before it are cached.
    pub fn matched_tokens(&self, links: &[PrefixLink]) -> u64 {
        links
            .iter()
            .take_while(|link| self.cached.contains_key(&link.hash))
            .map(|link| u64::from(link.tokens))
            .sum()
    }

    /// Takes notice that a prompt was sent to the engine.
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

    /// Forgets everything, for an engine that started again.
    pub fn clear(&mut self) {
        self.cached = SortedMap::new();
        self.cached_tokens = 0;
    }

    fn evict(&mut self) {
        while self.cached_tokens > self.capacity_tokens {
            // A part is never used later than those before it; of those used at the same time the last
            // one goes first, since it is of no use without the others.
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
