//! Timestamps that are passed into decisions, so that these read no clock.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Monotonic time since the start of the process, in microseconds.
///
/// Timestamps of different processes are not comparable.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Timestamp {
    /// Microseconds since the process started.
    pub micros: u64,
}

impl Timestamp {
    /// Timestamp `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self { micros: millis * 1_000 }
    }

    /// Timestamp `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self { micros: self.micros.saturating_add(micros) }
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self { micros: self.micros.saturating_sub(micros) }
    }
}
