//! One customer's part of the queue.

use std::cmp::Reverse;

use base::{Timestamp, Tokens};

use crate::Ticket;

/// Units of virtual time for each token at weight 1, so that division by a weight keeps precision.
const UNITS_PER_TOKEN: u64 = 1 << 10;

/// Virtual time that `cost` takes at `weight`.
pub(crate) fn virtual_cost(cost: Tokens, weight: u32) -> u64 {
    cost.0.saturating_mul(UNITS_PER_TOKEN) / u64::from(weight.max(1))
}

/// A ready request; the last of a sorted vector starts first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ReadyEntry {
    pub priority: u8,
    pub ticket: Reverse<Ticket>,
    pub deadline: Timestamp,
}

/// State of a customer with queued or running requests, or with service still to be paid for.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerQueue {
    pub weight: u32,
    /// Start tag of the next request to start: the finish tag of the last one, or the virtual time
    /// at which the customer became active.
    pub start: u64,
    /// Virtual time refunded beyond the smallest tag of the other waiting customers; it reduces the
    /// next charges, so that a refund never lets this customer pass one that waits already.
    pub credit: u64,
    /// Number of the customer's last start among all starts; of equal tags the smaller goes first.
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

    /// Charges a start.
    pub fn charge(&mut self, amount: u64) {
        let credited = amount.min(self.credit);
        self.credit -= credited;
        self.start += amount - credited;
    }

    /// Gives back a charge, but lets the tag not fall below `floor`.
    pub fn refund(&mut self, amount: u64, floor: u64) {
        let lowest = floor.min(self.start);
        let lowered = self.start.saturating_sub(amount).max(lowest);
        self.credit += amount - (self.start - lowered);
        self.start = lowered;
    }

    /// The first request in order whose deadline has not passed.
    pub fn first_ready(&self, now: Timestamp) -> Option<ReadyEntry> {
        self.ready.iter().rev().find(|ready| ready.deadline > now).copied()
    }

    pub const fn is_idle(&self) -> bool {
        self.queued_requests == 0 && self.running == 0
    }
}
