//! Planner's view of an engine.

use base::WarmCopies;
use compact_str::CompactString;
use wire::ModelChange;

/// Planner's view of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetEngine {
    /// Id of the engine's incarnation.
    pub id: CompactString,
    /// Memory for weights and adapters in MB.
    pub capacity_mb: u64,
    /// Memory used by adapters in MB.
    pub adapters_mb: u64,
    /// Served models, sorted by name.
    pub models: Vec<CompactString>,
    /// Model load or unload in progress.
    pub changing: Option<ModelChange>,
    /// Copies of weights in the host's memory or on its disk.
    pub warm: WarmCopies,
    /// Running and queued requests.
    pub requests: u32,
    /// Version of the engine's software.
    pub software: CompactString,
    /// Whether the engine's agent can send it orders.
    pub accepts_orders: bool,
    /// Whether the engine does not answer its agent. It may only pause.
    pub is_unresponsive: bool,
    /// Whether the engine takes so few requests that its copies don't carry their part of the demand.
    pub is_throttled: bool,
}
