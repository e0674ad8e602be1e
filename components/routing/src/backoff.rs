//! Budget, delays and deadlines of retries.

use std::time::Duration;

use base::Timestamp;
use rand::Rng;

/// Largest share of the remaining time that a hop keeps for itself, as a divisor.
const HOP_MARGIN_DIVISOR: u32 = 50;
/// Least time that a hop keeps for itself.
const HOP_MARGIN_MIN: Duration = Duration::from_millis(2);
/// Credit of one retry.
const MILLIONTHS_PER_RETRY: u64 = 1_000_000;
/// Seconds of unused budget that are kept.
const MAX_REFILL_SECONDS: u64 = 10;

/// Delay before a retry: exponential, with full jitter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub initial: Duration,
    /// Upper bound of every delay.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { initial: Duration::from_millis(20), max: Duration::from_secs(1) }
    }
}

impl Backoff {
    /// Delay before retry number `retry`, from zero.
    pub fn delay(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let bound = self.initial.saturating_mul(1 << retry.min(16)).min(self.max);
        let micros = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(rng.random_range(0..=micros))
    }
}

/// Limits retries to a share of requests plus a fixed number a second, so that retries can't multiply
/// the load of a fleet that is failing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    percent: u64,
    floor_per_s: u64,
    /// Millionths of a retry earned by requests.
    earned: u64,
    /// Most that may be kept of `earned`.
    earned_cap: u64,
    /// Millionths of a retry from the fixed rate.
    floor: u64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// A budget of `percent` of requests plus `floor_per_s`; nothing is earned yet.
    pub fn new(percent: u32, floor_per_s: u32, now: Timestamp) -> Self {
        let floor_per_s = u64::from(floor_per_s);
        Self {
            percent: u64::from(percent),
            floor_per_s,
            earned: 0,
            earned_cap: 100 * MILLIONTHS_PER_RETRY,
            floor: floor_per_s * MILLIONTHS_PER_RETRY,
            refilled_at: now,
        }
    }

    /// Counts a request that is not a retry.
    pub fn record_request(&mut self) {
        let credit = self.percent * MILLIONTHS_PER_RETRY / 100;
        self.earned = (self.earned + credit).min(self.earned_cap);
    }

    /// Takes one retry from the budget, if it has one.
    pub fn try_spend(&mut self, now: Timestamp) -> bool {
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        // Bounded, so that the product can't overflow; no more than a second's worth is kept anyway.
        let micros = micros.min(MAX_REFILL_SECONDS * 1_000_000);
        self.refilled_at = self.refilled_at.max(now);
        self.floor =
            (self.floor + micros * self.floor_per_s).min(self.floor_per_s * MILLIONTHS_PER_RETRY);
        for credit in [&mut self.floor, &mut self.earned] {
            if *credit >= MILLIONTHS_PER_RETRY {
                *credit -= MILLIONTHS_PER_RETRY;
                return true;
            }
        }
        false
    }
}

/// Time that the next hop gets: what is left less a margin for the way back; none if nothing is.
pub fn remaining_for_hop(deadline: Timestamp, now: Timestamp) -> Option<Duration> {
    let left = deadline.since(now);
    let margin = (left / HOP_MARGIN_DIVISOR).max(HOP_MARGIN_MIN);
    left.checked_sub(margin).filter(|rest| *rest >= Duration::from_millis(1))
}
