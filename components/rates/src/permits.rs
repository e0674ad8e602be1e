//! Permits for loads from the weight store at one slot.

use std::time::Duration;

use base::{SortedMap, Timestamp, Tokens};
use wire::PermitOutcome;

use crate::{Bucket, MicroTokens, Share};

/// Longest time that a permit may be held, in milliseconds; longer requests are cut to it.
///
/// A new owner of a slot does not know the permits that a dead one gave, and gives none itself until
/// all of those have run out.
pub const MAX_PERMIT_HOLD_MS: u32 = 60_000;
/// Tokens of the store's bucket that one load takes.
const LOAD: Tokens = Tokens(1_000);
/// Advice to ask again when only the end of another load can help, in milliseconds.
const BUSY_RETRY_MS: u32 = 200;

/// Limits one slot's loads by rate and by number in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitPool {
    rate: Bucket,
    concurrent: u32,
    /// End of each permit, by number.
    open: SortedMap<u64, Timestamp>,
    /// Ends of permits that a former owner gave.
    inherited: Vec<Timestamp>,
}

impl PermitPool {
    /// A pool that has given no permit, with `level` tokens in its bucket.
    pub fn new(share: Share, concurrent: u32, level: MicroTokens, now: Timestamp) -> Self {
        Self {
            rate: Bucket::with_level(share, level, now),
            concurrent,
            open: SortedMap::new(),
            inherited: Vec::new(),
        }
    }

    /// Counts a former owner's permits until they run out.
    pub fn inherit(&mut self, holds_ms: &[u32], now: Timestamp) {
        let ends = holds_ms.iter().map(|ms| now + hold(*ms));
        self.inherited.extend(ends);
    }

    /// Counts as many permits of a dead owner as it could have given.
    pub fn inherit_unknown(&mut self, now: Timestamp) {
        let ends = (0..self.concurrent).map(|_| now + hold(MAX_PERMIT_HOLD_MS));
        self.inherited.extend(ends);
    }

    /// Gives permit `number` for at most `hold_ms` if rate and concurrency allow; numbers rise.
    pub fn try_acquire(&mut self, number: u64, hold_ms: u32, now: Timestamp) -> PermitOutcome {
        self.expire(now);
        if self.in_flight() >= self.concurrent as usize {
            return PermitOutcome::Wait { retry_after_ms: BUSY_RETRY_MS };
        }
        match self.rate.time_until(LOAD, now) {
            Some(Duration::ZERO) => {}
            wait => return PermitOutcome::Wait { retry_after_ms: millis_up(wait) },
        }
        let Some(tokens) = self.rate.take(number, LOAD, now) else {
            return PermitOutcome::Wait { retry_after_ms: BUSY_RETRY_MS };
        };
        // The load counts as started: nothing of it is refunded.
        self.rate.settle(number, tokens, now);
        self.open.insert(number, now + hold(hold_ms));
        PermitOutcome::Granted { permit: number }
    }

    /// Ends a permit; an unknown number or one that ran out changes nothing.
    pub fn release(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Adopts new limits; loads in flight stay.
    pub fn set_limits(&mut self, share: Share, concurrent: u32, now: Timestamp) {
        self.rate.set_share(share, now);
        self.concurrent = concurrent;
    }

    /// Loads that count as in flight.
    pub fn in_flight(&self) -> usize {
        self.open.len() + self.inherited.len()
    }

    /// Level of the rate bucket.
    pub fn level(&mut self, now: Timestamp) -> MicroTokens {
        self.rate.level(now)
    }

    /// Milliseconds until each permit in flight runs out, rounded up.
    pub fn remaining_holds_ms(&mut self, now: Timestamp) -> Vec<u32> {
        self.expire(now);
        let ends = self.open.values().chain(&self.inherited);
        ends.map(|end| millis_up(Some(end.since(now)))).collect()
    }

    fn expire(&mut self, now: Timestamp) {
        self.open.retain(|_, end| *end > now);
        self.inherited.retain(|end| *end > now);
    }
}

fn hold(hold_ms: u32) -> Duration {
    Duration::from_millis(u64::from(hold_ms.min(MAX_PERMIT_HOLD_MS)))
}

/// Whole milliseconds, rounded up, at least one; a long time if there is none.
pub(crate) fn millis_up(wait: Option<Duration>) -> u32 {
    let micros = wait.unwrap_or(Duration::from_secs(60)).as_micros();
    u32::try_from(micros.div_ceil(1_000)).unwrap_or(u32::MAX).max(1)
}
