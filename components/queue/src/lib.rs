//! Fair queue in front of one target: start-time fair queueing over customers, cost in tokens.
//!
//! The queue is keyed by customer, so requests from entry processes that don't know of one another
//! count towards one share. Nothing here reads a clock.

mod customer;
mod fair_queue;
mod limits;
mod refusal;
mod request;

pub use fair_queue::FairQueue;
pub use limits::QueueLimits;
pub use refusal::QueueRefusal;
pub use request::{QueueRequest, Started, Ticket};
