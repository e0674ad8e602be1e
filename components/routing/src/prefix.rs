//! Which targets have which prompt prefixes cached.

use base::SortedMap;
use compact_str::CompactString;

/// Most blocks of a prompt that are looked up.
const MAX_PROMPT_BLOCKS: usize = 64;
/// Most cached blocks remembered for each target.
const MAX_TARGET_BLOCKS: usize = 4_096;

/// What happened to a cached block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEventKind {
    /// The block is in the cache.
    Stored,
    /// The block is no longer in the cache.
    Evicted,
    /// The cache is empty.
    Cleared,
}

/// One event from an engine; `sequence` rises by 1 and has gaps where events were lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Number of the event at the engine.
    pub sequence: u64,
    /// Kind.
    pub kind: CacheEventKind,
    /// Model.
    pub model: CompactString,
    /// Hash of the block and all before it.
    pub block: u64,
}

/// Hashes of the whole blocks of a prompt, each over the model, the adapter and all text up to its end.
pub fn prefix_blocks(model: &str, adapter: Option<&str>, prompt: &str) -> Vec<u64> {
    base::prefix_blocks(model, adapter, prompt).take(MAX_PROMPT_BLOCKS).collect()
}

/// Blocks cached at one target.
#[derive(Clone, Debug, Default)]
struct TargetBlocks {
    last_sequence: Option<u64>,
    /// Whether events were missed since; nothing is known until the cache is cleared or resynced.
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
    /// An index that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next event of a target. A gap drops what is known of the target until it says that
    /// its cache was cleared, or [`PrefixIndex::resync`]; repeated events are ignored.
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

    /// Replaces what is known of a target by its blocks as of event `sequence`.
    pub fn resync(&mut self, target: u32, sequence: u64, mut blocks: Vec<u64>) {
        blocks.sort_unstable();
        blocks.dedup();
        blocks.truncate(MAX_TARGET_BLOCKS);
        let known = TargetBlocks { last_sequence: Some(sequence), stale: false, blocks };
        self.targets.insert(target, known);
    }

    /// Forgets a target, for a new run of its side process.
    pub fn remove(&mut self, target: u32) {
        self.targets.remove(&target);
    }

    /// Whether a target must be resynced.
    pub fn is_stale(&self, target: u32) -> bool {
        self.targets.get(&target).is_some_and(|known| known.stale)
    }

    /// Number of leading blocks that a target has; a prefix is usable only without holes.
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
