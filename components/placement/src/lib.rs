//! Placement of models and adapters: the memory ledger of one target, orders and fencing, eviction,
//! pins for the last copy, permits for loads, and the planner.
//!
//! Nothing here reads a clock or a socket: time and answers are arguments, actions are values.

mod demand;
mod engine_desk;
mod engine_report;
mod engine_state;
mod eviction;
mod fleet_planner;
mod item;
mod ledger;
mod model_demand;
mod order;
mod part_lease;
mod permits;
mod pins;
mod planner;
mod quarantine;

pub use demand::DemandRate;
pub use engine_desk::{DueOrder, EngineDesk};
pub use engine_report::{EngineOrder, EngineReport, OrderAnswer};
pub use engine_state::{EngineCopy, EngineCopyState, EngineState};
pub use eviction::{Room, Unloading};
pub use fleet_planner::{
    FleetEngine, FleetModel, FleetMove, FleetPlanner, ModelStanding, MoveReason,
};
pub use item::Item;
pub use ledger::{Holding, HoldingState, Ledger, LedgerSettings};
pub use model_demand::ModelDemandTable;
pub use order::{Order, OrderId, OrderKind, OrderRefusal, OrderResult};
pub use part_lease::{PartLease, PartLeaseSettings};
pub use permits::PermitSearch;
pub use pins::{PinAnswer, PinBook};
pub use planner::{
    Move, MoveKind, PlannedModel, PlannedTarget, Planner, PlannerSettings, TargetCopy,
};
pub use quarantine::Quarantine;
