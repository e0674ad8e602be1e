//! Entry process: callers' HTTP in front, side processes behind.

mod app;
mod attempt;
mod callers;
mod cancel_signal;
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
mod peer_server;
mod planning;
mod request_id;
mod reserve;
mod response_writer;
mod shutdown;
mod slots;

pub use error::EntryError;
pub use handle::{EntryHandle, start};
