//! Gateway process: callers in front, targets behind, without a process between.

mod answer;
mod app;
mod call;
mod call_stream;
mod callers;
mod configuration_watch;
mod engine_orders;
mod error;
mod events;
mod exchange;
mod fleet_ears;
mod fleet_link;
mod handle;
mod operators;
mod peer_configuration;
mod planning;
mod rates_desk;
mod register;
mod relay;
mod remote_engine;
mod request;
mod send;
mod shutdown;
mod target_pool;
mod target_watch;
mod waiting;

pub use error::GatewayError;
pub use events::{EventSplitter, EventTooLong, StreamEvent};
pub use handle::{GatewayHandle, start};
