//! Token buckets of customers across the fleet: slots, reservations, settlement, slot ownership,
//! collection of parts from several owners, and permits for loads from the weight store.
//!
//! Everything here decides on arguments alone: no clock, socket, thread or random number.

mod bucket;
mod collector;
mod headroom;
mod holders;
mod ledger;
mod parts;
mod permits;
mod planner;
mod record;
mod retry_budget;
mod share;
mod shared_bucket;
mod slot_owner;

pub use bucket::Bucket;
pub use collector::{CollectAction, CollectRequest, Collector};
pub use holders::{Distance, SlotHolder, slot_holders};
pub use ledger::{Opening, SlotLedger, SlotState, Verdict, VoidReason};
pub use parts::{PartUsage, ReservationPart, apportion_usage};
pub use permits::{MAX_PERMIT_HOLD_MS, PermitPool};
pub use planner::{AppendOutcome, EntryLocation, PlanInput, SlotPlanner, preferred_owner};
pub use record::{
    BucketLayoutRecord, CustomerLevel, ReplacedOwner, SlotEntry, SlotRecord, SlotSnapshot,
    SnapshotSlot, WriterPosition,
};
pub use retry_budget::{FleetRetryBudget, RetryBudgetSettings, RetryCounts};
pub use share::{
    MicroTokens, Share, WEIGHT_STORE_CUSTOMER, bucket_share, partition_of, slots_of, split,
};
pub use shared_bucket::{BucketLevels, CustomerRate, GatewayCount, SharedBucket};
pub use slot_owner::{ReleasedSlot, SlotOwner};
