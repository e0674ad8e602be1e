//! Reasons for refusing a request.

use std::time::Duration;

/// Why a request was not queued. A refused request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueRefusal {
    /// The estimated wait reaches the deadline.
    DeadlineTooShort {
        /// Estimated wait.
        wait: Duration,
    },
    /// The customer's queue limits are reached.
    Full {
        /// Estimated time until the request could be queued.
        retry_after: Duration,
    },
}
