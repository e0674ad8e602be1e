//! Entry process: callers' HTTP in front, side processes behind.

mod app;
mod attempt;
mod callers;
mod cancel;
mod clock;
mod config_reader;
mod demand;
mod dispatch;
mod error;
mod fleet;
mod forward_attempt;
mod forward_call;
mod forward_job;
mod generate_call;
mod generate_job;
mod handle;
mod heartbeats;
mod in_flight;
mod log_reader;
mod operators;
mod outlet;
mod peer_server;
mod planning;
mod request_id;
mod reserve;
mod shutdown;
mod slots;

pub use error::EntryError;
pub use handle::{EntryHandle, start};
