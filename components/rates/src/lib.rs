//! Token buckets of customers across the fleet: slots, reservations, settlement, slot ownership,
//! collection of parts from several owners, and permits for loads from the weight store.
//!
//! Everything here decides on arguments alone: no clock, socket, thread or random number.

mod bucket;
mod collection;
mod headroom;
mod holders;
mod ledger;
mod parts;
mod permits;
mod plan;
mod record;
mod send_budget;
mod share;
mod shared_bucket;
mod slot_owner;

pub use bucket::Bucket;
pub use collection::{CollectAction, CollectRequest, Collection};
pub use holders::{Distance, SlotHolder, slot_holders};
pub use ledger::{Opening, SlotLedger, SlotState, Verdict, VoidReason};
pub use parts::{Part, PartUse, settle_parts};
pub use permits::{MAX_PERMIT_HOLD_MS, PermitPool};
pub use plan::{AppendEnd, EntryPlace, SlotPlan, SlotView, preferred_owner};
pub use record::{
    BucketLayoutRecord, CustomerLevel, ReplacedOwner, SlotEntry, SlotRecord, SlotSnapshot,
    SnapshotSlot, WriterMark,
};
pub use send_budget::{PeerSends, SendBudget, SendBudgetSettings};
pub use share::{MicroTokens, Share, WEIGHT_STORE, bucket_share, partition_of, slots_of, split};
pub use shared_bucket::{BucketLevels, CustomerRate, GatewayCount, SharedBucket};
pub use slot_owner::{ReleasedSlot, SlotOwner};
