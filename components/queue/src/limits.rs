//! Limits of a queue.

use base::Tokens;

/// Limits of a queue, and throughput of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of requests in flight at the target.
    pub max_in_flight: u32,
    /// Maximum number of queued requests per customer.
    pub max_customer_requests: usize,
    /// Maximum number of queued tokens per customer. A single request above the limit is queued if
    /// the customer has no other request in the queue.
    pub max_customer_tokens: Tokens,
    /// Throughput of the target at full batch, in tokens per second. Zero means unknown; waits are
    /// then estimated as zero.
    pub tokens_per_s: u64,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            max_in_flight: 1,
            max_customer_requests: 512,
            max_customer_tokens: Tokens(200_000),
            tokens_per_s: 0,
        }
    }
}
