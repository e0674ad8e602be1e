//! Parts of one admitted request and their settlement.

use base::{ProcessId, Tokens};
use wire::SlotId;

/// Tokens debited at one slot for one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReservationPart {
    /// Slot.
    pub slot: SlotId,
    /// Owner that made the debit.
    pub owner: ProcessId,
    /// Number of the reservation at the owner.
    pub reservation: u64,
    /// Tokens debited.
    pub tokens: Tokens,
}

/// How much of a part was used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartUsage {
    /// Part.
    pub part: ReservationPart,
    /// Tokens used of it.
    pub used: Tokens,
}

/// Distributes the tokens that a request used over its parts in proportion, so that slots from which
/// even shares were taken stay even; what exceeds the sum goes to the last one, which debits it.
pub fn apportion_usage(parts: &[ReservationPart], used: Tokens) -> Vec<PartUsage> {
    let total: Tokens = parts.iter().map(|part| part.tokens).sum();
    let within = u128::from(used.0.min(total.0));
    let last = parts.len().saturating_sub(1);
    let (mut before, mut assigned) = (0, 0);
    let share_of = |(at, part): (usize, &ReservationPart)| {
        before += u128::from(part.tokens.0);
        // The running sum is rounded, not each share, so that the shares add up.
        let sum = (within * before).checked_div(u128::from(total.0)).unwrap_or(0);
        let share = u64::try_from(sum - assigned).unwrap_or(u64::MAX);
        assigned = sum;
        let excess = if at == last { used.0.saturating_sub(total.0) } else { 0 };
        PartUsage { part: part.clone(), used: Tokens(share + excess) }
    };
    parts.iter().enumerate().map(share_of).collect()
}
