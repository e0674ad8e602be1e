//! Target directory with late, old and missing updates.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use base::{Offset, Timestamp, WarmCopies};
use membership::TargetDirectory;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use wire::{TargetEntry, TargetNews, TargetState};

const SEED: u64 = 5_102;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn entry(id: &str, born_ms: u64) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        born_ms: Some(born_ms),
        service: "engines".into(),
        software: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        data_centre: "north-a".into(),
        slots: 8,
        state: TargetState::Ready,
        cold_ms: 0,
        orders_accepted: 0,
        models: Vec::new(),
        warm: WarmCopies::default(),
    }
}

fn directory(ids: &[&str]) -> TargetDirectory {
    let mut directory = TargetDirectory::new();
    for (offset, id) in (1..).zip(ids) {
        assert!(directory.apply(Offset(offset), id, Some(entry(id, 1)), at(0)).is_some());
    }
    directory
}

fn ids(directory: &TargetDirectory) -> Vec<&str> {
    directory.entries().map(|entry| entry.id.as_str()).collect()
}

/// The fleet must not lose all targets after an outage of the store in which their entries expired.
#[test]
fn entries_that_expire_in_an_outage_of_the_store_stay_for_two_seconds_after_it() {
    let mut directory = directory(&["a", "b"]);
    directory.note_failure(at(1_000));
    directory.note_failure(at(9_000));
    directory.note_contact(at(20_000));
    // The snapshot after the outage is empty.
    assert!(directory.replace(Vec::new(), &[], Offset(40), at(20_000)).is_empty());
    assert!(directory.expire(at(21_999)).is_empty());
    assert_eq!(ids(&directory), ["a", "b"]);
    // One target registers again.
    directory.apply(Offset(41), "a", Some(entry("a", 1)), at(21_000));
    let updates = directory.expire(at(22_000));
    // The last record that was read is the one before the end: the next one gets the offset of the end.
    assert_eq!(updates, [TargetNews { offset: Offset(39), id: "b".into(), entry: None }]);
    assert_eq!(ids(&directory), ["a"]);
}

/// Targets must still be dropped although the store fails now and then.
#[test]
fn entry_that_expires_while_the_store_answers_is_dropped_at_once() {
    let mut directory = directory(&["a", "b"]);
    directory.note_contact(at(500));
    let update = directory.apply(Offset(9), "a", None, at(1_000)).unwrap();
    assert_eq!((update.id.as_str(), update.entry), ("a", None));
    assert_eq!(ids(&directory), ["b"]);
}

/// An old update, from a slow peer or a record read twice, must not restore a target.
#[test]
fn old_update_does_not_restore_a_target() {
    let mut directory = directory(&["a"]);
    directory.apply(Offset(9), "a", None, at(1_000));
    let old = TargetNews { offset: Offset(5), id: "a".into(), entry: Some(entry("a", 1)) };
    assert!(!directory.apply_update(&old, at(1_100)));
    assert!(directory.apply(Offset(8), "a", Some(entry("a", 1)), at(1_100)).is_none());
    assert!(directory.get("a").is_none());
    let new = TargetNews { offset: Offset(10), id: "a".into(), entry: Some(entry("a", 2)) };
    assert!(directory.apply_update(&new, at(1_200)));
    assert_eq!(directory.get("a").unwrap().born_ms, Some(2));
}

/// Datagrams must not fill up with entries in which only adapters changed.
#[test]
fn renewed_entry_is_no_update_but_a_leaving_one_is() {
    let mut directory = directory(&["a"]);
    assert!(directory.apply(Offset(2), "a", Some(entry("a", 1)), at(100)).is_none());
    let leaving =
        TargetEntry { state: TargetState::Leaving { remaining_ms: Some(900) }, ..entry("a", 1) };
    assert!(directory.apply(Offset(3), "a", Some(leaving), at(200)).is_some());
}

/// Gateways must converge: the result must not depend on the order in which the same records
/// arrive.
#[test]
fn order_of_updates_does_not_matter() {
    let record = (1..40u64, 0..4u8, any::<bool>());
    let records = prop::collection::vec(record, 1..30);
    let mut runner = TestRunner::new(Config {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    });
    runner
        .run(&(records, any::<u64>()), |(records, shuffle)| {
            // One record per offset, as on a log.
            let mut updates: Vec<TargetNews> = records
                .iter()
                .map(|(offset, id, present)| {
                    let id = format!("t{id}");
                    let entry = present.then(|| entry(&id, *offset));
                    TargetNews { offset: Offset(*offset), id: id.as_str().into(), entry }
                })
                .collect();
            updates.sort_by_key(|update| update.offset);
            updates.dedup_by_key(|update| update.offset);
            for are_known in [true, false] {
                let mut in_order = TargetDirectory::new();
                let mut other = TargetDirectory::new();
                for directory in [&mut in_order, &mut other] {
                    for id in ["t0", "t1", "t2", "t3"].into_iter().filter(|_| are_known) {
                        directory.apply(Offset(0), id, Some(entry(id, 0)), at(0));
                    }
                }
                for item in &updates {
                    in_order.apply_update(item, at(1));
                }
                let mut shuffled = updates.clone();
                shuffled
                    .sort_by_key(|item| item.offset.0.wrapping_mul(shuffle | 1).rotate_left(17));
                for item in shuffled.iter().chain(&updates) {
                    other.apply_update(item, at(1));
                }
                prop_assert_eq!(in_order.digest(), other.digest());
                let (left, right): (Vec<_>, Vec<_>) =
                    (in_order.entries().collect(), other.entries().collect());
                prop_assert_eq!(left, right);
            }
            Ok(())
        })
        .unwrap();
}

/// After a complete power loss, engines that start together with the processes register shortly
/// after the list was first read. With the usual interval nothing could be loaded for 600 ms.
#[test]
fn list_is_read_more_often_during_startup() {
    let interval = |ms| TargetDirectory::read_interval(Duration::from_millis(ms));
    assert!(interval(50) <= Duration::from_millis(150));
    let mut age_ms = 0;
    let mut startup_reads = 0;
    while interval(age_ms) < Duration::from_millis(500) {
        age_ms += interval(age_ms).as_millis() as u64;
        startup_reads += 1;
    }
    assert!(startup_reads < 20, "each read is paid for");
    assert_eq!(interval(2_000), interval(600_000));
    assert!(interval(2_000) >= Duration::from_millis(500));
}

/// Guards against targets that are dropped because the copy that the store came back from is older than
/// their entries.
#[test]
fn targets_that_a_restored_store_lacks_have_time_to_register_again() {
    let mut directory = directory(&["a", "b", "c"]);
    directory.note_restored(at(5_000));
    let copy = vec![(Offset::in_era(1, 1), entry("a", 1))];
    assert!(directory.replace(copy, &[], Offset::in_era(1, 2), at(5_000)).is_empty());
    assert_eq!(ids(&directory), ["a", "b", "c"]);
    directory.apply(Offset::in_era(1, 2), "b", Some(entry("b", 1)), at(6_200));
    let updates = directory.expire(at(7_000));
    assert_eq!(updates.len(), 1, "{updates:?}");
    assert_eq!(ids(&directory), ["a", "b"]);
    // News of the lost history changes nothing any more.
    let late = TargetNews { offset: Offset(900), id: "b".into(), entry: None };
    assert!(!directory.apply_update(&late, at(7_100)));
}

/// Guards against a copy that undoes the leaving or the end of a target, for a reader of the store and
/// for a gateway that has the copy's content from another one.
#[test]
fn a_copy_undoes_neither_the_leaving_nor_the_end_of_a_target() {
    let leaving =
        TargetEntry { state: TargetState::Leaving { remaining_ms: None }, ..entry("a", 1) };
    for is_reader in [true, false] {
        let mut directory = directory(&["a", "b"]);
        directory.apply(Offset(10), "a", Some(leaving.clone()), at(1_000));
        directory.apply(Offset(11), "b", None, at(1_000));
        directory.note_restored(at(5_000));
        let mut tell = |number: u64, entry: TargetEntry, ms: u64| {
            let (offset, id) = (Offset::in_era(1, number), entry.id.clone());
            match is_reader {
                true => {
                    directory.apply(offset, &id, Some(entry), at(ms));
                }
                false => {
                    let update = TargetNews { offset, id, entry: Some(entry) };
                    directory.apply_update(&update, at(ms));
                }
            }
            directory.entries().map(|e| (e.id.to_string(), e.state)).collect::<Vec<_>>()
        };
        tell(1, entry("a", 1), 5_000);
        let known = tell(2, entry("b", 1), 5_000);
        assert_eq!(known, [("a".to_owned(), leaving.state)], "reader: {is_reader}");
        // What the targets write themselves counts, and so does another life.
        let known = tell(3, entry("b", 1), 6_200);
        assert_eq!(known.len(), 2, "reader: {is_reader}");
        let known = tell(4, entry("a", 2), 6_300);
        assert_eq!(known[0].1, TargetState::Ready, "reader: {is_reader}");
    }
}

/// Guards against a target that is dropped because another writer left an entry that can't be decoded
/// under its id.
#[test]
fn entry_that_cannot_be_decoded_changes_nothing() {
    let mut directory = directory(&["a", "b"]);
    let entries = vec![(Offset(1), entry("a", 1))];
    assert!(directory.replace(entries, &["b".into()], Offset(9), at(100)).is_empty());
    assert_eq!(ids(&directory), ["a", "b"]);
}

/// Guards against removed targets that stay in use because reads failed for this gateway alone, while
/// another one read the list as usual.
#[test]
fn reads_that_fail_for_one_gateway_hold_no_entry_back() {
    let mut directory = directory(&["a", "b"]);
    directory.note_contact(at(1_000));
    for ms in (1_600..5_000).step_by(250) {
        directory.note_failure(at(ms));
    }
    for ms in (1_900..5_000).step_by(1_000) {
        directory.note_peer_contact(at(ms));
    }
    directory.note_contact(at(5_000));
    assert!(directory.apply(Offset(9), "a", None, at(5_000)).is_some());
    assert_eq!((ids(&directory), directory.has_missing()), (vec!["b"], false));
}

/// Guards against a removed target that stays in use for two seconds because one answer of the store was
/// lost: no entry can expire in that time.
#[test]
fn one_failed_read_holds_no_entry_back() {
    let mut directory = directory(&["a"]);
    directory.note_contact(at(1_000));
    directory.note_failure(at(1_600));
    directory.note_contact(at(1_900));
    assert!(directory.apply(Offset(9), "a", None, at(1_900)).is_some());
}

/// Guards against a gateway that takes an outage of the store for one of its own because another gateway
/// reached the store again a moment before it, and drops the fleet; and against one that stood still
/// during the outage and saw no failure.
#[test]
fn an_outage_for_all_gateways_is_recognized_by_each() {
    for has_failures in [true, false] {
        let mut directory = directory(&["a"]);
        directory.note_contact(at(1_000));
        directory.note_peer_contact(at(1_500));
        if has_failures {
            (2_000..9_000).step_by(250).for_each(|ms| directory.note_failure(at(ms)));
        }
        directory.note_peer_contact(at(9_000));
        // A report that was sent before the outage arrives late.
        directory.note_peer_contact(at(1_700));
        directory.note_contact(at(9_100));
        assert!(directory.replace(Vec::new(), &[], Offset(40), at(9_100)).is_empty());
        assert_eq!(directory.missing().collect::<Vec<_>>(), ["a"]);
        assert_eq!(directory.judgement_due(at(9_100)), Some(Duration::from_millis(1_900)));
        assert!(directory.expire(at(10_999)).is_empty());
        assert_eq!(directory.expire(at(11_000)).len(), 1);
    }
}

fn news(offset: u64, id: &str) -> TargetNews {
    TargetNews { offset: Offset(offset), id: id.into(), entry: Some(entry(id, 1)) }
}

/// Guards against a removed target that comes back with the news of a gateway that has read less of the list:
/// the reader never meets the removal again.
#[test]
fn news_from_before_a_read_adds_no_target() {
    let mut directory = TargetDirectory::new();
    assert!(directory.apply_update(&news(11, "a"), at(0)), "nothing was read yet");
    let entries = vec![(Offset(20), entry("b", 1))];
    directory.replace(entries, &[], Offset(90), at(100));
    assert!(!directory.apply_update(&news(11, "c"), at(200)));
    assert!(!directory.apply_update(&news(89, "c"), at(200)));
    assert_eq!(ids(&directory), ["b"]);
    assert!(directory.apply_update(&news(90, "c"), at(200)), "a record after the read");
    directory.note_read_to(Offset(100));
    assert!(!directory.apply_update(&news(99, "d"), at(300)), "changes were read up to there");
    assert!(directory.apply_update(&news(100, "d"), at(300)));
}

/// Guards against the same once the removal is long past and its tombstone is dropped.
#[test]
fn news_from_before_a_read_adds_no_target_after_its_tombstone_is_gone() {
    let mut directory = directory(&["a"]);
    directory.apply(Offset(50), "a", None, at(1_000));
    directory.note_read_to(Offset(51));
    directory.expire(at(600_000));
    assert!(!directory.apply_update(&news(11, "a"), at(600_100)));
}

/// Guards against an entry that counts as present again because news from before the read that lacked it
/// arrive late: it is never judged.
#[test]
fn news_from_before_a_read_ends_no_wait_for_a_missing_target() {
    let mut directory = directory(&["a"]);
    directory.note_contact(at(1_000));
    directory.note_contact(at(20_000));
    directory.replace(Vec::new(), &[], Offset(90), at(20_000));
    assert!(directory.has_missing());
    assert!(!directory.apply_update(&news(50, "a"), at(20_100)));
    assert_eq!(directory.expire(at(22_000)).len(), 1);
}

/// Guards against a target that is ignored until its next heartbeat because its record is the first one after
/// a read that lacked it, and so at the offset of that read's end.
#[test]
fn target_that_registers_right_after_a_read_is_taken() {
    let mut directory = directory(&["a"]);
    assert_eq!(directory.replace(Vec::new(), &[], Offset(40), at(100)).len(), 1);
    assert!(directory.apply(Offset(40), "a", Some(entry("a", 2)), at(200)).is_some());
    assert_eq!(ids(&directory), ["a"]);
}

/// Guards against a target that is added after its removal because the news of both arrive in the other order at a
/// gateway that had not heard of it.
#[test]
fn removal_of_an_unknown_target_outlasts_late_news_of_its_entry() {
    let mut directory = TargetDirectory::new();
    let gone = TargetNews { offset: Offset(60), id: "a".into(), entry: None };
    assert!(!directory.apply_update(&gone, at(0)), "nothing changes");
    assert!(!directory.apply_update(&news(50, "a"), at(0)));
    assert!(directory.apply_update(&news(61, "a"), at(0)));
}
