//! Slot ownership derived from the log.
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

fn removal_proof(owner: &ProcessId) -> Option<ReplacedOwner> {
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

/// Builds the stream that writers with these steps produce, with duplicated appends and a reader's
/// snapshots.
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
            1 => claim(slot, removal_proof(&other)),
            2 => claim(slot, reader.owner(slot).and_then(removal_proof)),
            3 => release(slot, None, u128::from(sequence)),
            4 => release(slot, Some(other), u128::from(sequence)),
            _ => SlotRecord::Snapshot(reader.snapshot()),
        };
        let entry = entry(&writer, sequence, record);
        let copies = if step.repeat { 2 } else { 1 };
        for _ in 0..copies {
            entries.push(entry.clone());
            // The reader that writes snapshots lags behind the stream.
            if entries.len().is_multiple_of(3) {
                read_from(&mut reader, &entries, 0);
            }
        }
    }
    entries
}

fn read_from(ledger: &mut SlotLedger, entries: &[SlotEntry], from: usize) {
    for (offset, entry) in (1..).zip(entries).skip(from) {
        ledger.apply(Offset(offset), entry.clone());
    }
}

/// Guards against replicas that disagree on owners: repeated batches, overlapping reads, a start
/// from the oldest retained record and a restart midway must all lead to the same state.
#[test]
fn replicas_agree_regardless_of_how_they_read_the_log() {
    let config = ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    };
    let complete = Cell::new(0);
    let outcome = TestRunner::new(config).run(&(steps(), 0..u64::MAX), |(steps, seed)| {
        let entries = stream(&steps);
        let mut sequential = SlotLedger::new();
        read_from(&mut sequential, &entries, 0);

        let mut rng = seeded_rng(seed);
        let mut rereading = SlotLedger::new();
        let mut read = 0;
        while read < entries.len() {
            let from = rng.random_range(0..=read);
            read = rng.random_range(read + 1..=entries.len());
            read_from(&mut rereading, &entries[..read], from);
        }
        assert_eq!(rereading.snapshot(), sequential.snapshot());

        let mut late_reader = SlotLedger::new();
        read_from(&mut late_reader, &entries, rng.random_range(0..entries.len()));
        if late_reader.is_complete() {
            complete.set(complete.get() + 1);
            prop_assert_eq!(late_reader.snapshot(), sequential.snapshot());
        } else {
            prop_assert_eq!(late_reader.owner(SLOT), None);
        }
        Ok(())
    });
    outcome.unwrap();
    let complete = complete.get();
    assert!(complete > 500, "only {complete} late readers restored a snapshot");
}

#[test]
fn claim_requires_a_free_slot_or_proof_that_its_owner_has_terminated() {
    let (a, b, c) = (process("a", 1), process("b", 1), process("c", 1));
    let mut ledger = SlotLedger::new();
    let first = ledger.apply(Offset(1), entry(&a, 1, claim(SLOT, None)));
    assert!(matches!(first, Verdict::Owned { former: None, opening: Opening::Full, .. }));
    let not_free = Verdict::Void(VoidReason::NotFree);
    assert_eq!(ledger.apply(Offset(2), entry(&b, 1, claim(SLOT, None))), not_free);
    // The proof is for another owner or is insufficient.
    assert_eq!(ledger.apply(Offset(3), entry(&b, 2, claim(SLOT, removal_proof(&c)))), not_free);
    let insufficient = TerminationProof::VmRemoved {
        listed_version: 3,
        absent_version: 4,
        absent_reads: 1,
        silent_ms: 9_000,
    };
    let insufficient = Some(ReplacedOwner { owner: a.clone(), proof: insufficient });
    assert_eq!(ledger.apply(Offset(4), entry(&b, 3, claim(SLOT, insufficient))), not_free);
    let not_newer = TerminationProof::NewerIncarnation(a.incarnation);
    let not_newer = Some(ReplacedOwner { owner: a.clone(), proof: not_newer });
    assert_eq!(ledger.apply(Offset(5), entry(&b, 4, claim(SLOT, not_newer))), not_free);
    let takeover = ledger.apply(Offset(6), entry(&b, 5, claim(SLOT, removal_proof(&a))));
    assert!(matches!(takeover, Verdict::Owned { opening: Opening::Empty, .. }));
    // The first of two claims with the same proof wins.
    assert_eq!(ledger.apply(Offset(7), entry(&c, 1, claim(SLOT, removal_proof(&a)))), not_free);
    assert_eq!(ledger.owner(SLOT), Some(&b));
    // A restarted owner claims the slot again and starts empty.
    let restarted = process("b", 2);
    let takeover = ledger.apply(Offset(8), entry(&restarted, 1, claim(SLOT, None)));
    assert!(matches!(takeover, Verdict::Owned { opening: Opening::Empty, .. }));
    // A late record of the older incarnation is void.
    let late = ledger.apply(Offset(9), entry(&b, 6, release(SLOT, None, 1)));
    assert_eq!(late, Verdict::Void(VoidReason::Superseded));
    assert_eq!(ledger.owner(SLOT), Some(&restarted));
}

/// Guards against granting released tokens twice when the append of a release is retried.
#[test]
fn duplicate_release_is_void() {
    let a = process("a", 1);
    let mut ledger = SlotLedger::new();
    ledger.apply(Offset(1), entry(&a, 1, claim(SLOT, None)));
    let released = entry(&a, 2, release(SLOT, None, 9));
    assert!(matches!(ledger.apply(Offset(2), released.clone()), Verdict::Freed { .. }));
    ledger.apply(Offset(3), entry(&a, 3, claim(SLOT, None)));
    let mut unchecked = ledger.clone();
    let duplicate = ledger.apply(Offset(4), released.clone());
    assert_eq!(duplicate, Verdict::Void(VoidReason::Superseded));
    assert_eq!(ledger.owner(SLOT), Some(&a));
    // Without the check of the writer's sequence number the duplicate would take effect.
    let unnumbered = SlotEntry { sequence: 4, ..released };
    assert!(matches!(unchecked.apply(Offset(4), unnumbered), Verdict::Freed { .. }));
}

/// The process named in a release becomes the owner at the released level without a claim.
#[test]
fn release_to_a_process_hands_over_the_level() {
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

/// Guards against tokens spent under one bucket layout becoming available again under another.
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
fn records_round_trip_and_malformed_payloads_are_void() {
    let a = process("a", 1);
    let entry = entry(&a, 1, release(SLOT, Some(process("b", 2)), 77));
    let bytes = entry.encode().unwrap();
    assert_eq!(SlotEntry::decode(&bytes), Ok(entry));
    let mut ledger = SlotLedger::new();
    let malformed = Verdict::Void(VoidReason::Malformed);
    assert_eq!(ledger.apply_payload(Offset(1), &bytes[1..]), malformed);
    assert_eq!(ledger.through(), Offset(1));
}
