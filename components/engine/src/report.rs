//! What an engine reports about itself.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::EngineRole;

/// State of a model at an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// A load is in progress; its memory is taken.
    Loading,
    /// Ready to serve.
    Resident,
    /// An unload is in progress; its memory is still taken.
    Unloading,
}

/// A model at an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResidentModel {
    /// Model.
    pub model: CompactString,
    /// Version.
    pub version: CompactString,
    /// State.
    pub state: ModelState,
}

/// Answer to `GET /state`: exact at the moment of the answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Memory for models and adapters in MB.
    pub capacity_mb: u64,
    /// Memory taken in MB, loads in progress included.
    pub used_mb: u64,
    /// Models.
    pub models: Vec<ResidentModel>,
    /// Loaded adapters.
    pub adapters: Vec<CompactString>,
    /// Ids of the orders in progress.
    pub orders_in_progress: Vec<CompactString>,
    /// Role.
    pub role: EngineRole,
}

/// Answer to `GET /load`: lags by `sample_age_ms`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadSample {
    /// Requests in the batch.
    pub running: u32,
    /// Tokens that wait inside the engine.
    pub waiting_tokens: u64,
    /// KV cache blocks in use.
    pub kv_used_blocks: u64,
    /// KV cache blocks.
    pub kv_blocks: u64,
    /// Age of the sample in milliseconds.
    pub sample_age_ms: u32,
}

/// What happened to a block of the prompt prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// All blocks of the model are gone.
    Cleared,
    /// The block is gone.
    Evicted,
    /// The block is held.
    Stored,
}

/// An event of the prompt prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of the event; a gap means that events were lost.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Model.
    pub model: CompactString,
    /// Hash of the block.
    pub block: u64,
}

/// Answer to `GET /cache-events`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Events in order of their number.
    pub events: Vec<CacheEvent>,
    /// Number of the last event that the engine reports on.
    pub last: u64,
}
