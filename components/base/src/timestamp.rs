//! Time as an argument of decisions.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Time since a process started, by its monotonic clock, in microseconds.
///
/// Values of two processes can't be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Timestamp {
    /// Microseconds since the process started.
    pub micros: u64,
}

impl Timestamp {
    /// A time of `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self { micros: millis * 1_000 }
    }

    /// A time of `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Time passed since `earlier`; zero if `earlier` is later.
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
