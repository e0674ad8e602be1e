//! When a snapshot is due.

use std::time::Duration;

use base::{SnapshotSchedule, Timestamp};

const DAY: Duration = Duration::from_secs(86_400);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

#[test]
fn is_due_soon_after_a_start_whatever_was_found() {
    // Guards against a snapshot that expires because each restart counts its age from zero.
    let mut schedule = SnapshotSchedule::new(DAY, 100);
    schedule.note_snapshot(at(0));
    assert!(!schedule.is_due(at(90_000)));
    schedule.note_end(at(1));
    schedule.note_end(at(50));
    assert!(!schedule.is_due(at(60)));
    assert!(schedule.is_due(at(61)));
}

#[test]
fn is_due_again_after_half_the_retention() {
    let mut schedule = SnapshotSchedule::new(DAY, 100);
    schedule.note_end(at(1));
    schedule.note_snapshot(at(61));
    assert!(!schedule.is_due(at(61 + 43_199)));
    assert!(schedule.is_due(at(61 + 43_200)));
}

#[test]
fn is_due_after_many_records() {
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
fn is_not_due_while_one_is_on_its_way() {
    let mut schedule = SnapshotSchedule::new(DAY, 100);
    schedule.note_end(at(1));
    assert!(schedule.is_due(at(61)));
    schedule.note_sent(at(61));
    assert!(!schedule.is_due(at(90)));
    assert!(schedule.is_due(at(91)));
}
