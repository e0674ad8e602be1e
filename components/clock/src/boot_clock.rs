//! Clock that includes the time for which the machine was suspended.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::{Incarnation, Timestamp};
use rustix::time::{ClockId, Timespec, clock_gettime};

/// Clock that starts with the process and keeps counting while the machine is suspended.
///
/// The monotonic clock stops during a suspension, so leases and evidence would appear younger than
/// they are.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started_at: Duration,
}

impl BootClock {
    /// Creates a clock that reads zero now.
    pub fn start() -> Self {
        Self { started_at: time_since_boot() }
    }

    /// Returns the time since [`BootClock::start`].
    pub fn now(&self) -> Timestamp {
        Timestamp::default() + time_since_boot().saturating_sub(self.started_at)
    }
}

fn time_since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanos = u32::try_from(tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Returns the incarnation of a process that starts now: the Unix time in microseconds.
pub fn new_incarnation() -> Incarnation {
    let micros = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros());
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}
