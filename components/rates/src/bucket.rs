//! One slot of one customer's bucket.

use std::time::Duration;

use base::{SortedMap, Timestamp, Tokens};

use crate::headroom::Headroom;
use crate::{MicroTokens, Share};

/// Age after which an unsettled reservation is forgotten without a refund.
///
/// Its requester died or lost the reply; longer than any request may run.
const RESERVATION_KEEP: Duration = Duration::from_secs(900);
/// Time between searches for such reservations.
const FORGET_EVERY: Duration = Duration::from_secs(100);
/// Layers of headroom beyond two for each reservation before they are joined.
const SPARE_LAYERS: usize = 64;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Reservation {
    layer: usize,
    tokens: Tokens,
    taken_at: Timestamp,
}

/// Level of one slot with exact integer arithmetic, refilled when it is looked at.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Bucket {
    share: Share,
    headroom: Headroom,
    refilled_at: Timestamp,
    forgotten_at: Timestamp,
    reservations: SortedMap<u64, Reservation>,
}

impl Bucket {
    /// A bucket with `level` at `now`; a level above the cap is clipped.
    pub fn with_level(share: Share, level: MicroTokens, now: Timestamp) -> Self {
        let cap = cap_of(share);
        Self {
            share,
            headroom: Headroom::new(cap - level.0.min(cap)),
            refilled_at: now,
            forgotten_at: now,
            reservations: SortedMap::new(),
        }
    }

    /// A bucket that no debit was ever made from.
    pub fn full(share: Share, now: Timestamp) -> Self {
        Self::with_level(share, MicroTokens(cap_of(share)), now)
    }

    /// A bucket whose history is unknown.
    pub fn empty(share: Share, now: Timestamp) -> Self {
        Self::with_level(share, MicroTokens(0), now)
    }

    /// Rate and cap.
    pub const fn share(&self) -> Share {
        self.share
    }

    /// Level now; zero while more was used than reserved and the rest is being paid back.
    pub fn level(&mut self, now: Timestamp) -> MicroTokens {
        self.refill(now);
        MicroTokens(cap_of(self.share).saturating_sub(self.headroom.total()))
    }

    /// Whether the level is at the cap and no reservation is open, so that the bucket's history no
    /// longer matters.
    pub fn is_idle(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.headroom.total() == 0 && self.reservations.is_empty()
    }

    /// Debits `wanted`, or the whole tokens that are there, or nothing, as reservation `number`.
    ///
    /// Numbers must rise from call to call.
    pub fn take(&mut self, number: u64, wanted: Tokens, now: Timestamp) -> Option<Tokens> {
        let tokens = Tokens(wanted.0.min(self.level(now).whole_tokens().0));
        if tokens == Tokens::ZERO {
            return None;
        }
        if self.headroom.len() > 2 * self.reservations.len() + SPARE_LAYERS
            || now.since(self.forgotten_at) >= FORGET_EVERY
        {
            self.compact(now);
        }
        let layer = self.headroom.push(MicroTokens::from_tokens(tokens).0);
        self.reservations.insert(number, Reservation { layer, tokens, taken_at: now });
        Some(tokens)
    }

    /// Settles a reservation to the tokens used and returns what was refunded; none if the number is
    /// unknown or was settled before, which changes nothing.
    ///
    /// The level rises by at most the smallest headroom since the reservation, so it is what it would
    /// be had only `used` been taken. More used than reserved is debited now and may leave a debt.
    pub fn settle(&mut self, number: u64, used: Tokens, now: Timestamp) -> Option<MicroTokens> {
        self.refill(now);
        let reservation = self.reservations.remove(&number)?;
        let spare = reservation.tokens.saturating_sub(used);
        let excess = used.saturating_sub(reservation.tokens);
        if excess > Tokens::ZERO {
            self.headroom.push(MicroTokens::from_tokens(excess).0);
        }
        let spare = MicroTokens::from_tokens(spare).0;
        Some(MicroTokens(self.headroom.take_through(reservation.layer, spare)))
    }

    /// Adopts a new rate and cap: the old rate counts up to `now`, a lowered cap clips the level, a
    /// raised cap adds headroom but no tokens.
    pub fn set_share(&mut self, share: Share, now: Timestamp) {
        self.refill(now);
        let (old_cap, new_cap) = (cap_of(self.share), cap_of(share));
        if new_cap < old_cap {
            self.headroom.take_newest(old_cap - new_cap);
        } else if new_cap > old_cap {
            self.headroom.push(new_cap - old_cap);
        }
        self.share = share;
    }

    /// Time until `tokens` are there, if nothing else is taken; none if they never will be.
    pub fn time_until(&mut self, tokens: Tokens, now: Timestamp) -> Option<Duration> {
        self.refill(now);
        let (cap, want) = (cap_of(self.share), MicroTokens::from_tokens(tokens).0);
        let missing = (want + self.headroom.total()).saturating_sub(cap);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if want > cap || self.share.rate_tokens_per_s == 0 {
            return None;
        }
        let micros = missing.div_ceil(u128::from(self.share.rate_tokens_per_s));
        Some(Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)))
    }

    /// Number of reservations not yet settled.
    pub fn open_reservations(&self) -> usize {
        self.reservations.len()
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.refilled_at).as_micros();
        if elapsed > 0 {
            self.headroom.take_newest(elapsed * u128::from(self.share.rate_tokens_per_s));
            self.refilled_at = now;
        }
    }

    fn compact(&mut self, now: Timestamp) {
        self.forgotten_at = now;
        self.reservations.retain(|_, r| now.since(r.taken_at) < RESERVATION_KEEP);
        self.headroom.compact(self.reservations.values_mut().map(|r| &mut r.layer));
    }
}

fn cap_of(share: Share) -> u128 {
    MicroTokens::from_tokens(Tokens(share.cap_tokens)).0
}
