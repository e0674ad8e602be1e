//! Placement of models and adapters: the memory ledger of one target, orders and fencing, eviction,
//! pins for the last copy, permits for loads, and the planner.
//!
//! Nothing here reads a clock or a socket: time and answers are arguments, actions are values.

mod demand_rate;
mod engine_order_scheduler;
mod engine_report;
mod engine_state;
mod eviction;
mod fleet_planner;
mod item;
mod memory_ledger;
mod model_demand;
mod order;
mod partition_lease;
mod permit_search;
mod pin_table;
mod planner;
mod quarantine;

pub use demand_rate::DemandRate;
pub use engine_order_scheduler::{DueOrder, EngineOrderScheduler};
pub use engine_report::{EngineOrder, EngineReport, OrderAnswer};
pub use engine_state::{EngineCopy, EngineCopyState, EngineState};
pub use eviction::{EvictionDecision, UnloadPermission};
pub use fleet_planner::{
    FleetEngine, FleetModel, FleetMove, FleetPlanner, ModelCopyStatus, MoveReason,
};
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
pub use quarantine::Quarantine;
