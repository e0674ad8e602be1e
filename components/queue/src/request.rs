//! Queued requests and their tickets.

use std::time::Duration;

use base::{Timestamp, Tokens};
use compact_str::CompactString;

/// Identifier of a queued or running request; increases with each queued request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request to be queued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueRequest {
    /// Customer whose share the request counts towards.
    pub customer: CompactString,
    /// Weight of the customer; zero counts as one.
    pub weight: u32,
    /// Prompt tokens plus reserved output tokens.
    pub cost: Tokens,
    /// Priority among the customer's requests; larger values start earlier.
    pub priority: u8,
    /// Time by which the request must have started.
    pub deadline: Timestamp,
    /// Whether the request can start as soon as a slot is free. Otherwise it waits for
    /// [`FairQueue::set_ready`](crate::FairQueue::set_ready), for example until a model is loaded.
    pub ready: bool,
}

/// A request that left the queue to run at the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Started {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Time spent in the queue.
    pub waited: Duration,
}
