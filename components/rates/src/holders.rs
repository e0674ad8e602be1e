//! Owners of the slots of a customer's bucket, ordered by distance.

use base::ProcessId;
use config::BucketLayout;
use wire::SlotId;

use crate::{SlotLedger, slots_of};

/// Distance of an owner from the requester, nearest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The requester itself.
    Local,
    /// In the same data centre.
    DataCentre,
    /// In another data centre of the same region.
    Region,
    /// In another region.
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

/// Returns the owned slots of a customer's bucket, nearest first.
///
/// Owners for which `distance_of` returns none (not reachable) are left out.
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
    holders.sort_by_key(|holder| (holder.distance, holder.slot));
    holders
}
