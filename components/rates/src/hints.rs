//! Estimated levels of slots, by which a requester chooses where to ask first.

use base::{SortedMap, Timestamp, Tokens};
use compact_str::CompactString;
use wire::{ReserveOutcome, SlotId};

use crate::{Distance, MicroTokens, Share, SlotHolder};

/// Steps in which levels are compared; smaller differences go to the nearer owner.
const STEPS: u128 = 16;
/// Steps by which an owner in another region must be fuller to be asked first. Its round trip is tens of
/// milliseconds, which a request feels.
const FAR_PENALTY_STEPS: u128 = 6;
/// Most estimates kept; beyond it the oldest one is dropped.
const MAX_HINTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Hint {
    level: MicroTokens,
    at: Timestamp,
}

/// Levels of slots as of the last answers of their owners.
///
/// A slot that is full while another is not loses its refill, and with it refunds, so that the customer
/// gets less than its rate. Asking the fullest slot first keeps the slots of a bucket level with each
/// other, as if the bucket were whole.
#[derive(Clone, Debug, Default)]
pub struct LevelHints {
    hints: SortedMap<(CompactString, SlotId), Hint>,
}

impl LevelHints {
    /// Notes the level that an owner's answer shows.
    pub fn note(&mut self, customer: &str, slot: SlotId, outcome: &ReserveOutcome, now: Timestamp) {
        let level = match outcome {
            ReserveOutcome::Granted { left, .. } => *left,
            ReserveOutcome::Empty { .. } => Tokens::ZERO,
            ReserveOutcome::NotOwner | ReserveOutcome::UnknownCustomer => return,
        };
        let hint = Hint { level: MicroTokens::from_tokens(level), at: now };
        self.hints.insert((CompactString::new(customer), slot), hint);
        if self.hints.len() > MAX_HINTS {
            let oldest = self.hints.iter().min_by_key(|(_, hint)| hint.at).map(|(key, _)| key);
            if let Some(oldest) = oldest.cloned() {
                self.hints.remove(&oldest);
            }
        }
    }

    /// Puts the holders of a customer's slots in the order to ask: fullest first, nearest first among
    /// about equal ones. A slot without a report counts as full.
    pub fn sort(
        &self,
        customer: &str,
        holders: &mut [SlotHolder],
        share_of: impl Fn(SlotId) -> Option<Share>,
        now: Timestamp,
    ) {
        let customer = CompactString::new(customer);
        holders.sort_by_cached_key(|holder| {
            let share = share_of(holder.slot).unwrap_or_default();
            let fill = self.fill_steps(&customer, holder.slot, share, now);
            let penalty = if holder.distance == Distance::Far { FAR_PENALTY_STEPS } else { 0 };
            (std::cmp::Reverse(fill.saturating_sub(penalty)), holder.distance, holder.slot)
        });
    }

    fn fill_steps(
        &self,
        customer: &CompactString,
        slot: SlotId,
        share: Share,
        now: Timestamp,
    ) -> u128 {
        let Some(hint) = self.hints.get(&(customer.clone(), slot)) else { return STEPS };
        let cap = MicroTokens::from_tokens(Tokens(share.cap_tokens)).0;
        let refill = now.since(hint.at).as_micros() * u128::from(share.rate_tokens_per_s);
        (hint.level.0 + refill).min(cap) * STEPS / cap.max(1)
    }
}
