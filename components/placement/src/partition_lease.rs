//! Lease on the partitions that are assigned to this process.

use std::time::Duration;

use base::{SortedMap, Timestamp};

/// Fraction of the membership lifetime for which this process considers its lease valid. The rest
/// covers the delivery of an order to its engine, since the store counts from the arrival of the
/// call.
const VALIDITY_FRACTION: f64 = 0.8;

/// Durations of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartitionLeaseSettings {
    /// Time after which the store expires a member that makes no calls.
    pub lifetime: Duration,
    /// Minimum time between actions of two processes on one partition.
    pub handover_gap: Duration,
}

impl PartitionLeaseSettings {
    /// Time after a call for which its reply is valid.
    fn validity(self) -> Duration {
        self.lifetime.mul_f64(VALIDITY_FRACTION)
    }

    /// Time for which a newly assigned partition is left alone: the previous owner may not have
    /// received the reassignment and acts on the partition for as long as its last reply is valid.
    fn settle_time(self) -> Duration {
        self.validity() + self.handover_gap
    }
}

impl Default for PartitionLeaseSettings {
    /// At one call per second, the lifetime tolerates two lost calls. The handover gap equals the
    /// order lease of current deployments.
    fn default() -> Self {
        Self { lifetime: Duration::from_millis(3_000), handover_gap: Duration::from_millis(3_000) }
    }
}

/// Partitions assigned to a process, according to the replies of the store.
///
/// The store reassigns a partition only after its owner has received the change, has left, or has
/// made no call for the lifetime; only a full reassignment of all partitions may come sooner. A
/// newly assigned partition is therefore left alone until the previous owner must have received the
/// change or its lease must have expired by its own clock. `now` includes the time for which the
/// machine was suspended.
#[derive(Clone, Debug, Default)]
pub struct PartitionLease {
    settings: PartitionLeaseSettings,
    generation: u64,
    valid_until: Timestamp,
    /// Start of the uninterrupted assignment of each partition.
    held_since: SortedMap<u32, Timestamp>,
}

impl PartitionLease {
    /// Creates a lease without partitions.
    pub fn new(settings: PartitionLeaseSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Returns the durations of the lease.
    pub const fn settings(&self) -> PartitionLeaseSettings {
        self.settings
    }

    /// Returns the last generation received from the store.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Applies the store's reply to a call made at `requested_at`; true if a partition is newly
    /// assigned.
    pub fn apply_assignment(
        &mut self,
        generation: u64,
        partitions: &[u32],
        requested_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        if generation < self.generation {
            return false;
        }
        self.generation = generation;
        // After an expired lease, another process may have owned the partitions in between.
        if now >= self.valid_until {
            self.held_since = SortedMap::new();
        }
        self.held_since.retain(|partition, _| partitions.contains(partition));
        let mut gained = false;
        for partition in partitions {
            self.held_since.get_or_insert_with(*partition, || {
                gained = true;
                now
            });
        }
        self.valid_until = requested_at + self.settings.validity();
        gained
    }

    /// Releases all partitions.
    pub fn release_all(&mut self) {
        self.held_since = SortedMap::new();
        self.valid_until = Timestamp::default();
    }

    /// Returns whether any partition is assigned.
    pub fn holds_any(&self, now: Timestamp) -> bool {
        now < self.valid_until && !self.held_since.is_empty()
    }

    /// Returns whether this process may act on a partition now.
    pub fn may_act(&self, partition: u32, now: Timestamp) -> bool {
        let settled = |since: &Timestamp| now.since(*since) >= self.settings.settle_time();
        now < self.valid_until && self.held_since.get(&partition).is_some_and(settled)
    }
}
