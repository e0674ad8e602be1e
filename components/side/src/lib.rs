//! Side process: sole owner of one target's memory ledger, queue and orders.
//!
//! One event loop owns the core; each request and each connection is a task around it.

mod action;
mod cache_log;
mod claim_desk;
mod clock;
mod config_source;
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
mod incoming;
mod keyed_call;
mod labels;
mod operators;
mod peers;
mod permit_state;
mod pin_round;
mod plain_client;
mod probe;
mod process;
mod report;
mod request_task;
mod seen_calls;
mod source_state;
mod start_record;
mod up_body;
mod wish;

pub use error::SideError;
pub use process::{SideHandle, SideProcess};
