//! Clocks of the process; the only place that reads them.

use std::time::{SystemTime, UNIX_EPOCH};

use base::Timestamp;
use tokio::time::Instant;

/// Monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that reads zero now.
    pub(crate) fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }

    /// The same time as the runtime's timers understand it.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        self.started + at.since(Timestamp::default())
    }
}

/// Seconds since 1970.
pub(crate) fn wall_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
