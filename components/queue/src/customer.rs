//! Per-customer state of the queue.

use std::cmp::Reverse;

use base::{Timestamp, Tokens};

use crate::Ticket;

/// Units of virtual time per token at weight 1; more than one, so that dividing by a weight keeps
/// precision.
const UNITS_PER_TOKEN: u64 = 1 << 10;

/// Returns the virtual time that `cost` takes at `weight`.
pub(crate) fn virtual_cost(cost: Tokens, weight: u32) -> u64 {
    cost.0.saturating_mul(UNITS_PER_TOKEN) / u64::from(weight.max(1))
}

/// A request that can start; the greatest entry starts first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ReadyEntry {
    pub priority: u8,
    pub ticket: Reverse<Ticket>,
    pub deadline: Timestamp,
}

/// State of a customer with queued or running requests, or with a start tag ahead of virtual time.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerQueue {
    pub weight: u32,
    /// Start tag of the customer's next request: the finish tag of its last one, or the virtual
    /// time at which the customer became active.
    pub start_tag: u64,
    /// Refunded virtual time that could not be applied without passing the smallest start tag of
    /// the other waiting customers. It reduces later charges instead, so that a refund never moves
    /// this customer ahead of one that is already waiting.
    pub credit: u64,
    /// Sequence number of the customer's last start; breaks ties between equal start tags.
    pub last_start_number: u64,
    pub ready: Vec<ReadyEntry>,
    pub queued_tokens: Tokens,
    pub queued_requests: usize,
    pub running: usize,
}

impl CustomerQueue {
    pub fn add_ready(&mut self, ready: ReadyEntry) {
        let at = self.ready.partition_point(|other| *other < ready);
        self.ready.insert(at, ready);
    }

    pub fn remove_ready(&mut self, ready: ReadyEntry) {
        if let Ok(at) = self.ready.binary_search(&ready) {
            self.ready.remove(at);
        }
    }

    /// Advances the start tag by `amount`, less any credit.
    pub fn charge(&mut self, amount: u64) {
        let credited = amount.min(self.credit);
        self.credit -= credited;
        self.start_tag += amount - credited;
    }

    /// Moves the start tag back by `amount`, but not below `floor`; the rest becomes credit.
    pub fn refund(&mut self, amount: u64, floor: u64) {
        let lowest = floor.min(self.start_tag);
        let lowered = self.start_tag.saturating_sub(amount).max(lowest);
        self.credit += amount - (self.start_tag - lowered);
        self.start_tag = lowered;
    }

    /// Returns the first ready request whose deadline has not passed.
    pub fn first_ready(&self, now: Timestamp) -> Option<ReadyEntry> {
        self.ready.iter().rev().find(|ready| ready.deadline > now).copied()
    }

    pub const fn is_idle(&self) -> bool {
        self.queued_requests == 0 && self.running == 0
    }
}
