//! The load permit of a side process; one load is in progress at a time.

use crate::action::SlotOwner;

/// Where the permit for the next load stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum PermitState {
    /// None.
    Idle,
    /// Asked for.
    Requested(SlotOwner),
    /// Granted; `loading` once the order was made.
    Held { owner: SlotOwner, permit: u64, loading: bool },
}
