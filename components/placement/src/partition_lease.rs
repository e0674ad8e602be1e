//! Which parts of a shared work this process may do now.

use std::time::Duration;

use base::{SortedMap, Timestamp};

/// Part of the lifetime of a membership for which it counts here. The rest covers the way of an order to its
/// engine, since the store counts from the arrival of the call.
const VALIDITY_FRACTION: f64 = 0.8;

/// Times of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartitionLeaseSettings {
    /// Time for which the store keeps a member that is silent.
    pub lifetime: Duration,
    /// Shortest time between the acts of two processes on one part.
    pub handover_gap: Duration,
}

impl PartitionLeaseSettings {
    /// Time after a call for which its answer counts.
    fn validity(self) -> Duration {
        self.lifetime.mul_f64(VALIDITY_FRACTION)
    }

    /// Time for which a part that is new here is left alone: the process that had it may not know yet, and
    /// acts on it for as long as its last answer counts.
    fn settle_time(self) -> Duration {
        self.validity() + self.handover_gap
    }
}

impl Default for PartitionLeaseSettings {
    /// The lifetime bears two lost calls of one a second; the turn is the lease of the deployments of today.
    fn default() -> Self {
        Self { lifetime: Duration::from_millis(3_000), handover_gap: Duration::from_millis(3_000) }
    }
}

/// The parts that a process holds, by the answers of the store.
///
/// The store gives a part to another process only after this one has been told, has left, or was silent for
/// the lifetime; only a deal of all parts anew may come sooner. So a part that is new here is left alone until
/// a process that had it before must have been told or must have given up by its own clock. `now` counts
/// suspension.
#[derive(Clone, Debug, Default)]
pub struct PartitionLease {
    settings: PartitionLeaseSettings,
    generation: u64,
    valid_until: Timestamp,
    /// Since when each part is held without a break.
    held_since: SortedMap<u32, Timestamp>,
}

impl PartitionLease {
    /// A lease of nothing.
    pub fn new(settings: PartitionLeaseSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Times of the lease.
    pub const fn settings(&self) -> PartitionLeaseSettings {
        self.settings
    }

    /// The last generation that the store told.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Takes the store's answer to a call that was made at `asked_at`; true if a part is new here.
    pub fn apply_assignment(
        &mut self,
        generation: u64,
        parts: &[u32],
        asked_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        if generation < self.generation {
            return false;
        }
        self.generation = generation;
        // What lapsed meanwhile may have been another's.
        if now >= self.valid_until {
            self.held_since = SortedMap::new();
        }
        self.held_since.retain(|part, _| parts.contains(part));
        let mut gained = false;
        for part in parts {
            self.held_since.get_or_insert_with(*part, || {
                gained = true;
                now
            });
        }
        self.valid_until = asked_at + self.settings.validity();
        gained
    }

    /// Gives up everything.
    pub fn release_all(&mut self) {
        self.held_since = SortedMap::new();
        self.valid_until = Timestamp::default();
    }

    /// Whether any part is held.
    pub fn holds_any(&self, now: Timestamp) -> bool {
        now < self.valid_until && !self.held_since.is_empty()
    }

    /// Whether this process may act for a part now.
    pub fn may_act(&self, part: u32, now: Timestamp) -> bool {
        let settled = |since: &Timestamp| now.since(*since) >= self.settings.settle_time();
        now < self.valid_until && self.held_since.get(&part).is_some_and(settled)
    }
}
