//! State, load and cache reports of an engine.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::EngineRole;

/// State of a model at an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// A load is in progress; its memory is allocated.
    Loading,
    /// Ready to serve.
    Resident,
    /// An unload is in progress; its memory is still allocated.
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

/// Response to `GET /state`: exact at the time of the response.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Memory for models and adapters in MB.
    pub capacity_mb: u64,
    /// Allocated memory in MB, including loads in progress.
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

/// Response to `GET /load`: lags by `sample_age_ms`.
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

/// Kind of an event of the prompt prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// All blocks of the model were removed.
    Cleared,
    /// The block was evicted.
    Evicted,
    /// The block was stored.
    Stored,
}

/// An event of the prompt prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// Kind.
    pub kind: CacheEventKind,
    /// Model.
    pub model: CompactString,
    /// Hash of the block.
    pub block: u64,
}

/// Response to `GET /cache-events`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Events in order of their sequence number.
    pub events: Vec<CacheEvent>,
    /// Sequence number of the last event at the time of the response.
    pub last: u64,
}
