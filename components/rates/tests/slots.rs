//! Slots of one process: opening, handover, changes of configuration, permits, and the plan.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

mod support;

use std::time::Duration;

use base::{Offset, ProcessId, SortedMap, Timestamp, Tokens};
use compact_str::CompactString;
use config::{BucketLayout, Town};
use membership::TerminationProof;
use rates::{
    AppendOutcome, EntryLocation, MAX_PERMIT_HOLD_MS, MicroTokens, PlanInput, SlotLedger,
    SlotOwner, SlotPlanner, SlotRecord, preferred_owner, split,
};
use support::{process, town};
use wire::{PermitOutcome, ReserveOutcome, SlotId};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn slot(index: u16) -> SlotId {
    SlotId { partition: 0, index }
}

fn place(name: &str, region: &str, data_centre: &str) -> EntryLocation {
    EntryLocation {
        process: process(name, 1),
        region: CompactString::new(region),
        data_centre: CompactString::new(data_centre),
    }
}

fn places() -> Vec<EntryLocation> {
    vec![place("e1", "north", "dc-a"), place("e2", "north", "dc-b"), place("e3", "south", "dc-c")]
}

/// One process with a log that stores at once.
struct Solo {
    owner: SlotOwner,
    plan: SlotPlanner,
}

impl Solo {
    fn new(id: &ProcessId, town: &std::rc::Rc<Town>) -> Self {
        Self { owner: SlotOwner::new(id.clone(), town.clone()), plan: SlotPlanner::new(id.clone()) }
    }

    /// Appends what the plan asks for; true if there was something.
    fn step(
        &mut self,
        ledger: &mut SlotLedger,
        town: &Town,
        live: &[EntryLocation],
        proof: &dyn Fn(&ProcessId) -> Option<TerminationProof>,
        stopping: bool,
        now: Timestamp,
    ) -> Option<SlotRecord> {
        let view = PlanInput { ledger, town, live, proof, caught_up_at: Some(now), stopping };
        let entry = self.plan.next_entry(&view, &mut self.owner, now)?;
        let record = entry.record.clone();
        self.plan.append_finished(entry.sequence, AppendOutcome::Stored, now);
        ledger.apply(ledger.through().next(), entry);
        self.owner.sync(ledger, now);
        Some(record)
    }
}

fn nobody_died(_: &ProcessId) -> Option<TerminationProof> {
    None
}

fn granted(outcome: ReserveOutcome) -> Tokens {
    match outcome {
        ReserveOutcome::Granted { tokens, .. } => tokens,
        _ => Tokens::ZERO,
    }
}

#[test]
fn shares_add_up_to_the_whole() {
    for amount in [0, 1, 3, 4, 7, 1_000_003] {
        for parts in [1, 3, 4, 8] {
            let sum: u64 = (0..parts).map(|index| split(amount, parts, index)).sum();
            assert_eq!(sum, amount, "{amount} in {parts}");
        }
    }
}

/// A region that is cut off must keep slots to spend.
#[test]
fn slots_of_a_partition_are_spread_over_regions_and_data_centres() {
    for partition in 0..64 {
        let owners: Vec<&str> = (0..4)
            .map(|index| SlotId { partition, index })
            .map(|slot| {
                let live = places();
                let owner = preferred_owner(slot, &live).unwrap().clone();
                PLACES.iter().find(|name| **name == owner.name.as_str()).copied().unwrap()
            })
            .collect();
        let south = owners.iter().filter(|name| **name == "e3").count();
        assert_eq!(south, 2, "partition {partition}: {owners:?}");
        assert!(
            owners.contains(&"e1") && owners.contains(&"e2"),
            "partition {partition}: {owners:?}"
        );
    }
}

/// One process must not own every slot while another is there, even in one data centre: its restart
/// during a log outage would leave the customers without any slot.
#[test]
fn slots_are_spread_over_processes_of_one_data_centre() {
    for entries in 2..=5_u32 {
        let live: Vec<EntryLocation> =
            (0..entries).map(|n| place(&format!("entry-{n}"), "north", "dc-a")).collect();
        for partition in 0..64 {
            let mut counts: SortedMap<&str, u32> = SortedMap::new();
            for index in 0..4 {
                let owner = preferred_owner(SlotId { partition, index }, &live).unwrap();
                *counts.get_or_insert_with(owner.name.as_str(), || 0) += 1;
            }
            let most = counts.values().max().unwrap();
            assert!(*most <= 4_u32.div_ceil(entries), "partition {partition}: {counts:?}");
        }
    }
}

const PLACES: [&str; 3] = ["e1", "e2", "e3"];

#[test]
fn a_lone_entry_claims_every_slot_and_hands_all_of_them_over_when_it_stops() {
    let town = town(1, 100, 1_000, 4);
    let (e1, e2) = (process("e1", 1), process("e2", 1));
    let mut ledger = SlotLedger::new();
    let mut first = Solo::new(&e1, &town);
    let alone = [place("e1", "north", "dc-a")];
    while first.step(&mut ledger, &town, &alone, &nobody_died, false, at(1)).is_some() {}
    assert_eq!(first.owner.open_slots().count(), 4);
    // A slot that was never owned is full: the whole burst is there at once.
    let all: Tokens =
        (0..4).map(|i| granted(first.owner.reserve(slot(i), "chapel", Tokens(250), at(2)))).sum();
    assert_eq!(all, Tokens(1_000));

    let both = [place("e1", "north", "dc-a"), place("e2", "north", "dc-b")];
    let mut second = Solo::new(&e2, &town);
    while first.step(&mut ledger, &town, &both, &nobody_died, true, at(1_002)).is_some() {}
    assert_eq!(
        first.owner.reserve(slot(0), "chapel", Tokens(1), at(1_003)),
        ReserveOutcome::NotOwner
    );
    second.owner.sync(&ledger, at(1_002));
    assert_eq!(second.owner.open_slots().count(), 4);
    // One second's tokens were in the records.
    let level: u128 =
        (0..4).map(|i| second.owner.level(slot(i), "chapel", at(1_002)).unwrap().0).sum();
    assert_eq!(level, 100 * MicroTokens::PER_TOKEN);
    assert_eq!(ledger.owned_by(&e2).count(), 4);
}

/// A release that the log did not store must be tried again with the same levels, and nothing may be
/// granted meanwhile.
#[test]
fn a_release_that_is_not_stored_is_repeated_and_grants_nothing() {
    let town = town(1, 100, 1_000, 1);
    let e1 = process("e1", 1);
    let mut ledger = SlotLedger::new();
    let mut solo = Solo::new(&e1, &town);
    let alone = [place("e1", "north", "dc-a")];
    solo.step(&mut ledger, &town, &alone, &nobody_died, false, at(1)).unwrap();
    solo.owner.reserve(slot(0), "chapel", Tokens(400), at(2));
    let attempt = |solo: &mut Solo, ledger: &SlotLedger, now| {
        let view = PlanInput {
            ledger,
            town: &town,
            live: &[],
            proof: &nobody_died,
            caught_up_at: Some(now),
            stopping: true,
        };
        solo.plan.next_entry(&view, &mut solo.owner, now)
    };
    let lost = attempt(&mut solo, &ledger, at(2)).unwrap();
    assert_eq!(attempt(&mut solo, &ledger, at(3)), None, "one append at a time");
    solo.plan.append_finished(lost.sequence, AppendOutcome::NotStored, at(3));
    assert_eq!(solo.owner.reserve(slot(0), "chapel", Tokens(1), at(4)), ReserveOutcome::NotOwner);
    let again = attempt(&mut solo, &ledger, at(300)).unwrap();
    assert_eq!(again.record, lost.record);
    assert!(again.sequence > lost.sequence);
}

/// A slot must come back soon after its owner is proven dead, and not before.
#[test]
fn a_slot_is_claimed_by_the_best_placed_process_once_its_owner_is_proven_dead() {
    let town = town(1, 100, 1_000, 4);
    let mut ledger = SlotLedger::new();
    let e1 = process("e1", 1);
    let mut first = Solo::new(&e1, &town);
    let alone = [place("e1", "north", "dc-a")];
    while first.step(&mut ledger, &town, &alone, &nobody_died, false, at(1)).is_some() {}

    let rest = &places()[1..];
    let mut second = Solo::new(&process("e2", 1), &town);
    assert_eq!(second.step(&mut ledger, &town, rest, &nobody_died, false, at(60_000)), None);
    let died = |owner: &ProcessId| {
        (*owner == e1).then_some(TerminationProof::VmRemoved {
            listed_version: 1,
            absent_version: 2,
            absent_reads: 2,
            silent_ms: 1_500,
        })
    };
    let mut claimed = Vec::new();
    while let Some(SlotRecord::Claimed { slot, .. }) =
        second.step(&mut ledger, &town, rest, &died, false, at(61_000))
    {
        assert_eq!(preferred_owner(slot, rest), Some(&process("e2", 1)));
        claimed.push(slot);
    }
    assert!(!claimed.is_empty());
    for slot in claimed {
        assert_eq!(second.owner.level(slot, "chapel", at(61_000)), Some(MicroTokens(0)));
    }
    // What the better-placed process does not take, the next one does.
    while second.step(&mut ledger, &town, rest, &died, false, at(64_000)).is_some() {}
    assert_eq!(second.owner.open_slots().count(), 4);
}

/// Removing a customer and adding it again must not refill its bucket.
#[test]
fn a_customer_that_comes_back_finds_its_old_level() {
    let full = town(1, 100, 1_000, 1);
    let mut ledger = SlotLedger::new();
    let mut solo = Solo::new(&process("e1", 1), &full);
    let alone = [place("e1", "north", "dc-a")];
    solo.step(&mut ledger, &full, &alone, &nobody_died, false, at(1)).unwrap();
    assert_eq!(granted(solo.owner.reserve(slot(0), "chapel", Tokens(1_000), at(1))), Tokens(1_000));
    let mut without = (*full).clone();
    without.customers.clear();
    solo.owner.apply_configuration(std::rc::Rc::new(without), at(2));
    assert_eq!(
        solo.owner.reserve(slot(0), "chapel", Tokens(1), at(2)),
        ReserveOutcome::UnknownCustomer
    );
    solo.owner.apply_configuration(full, at(1_001));
    assert_eq!(
        granted(solo.owner.reserve(slot(0), "chapel", Tokens(1_000), at(1_001))),
        Tokens(100)
    );
}

/// Under another split a customer's tokens may have been spent at another owner.
#[test]
fn a_change_of_layout_empties_the_buckets() {
    let town = town(1, 100, 1_000, 1);
    let mut ledger = SlotLedger::new();
    let mut solo = Solo::new(&process("e1", 1), &town);
    let alone = [place("e1", "north", "dc-a")];
    solo.step(&mut ledger, &town, &alone, &nobody_died, false, at(1)).unwrap();
    let mut wider = (*town).clone();
    wider.buckets = BucketLayout { partitions: 1, slots: 2 };
    solo.owner.apply_configuration(std::rc::Rc::new(wider), at(2));
    assert_eq!(solo.owner.level(slot(0), "chapel", at(2)), Some(MicroTokens(0)));
}

/// Loads in flight and their rate must stay within the store's limits over all slots together.
#[test]
fn permits_keep_to_rate_and_concurrency_and_run_out() {
    let town = town(1, 100, 1_000, 4);
    let mut ledger = SlotLedger::new();
    let mut solo = Solo::new(&process("e1", 1), &town);
    let alone = [place("e1", "north", "dc-a")];
    while solo.step(&mut ledger, &town, &alone, &nobody_died, false, at(1)).is_some() {}
    let ask = |owner: &mut SlotOwner, now| {
        (0..4).find_map(|i| match owner.request_permit(slot(i), 5_000, now) {
            PermitOutcome::Granted { permit } => Some((slot(i), permit)),
            _ => None,
        })
    };
    let first: Vec<(SlotId, u64)> = std::iter::from_fn(|| ask(&mut solo.owner, at(1))).collect();
    assert_eq!(first.len(), 5, "concurrency");
    for (slot, permit) in &first {
        solo.owner.release_permit(*slot, *permit);
        solo.owner.release_permit(*slot, *permit);
    }
    assert_eq!(ask(&mut solo.owner, at(1)), None, "the rate has no token left");
    // 1.5 a second, each slot by its share of 0.375: 3.75 in ten seconds, of which 3 are whole.
    let started = (1..=1_000).filter(|step| {
        let granted = ask(&mut solo.owner, at(1 + step * 10));
        granted.map(|(slot, permit)| solo.owner.release_permit(slot, permit)).is_some()
    });
    assert_eq!(started.count(), 4 * 3);
}

/// A permit whose holder died must not block loads for ever.
#[test]
fn a_permit_ends_at_its_deadline_and_a_takeover_waits_for_unknown_ones() {
    let town = town(1, 100, 1_000, 1);
    let e1 = process("e1", 1);
    let mut ledger = SlotLedger::new();
    let mut solo = Solo::new(&e1, &town);
    let alone = [place("e1", "north", "dc-a")];
    solo.step(&mut ledger, &town, &alone, &nobody_died, false, at(1)).unwrap();
    for _ in 0..5 {
        let outcome = solo.owner.request_permit(slot(0), 20_000, at(1));
        assert!(matches!(outcome, PermitOutcome::Granted { .. }), "{outcome:?}");
    }
    let waits = |outcome| matches!(outcome, PermitOutcome::Wait { .. });
    assert!(waits(solo.owner.request_permit(slot(0), 20_000, at(20_000))));
    assert!(!waits(solo.owner.request_permit(slot(0), 20_000, at(20_001))));

    // The next run of the process does not know what is in flight.
    let next = process("e1", 2);
    let mut after = Solo::new(&next, &town);
    let alone = [EntryLocation { process: next, ..alone[0].clone() }];
    after.step(&mut ledger, &town, &alone, &nobody_died, false, at(20_002)).unwrap();
    let free_at = 20_002 + u64::from(MAX_PERMIT_HOLD_MS);
    assert!(waits(after.owner.request_permit(slot(0), 1_000, at(free_at - 1))));
    assert!(!waits(after.owner.request_permit(slot(0), 1_000, at(free_at))));
}

/// Reservations of an earlier run must mean nothing to a later one.
#[test]
fn a_settlement_for_an_earlier_run_changes_nothing() {
    let town = town(1, 0, 1_000, 1);
    let mut ledger = SlotLedger::new();
    let mut old = Solo::new(&process("e1", 1), &town);
    let alone = [place("e1", "north", "dc-a")];
    old.step(&mut ledger, &town, &alone, &nobody_died, false, at(1)).unwrap();
    let ReserveOutcome::Granted { reservation, .. } =
        old.owner.reserve(slot(0), "chapel", Tokens(600), at(1))
    else {
        panic!("the slot was full");
    };
    let released = old.step(&mut ledger, &town, &[], &nobody_died, true, at(2));
    assert!(released.is_some());
    let mut new = Solo::new(&process("e2", 1), &town);
    let other = [place("e2", "north", "dc-a")];
    new.step(&mut ledger, &town, &other, &nobody_died, false, at(3)).unwrap();
    new.owner.reserve(slot(0), "chapel", Tokens(100), at(3));
    assert_eq!(new.owner.settle(slot(0), "chapel", reservation, Tokens::ZERO, at(4)), None);
    assert_eq!(old.owner.settle(slot(0), "chapel", reservation, Tokens::ZERO, at(4)), None);
    let level = new.owner.level(slot(0), "chapel", at(4) + Duration::from_secs(1));
    assert_eq!(level, Some(MicroTokens::from_tokens(Tokens(300))));
    assert_eq!(ledger.through(), Offset(3));
}
