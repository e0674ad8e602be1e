//! A clock that also counts the time for which the machine was suspended.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::{Incarnation, Timestamp};
use rustix::time::{ClockId, Timespec, clock_gettime};

/// Clock that starts with the process.
///
/// Leases and evidence must not seem younger than they are after a suspension, which the monotonic
/// clock does not count.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started: Duration,
}

impl BootClock {
    /// A clock that reads zero now.
    pub fn start() -> Self {
        Self { started: since_boot() }
    }

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::default() + since_boot().saturating_sub(self.started)
    }
}

fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanos = u32::try_from(tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Number of this run of the process: Unix time in microseconds.
pub fn new_incarnation() -> Incarnation {
    let micros = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros());
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}
