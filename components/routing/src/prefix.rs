//! Index of the prompt prefixes cached at each target.

use base::SortedMap;
use compact_str::CompactString;

/// Maximum number of blocks of a prompt that are looked up.
const MAX_PROMPT_BLOCKS: usize = 64;
/// Maximum number of cached blocks recorded per target.
const MAX_TARGET_BLOCKS: usize = 4_096;

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
    /// The cache was emptied.
    Cleared,
}

/// Cache event of an engine. `sequence` increases by 1; a gap means that events were lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Sequence number of the event at the engine.
    pub sequence: u64,
    /// Kind of the event.
    pub kind: CacheEventKind,
    /// Model of the cached block.
    pub model: CompactString,
    /// Hash of the block and all blocks before it.
    pub block: u64,
}

/// Returns the hashes of the complete blocks of a prompt. Each covers the model, the adapter and
/// all text up to the end of the block.
pub fn prefix_blocks(model: &str, adapter: Option<&str>, prompt: &str) -> Vec<u64> {
    base::prefix_blocks(model, adapter, prompt).take(MAX_PROMPT_BLOCKS).collect()
}

/// Blocks cached at one target.
#[derive(Clone, Debug, Default)]
struct TargetBlocks {
    last_sequence: Option<u64>,
    /// Whether events were missed. The content is unknown until the cache is cleared or resynced.
    stale: bool,
    /// Block hashes, sorted.
    blocks: Vec<u64>,
}

/// Index from block hashes to targets.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    targets: SortedMap<u32, TargetBlocks>,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an event of a target. Repeated events are ignored. A gap discards the target's
    /// blocks and ignores further ones until its cache is cleared or [`PrefixIndex::resync`] is
    /// called.
    pub fn apply(&mut self, target: u32, event: &CacheEvent) {
        let known = self.targets.get_or_insert_with(target, TargetBlocks::default);
        match known.last_sequence {
            Some(last) if event.sequence <= last => return,
            Some(last) if event.sequence > last + 1 => known.mark_stale(),
            None if event.sequence > 1 => known.mark_stale(),
            _ => {}
        }
        known.last_sequence = Some(event.sequence);
        match event.kind {
            CacheEventKind::Cleared => {
                known.blocks.clear();
                known.stale = false;
            }
            _ if known.stale => {}
            CacheEventKind::Stored => known.insert(event.block),
            CacheEventKind::Evicted => {
                if let Ok(at) = known.blocks.binary_search(&event.block) {
                    known.blocks.remove(at);
                }
            }
        }
    }

    /// Replaces the recorded blocks of a target by its blocks as of event `sequence`.
    pub fn resync(&mut self, target: u32, sequence: u64, mut blocks: Vec<u64>) {
        blocks.sort_unstable();
        blocks.dedup();
        blocks.truncate(MAX_TARGET_BLOCKS);
        let known = TargetBlocks { last_sequence: Some(sequence), stale: false, blocks };
        self.targets.insert(target, known);
    }

    /// Removes a target, for example when its side process has restarted.
    pub fn remove(&mut self, target: u32) {
        self.targets.remove(&target);
    }

    /// Returns whether a target must be resynced.
    pub fn is_stale(&self, target: u32) -> bool {
        self.targets.get(&target).is_some_and(|known| known.stale)
    }

    /// Returns the number of leading blocks cached at a target; blocks after the first missing one
    /// can't be reused.
    pub fn matched(&self, target: u32, blocks: &[u64]) -> usize {
        let Some(known) = self.targets.get(&target) else { return 0 };
        blocks.iter().take_while(|block| known.blocks.binary_search(block).is_ok()).count()
    }
}

impl TargetBlocks {
    fn mark_stale(&mut self) {
        self.blocks.clear();
        self.stale = true;
    }

    fn insert(&mut self, block: u64) {
        if let Err(at) = self.blocks.binary_search(&block)
            && self.blocks.len() < MAX_TARGET_BLOCKS
        {
            self.blocks.insert(at, block);
        }
    }
}
