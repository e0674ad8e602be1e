//! Requests and their tickets.

use std::time::Duration;

use base::{Timestamp, Tokens};
use compact_str::CompactString;

/// Number of a queued or running request; rises with each arrival.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request as the queue sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueRequest {
    /// Customer whose share it counts towards.
    pub customer: CompactString,
    /// Weight of the customer; zero counts as one.
    pub weight: u32,
    /// Prompt tokens plus reserved output tokens.
    pub cost: Tokens,
    /// Priority inside the customer; larger is sooner.
    pub priority: u8,
    /// When it must have started.
    pub deadline: Timestamp,
    /// Whether it can start as soon as a slot is free; otherwise it waits for
    /// [`FairQueue::set_ready`](crate::FairQueue::set_ready), for example for a model load.
    pub ready: bool,
}

/// A request that left the queue for the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Started {
    /// The request.
    pub ticket: Ticket,
    /// Time spent in the queue.
    pub waited: Duration,
}
