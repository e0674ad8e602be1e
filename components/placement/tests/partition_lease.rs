//! Which process may send orders to an engine without an agent, when processes stop, freeze or lose
//! replies and partitions are reassigned.

use std::time::Duration;

use base::Timestamp;
use placement::{PartitionLease, PartitionLeaseSettings};
use proptest::prelude::*;

/// Interval between two calls of a member.
const JOIN_INTERVAL_MS: u64 = 1_000;
/// Lifetime of a membership.
const LIFETIME_MS: u64 = 3_000;
/// Minimum time between orders of two processes.
const HANDOVER_GAP_MS: u64 = 3_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn lease() -> PartitionLease {
    PartitionLease::new(PartitionLeaseSettings {
        lifetime: Duration::from_millis(LIFETIME_MS),
        handover_gap: Duration::from_millis(HANDOVER_GAP_MS),
    })
}

/// Guards against orders of a process without a recent reply from the store, and against use of a
/// partition before its previous owner can have received the reassignment.
#[test]
fn partition_is_used_only_after_settling_and_while_the_store_replies() {
    let mut lease = lease();
    assert!(lease.apply_assignment(1, &[3], at(0), at(5)));
    assert!(!lease.may_act(3, at(2_000)), "the previous owner may still use it");
    for ms in [1_000, 2_000, 3_000, 4_000, 5_000] {
        assert!(!lease.apply_assignment(1, &[3], at(ms), at(ms + 5)), "no new partition");
    }
    assert!(lease.may_act(3, at(5_500)) && !lease.may_act(4, at(5_500)));
    assert!(!lease.may_act(3, at(5_000 + LIFETIME_MS)), "the store may have reassigned it");
    assert!(
        lease.apply_assignment(2, &[3], at(9_000), at(9_005)),
        "after the lease has expired it is new again"
    );
    assert!(!lease.may_act(3, at(9_100)));
}

/// Guards against a delayed reply that restores a partition which has been reassigned.
#[test]
fn older_reply_changes_nothing() {
    let mut lease = lease();
    lease.apply_assignment(5, &[1], at(0), at(5));
    lease.apply_assignment(6, &[], at(1_000), at(1_005));
    assert!(!lease.apply_assignment(5, &[1], at(900), at(1_100)));
    assert!(!lease.holds_any(at(1_200)));
}

/// Store that assigns one partition according to the documented protocol of the platform.
#[derive(Default)]
struct AssignmentStore {
    generation: u64,
    owner: Option<usize>,
    /// Generation that each member last joined with, and the time of that call.
    joined: [Option<(u64, u64)>; 2],
    /// Previous owner that has not received the reassignment, and the generation of the
    /// reassignment.
    unnotified_owner: Option<(usize, u64)>,
}

impl AssignmentStore {
    fn expire(&mut self, now_ms: u64) {
        for member in 0..2 {
            if self.joined[member].is_some_and(|(_, at)| now_ms >= at + LIFETIME_MS) {
                self.joined[member] = None;
                if self.owner == Some(member) {
                    self.owner = None;
                }
                self.generation += 1;
            }
        }
    }

    fn join(&mut self, member: usize, generation: u64, now_ms: u64) -> (u64, bool) {
        self.expire(now_ms);
        if self.joined[member].is_none() {
            self.generation += 1;
        }
        self.joined[member] = Some((generation, now_ms));
        if let Some((former, since)) = self.unnotified_owner {
            let notified = self.joined[former].is_none_or(|(known, _)| known >= since);
            if notified {
                self.unnotified_owner = None;
            }
        }
        if self.owner.is_none() {
            self.owner = Some(member);
        }
        (self.generation, self.owner == Some(member) && self.unnotified_owner.is_none())
    }

    /// Reassigns the partition to the other member immediately.
    fn reassign(&mut self) {
        self.generation += 1;
        self.owner = self.owner.map(|owner| 1 - owner);
    }
}

proptest! {
    /// Two processes share one partition; they freeze, lose replies, and the partition is
    /// reassigned. Guards against orders of two processes that are closer together than the order
    /// lease, in any sequence of these faults.
    #[test]
    fn orders_of_two_processes_keep_the_handover_gap(
        freezes in prop::collection::vec((0..2usize, 1_000..25_000u64, 500..6_000u64), 0..4),
        lost_replies in prop::collection::vec((0..2usize, 0..25u64), 0..8),
        reassignments in prop::collection::vec(2_000..25_000u64, 0..3),
    ) {
        let mut store = AssignmentStore::default();
        let mut leases = [lease(), lease()];
        let mut last_order: Option<(usize, u64)> = None;
        for ms in (0..28_000).step_by(50) {
            if reassignments.iter().any(|time| time / 50 == ms / 50) {
                store.reassign();
            }
            for (member, lease) in leases.iter_mut().enumerate() {
                let frozen = |(who, from, length): &(usize, u64, u64)| {
                    *who == member && (*from..from + length).contains(&ms)
                };
                if freezes.iter().any(frozen) {
                    continue;
                }
                if ms % JOIN_INTERVAL_MS == 200 * member as u64 {
                    let (generation, owns) =
                        store.join(member, lease.generation(), ms);
                    if !lost_replies.contains(&(member, ms / JOIN_INTERVAL_MS)) {
                        let partitions: &[u32] = if owns { &[0] } else { &[] };
                        lease.apply_assignment(generation, partitions, at(ms), at(ms));
                    }
                }
                if lease.may_act(0, at(ms)) {
                    if let Some((other, then)) = last_order.filter(|(who, _)| *who != member) {
                        prop_assert!(
                            ms - then >= HANDOVER_GAP_MS,
                            "{other} at {then}, {member} at {ms}"
                        );
                    }
                    last_order = Some((member, ms));
                }
            }
        }
    }
}
