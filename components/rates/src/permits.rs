//! Permits of one slot for loads from the weight store.

use std::time::Duration;

use base::{SortedMap, Timestamp, Tokens};
use wire::PermitOutcome;

use crate::{Bucket, MicroTokens, Share};

/// Longest time that a permit may be held, in milliseconds; longer requests are clamped to it.
///
/// A new owner of a slot has no record of the permits that a crashed owner issued, and issues none
/// until all of them must have expired.
pub const MAX_PERMIT_HOLD_MS: u32 = 60_000;
/// Tokens that one load takes from the weight store's bucket.
const TOKENS_PER_LOAD: Tokens = Tokens(1_000);
/// Advised wait in milliseconds while the concurrency limit is reached: a permit becomes available
/// only when another load ends.
const CONCURRENCY_RETRY_MS: u32 = 200;

/// Limits the loads on permits of one slot by rate and by number in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitPool {
    rate: Bucket,
    concurrent: u32,
    /// Expiry of each permit, by number.
    open: SortedMap<u64, Timestamp>,
    /// Expiries of permits that a former owner issued.
    inherited: Vec<Timestamp>,
}

impl PermitPool {
    /// Creates a pool that has issued no permit and whose bucket has `level`.
    pub fn new(share: Share, concurrent: u32, level: MicroTokens, now: Timestamp) -> Self {
        Self {
            rate: Bucket::with_level(share, level, now),
            concurrent,
            open: SortedMap::new(),
            inherited: Vec::new(),
        }
    }

    /// Counts a former owner's permits until they expire.
    pub fn inherit(&mut self, holds_ms: &[u32], now: Timestamp) {
        let expiries = holds_ms.iter().map(|ms| now + hold_duration(*ms));
        self.inherited.extend(expiries);
    }

    /// Counts as many permits as a crashed owner could have issued, until they must have expired.
    pub fn inherit_unknown(&mut self, now: Timestamp) {
        let expiries = (0..self.concurrent).map(|_| now + hold_duration(MAX_PERMIT_HOLD_MS));
        self.inherited.extend(expiries);
    }

    /// Issues permit `number` for at most `hold_ms` if rate and concurrency allow.
    ///
    /// Numbers must increase from call to call.
    pub fn try_acquire(&mut self, number: u64, hold_ms: u32, now: Timestamp) -> PermitOutcome {
        self.expire(now);
        if self.in_flight() >= self.concurrent as usize {
            return PermitOutcome::Wait { retry_after_ms: CONCURRENCY_RETRY_MS };
        }
        match self.rate.time_until(TOKENS_PER_LOAD, now) {
            Some(Duration::ZERO) => {}
            wait => return PermitOutcome::Wait { retry_after_ms: millis_rounded_up(wait) },
        }
        let Some(tokens) = self.rate.take(number, TOKENS_PER_LOAD, now) else {
            return PermitOutcome::Wait { retry_after_ms: CONCURRENCY_RETRY_MS };
        };
        // Settled in full at once: a started load is never refunded.
        self.rate.settle(number, tokens, now);
        self.open.insert(number, now + hold_duration(hold_ms));
        PermitOutcome::Granted { permit: number }
    }

    /// Ends a permit; does nothing if the number is unknown or the permit has expired.
    pub fn release(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Changes the limits; loads in flight are kept.
    pub fn set_limits(&mut self, share: Share, concurrent: u32, now: Timestamp) {
        self.rate.set_share(share, now);
        self.concurrent = concurrent;
    }

    /// Returns the number of loads that count as in flight.
    pub fn in_flight(&self) -> usize {
        self.open.len() + self.inherited.len()
    }

    /// Returns the level of the rate bucket.
    pub fn level(&mut self, now: Timestamp) -> MicroTokens {
        self.rate.level(now)
    }

    /// Returns the milliseconds until each permit in flight expires, rounded up.
    pub fn remaining_holds_ms(&mut self, now: Timestamp) -> Vec<u32> {
        self.expire(now);
        let expiries = self.open.values().chain(&self.inherited);
        expiries.map(|expiry| millis_rounded_up(Some(expiry.since(now)))).collect()
    }

    fn expire(&mut self, now: Timestamp) {
        self.open.retain(|_, expiry| *expiry > now);
        self.inherited.retain(|expiry| *expiry > now);
    }
}

fn hold_duration(hold_ms: u32) -> Duration {
    Duration::from_millis(u64::from(hold_ms.min(MAX_PERMIT_HOLD_MS)))
}

/// Converts to whole milliseconds, rounded up, at least one; none becomes 60 s.
pub(crate) fn millis_rounded_up(wait: Option<Duration>) -> u32 {
    let micros = wait.unwrap_or(Duration::from_secs(60)).as_micros();
    u32::try_from(micros.div_ceil(1_000)).unwrap_or(u32::MAX).max(1)
}
