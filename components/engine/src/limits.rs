//! Time limits of calls to an engine.

use std::time::Duration;

/// Time limits of calls to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineLimits {
    /// Longest time to open a connection.
    pub connect: Duration,
    /// Longest wait for the answer to a call other than an order, a generation or a KV transfer.
    pub call: Duration,
    /// Longest wait for the head of an answer and for each event of it.
    pub event: Duration,
    /// Longest time for a KV cache export or import.
    pub kv_transfer: Duration,
    /// Wait for an order's result beyond its deadline, since an order may end just after it.
    pub order_margin: Duration,
}

impl Default for EngineLimits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(1),
            event: Duration::from_secs(10),
            kv_transfer: Duration::from_secs(5),
            order_margin: Duration::from_millis(500),
        }
    }
}
