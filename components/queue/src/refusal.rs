//! Why a request was not queued.

use std::time::Duration;

/// Why a request was not queued; it did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueRefusal {
    /// The estimated wait ends after the deadline.
    DeadlineTooShort {
        /// Estimated wait.
        wait: Duration,
    },
    /// The customer's share of the queue is full.
    Full {
        /// Estimated time until there is room.
        retry_after: Duration,
    },
}
