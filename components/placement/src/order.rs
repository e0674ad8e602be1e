//! Load and unload orders that a side process sends to its engine.

use base::Offset;
use compact_str::CompactString;

use crate::Item;

/// Sequence number of an order, unique within one incarnation of its side process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrderId(pub u64);

/// Operation that an order requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Loads the item.
    Load,
    /// Unloads the item.
    Unload,
}

/// An order to the engine. A retransmission keeps the id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Sequence number.
    pub id: OrderId,
    /// Requested operation.
    pub kind: OrderKind,
    /// Model or adapter to load or unload.
    pub item: Item,
    /// Base model, if the item is an adapter.
    pub base_model: Option<CompactString>,
    /// Memory of the item in MB.
    pub memory_mb: u64,
    /// Fencing token of the side process.
    pub fencing: Offset,
}

/// Result of an order as reported by the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// Executed.
    Done,
    /// Arrived after its deadline; not executed.
    Expired,
    /// Not executed for another reason.
    Failed,
    /// The engine has seen a larger fencing token; not executed.
    Fenced,
    /// Not enough memory; not executed.
    NoMemory,
}

/// Reason why the ledger did not create an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderRefusal {
    /// Another order is outstanding.
    Busy,
    /// In-flight requests use the item.
    InUse,
    /// Not enough free memory.
    NoMemory {
        /// Shortfall in MB.
        missing_mb: u64,
    },
    /// The item, or the base model of an adapter, is not resident.
    NotResident,
    /// The item already has an allocation, confirmed or uncertain.
    Present,
    /// The quarantine after a restart is not over.
    Quarantined,
}
