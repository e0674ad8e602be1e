//! Schedule of snapshots.

use std::time::Duration;

use base::{SnapshotSchedule, Timestamp};

const DAY: Duration = Duration::from_secs(86_400);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

#[test]
fn snapshot_found_during_catch_up_is_replaced_soon_after_startup() {
    // If each restart counted the age of the snapshot from zero, it could expire before its
    // replacement.
    let mut schedule = SnapshotSchedule::new(DAY, 100);
    schedule.note_snapshot(at(0));
    assert!(!schedule.is_due(at(90_000)));
    schedule.note_end(at(1));
    schedule.note_end(at(50));
    assert!(!schedule.is_due(at(60)));
    assert!(schedule.is_due(at(61)));
}

#[test]
fn is_due_after_half_the_retention() {
    let mut schedule = SnapshotSchedule::new(DAY, 100);
    schedule.note_end(at(1));
    schedule.note_snapshot(at(61));
    assert!(!schedule.is_due(at(61 + 43_199)));
    assert!(schedule.is_due(at(61 + 43_200)));
}

#[test]
fn is_due_after_max_records() {
    let mut schedule = SnapshotSchedule::new(DAY, 2);
    schedule.note_end(at(1));
    schedule.note_snapshot(at(2));
    schedule.note_record();
    schedule.note_record();
    assert!(!schedule.is_due(at(3)));
    schedule.note_record();
    assert!(schedule.is_due(at(3)));
}

#[test]
fn is_not_due_while_an_append_is_in_flight() {
    let mut schedule = SnapshotSchedule::new(DAY, 100);
    schedule.note_end(at(1));
    assert!(schedule.is_due(at(61)));
    schedule.note_sent(at(61));
    assert!(!schedule.is_due(at(90)));
    assert!(schedule.is_due(at(91)));
}
