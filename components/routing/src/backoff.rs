//! Retry budget, backoff delays and deadlines per hop.

use std::time::Duration;

use base::Timestamp;
use rand::Rng;

/// Divisor of the remaining time that gives the margin a hop reserves for the way back.
const HOP_MARGIN_DIVISOR: u32 = 50;
/// Minimum margin that a hop reserves.
const HOP_MARGIN_MIN: Duration = Duration::from_millis(2);
/// Credit that one retry costs.
const MILLIONTHS_PER_RETRY: u64 = 1_000_000;
/// Maximum time since the last refill that is credited, in seconds.
const MAX_REFILL_SECONDS: u64 = 10;

/// Exponential backoff with full jitter.
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
    /// Returns a random delay before retry number `retry`, counted from zero.
    pub fn delay(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let bound = self.initial.saturating_mul(1 << retry.min(16)).min(self.max);
        let micros = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(rng.random_range(0..=micros))
    }
}

/// Limits retries to a share of requests plus a fixed rate, so that retries can't multiply the load
/// on a failing fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    percent: u64,
    floor_per_s: u64,
    /// Millionths of a retry earned by requests.
    earned: u64,
    /// Upper bound of `earned`.
    max_earned: u64,
    /// Millionths of a retry available from the fixed rate.
    floor: u64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Creates a budget of `percent` of requests plus `floor_per_s` retries per second. It starts
    /// with one second of the fixed rate.
    pub fn new(percent: u32, floor_per_s: u32, now: Timestamp) -> Self {
        let floor_per_s = u64::from(floor_per_s);
        Self {
            percent: u64::from(percent),
            floor_per_s,
            earned: 0,
            max_earned: 100 * MILLIONTHS_PER_RETRY,
            floor: floor_per_s * MILLIONTHS_PER_RETRY,
            refilled_at: now,
        }
    }

    /// Records a request that is not a retry.
    pub fn record_request(&mut self) {
        let credit = self.percent * MILLIONTHS_PER_RETRY / 100;
        self.earned = (self.earned + credit).min(self.max_earned);
    }

    /// Spends one retry; returns false if the budget is exhausted.
    pub fn try_spend(&mut self, now: Timestamp) -> bool {
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        // The bound prevents overflow of the product; at most one second of the rate is kept
        // anyway.
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

/// Returns the time limit for the next hop: the remaining time less a margin for the way back, or
/// none if less than 1 ms would be left.
pub fn remaining_for_hop(deadline: Timestamp, now: Timestamp) -> Option<Duration> {
    let left = deadline.since(now);
    let margin = (left / HOP_MARGIN_DIVISOR).max(HOP_MARGIN_MIN);
    left.checked_sub(margin).filter(|rest| *rest >= Duration::from_millis(1))
}
