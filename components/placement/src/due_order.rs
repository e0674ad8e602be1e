//! Orders to send to an engine, and those that it has.

use base::Timestamp;
use compact_str::CompactString;

use crate::EngineOrder;

/// An order to send now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueOrder {
    /// Order to send.
    pub order: EngineOrder,
    /// Number of orders that the engine must have accepted before it.
    pub expected: u64,
    /// Id of the engine incarnation that it is addressed to.
    pub target: CompactString,
    /// Number of the engine's run, counted by observed restarts; the id may stay the same.
    pub run: u64,
}

/// An order without a reply.
#[derive(Clone, Debug)]
pub(crate) struct UnconfirmedOrder {
    pub order: EngineOrder,
    pub expected: u64,
}

/// A load or unload of a model that the engine has accepted.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedChange {
    pub model: CompactString,
    pub loading: bool,
    /// Time of acceptance.
    pub accepted_at: Timestamp,
    /// Estimated time of completion.
    pub expected_end: Timestamp,
    /// Number of orders that the engine had accepted before it.
    pub expected: u64,
}
