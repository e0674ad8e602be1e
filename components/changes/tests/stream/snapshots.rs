//! Snapshots, gaps and catch-up from peers.

use crate::common::{feed, feed_all, files, key, record, replica, withdraw};
use base::{Offset, Timestamp};
use changes::{Change, RecordId};

fn history() -> Vec<Vec<u8>> {
    vec![
        record("a", files(0, 10)),
        record("b", Change::AddKey(key("k", 1))),
        record("c", files(2, 20)),
        record("d", withdraw("k")),
    ]
}

#[test]
fn reader_starts_at_the_newest_snapshot_of_a_trimmed_log() {
    let mut writer = replica();
    let mut log = history();
    feed_all(&mut writer, &log[..3]);
    log.insert(3, writer.take_snapshot(RecordId("s".into()), Timestamp::default()).unwrap());
    feed_all(&mut writer, &log);
    // Offsets 1 and 2 are no longer on the log.
    let mut reader = replica();
    assert!(feed(&mut reader, 3, &log[2]).new_config.is_none());
    assert!(reader.has_gap());
    assert_eq!(reader.next_offset(Offset(3)), Offset(4));
    let result = feed(&mut reader, 4, &log[3]);
    assert_eq!(result.new_config.unwrap().version, Offset(3));
    feed(&mut reader, 5, &log[4]);
    assert_eq!((reader.version(), reader.position()), (writer.version(), writer.position()));
    assert_eq!(reader.sources(), writer.sources());
    // The snapshot contains the record ids, so a repeated record is still detected.
    assert_eq!(reader.find(&RecordId("b".into())), Some(Offset(2)));
}

#[test]
fn snapshot_older_than_the_reader_is_ignored() {
    let mut writer = replica();
    let log = history();
    feed_all(&mut writer, &log[..1]);
    let late = writer.take_snapshot(RecordId("s".into()), Timestamp::default()).unwrap();
    let mut reader = replica();
    feed_all(&mut reader, &log);
    assert!(feed(&mut reader, 5, &late).new_config.is_none());
    assert_eq!((reader.version(), reader.position()), (Offset(4), Offset(5)));
    // Also across a gap.
    assert!(feed(&mut reader, 9, &late).new_config.is_none());
    assert_eq!(reader.position(), Offset(5));
}

#[test]
fn records_between_a_snapshot_and_its_offset_are_still_applied() {
    // A reader must not use the offset of the snapshot as that of its state.
    let mut writer = replica();
    let log = history();
    feed_all(&mut writer, &log[..2]);
    let snapshot = writer.take_snapshot(RecordId("s".into()), Timestamp::default()).unwrap();
    // The snapshot covers offsets 1 and 2 and is stored at 5; the reader has not read 3.
    let mut reader = replica();
    feed(&mut reader, 4, &log[3]);
    feed(&mut reader, 5, &snapshot);
    assert_eq!((reader.version(), reader.has_gap()), (Offset(2), true));
    assert_eq!(reader.next_offset(Offset(1)), Offset(3));
    feed(&mut reader, 3, &log[2]);
    assert_eq!((reader.version(), reader.has_gap()), (Offset(4), false));
    assert_eq!(reader.position(), Offset(5));
}

#[test]
fn peer_returns_records_or_a_snapshot_that_lead_to_its_version() {
    let mut peer = replica();
    feed_all(&mut peer, &history());
    let mut late = replica();
    feed(&mut late, 1, &history()[0]);
    let records = peer.records_from(late.position().next());
    assert_eq!(records.iter().map(|r| r.offset.0).collect::<Vec<_>>(), [2, 3, 4]);
    for record in &records {
        late.apply(record.offset, &record.payload, Timestamp::default());
    }
    assert_eq!(late.sources(), peer.sources());
    assert!(peer.records_from(Offset(5)).is_empty());

    // A peer that itself started from a snapshot has no older records.
    let mut second = replica();
    for record in peer.records_from(Offset(0)) {
        second.apply(record.offset, &record.payload, Timestamp::default());
    }
    assert_eq!((second.version(), second.sources()), (peer.version(), peer.sources()));
    let mut third = replica();
    feed_all(&mut third, &history()[..3]);
    let records = second.records_from(Offset(4));
    assert_eq!(records.len(), 1);
    // The snapshot follows directly after the position of the third replica; it must be installed
    // and not counted as a record.
    third.apply(records[0].offset, &records[0].payload, Timestamp::default());
    assert_eq!((third.version(), third.sources()), (peer.version(), peer.sources()));
}

#[test]
fn reader_never_goes_back_to_an_older_version_from_a_peer() {
    let mut old = replica();
    feed_all(&mut old, &history()[..2]);
    let mut new = replica();
    feed_all(&mut new, &history());
    for record in old.records_from(Offset(0)) {
        assert!(
            new.apply(record.offset, &record.payload, Timestamp::default()).new_config.is_none()
        );
    }
    assert_eq!(new.version(), Offset(4));
}

#[test]
fn snapshot_is_due_after_startup_once_the_log_was_read_to_its_end() {
    let mut log = replica();
    let late = Timestamp::from_millis(3_600_000);
    assert!(!log.is_snapshot_due(late));
    feed_all(&mut log, &history());
    assert!(!log.is_snapshot_due(late));
    log.note_end(Timestamp::default());
    assert!(log.is_snapshot_due(late));
    assert!(log.take_snapshot(RecordId("s".into()), late).is_some());
    assert!(!log.is_snapshot_due(late));
    // A reader with a gap must not write a snapshot.
    feed(&mut log, 9, &history()[0]);
    assert!(!log.is_snapshot_due(late + std::time::Duration::from_secs(60)));
}

#[test]
fn empty_replica_has_no_snapshot_and_no_records() {
    let mut log = replica();
    assert!(log.take_snapshot(RecordId("s".into()), Timestamp::default()).is_none());
    assert!(log.records_from(Offset(1)).is_empty());
}
