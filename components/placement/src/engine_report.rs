//! State reports of engines that accept orders, and the orders themselves.

use base::{LoadedModel, WarmCopies};
use wire::AdapterName;

/// State of an engine, as current as the engine reports it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Unix time of the engine's start in milliseconds, if reported.
    pub started_unix_ms: Option<u64>,
    /// Whether a load or unload of a model is in progress.
    pub busy: bool,
    /// Number of orders accepted since the start.
    pub orders_accepted: u64,
    /// Served models, sorted by name.
    pub models: Vec<LoadedModel>,
    /// Adapters being loaded, sorted.
    pub loading_adapters: Vec<AdapterName>,
    /// Copies of weights in the host's memory or on its disk.
    pub warm: WarmCopies,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Prompt cache that can't be evicted, in tokens.
    pub cache_used_tokens: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineOrder {
    /// Load an adapter of a resident model.
    LoadAdapter(AdapterName),
    /// Load a model.
    LoadModel(compact_str::CompactString),
    /// Unload an adapter that no request uses.
    UnloadAdapter(AdapterName),
    /// Unload a model once its requests have completed.
    UnloadModel(compact_str::CompactString),
}

impl EngineOrder {
    /// Returns the kind as a log value.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::LoadAdapter(_) => "load_adapter",
            Self::LoadModel(_) => "load_model",
            Self::UnloadAdapter(_) => "unload_adapter",
            Self::UnloadModel(_) => "unload_model",
        }
    }

    /// Returns the model that the order concerns.
    pub const fn model(&self) -> &compact_str::CompactString {
        match self {
            Self::LoadAdapter(name) | Self::UnloadAdapter(name) => &name.model,
            Self::LoadModel(model) | Self::UnloadModel(model) => model,
        }
    }

    /// Returns the adapter that the order concerns.
    pub const fn adapter(&self) -> Option<&compact_str::CompactString> {
        match self {
            Self::LoadAdapter(name) | Self::UnloadAdapter(name) => Some(&name.adapter),
            Self::LoadModel(_) | Self::UnloadModel(_) => None,
        }
    }
}

/// Outcome of sending an order to the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine accepted the order or already is in the requested state.
    Accepted,
    /// The engine already is in the requested state; nothing changed.
    AlreadyHolds,
    /// Another order is in progress, or was accepted after the report.
    Conflict,
    /// A holder with a larger fencing token has sent orders.
    Fenced,
    /// A different engine uses the address.
    OtherEngine,
    /// The engine rejected the order.
    Rejected,
    /// No reply: the order may have been accepted or may still be.
    Unknown,
}

impl OrderAnswer {
    /// Returns the answer as a log value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::AlreadyHolds => "already_holds",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::OtherEngine => "other_engine",
            Self::Rejected => "rejected",
            Self::Unknown => "unknown",
        }
    }
}
