//! Orders to an engine and their results.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Phases of a request that an engine runs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Decode only.
    Decode,
    /// Prefill only.
    Prefill,
}

/// Action of an order.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(untagged)]
pub enum OrderKind {
    /// Loads a model.
    LoadModel {
        /// Model.
        model: CompactString,
        /// Version.
        version: CompactString,
        /// Memory in MB.
        memory_mb: u64,
        /// Time to load at full store speed, in milliseconds.
        load_ms: u64,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// Adapter.
        adapter: CompactString,
        /// Base model.
        model: CompactString,
        /// Memory in MB.
        memory_mb: u64,
        /// Time to load, in milliseconds.
        load_ms: u64,
    },
    /// Unloads a model.
    UnloadModel {
        /// Model.
        model: CompactString,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// Adapter.
        adapter: CompactString,
    },
    /// Changes the role.
    SetRole {
        /// New role.
        role: EngineRole,
    },
}

impl OrderKind {
    pub(crate) const fn path(&self) -> &'static str {
        match self {
            Self::LoadModel { .. } => "/models/load",
            Self::LoadAdapter { .. } => "/adapters/load",
            Self::UnloadModel { .. } => "/models/unload",
            Self::UnloadAdapter { .. } => "/adapters/unload",
            Self::SetRole { .. } => "/role",
        }
    }
}

/// An order to an engine. Sending the same id again returns the same result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Id of the order.
    pub id: CompactString,
    /// Fencing number of the sender.
    pub fencing: u64,
    /// Time after which the engine must not start the order.
    pub deadline: Duration,
    /// Action.
    pub kind: OrderKind,
}

/// Result of an order, as reported by the engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// Executed.
    Done,
    /// Not executed: the deadline had passed.
    Expired,
    /// Not executed: the engine reported a failure.
    Failed,
    /// Not executed: the fencing number is below the engine's minimum.
    Fenced,
    /// Not executed: not enough memory.
    NoMemory,
}
