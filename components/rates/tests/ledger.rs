//! Owners of slots by the log alone.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

mod support;

use std::cell::Cell;

use base::{Offset, ProcessId, seeded_rng};
use compact_str::CompactString;
use membership::TerminationProof;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use rand::Rng;
use rates::{
    BucketLayoutRecord, CustomerLevel, MicroTokens, Opening, ReplacedOwner, SlotEntry, SlotLedger,
    SlotRecord, Verdict, VoidReason,
};
use support::process;
use wire::SlotId;

const SEED: u64 = 4_204;
const SLOT: SlotId = SlotId { partition: 0, index: 0 };
const LAYOUT: BucketLayoutRecord = BucketLayoutRecord { partitions: 1, slots: 4 };

fn entry(writer: &ProcessId, sequence: u64, record: SlotRecord) -> SlotEntry {
    SlotEntry { writer: writer.clone(), sequence, record }
}

fn claim(slot: SlotId, replaces: Option<ReplacedOwner>) -> SlotRecord {
    SlotRecord::Claimed { slot, layout: LAYOUT, replaces }
}

fn release(slot: SlotId, to: Option<ProcessId>, level: u128) -> SlotRecord {
    let levels =
        vec![CustomerLevel { customer: CompactString::new("chapel"), level: MicroTokens(level) }];
    SlotRecord::Released { slot, to, levels, permit_holds_ms: vec![5] }
}

fn removed(owner: &ProcessId) -> Option<ReplacedOwner> {
    let proof = TerminationProof::VmRemoved {
        listed_version: 3,
        absent_version: 4,
        absent_reads: 2,
        silent_ms: 1_500,
    };
    Some(ReplacedOwner { owner: owner.clone(), proof })
}

#[derive(Clone, Debug)]
struct Step {
    writer: usize,
    incarnation: u64,
    kind: u8,
    slot: u16,
    other: usize,
    repeat: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..3usize, 1..4u64, 0..6u8, 0..2u16, 0..3usize, prop::bool::weighted(0.2))
        .prop_map(|(writer, incarnation, kind, slot, other, repeat)| Step {
            writer,
            incarnation,
            kind,
            slot,
            other,
            repeat,
        });
    prop::collection::vec(step, 1..60)
}

/// The stream that writers with these steps leave: appends repeated, and snapshots by a reader.
fn stream(steps: &[Step]) -> Vec<SlotEntry> {
    let names = ["a", "b", "c"];
    let mut entries: Vec<SlotEntry> = Vec::new();
    let mut reader = SlotLedger::new();
    for (sequence, step) in (1..).zip(steps) {
        let writer = process(names[step.writer], step.incarnation);
        let other = process(names[step.other], step.incarnation);
        let slot = SlotId { partition: 0, index: step.slot };
        let record = match step.kind {
            0 => claim(slot, None),
            1 => claim(slot, removed(&other)),
            2 => claim(slot, reader.owner(slot).and_then(removed)),
            3 => release(slot, None, u128::from(sequence)),
            4 => release(slot, Some(other), u128::from(sequence)),
            _ => SlotRecord::Snapshot(reader.snapshot()),
        };
        let entry = entry(&writer, sequence, record);
        let copies = if step.repeat { 2 } else { 1 };
        for _ in 0..copies {
            entries.push(entry.clone());
            // The reader that writes snapshots lags a little.
            if entries.len().is_multiple_of(3) {
                catch_up(&mut reader, &entries, 0);
            }
        }
    }
    entries
}

fn catch_up(ledger: &mut SlotLedger, entries: &[SlotEntry], from: usize) {
    for (offset, entry) in (1..).zip(entries).skip(from) {
        ledger.apply(Offset(offset), entry.clone());
    }
}

/// Guards against replicas that see different owners: repeated batches, overlapping reads, a start
/// from the oldest record kept and a restart in the middle must all end in the same state.
#[test]
fn replicas_agree_whatever_way_they_read() {
    let config = ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    };
    let complete = Cell::new(0);
    let outcome = TestRunner::new(config).run(&(steps(), 0..u64::MAX), |(steps, seed)| {
        let entries = stream(&steps);
        let mut plain = SlotLedger::new();
        catch_up(&mut plain, &entries, 0);

        let mut rng = seeded_rng(seed);
        let mut jumpy = SlotLedger::new();
        let mut read = 0;
        while read < entries.len() {
            let from = rng.random_range(0..=read);
            read = rng.random_range(read + 1..=entries.len());
            catch_up(&mut jumpy, &entries[..read], from);
        }
        assert_eq!(jumpy.snapshot(), plain.snapshot());

        let mut late = SlotLedger::new();
        catch_up(&mut late, &entries, rng.random_range(0..entries.len()));
        if late.is_complete() {
            complete.set(complete.get() + 1);
            prop_assert_eq!(late.snapshot(), plain.snapshot());
        } else {
            prop_assert_eq!(late.owner(SLOT), None);
        }
        Ok(())
    });
    outcome.unwrap();
    let complete = complete.get();
    assert!(complete > 500, "only {complete} late readers found a snapshot");
}

#[test]
fn a_claim_counts_only_if_the_slot_is_free_or_its_owner_is_proven_dead() {
    let (a, b, c) = (process("a", 1), process("b", 1), process("c", 1));
    let mut ledger = SlotLedger::new();
    let first = ledger.apply(Offset(1), entry(&a, 1, claim(SLOT, None)));
    assert!(matches!(first, Verdict::Owned { former: None, opening: Opening::Full, .. }));
    let refused = Verdict::Void(VoidReason::NotFree);
    assert_eq!(ledger.apply(Offset(2), entry(&b, 1, claim(SLOT, None))), refused);
    // The proof names another owner, or is none.
    assert_eq!(ledger.apply(Offset(3), entry(&b, 2, claim(SLOT, removed(&c)))), refused);
    let weak = TerminationProof::VmRemoved {
        listed_version: 3,
        absent_version: 4,
        absent_reads: 1,
        silent_ms: 9_000,
    };
    let weak = Some(ReplacedOwner { owner: a.clone(), proof: weak });
    assert_eq!(ledger.apply(Offset(4), entry(&b, 3, claim(SLOT, weak))), refused);
    let not_newer = TerminationProof::NewerIncarnation(a.incarnation);
    let not_newer = Some(ReplacedOwner { owner: a.clone(), proof: not_newer });
    assert_eq!(ledger.apply(Offset(5), entry(&b, 4, claim(SLOT, not_newer))), refused);
    let taken = ledger.apply(Offset(6), entry(&b, 5, claim(SLOT, removed(&a))));
    assert!(matches!(taken, Verdict::Owned { opening: Opening::Empty, .. }));
    // Of two claims with the same proof the first wins.
    assert_eq!(ledger.apply(Offset(7), entry(&c, 1, claim(SLOT, removed(&a)))), refused);
    assert_eq!(ledger.owner(SLOT), Some(&b));
    // A restarted owner claims again, from empty.
    let again = process("b", 2);
    let taken = ledger.apply(Offset(8), entry(&again, 1, claim(SLOT, None)));
    assert!(matches!(taken, Verdict::Owned { opening: Opening::Empty, .. }));
    // A record of the older run that lands late is void.
    let late = ledger.apply(Offset(9), entry(&b, 6, release(SLOT, None, 1)));
    assert_eq!(late, Verdict::Void(VoidReason::Superseded));
    assert_eq!(ledger.owner(SLOT), Some(&again));
}

/// A release whose append was repeated must not give the released tokens out a second time.
#[test]
fn a_repeated_release_is_void() {
    let a = process("a", 1);
    let mut ledger = SlotLedger::new();
    ledger.apply(Offset(1), entry(&a, 1, claim(SLOT, None)));
    let released = entry(&a, 2, release(SLOT, None, 9));
    assert!(matches!(ledger.apply(Offset(2), released.clone()), Verdict::Freed { .. }));
    ledger.apply(Offset(3), entry(&a, 3, claim(SLOT, None)));
    let mut naive = ledger.clone();
    let repeated = ledger.apply(Offset(4), released.clone());
    assert_eq!(repeated, Verdict::Void(VoidReason::Superseded));
    assert_eq!(ledger.owner(SLOT), Some(&a));
    // Without the writer's sequence number the copy would count.
    let unnumbered = SlotEntry { sequence: 4, ..released };
    assert!(matches!(naive.apply(Offset(4), unnumbered), Verdict::Freed { .. }));
}

/// The released level goes to the process named in the record, which needs no claim of its own.
#[test]
fn a_release_to_a_process_hands_the_level_over() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut ledger = SlotLedger::new();
    ledger.apply(Offset(1), entry(&a, 1, claim(SLOT, None)));
    let verdict = ledger.apply(Offset(2), entry(&a, 2, release(SLOT, Some(b.clone()), 7)));
    let Verdict::Owned { owner, former, opening: Opening::Levels { levels, .. }, .. } = verdict
    else {
        panic!("{verdict:?}");
    };
    assert_eq!((owner, former), (b.clone(), Some(a.clone())));
    assert_eq!(levels[0].level, MicroTokens(7));
    let not_owner = ledger.apply(Offset(3), entry(&a, 3, release(SLOT, None, 7)));
    assert_eq!(not_owner, Verdict::Void(VoidReason::NotOwner));
}

/// Tokens spent under one split of the buckets must not be there again under another.
#[test]
fn slots_of_another_layout_start_empty() {
    let a = process("a", 1);
    let mut ledger = SlotLedger::new();
    ledger.apply(Offset(1), entry(&a, 1, claim(SLOT, None)));
    let layout = BucketLayoutRecord { partitions: 2, slots: 4 };
    let slot = SlotId { partition: 1, index: 0 };
    let record = SlotRecord::Claimed { slot, layout, replaces: None };
    let verdict = ledger.apply(Offset(2), entry(&a, 2, record));
    assert!(matches!(verdict, Verdict::Owned { opening: Opening::Empty, .. }));
}

#[test]
fn records_survive_encoding_and_garbage_is_void() {
    let a = process("a", 1);
    let entry = entry(&a, 1, release(SLOT, Some(process("b", 2)), 77));
    let bytes = entry.encode().unwrap();
    assert_eq!(SlotEntry::decode(&bytes), Ok(entry));
    let mut ledger = SlotLedger::new();
    let malformed = Verdict::Void(VoidReason::Malformed);
    assert_eq!(ledger.apply_payload(Offset(1), &bytes[1..]), malformed);
    assert_eq!(ledger.through(), Offset(1));
}
