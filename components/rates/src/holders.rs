//! Where the parts of a customer's bucket are.

use base::ProcessId;
use config::BucketLayout;
use wire::SlotId;

use crate::{SlotLedger, slots_of};

/// How far an owner is from the requester, nearest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The requester itself.
    Local,
    /// Same data centre.
    DataCentre,
    /// Same region.
    Region,
    /// Another region.
    OtherRegion,
}

/// A slot with its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotHolder {
    /// Slot.
    pub slot: SlotId,
    /// Owner.
    pub owner: ProcessId,
    /// Distance to the owner.
    pub distance: Distance,
}

/// Owned slots of a customer's bucket, nearest first; owners for which `distance_of` gives none (not
/// reachable) are left out.
pub fn slot_holders(
    customer: &str,
    layout: BucketLayout,
    ledger: &SlotLedger,
    distance_of: impl Fn(&ProcessId) -> Option<Distance>,
) -> Vec<SlotHolder> {
    let mut holders: Vec<SlotHolder> = slots_of(customer, layout)
        .filter_map(|slot| {
            let owner = ledger.owner(slot)?;
            Some(SlotHolder { slot, owner: owner.clone(), distance: distance_of(owner)? })
        })
        .collect();
    holders.sort_by_key(|h| (h.distance, h.slot));
    holders
}
