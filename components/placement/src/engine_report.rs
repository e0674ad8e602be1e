//! What an engine that takes orders says of itself.

use base::{LoadedModel, WarmCopies};
use wire::AdapterName;

/// State of an engine, as fresh as it gives it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Unix time of its start in milliseconds, if it says so.
    pub started_unix_ms: Option<u64>,
    /// Whether a load or unload of a model is under way.
    pub busy: bool,
    /// Orders accepted in this life.
    pub orders_accepted: u64,
    /// Models that it serves, sorted by name.
    pub models: Vec<LoadedModel>,
    /// Adapters that are being loaded, sorted.
    pub loading_adapters: Vec<AdapterName>,
    /// Copies of weights near it.
    pub warm: WarmCopies,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Memory for prompts that can't yield, in tokens.
    pub cache_used_tokens: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineOrder {
    /// Load an adapter of a model that is there.
    LoadAdapter(AdapterName),
    /// Load a model.
    LoadModel(compact_str::CompactString),
    /// Unload an adapter that no request uses.
    UnloadAdapter(AdapterName),
    /// Unload a model once its requests are done.
    UnloadModel(compact_str::CompactString),
}

impl EngineOrder {
    /// The kind as a value in logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::LoadAdapter(_) => "load_adapter",
            Self::LoadModel(_) => "load_model",
            Self::UnloadAdapter(_) => "unload_adapter",
            Self::UnloadModel(_) => "unload_model",
        }
    }

    /// Model that the order concerns.
    pub const fn model(&self) -> &compact_str::CompactString {
        match self {
            Self::LoadAdapter(name) | Self::UnloadAdapter(name) => &name.model,
            Self::LoadModel(model) | Self::UnloadModel(model) => model,
        }
    }

    /// Adapter that the order concerns.
    pub const fn adapter(&self) -> Option<&compact_str::CompactString> {
        match self {
            Self::LoadAdapter(name) | Self::UnloadAdapter(name) => Some(&name.adapter),
            Self::LoadModel(_) | Self::UnloadModel(_) => None,
        }
    }
}

/// What came of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It is carried out, or it already holds.
    Accepted,
    /// It already holds; nothing changed.
    AlreadyHolds,
    /// Another order is under way, or another one was accepted since the report.
    Conflict,
    /// A newer holder has given orders.
    Fenced,
    /// Another engine has the address.
    OtherEngine,
    /// The engine does not take it.
    Rejected,
    /// No answer: it may have been accepted, or may be accepted later.
    Unknown,
}

impl OrderAnswer {
    /// The answer as a value in logs.
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
