//! Fleet-wide rate limits: token buckets divided into slots, reservations and their settlement,
//! slot ownership, collection of a reservation from several owners, buckets and retry budgets
//! shared by gateways, and permits for loads from the weight store.
//!
//! All decisions depend on the arguments alone; the crate reads no clock, opens no socket, starts
//! no thread and draws no random numbers.

mod bucket;
mod collector;
mod headroom;
mod holders;
mod ledger;
mod parts;
mod permits;
mod planner;
mod record;
mod request_rank;
mod retry_budget;
mod retry_budgets;
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
pub use request_rank::RequestRank;
pub use retry_budget::{FleetRetryBudget, RetryBudgetSettings, RetryCounts, RetryDecision};
pub use retry_budgets::RetryBudgets;
pub use share::{
    MicroTokens, Share, WEIGHT_STORE_CUSTOMER, bucket_share, partition_of, slots_of, split,
};
pub use shared_bucket::{BucketLevels, CustomerRate, GatewayCount, SharedBucket};
pub use slot_owner::{ReleasedSlot, SlotOwner};
