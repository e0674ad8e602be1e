//! Side process: sole owner of one target's memory ledger, queue and orders.
//!
//! One event loop owns the core; each request and each connection runs in its own task.

mod action;
mod cache_log;
mod claim_replica;
mod clock;
mod config_source;
mod config_source_state;
mod core;
mod core_permits;
mod core_pins;
mod core_placement;
mod core_requests;
mod core_versions;
mod driver;
mod error;
mod event;
mod forward;
mod generation;
mod heartbeats;
mod idempotent_call;
mod incoming;
mod labels;
mod operators;
mod peers;
mod permit_state;
mod pin_search;
mod placement_request;
mod plain_client;
mod probe;
mod process;
mod recent_request_ids;
mod report;
mod request_body;
mod request_task;
mod response_end;
mod start_record;

pub use error::SideError;
pub use process::{SideHandle, SideProcess};
