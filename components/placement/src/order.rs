//! Orders to an engine.

use base::Offset;
use compact_str::CompactString;

use crate::Item;

/// Number of an order at its side process; with the process and its incarnation it is unique.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrderId(pub u64);

/// What an order does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Loads the item.
    Load,
    /// Unloads the item.
    Unload,
}

/// An order to the engine. The same order sent again has the same id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Number.
    pub id: OrderId,
    /// What it does.
    pub kind: OrderKind,
    /// Model or adapter.
    pub item: Item,
    /// Base model of an adapter.
    pub base_model: Option<CompactString>,
    /// Memory of the item in MB.
    pub memory_mb: u64,
    /// Fencing number of the side process.
    pub fencing: Offset,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// Carried out.
    Done,
    /// Arrived after its deadline; not carried out.
    Expired,
    /// Not carried out for another reason.
    Failed,
    /// The engine has seen a larger fencing number; not carried out.
    Fenced,
    /// No memory; not carried out.
    NoMemory,
}

/// Why an order was not made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderRefusal {
    /// Another order is outstanding.
    Busy,
    /// Requests are using the item.
    InUse,
    /// Too little memory.
    NoMemory {
        /// Memory that is missing in MB.
        missing_mb: u64,
    },
    /// The item, or the base model of an adapter, is not resident.
    NotResident,
    /// The item is present already, or may be.
    Present,
    /// Orders are withheld after a restart.
    Quarantined,
}
