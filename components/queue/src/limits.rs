//! Bounds of a queue.

use base::Tokens;

/// Bounds of the queue and speed of the target behind it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Most requests in flight at the target.
    pub max_in_flight: u32,
    /// Most queued requests of one customer.
    pub max_customer_requests: usize,
    /// Most queued tokens of one customer. A request that is larger on its own is taken when the
    /// customer has nothing else queued.
    pub max_customer_tokens: Tokens,
    /// Tokens a second of the target at full batch; zero means unknown, so that no wait is estimated.
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
