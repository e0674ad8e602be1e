//! What an engine probably still keeps of the prompts that it was sent.

use std::cmp::Reverse;

use base::{SortedMap, Timestamp};

use crate::PrefixLink;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    /// Number of parts before it.
    depth: usize,
    used_at: Timestamp,
}

/// Prefixes kept by one engine, by the sends that are known of.
///
/// An engine drops the least recently used parts when its memory runs out; the same is done here, so
/// that no word from the engine is needed.
#[derive(Clone, Debug)]
pub struct PrefixMemory {
    capacity_tokens: u64,
    kept_tokens: u64,
    kept: SortedMap<u32, Kept>,
}

impl PrefixMemory {
    /// A memory of an engine that can keep `capacity_tokens`.
    pub const fn new(capacity_tokens: u64) -> Self {
        Self { capacity_tokens, kept_tokens: 0, kept: SortedMap::new() }
    }

    /// Changes the capacity.
    pub fn set_capacity(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = capacity_tokens;
        self.evict();
    }

    /// Tokens at the start of a prompt that are kept; a part counts only if all before it are kept.
    pub fn matched_tokens(&self, links: &[PrefixLink]) -> u64 {
        links
            .iter()
            .take_while(|link| self.kept.contains_key(&link.hash))
            .map(|link| u64::from(link.tokens))
            .sum()
    }

    /// Takes notice that a prompt was sent to the engine.
    pub fn note(&mut self, links: &[PrefixLink], now: Timestamp) {
        for (depth, link) in links.iter().enumerate() {
            let kept = Kept { tokens: link.tokens, depth, used_at: now };
            match self.kept.get_mut(&link.hash) {
                Some(known) => known.used_at = known.used_at.max(now),
                None => {
                    self.kept.insert(link.hash, kept);
                    self.kept_tokens += u64::from(link.tokens);
                }
            }
        }
        self.evict();
    }

    /// Forgets everything, for an engine that started again.
    pub fn clear(&mut self) {
        self.kept = SortedMap::new();
        self.kept_tokens = 0;
    }

    fn evict(&mut self) {
        while self.kept_tokens > self.capacity_tokens {
            // A part is never used later than those before it; of those used at the same time the last
            // one goes first, since it is of no use without the others.
            let oldest = self
                .kept
                .iter()
                .min_by_key(|(_, kept)| (kept.used_at, Reverse(kept.depth)))
                .map(|(hash, _)| *hash);
            let Some(dropped) = oldest.and_then(|hash| self.kept.remove(&hash)) else { return };
            self.kept_tokens -= u64::from(dropped.tokens);
        }
    }
}
