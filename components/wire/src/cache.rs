//! Prompt prefix cache of an engine, as its side process passes it on.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What happened to a cached block.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// All blocks of the model are gone.
    Cleared,
    /// The block is gone.
    Evicted,
    /// The block is held.
    Stored,
}

/// An event of an engine's cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEventCopy {
    /// Number of the event at the engine.
    pub sequence: u64,
    /// What happened.
    pub change: CacheChange,
    /// Model.
    pub model: CompactString,
    /// Hash of the block.
    pub block: u64,
}

/// What a side process knows of its engine's cache after an event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CacheUpdate {
    /// The events asked for are no longer all there: the blocks known now.
    Blocks {
        /// Last event taken into account.
        through: u64,
        /// Hashes of blocks that are held, sorted; there may be more.
        blocks: Vec<u64>,
    },
    /// The events since, in order and without a gap.
    Events(Vec<CacheEventCopy>),
}
