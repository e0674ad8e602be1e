//! State of the load permit. A side process runs one load at a time.

use crate::action::SlotOwner;

/// State of the permit for the next load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum PermitState {
    /// No permit.
    Idle,
    /// Requested from this owner, without a response yet.
    Requested(SlotOwner),
    /// Granted; `loading` is set once the load order was created.
    Held { owner: SlotOwner, permit: u64, loading: bool },
}
