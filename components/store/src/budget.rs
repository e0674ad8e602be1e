//! Rate limit on the appends of this process.

use std::time::Duration;

use base::Timestamp;

/// Micro-appends per append; keeps the refill exact in integers.
const MICROS_PER_APPEND: u64 = 1_000_000;

/// Token bucket for appends; its burst is the rate of one second.
#[derive(Clone, Debug)]
pub struct AppendBudget {
    per_s: u64,
    level_micros: u64,
    updated: Timestamp,
}

impl AppendBudget {
    /// Creates a full budget of `per_s` appends a second, at least one.
    pub fn new(per_s: u32, now: Timestamp) -> Self {
        let per_s = u64::from(per_s.max(1));
        Self { per_s, level_micros: per_s * MICROS_PER_APPEND, updated: now }
    }

    /// Takes one append from the budget.
    ///
    /// # Errors
    ///
    /// Returns the time until the next append is allowed.
    pub fn try_take(&mut self, now: Timestamp) -> Result<(), Duration> {
        let passed = u64::try_from(now.since(self.updated).as_micros()).unwrap_or(u64::MAX);
        self.updated = self.updated.max(now);
        self.level_micros = self
            .level_micros
            .saturating_add(passed.saturating_mul(self.per_s))
            .min(self.per_s * MICROS_PER_APPEND);
        if self.level_micros >= MICROS_PER_APPEND {
            self.level_micros -= MICROS_PER_APPEND;
            Ok(())
        } else {
            let missing = MICROS_PER_APPEND - self.level_micros;
            Err(Duration::from_micros(missing.div_ceil(self.per_s)))
        }
    }
}
