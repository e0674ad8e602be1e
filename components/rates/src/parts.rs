//! Parts of one admitted request and their settlement.

use base::{ProcessId, Tokens};
use wire::SlotId;

/// Tokens debited at one slot for one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
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
pub struct PartUse {
    /// Part.
    pub part: Part,
    /// Tokens used of it.
    pub used: Tokens,
}

/// Distributes the tokens that a request used over its parts, first part first; what exceeds their
/// sum goes to the last one, which debits it.
pub fn settle_parts(parts: &[Part], used: Tokens) -> Vec<PartUse> {
    let mut rest = used;
    let last = parts.len().saturating_sub(1);
    parts
        .iter()
        .enumerate()
        .map(|(at, part)| {
            let share = if at == last { rest } else { rest.min(part.tokens) };
            rest -= share;
            PartUse { part: part.clone(), used: share }
        })
        .collect()
}
