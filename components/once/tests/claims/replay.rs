//! Replays, gaps and snapshots.

use base::Offset;
use once::{BeginResult, ClaimLog, PriorOutcome, SettlementResult};

use crate::common::{START_MS, at, body, claim, feed, key, limits, outcome, results, side};

/// Applies records that start at `first`.
fn feed_from(side: &mut ClaimLog, first: u64, log: &[Vec<u8>]) -> Vec<once::Settlement> {
    log.iter().zip(first..).flat_map(|(p, offset)| side.apply(Offset(offset), p, at(0))).collect()
}

#[test]
fn applying_the_same_records_again_has_no_effect() {
    let mut a = side("a", 1);
    let (attempt, first) = claim(&mut a, key(1), body(1));
    let mut log = vec![first.payload.clone(), first.payload, b"?".to_vec()];
    assert_eq!(results(feed(&mut a, &log)), [SettlementResult::Run]);
    assert!(feed(&mut a, &log).is_empty());
    let done = a.finish(&attempt, outcome("one")).unwrap().payload;
    log.extend([done.clone(), done]);
    assert!(feed(&mut a, &log).is_empty());
    assert!(feed(&mut a, &log).is_empty());
    assert_eq!(a.look_up(&key(1), body(1), START_MS), Some(PriorOutcome::Ran(outcome("one"))));
    assert_eq!((a.position(), a.entry_count()), (Offset(5), 1));
}

#[test]
fn restarted_side_never_runs_claims_of_its_former_incarnation() {
    let mut old = side("a", 1);
    let (_, first) = claim(&mut old, key(1), body(1));
    let mut new = side("a", 2);
    let (_, _) = claim(&mut new, key(2), body(2));
    assert!(feed(&mut new, &[first.payload]).is_empty());
    assert_eq!(new.look_up(&key(1), body(1), START_MS), Some(PriorOutcome::Unknown));
}

#[test]
fn claim_after_a_gap_is_not_run_until_the_gap_is_closed() {
    // A claim must not run while an earlier claim of another side has not been read.
    let (mut a, mut b) = (side("a", 1), side("b", 1));
    let (_, first) = claim(&mut a, key(1), body(1));
    let (_, second) = claim(&mut b, key(1), body(1));
    assert!(b.apply(Offset(2), &second.payload, at(0)).is_empty());
    assert!(b.has_gap());
    assert_eq!(b.begin(key(3), body(3), at(0), START_MS), BeginResult::NotReady);
    assert_eq!(b.next_offset(Offset(1)), Offset(1));
    let settled = results(b.apply(Offset(1), &first.payload, at(0)));
    assert_eq!(settled, [SettlementResult::Lost(PriorOutcome::Unknown)]);
}

/// Creates a log of `calls` finished calls; returns it with its writer.
fn finished_calls(calls: u8, text: &str) -> (ClaimLog, Vec<Vec<u8>>) {
    let mut writer = side("w", 1);
    let mut log = Vec::new();
    for n in 0..calls {
        let (attempt, append) = claim(&mut writer, key(n), body(n));
        log.push(append.payload);
        feed(&mut writer, &log);
        log.extend(writer.finish(&attempt, outcome(text)).map(|append| append.payload));
        feed(&mut writer, &log);
    }
    (writer, log)
}

#[test]
fn entries_outlive_the_records_of_the_log() {
    let (mut writer, mut log) = finished_calls(4, "ok");
    let parts = writer.take_snapshot(at(0), START_MS);
    let (_, late) = claim(&mut writer, key(9), body(9));
    log.push(late.payload);
    log.extend(parts.iter().map(|part| part.payload.clone()));
    // Offsets 1 to 8 are no longer on the log; the claim at 9 lies between the state and its
    // snapshot.
    let mut reader = side("r", 1);
    feed_from(&mut reader, 9, &log[8..]);
    assert!(!reader.has_gap());
    assert_eq!(reader.entry_count(), 5);
    assert_eq!(reader.look_up(&key(3), body(3), START_MS), Some(PriorOutcome::Ran(outcome("ok"))));
    assert_eq!(reader.look_up(&key(9), body(9), START_MS), Some(PriorOutcome::Unknown));
}

#[test]
fn snapshot_is_installed_only_when_all_parts_are_present() {
    let mut writer = ClaimLog::new(
        base::ProcessId { name: base::ProcessName::new("w"), incarnation: base::Incarnation(1) },
        once::ClaimLimits { outcome_body_bytes: 1 << 20, ..limits() },
    );
    let mut log = Vec::new();
    for n in 0..5 {
        let (attempt, append) = claim(&mut writer, key(n), body(n));
        log.push(append.payload);
        feed(&mut writer, &log);
        let large = outcome(&"x".repeat(100 << 10));
        log.push(writer.finish(&attempt, large).unwrap().payload);
        feed(&mut writer, &log);
    }
    let parts = writer.take_snapshot(at(0), START_MS);
    assert_eq!(parts.len(), 3);
    let mut ids: Vec<_> = parts.iter().map(|part| part.id.clone()).collect();
    ids.dedup();
    assert_eq!(ids.len(), 3);
    log.extend(parts.iter().map(|part| part.payload.clone()));
    let mut reader = side("r", 1);
    // The second part is on the log twice: the response of its append was lost.
    feed_from(&mut reader, 11, &[log[10].clone(), log[11].clone(), log[11].clone()]);
    assert_eq!((reader.position(), reader.entry_count()), (Offset(0), 0));
    feed_from(&mut reader, 14, &log[12..]);
    assert_eq!((reader.position(), reader.entry_count()), (Offset(14), 5));
}

#[test]
fn snapshot_omits_expired_entries() {
    let (mut writer, _) = finished_calls(3, "ok");
    let much_later = START_MS + 3_600_000 + 600_001;
    let parts = writer.take_snapshot(at(0), much_later);
    let mut reader = side("r", 1);
    feed_from(&mut reader, 7, &[parts[0].payload.clone()]);
    assert_eq!((reader.position(), reader.entry_count()), (Offset(7), 0));
}

#[test]
fn snapshot_is_due_only_for_a_reader_without_gaps() {
    let (mut writer, log) = finished_calls(1, "ok");
    assert!(!writer.is_snapshot_due(at(9_000)));
    writer.note_end(Offset(1), at(0));
    assert!(writer.is_snapshot_due(at(9_000)));
    writer.apply(Offset(7), &log[0], at(0));
    assert!(!writer.is_snapshot_due(at(9_000)));
}

#[test]
fn gap_without_snapshot_ends_when_all_its_entries_have_expired() {
    // Sides must not refuse calls for ever after a period without any running side in which the log
    // dropped records.
    let (_, log) = finished_calls(2, "ok");
    let mut reader = side("r", 1);
    feed_from(&mut reader, 4, &log[3..]);
    // Retention 3,000 s, window 3,600 s, clock skew margin 600 s.
    reader.note_end(Offset(4), at(100));
    assert!(reader.has_gap());
    reader.note_end(Offset(5), at(1_299));
    assert!(reader.has_gap());
    reader.note_end(Offset(5), at(1_300));
    assert!(!reader.has_gap());
    assert_eq!(reader.position(), Offset(4));
    assert!(matches!(reader.begin(key(1), body(1), at(0), START_MS), BeginResult::Append { .. }));
}

#[test]
fn snapshot_older_than_the_reader_is_ignored_across_a_gap() {
    // A side must not install an older snapshot: it would read its own claim a second time and
    // release the key of a call that ran.
    let mut old = side("old", 1);
    let mut a = side("a", 1);
    let (_, other) = claim(&mut old, key(2), body(2));
    let (attempt, first) = claim(&mut a, key(1), body(1));
    let log = [other.payload, first.payload];
    feed(&mut old, &log[..1]);
    let snapshot = old.take_snapshot(at(0), START_MS).remove(0).payload;
    feed(&mut a, &log);
    a.note_unknown_outcome(&attempt);
    assert!(a.apply(Offset(5), &snapshot, at(0)).is_empty());
    assert_eq!(a.position(), Offset(2));
    assert_eq!(a.look_up(&key(1), body(1), START_MS), Some(PriorOutcome::Unknown));
}
