//! Agent process: sends all orders to the engine on its machine and reports the engine's state to
//! the gateways.

mod app;
mod configuration_watch;
mod engine_driver;
mod error;
mod gateway_link;
mod handle;
mod order;
mod start_record;

pub use error::AgentError;
pub use handle::{AgentHandle, start};
pub use order::send_order;
