//! Slots of one process: opening, handover, configuration changes, permits and planning.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

mod support;

use std::time::Duration;

use base::{Offset, ProcessId, SortedMap, Timestamp, Tokens};
use compact_str::CompactString;
use config::{BucketLayout, FleetConfig};
use membership::TerminationProof;
use rates::{
    AppendOutcome, EntryLocation, MAX_PERMIT_HOLD_MS, MicroTokens, PlanInput, SlotLedger,
    SlotOwner, SlotPlanner, SlotRecord, preferred_owner, split,
};
use support::{config, process};
use wire::{PermitOutcome, ReserveOutcome, SlotId};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn slot(index: u16) -> SlotId {
    SlotId { partition: 0, index }
}

fn location(name: &str, region: &str, data_centre: &str) -> EntryLocation {
    EntryLocation {
        process: process(name, 1),
        region: CompactString::new(region),
        data_centre: CompactString::new(data_centre),
    }
}

fn locations() -> Vec<EntryLocation> {
    vec![
        location("e1", "north", "dc-a"),
        location("e2", "north", "dc-b"),
        location("e3", "south", "dc-c"),
    ]
}

/// One process with a log that stores records immediately.
struct SingleProcess {
    owner: SlotOwner,
    planner: SlotPlanner,
}

impl SingleProcess {
    fn new(id: &ProcessId, config: &std::rc::Rc<FleetConfig>) -> Self {
        Self {
            owner: SlotOwner::new(id.clone(), config.clone()),
            planner: SlotPlanner::new(id.clone()),
        }
    }

    /// Appends and applies the next planned record, if any, and returns it.
    fn step(
        &mut self,
        ledger: &mut SlotLedger,
        config: &FleetConfig,
        live: &[EntryLocation],
        proof: &dyn Fn(&ProcessId) -> Option<TerminationProof>,
        stopping: bool,
        now: Timestamp,
    ) -> Option<SlotRecord> {
        let input = PlanInput { ledger, config, live, proof, caught_up_at: Some(now), stopping };
        let planned = self.planner.next_entry(&input, &mut self.owner, now)?;
        let record = planned.record.clone();
        self.planner.append_finished(planned.sequence, AppendOutcome::Stored, now);
        ledger.apply(ledger.through().next(), planned);
        self.owner.sync(ledger, now);
        Some(record)
    }
}

fn no_termination_proof(_: &ProcessId) -> Option<TerminationProof> {
    None
}

fn granted(outcome: ReserveOutcome) -> Tokens {
    match outcome {
        ReserveOutcome::Granted { tokens, .. } => tokens,
        _ => Tokens::ZERO,
    }
}

#[test]
fn split_parts_add_up() {
    for amount in [0, 1, 3, 4, 7, 1_000_003] {
        for parts in [1, 3, 4, 8] {
            let sum: u64 = (0..parts).map(|index| split(amount, parts, index)).sum();
            assert_eq!(sum, amount, "{amount} in {parts}");
        }
    }
}

/// A region that is partitioned from the others must keep slots from which it can grant.
#[test]
fn slots_of_a_partition_are_spread_over_regions_and_data_centres() {
    for partition in 0..64 {
        let owners: Vec<&str> = (0..4)
            .map(|index| SlotId { partition, index })
            .map(|slot| {
                let live = locations();
                let owner = preferred_owner(slot, &live).unwrap().clone();
                ENTRY_NAMES.iter().find(|name| **name == owner.name.as_str()).copied().unwrap()
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

/// One process must not own every slot while others are running, even in one data centre: its
/// restart during a log outage would leave the customers without any slot.
#[test]
fn slots_are_spread_over_processes_of_one_data_centre() {
    for entries in 2..=5_u32 {
        let live: Vec<EntryLocation> =
            (0..entries).map(|n| location(&format!("entry-{n}"), "north", "dc-a")).collect();
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

const ENTRY_NAMES: [&str; 3] = ["e1", "e2", "e3"];

#[test]
fn single_entry_claims_all_slots_and_hands_them_over_on_stop() {
    let config = config(1, 100, 1_000, 4);
    let (e1, e2) = (process("e1", 1), process("e2", 1));
    let mut ledger = SlotLedger::new();
    let mut first = SingleProcess::new(&e1, &config);
    let alone = [location("e1", "north", "dc-a")];
    while first.step(&mut ledger, &config, &alone, &no_termination_proof, false, at(1)).is_some() {}
    assert_eq!(first.owner.open_slots().count(), 4);
    // A slot that was never owned is full, so the whole burst is available at once.
    let all: Tokens =
        (0..4).map(|i| granted(first.owner.reserve(slot(i), "chapel", Tokens(250), at(2)))).sum();
    assert_eq!(all, Tokens(1_000));

    let both = [location("e1", "north", "dc-a"), location("e2", "north", "dc-b")];
    let mut second = SingleProcess::new(&e2, &config);
    while first.step(&mut ledger, &config, &both, &no_termination_proof, true, at(1_002)).is_some()
    {
    }
    assert_eq!(
        first.owner.reserve(slot(0), "chapel", Tokens(1), at(1_003)),
        ReserveOutcome::NotOwner
    );
    second.owner.sync(&ledger, at(1_002));
    assert_eq!(second.owner.open_slots().count(), 4);
    // The records hold the tokens that accrued in one second.
    let level: u128 =
        (0..4).map(|i| second.owner.level(slot(i), "chapel", at(1_002)).unwrap().0).sum();
    assert_eq!(level, 100 * MicroTokens::PER_TOKEN);
    assert_eq!(ledger.owned_by(&e2).count(), 4);
}

/// A release that the log did not store must be retried with the same levels, and nothing may be
/// granted in the meantime.
#[test]
fn release_that_is_not_stored_is_retried_and_grants_nothing() {
    let config = config(1, 100, 1_000, 1);
    let e1 = process("e1", 1);
    let mut ledger = SlotLedger::new();
    let mut entry = SingleProcess::new(&e1, &config);
    let alone = [location("e1", "north", "dc-a")];
    entry.step(&mut ledger, &config, &alone, &no_termination_proof, false, at(1)).unwrap();
    entry.owner.reserve(slot(0), "chapel", Tokens(400), at(2));
    let plan_next = |entry: &mut SingleProcess, ledger: &SlotLedger, now| {
        let input = PlanInput {
            ledger,
            config: &config,
            live: &[],
            proof: &no_termination_proof,
            caught_up_at: Some(now),
            stopping: true,
        };
        entry.planner.next_entry(&input, &mut entry.owner, now)
    };
    let rejected = plan_next(&mut entry, &ledger, at(2)).unwrap();
    assert_eq!(plan_next(&mut entry, &ledger, at(3)), None, "one append at a time");
    entry.planner.append_finished(rejected.sequence, AppendOutcome::NotStored, at(3));
    assert_eq!(entry.owner.reserve(slot(0), "chapel", Tokens(1), at(4)), ReserveOutcome::NotOwner);
    let retried = plan_next(&mut entry, &ledger, at(300)).unwrap();
    assert_eq!(retried.record, rejected.record);
    assert!(retried.sequence > rejected.sequence);
}

/// A slot must be claimed soon after its owner is proven to have terminated, and not earlier.
#[test]
fn slot_is_claimed_by_the_preferred_process_after_proof_of_termination() {
    let config = config(1, 100, 1_000, 4);
    let mut ledger = SlotLedger::new();
    let e1 = process("e1", 1);
    let mut first = SingleProcess::new(&e1, &config);
    let alone = [location("e1", "north", "dc-a")];
    while first.step(&mut ledger, &config, &alone, &no_termination_proof, false, at(1)).is_some() {}

    let remaining = &locations()[1..];
    let mut second = SingleProcess::new(&process("e2", 1), &config);
    assert_eq!(
        second.step(&mut ledger, &config, remaining, &no_termination_proof, false, at(60_000)),
        None
    );
    let terminated = |owner: &ProcessId| {
        (*owner == e1).then_some(TerminationProof::VmRemoved {
            listed_version: 1,
            absent_version: 2,
            absent_reads: 2,
            silent_ms: 1_500,
        })
    };
    let mut claimed = Vec::new();
    while let Some(SlotRecord::Claimed { slot, .. }) =
        second.step(&mut ledger, &config, remaining, &terminated, false, at(61_000))
    {
        assert_eq!(preferred_owner(slot, remaining), Some(&process("e2", 1)));
        claimed.push(slot);
    }
    assert!(!claimed.is_empty());
    for slot in claimed {
        assert_eq!(second.owner.level(slot, "chapel", at(61_000)), Some(MicroTokens(0)));
    }
    // After its claim delay, the next process claims what the preferred one does not.
    while second.step(&mut ledger, &config, remaining, &terminated, false, at(64_000)).is_some() {}
    assert_eq!(second.owner.open_slots().count(), 4);
}

/// Removing and re-adding a customer must not refill its bucket.
#[test]
fn readded_customer_keeps_its_level() {
    let full = config(1, 100, 1_000, 1);
    let mut ledger = SlotLedger::new();
    let mut entry = SingleProcess::new(&process("e1", 1), &full);
    let alone = [location("e1", "north", "dc-a")];
    entry.step(&mut ledger, &full, &alone, &no_termination_proof, false, at(1)).unwrap();
    assert_eq!(
        granted(entry.owner.reserve(slot(0), "chapel", Tokens(1_000), at(1))),
        Tokens(1_000)
    );
    let mut without = (*full).clone();
    without.customers.clear();
    entry.owner.apply_configuration(std::rc::Rc::new(without), at(2));
    assert_eq!(
        entry.owner.reserve(slot(0), "chapel", Tokens(1), at(2)),
        ReserveOutcome::UnknownCustomer
    );
    entry.owner.apply_configuration(full, at(1_001));
    assert_eq!(
        granted(entry.owner.reserve(slot(0), "chapel", Tokens(1_000), at(1_001))),
        Tokens(100)
    );
}

/// Under another bucket layout, a customer's tokens may have been spent at another owner.
#[test]
fn layout_change_empties_the_buckets() {
    let config = config(1, 100, 1_000, 1);
    let mut ledger = SlotLedger::new();
    let mut entry = SingleProcess::new(&process("e1", 1), &config);
    let alone = [location("e1", "north", "dc-a")];
    entry.step(&mut ledger, &config, &alone, &no_termination_proof, false, at(1)).unwrap();
    let mut wider = (*config).clone();
    wider.buckets = BucketLayout { partitions: 1, slots: 2 };
    entry.owner.apply_configuration(std::rc::Rc::new(wider), at(2));
    assert_eq!(entry.owner.level(slot(0), "chapel", at(2)), Some(MicroTokens(0)));
}

/// The load rate and the loads in flight must stay within the weight store's limits over all slots.
#[test]
fn permits_respect_rate_and_concurrency() {
    let config = config(1, 100, 1_000, 4);
    let mut ledger = SlotLedger::new();
    let mut entry = SingleProcess::new(&process("e1", 1), &config);
    let alone = [location("e1", "north", "dc-a")];
    while entry.step(&mut ledger, &config, &alone, &no_termination_proof, false, at(1)).is_some() {}
    let request_any_permit = |owner: &mut SlotOwner, now| {
        (0..4).find_map(|i| match owner.request_permit(slot(i), 5_000, now) {
            PermitOutcome::Granted { permit } => Some((slot(i), permit)),
            _ => None,
        })
    };
    let first: Vec<(SlotId, u64)> =
        std::iter::from_fn(|| request_any_permit(&mut entry.owner, at(1))).collect();
    assert_eq!(first.len(), 5, "concurrency");
    for (slot, permit) in &first {
        entry.owner.release_permit(*slot, *permit);
        entry.owner.release_permit(*slot, *permit);
    }
    assert_eq!(request_any_permit(&mut entry.owner, at(1)), None, "the rate limit is exhausted");
    // 1.5 loads per second are 0.375 per slot: 3.75 in ten seconds, of which 3 are whole.
    let started = (1..=1_000).filter(|step| {
        let granted = request_any_permit(&mut entry.owner, at(1 + step * 10));
        granted.map(|(slot, permit)| entry.owner.release_permit(slot, permit)).is_some()
    });
    assert_eq!(started.count(), 4 * 3);
}

/// A permit whose holder crashed must not block loads permanently.
#[test]
fn permit_expires_and_a_takeover_waits_for_unknown_permits() {
    let config = config(1, 100, 1_000, 1);
    let e1 = process("e1", 1);
    let mut ledger = SlotLedger::new();
    let mut entry = SingleProcess::new(&e1, &config);
    let alone = [location("e1", "north", "dc-a")];
    entry.step(&mut ledger, &config, &alone, &no_termination_proof, false, at(1)).unwrap();
    for _ in 0..5 {
        let outcome = entry.owner.request_permit(slot(0), 20_000, at(1));
        assert!(matches!(outcome, PermitOutcome::Granted { .. }), "{outcome:?}");
    }
    let must_wait = |outcome| matches!(outcome, PermitOutcome::Wait { .. });
    assert!(must_wait(entry.owner.request_permit(slot(0), 20_000, at(20_000))));
    assert!(!must_wait(entry.owner.request_permit(slot(0), 20_000, at(20_001))));

    // The next incarnation of the process has no record of the loads in flight.
    let next = process("e1", 2);
    let mut restarted = SingleProcess::new(&next, &config);
    let alone = [EntryLocation { process: next, ..alone[0].clone() }];
    restarted.step(&mut ledger, &config, &alone, &no_termination_proof, false, at(20_002)).unwrap();
    let free_at = 20_002 + u64::from(MAX_PERMIT_HOLD_MS);
    assert!(must_wait(restarted.owner.request_permit(slot(0), 1_000, at(free_at - 1))));
    assert!(!must_wait(restarted.owner.request_permit(slot(0), 1_000, at(free_at))));
}

/// A settlement of a reservation of an earlier owner must have no effect at a later one.
#[test]
fn settlement_for_an_earlier_owner_has_no_effect() {
    let config = config(1, 0, 1_000, 1);
    let mut ledger = SlotLedger::new();
    let mut former = SingleProcess::new(&process("e1", 1), &config);
    let alone = [location("e1", "north", "dc-a")];
    former.step(&mut ledger, &config, &alone, &no_termination_proof, false, at(1)).unwrap();
    let ReserveOutcome::Granted { reservation, .. } =
        former.owner.reserve(slot(0), "chapel", Tokens(600), at(1))
    else {
        panic!("the slot was full");
    };
    let released = former.step(&mut ledger, &config, &[], &no_termination_proof, true, at(2));
    assert!(released.is_some());
    let mut new = SingleProcess::new(&process("e2", 1), &config);
    let other = [location("e2", "north", "dc-a")];
    new.step(&mut ledger, &config, &other, &no_termination_proof, false, at(3)).unwrap();
    new.owner.reserve(slot(0), "chapel", Tokens(100), at(3));
    assert_eq!(new.owner.settle(slot(0), "chapel", reservation, Tokens::ZERO, at(4)), None);
    assert_eq!(former.owner.settle(slot(0), "chapel", reservation, Tokens::ZERO, at(4)), None);
    let level = new.owner.level(slot(0), "chapel", at(4) + Duration::from_secs(1));
    assert_eq!(level, Some(MicroTokens::from_tokens(Tokens(300))));
    assert_eq!(ledger.through(), Offset(3));
}
