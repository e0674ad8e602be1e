//! Who may give orders for an engine without an agent, when processes stop, freeze, lose answers and are
//! dealt parts anew.

use std::time::Duration;

use base::Timestamp;
use placement::{PartitionLease, PartitionLeaseSettings};
use proptest::prelude::*;

/// Time between two calls of a member.
const JOIN_MS: u64 = 1_000;
/// Lifetime of a membership.
const LIFETIME_MS: u64 = 3_000;
/// Time within which orders of two processes count as turns.
const LEASE_MS: u64 = 3_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn lease() -> PartitionLease {
    PartitionLease::new(PartitionLeaseSettings {
        lifetime: Duration::from_millis(LIFETIME_MS),
        handover_gap: Duration::from_millis(LEASE_MS),
    })
}

/// Guards against orders of a process that has not heard from the store, and against a part that is used
/// before the one that had it can know.
#[test]
fn a_part_is_used_only_after_it_has_settled_and_while_the_store_answers() {
    let mut lease = lease();
    assert!(lease.apply_assignment(1, &[3], at(0), at(5)));
    assert!(!lease.may_act(3, at(2_000)), "it may still be another's");
    for ms in [1_000, 2_000, 3_000, 4_000, 5_000] {
        assert!(!lease.apply_assignment(1, &[3], at(ms), at(ms + 5)), "nothing new");
    }
    assert!(lease.may_act(3, at(5_500)) && !lease.may_act(4, at(5_500)));
    assert!(!lease.may_act(3, at(5_000 + LIFETIME_MS)), "the store may have given it away");
    assert!(lease.apply_assignment(2, &[3], at(9_000), at(9_005)), "after a lapse it is new again");
    assert!(!lease.may_act(3, at(9_100)));
}

/// Guards against an answer that was under way for long and brings back a part that is gone.
#[test]
fn an_older_answer_changes_nothing() {
    let mut lease = lease();
    lease.apply_assignment(5, &[1], at(0), at(5));
    lease.apply_assignment(6, &[], at(1_000), at(1_005));
    assert!(!lease.apply_assignment(5, &[1], at(900), at(1_100)));
    assert!(!lease.holds_any(at(1_200)));
}

/// A store that deals one part, as the platform's page says.
#[derive(Default)]
struct Dealer {
    generation: u64,
    owner: Option<usize>,
    /// Generation that each member has joined with, and when it joined last.
    joined: [Option<(u64, u64)>; 2],
    /// Former owner that has not been told.
    waits_for: Option<(usize, u64)>,
}

impl Dealer {
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
        if let Some((former, since)) = self.waits_for {
            let told = self.joined[former].is_none_or(|(known, _)| known >= since);
            if told {
                self.waits_for = None;
            }
        }
        if self.owner.is_none() {
            self.owner = Some(member);
        }
        (self.generation, self.owner == Some(member) && self.waits_for.is_none())
    }

    /// Deals the part to the other member at once.
    fn deal_anew(&mut self) {
        self.generation += 1;
        self.owner = self.owner.map(|owner| 1 - owner);
    }
}

proptest! {
    /// Two processes and one part: they freeze, lose answers, and the part is dealt anew. Guards against
    /// orders of two processes that are closer together than the lease, in any order of these faults.
    #[test]
    fn two_processes_never_take_turns(
        freezes in prop::collection::vec((0..2usize, 1_000..25_000u64, 500..6_000u64), 0..4),
        lost in prop::collection::vec((0..2usize, 0..25u64), 0..8),
        deals in prop::collection::vec(2_000..25_000u64, 0..3),
    ) {
        let mut dealer = Dealer::default();
        let mut leases = [lease(), lease()];
        let mut last_order: Option<(usize, u64)> = None;
        for ms in (0..28_000).step_by(50) {
            if deals.iter().any(|deal| deal / 50 == ms / 50) {
                dealer.deal_anew();
            }
            for (member, lease) in leases.iter_mut().enumerate() {
                let frozen = |(who, from, length): &(usize, u64, u64)| {
                    *who == member && (*from..from + length).contains(&ms)
                };
                if freezes.iter().any(frozen) {
                    continue;
                }
                if ms % JOIN_MS == 200 * member as u64 {
                    let (generation, owns) =
                        dealer.join(member, lease.generation(), ms);
                    if !lost.contains(&(member, ms / JOIN_MS)) {
                        let parts: &[u32] = if owns { &[0] } else { &[] };
                        lease.apply_assignment(generation, parts, at(ms), at(ms));
                    }
                }
                if lease.may_act(0, at(ms)) {
                    if let Some((other, then)) = last_order.filter(|(who, _)| *who != member) {
                        prop_assert!(ms - then >= LEASE_MS, "{other} at {then}, {member} at {ms}");
                    }
                    last_order = Some((member, ms));
                }
            }
        }
    }
}
