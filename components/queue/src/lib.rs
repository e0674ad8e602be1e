//! Fair queue in front of one target: start-time fair queueing over customers, cost in tokens.
//!
//! Requests are grouped by customer, so those that arrive through different entry processes count
//! towards the same share. Callers pass in the current time; nothing here reads a clock.

mod customer;
mod fair_queue;
mod limits;
mod refusal;
mod request;

pub use fair_queue::FairQueue;
pub use limits::QueueLimits;
pub use refusal::QueueRefusal;
pub use request::{QueueRequest, Started, Ticket};
