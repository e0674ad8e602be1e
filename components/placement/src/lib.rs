//! Placement of models and adapters: the memory ledger of one target, orders with fencing tokens,
//! eviction, pins for the last copy of a model, load permits, and the planners.
//!
//! The crate does no I/O and reads no clock: timestamps and replies are passed in as arguments, and
//! actions are returned as values.

mod bound_demand;
mod demand_rate;
mod due_order;
mod engine_order_scheduler;
mod engine_report;
mod engine_state;
mod eviction;
mod fleet_engine;
mod fleet_model;
mod fleet_move;
mod fleet_planner;
mod item;
mod memory_ledger;
mod missing_copy;
mod model_demand;
mod order;
mod partition_lease;
mod permit_search;
mod pin_table;
mod planner;
mod planning_rounds;
mod quarantine;
mod unanswered_orders;

pub use bound_demand::{BoundDemand, BoundDemandTable};
pub use demand_rate::DemandRate;
pub use due_order::DueOrder;
pub use engine_order_scheduler::EngineOrderScheduler;
pub use engine_report::{EngineOrder, EngineReport, OrderAnswer};
pub use engine_state::{EngineCopy, EngineCopyState, EngineState};
pub use eviction::{EvictionDecision, UnloadPermission};
pub use fleet_engine::FleetEngine;
pub use fleet_model::{FleetModel, VersionDemand};
pub use fleet_move::{FleetMove, MoveReason};
pub use fleet_planner::{FleetPlanner, ModelCopyStatus};
pub use item::Item;
pub use memory_ledger::{Allocation, AllocationState, MemoryLedger, MemoryLedgerSettings};
pub use model_demand::ModelDemandTable;
pub use order::{Order, OrderId, OrderKind, OrderRefusal, OrderResult};
pub use partition_lease::{PartitionLease, PartitionLeaseSettings};
pub use permit_search::PermitSearch;
pub use pin_table::{PinAnswer, PinTable};
pub use planner::{
    Move, MoveKind, PlannedModel, PlannedTarget, Planner, PlannerSettings, TargetCopy,
};
pub use planning_rounds::PlanningRounds;
pub use quarantine::Quarantine;
pub use unanswered_orders::UnansweredOrders;
