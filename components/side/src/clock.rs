//! The process's monotonic clock.

use std::time::{Duration, Instant};

use base::Timestamp;

/// Clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }
}

/// Whole milliseconds, saturating at `u32::MAX`, the range of the message fields.
pub(crate) fn to_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
