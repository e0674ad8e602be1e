//! A planned move of a model onto an engine.

use compact_str::CompactString;

/// A planned load of a model, which may require another model to be unloaded first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetMove {
    /// Id of the engine.
    pub engine: CompactString,
    /// Model to load.
    pub load: CompactString,
    /// Memory of the model to load in MB.
    pub memory_mb: u64,
    /// Whether the model may be fetched from the weight store.
    pub may_fetch: bool,
    /// Models that may be unloaded to make room, in order of preference.
    pub unload: Vec<CompactString>,
    /// Reason for the move.
    pub reason: MoveReason,
}

/// Reason for a move, in order of decreasing urgency.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MoveReason {
    /// Requests wait for a copy of the model.
    Waiting,
    /// No engine serves the model.
    NoCopy,
    /// Streams run at a version of the software of which no engine serves the model.
    BoundStreams,
    /// The demand needs more copies.
    Demand,
    /// Memory is free and the model is likely to be requested.
    Prior,
}

impl MoveReason {
    /// Returns the reason as a log value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::NoCopy => "no_copy",
            Self::BoundStreams => "bound_streams",
            Self::Demand => "demand",
            Self::Prior => "prior",
        }
    }
}
