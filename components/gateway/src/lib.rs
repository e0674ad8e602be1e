//! Gateway process: accepts requests from callers and forwards each one directly to a target.

mod app;
mod callers;
mod configuration_watch;
mod dispatch;
mod engine_orders;
mod error;
mod events;
mod exchange;
mod fleet_link;
mod fleet_receiver;
mod handle;
mod in_flight_send;
mod operators;
mod peer_configuration;
mod planning;
mod quarantined_parts;
mod rate_limits;
mod registry;
mod relay;
mod remote_engine;
mod request;
mod request_handler;
mod retry;
mod run_end;
mod shutdown;
mod stored_parts;
mod stream_failover;
mod target_pool;
mod target_signals;
mod target_watch;
mod unanswered_request;
mod waiting;

pub use error::GatewayError;
pub use events::{EventSplitter, EventTooLong, StreamEvent};
pub use handle::{GatewayHandle, start};
pub use run_end::{RunEnd, RunState};
