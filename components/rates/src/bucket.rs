//! Token bucket of one slot of one customer.

use std::time::Duration;

use base::{SortedMap, Timestamp, Tokens};

use crate::headroom::Headroom;
use crate::{MicroTokens, Share};

/// Age after which an unsettled reservation is dropped without a refund.
///
/// By then its requester must have crashed or never received the reply, since no request may run
/// this long.
const RESERVATION_RETENTION: Duration = Duration::from_secs(900);
/// Interval between scans for expired reservations.
const COMPACTION_INTERVAL: Duration = Duration::from_secs(100);
/// Headroom layers allowed beyond two per open reservation before the layers are compacted.
const MAX_SPARE_LAYERS: usize = 64;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Reservation {
    layer: usize,
    tokens: Tokens,
    reserved_at: Timestamp,
}

/// Token bucket with exact integer arithmetic, refilled lazily on access.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Bucket {
    share: Share,
    headroom: Headroom,
    refilled_at: Timestamp,
    compacted_at: Timestamp,
    reservations: SortedMap<u64, Reservation>,
}

impl Bucket {
    /// Creates a bucket with `level` at `now`; a level above the cap is clipped.
    pub fn with_level(share: Share, level: MicroTokens, now: Timestamp) -> Self {
        let cap = cap_of(share);
        Self {
            share,
            headroom: Headroom::new(cap - level.0.min(cap)),
            refilled_at: now,
            compacted_at: now,
            reservations: SortedMap::new(),
        }
    }

    /// Creates a full bucket, for one that was never debited.
    pub fn full(share: Share, now: Timestamp) -> Self {
        Self::with_level(share, MicroTokens(cap_of(share)), now)
    }

    /// Creates an empty bucket, for one whose history is unknown.
    pub fn empty(share: Share, now: Timestamp) -> Self {
        Self::with_level(share, MicroTokens(0), now)
    }

    /// Returns the rate and the cap.
    pub const fn share(&self) -> Share {
        self.share
    }

    /// Returns the level at `now`; zero while a debt from usage beyond a reservation is repaid.
    pub fn level(&mut self, now: Timestamp) -> MicroTokens {
        self.refill(now);
        MicroTokens(cap_of(self.share).saturating_sub(self.headroom.total()))
    }

    /// Returns whether the level is at the cap and no reservation is open.
    ///
    /// The history of such a bucket has no further effect.
    pub fn is_idle(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.headroom.total() == 0 && self.reservations.is_empty()
    }

    /// Debits `wanted`, or all available whole tokens if there are fewer, as reservation `number`;
    /// returns none if no whole token is available.
    ///
    /// Numbers must increase from call to call.
    pub fn take(&mut self, number: u64, wanted: Tokens, now: Timestamp) -> Option<Tokens> {
        let tokens = Tokens(wanted.0.min(self.level(now).whole_tokens().0));
        if tokens == Tokens::ZERO {
            return None;
        }
        if self.headroom.len() > 2 * self.reservations.len() + MAX_SPARE_LAYERS
            || now.since(self.compacted_at) >= COMPACTION_INTERVAL
        {
            self.compact(now);
        }
        let layer = self.headroom.push(MicroTokens::from_tokens(tokens).0);
        self.reservations.insert(number, Reservation { layer, tokens, reserved_at: now });
        Some(tokens)
    }

    /// Settles a reservation to the tokens used and returns the refund; does nothing and returns
    /// none if the number is unknown or already settled.
    ///
    /// The level increases by at most the smallest headroom since the reservation, so it equals the
    /// level after taking only `used`. Usage beyond the reservation is debited now and may leave a
    /// debt.
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

    /// Changes rate and cap at `now`; tokens accrue at the old rate until then.
    ///
    /// A lowered cap clips the level; a raised cap adds headroom but no tokens.
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

    /// Returns the time until `tokens` are available if nothing else is taken, or none if they
    /// never will be.
    pub fn time_until(&mut self, tokens: Tokens, now: Timestamp) -> Option<Duration> {
        self.refill(now);
        let (cap, wanted) = (cap_of(self.share), MicroTokens::from_tokens(tokens).0);
        let missing = (wanted + self.headroom.total()).saturating_sub(cap);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if wanted > cap || self.share.rate_tokens_per_s == 0 {
            return None;
        }
        let micros = missing.div_ceil(u128::from(self.share.rate_tokens_per_s));
        Some(Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)))
    }

    /// Returns the number of unsettled reservations.
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
        self.compacted_at = now;
        self.reservations
            .retain(|_, reservation| now.since(reservation.reserved_at) < RESERVATION_RETENTION);
        self.headroom
            .compact(self.reservations.values_mut().map(|reservation| &mut reservation.layer));
    }
}

fn cap_of(share: Share) -> u128 {
    MicroTokens::from_tokens(Tokens(share.cap_tokens)).0
}
