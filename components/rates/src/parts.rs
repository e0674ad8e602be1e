//! Partial reservations of one admitted request.

use base::{ProcessId, Tokens};
use wire::SlotId;

/// Tokens debited at one slot for one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReservationPart {
    /// Slot.
    pub slot: SlotId,
    /// Owner that made the debit.
    pub owner: ProcessId,
    /// Reservation number at the owner.
    pub reservation: u64,
    /// Tokens debited.
    pub tokens: Tokens,
}

/// Tokens used of one partial reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartUsage {
    /// Partial reservation.
    pub part: ReservationPart,
    /// Tokens used.
    pub used: Tokens,
}

/// Apportions the tokens that a request used to its parts, in proportion to their size.
///
/// Slots that were debited by equal shares therefore keep equal levels. Usage beyond the reserved
/// total goes to the last part, whose owner debits it.
pub fn apportion_usage(parts: &[ReservationPart], used: Tokens) -> Vec<PartUsage> {
    let total: Tokens = parts.iter().map(|part| part.tokens).sum();
    let used_within = u128::from(used.0.min(total.0));
    let last = parts.len().saturating_sub(1);
    let (mut reserved_through, mut assigned) = (0, 0);
    let share_of = |(index, part): (usize, &ReservationPart)| {
        reserved_through += u128::from(part.tokens.0);
        // Rounds the running sum instead of each share, so that the shares add up exactly.
        let used_through =
            (used_within * reserved_through).checked_div(u128::from(total.0)).unwrap_or(0);
        let share = u64::try_from(used_through - assigned).unwrap_or(u64::MAX);
        assigned = used_through;
        let excess = if index == last { used.0.saturating_sub(total.0) } else { 0 };
        PartUsage { part: part.clone(), used: Tokens(share + excess) }
    };
    parts.iter().enumerate().map(share_of).collect()
}
