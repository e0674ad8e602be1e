//! Time limits of calls to an engine.

use std::time::Duration;

/// Time limits of calls to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineLimits {
    /// Connect timeout.
    pub connect: Duration,
    /// Limit for the response to a call other than an order, a generation or a KV transfer.
    pub call: Duration,
    /// Limit for the response head of a generation and for each event of it.
    pub event: Duration,
    /// Limit for a KV cache export or import.
    pub kv_transfer: Duration,
    /// Additional wait for an order's result after its deadline, since it may end shortly after.
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
