//! Evacuations learned from the store and from other gateways, late, repeated and out of order.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::time::Duration;

use base::{Offset, Timestamp};
use compact_str::format_compact;
use membership::Evacuations;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use wire::{EvacuationRecord, EvacuationReport};

const SEED: u64 = 7_301;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn record(data_centre: &str, offset: Offset, is_active: bool) -> EvacuationRecord {
    EvacuationRecord { data_centre: data_centre.into(), offset, is_active }
}

/// Guards against a record that arrives again or late and begins an evacuation anew, or ends one
/// that began later.
#[test]
fn the_record_at_the_highest_offset_counts() {
    let mut evacuations = Evacuations::default();
    let begin = record("north-a", Offset(5), true);
    assert!(evacuations.apply_record(&begin, at(0)).unwrap().is_active);
    assert_eq!(evacuations.apply_record(&begin, at(1)), None);
    assert_eq!(evacuations.apply_record(&record("north-a", Offset(4), false), at(2)), None);
    assert!(evacuations.is_active("north-a") && !evacuations.is_active("north-b"));
    let end = record("north-a", Offset(6), false);
    assert!(!evacuations.apply_record(&end, at(3)).unwrap().is_active);
    assert_eq!(evacuations.apply_record(&begin, at(4)), None);
    assert!(evacuations.active().is_empty());
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(SEED), ..Config::default() })]

    /// Guards against gateways that disagree after all reports have arrived, in whatever order, and
    /// against an end that seems newer each time that it is passed on.
    #[test]
    fn gateways_agree_whatever_the_order_of_their_reports(
        steps in prop::collection::vec((0_usize..3, any::<bool>(), 0_usize..4, 0_usize..4), 1..30),
    ) {
        let mut newest = [None; 3];
        let mut gateways = vec![Evacuations::default(); 4];
        for (offset, (centre, is_active, reader, other)) in (1..).zip(steps) {
            newest[centre] = Some(is_active);
            let name = format_compact!("centre-{centre}");
            gateways[reader].apply_record(&record(&name, Offset(offset), is_active), at(offset));
            for report in gateways[reader].reports(at(offset)) {
                gateways[other].apply_report(&report, at(offset));
            }
        }
        let reports: Vec<EvacuationReport> =
            gateways.iter().flat_map(|gateway| gateway.reports(at(100))).collect();
        for gateway in &mut gateways {
            for report in &reports {
                gateway.apply_report(report, at(100));
            }
            for (centre, expected) in newest.iter().enumerate() {
                let name = format_compact!("centre-{centre}");
                prop_assert_eq!(gateway.is_active(&name), expected.unwrap_or(false));
            }
        }
        // The first record was read after 1 ms.
        prop_assert!(reports.iter().all(|report| report.age_ms <= 99), "{reports:?}");
    }
}

/// Guards against an evacuation that goes on although its record is gone from the store, and against
/// the next one that is taken for an older record.
#[test]
fn a_snapshot_without_the_record_ends_the_evacuation() {
    let mut evacuations = Evacuations::default();
    evacuations.apply_record(&record("north-a", Offset(5), true), at(0));
    let changes = evacuations.apply_snapshot(&[], Offset(9), at(1));
    assert_eq!(changes.len(), 1);
    assert!(evacuations.active().is_empty());
    assert!(evacuations.apply_record(&record("north-a", Offset(9), true), at(2)).is_some());
    assert_eq!(evacuations.active(), ["north-a"]);
}

/// Guards against a restored store that ends an evacuation because it has lost the record.
#[test]
fn a_restored_store_without_the_record_ends_nothing() {
    let mut evacuations = Evacuations::default();
    evacuations.apply_record(&record("north-a", Offset::in_era(0, 50), true), at(0));
    assert!(evacuations.apply_snapshot(&[], Offset::in_era(1, 9), at(1)).is_empty());
    assert!(evacuations.is_active("north-a"));
    // The operators write it again, which is no new beginning, and end it later.
    let again = record("north-a", Offset::in_era(1, 9), true);
    assert_eq!(evacuations.apply_record(&again, at(2)), None);
    assert_eq!(evacuations.reports(at(10))[0].age_ms, 10);
    let end = record("north-a", Offset::in_era(1, 10), false);
    assert!(!evacuations.apply_record(&end, at(3)).unwrap().is_active);
}

/// Guards against an end whose age is lost on the way to a gateway that starts.
#[test]
fn the_age_of_an_end_is_passed_on() {
    let mut first = Evacuations::default();
    first.apply_record(&record("north-a", Offset(5), false), at(1_000));
    let report = first.reports(at(1_400)).remove(0);
    let mut second = Evacuations::default();
    let change = second.apply_report(&report, at(50)).unwrap();
    assert_eq!((change.is_active, change.age), (false, Duration::from_millis(400)));
    assert_eq!(second.reports(at(150))[0].age_ms, 500);
}

/// Guards against a list of data centres that grows without bound, and against an evacuation that is
/// dropped for the end of another one.
#[test]
fn ends_make_room_for_evacuations() {
    let mut evacuations = Evacuations::default();
    for number in 1..=200 {
        let name = format_compact!("centre-{number}");
        evacuations.apply_record(&record(&name, Offset(number), number % 10 == 0), at(0));
    }
    assert!(evacuations.reports(at(0)).len() <= 64);
    assert_eq!(evacuations.active().len(), 20);
}

/// Guards against an evacuation that has ended and comes back with the report of a gateway that doesn't know
/// it: gateways that started since would tell one another of it for ever.
#[test]
fn reports_from_before_a_read_begin_no_evacuation() {
    let report = |offset: Offset| EvacuationReport {
        data_centre: "north-a".into(),
        offset,
        is_active: true,
        age_ms: 10,
    };
    let mut evacuations = Evacuations::default();
    evacuations.apply_snapshot(&[], Offset::in_era(1, 9), at(0));
    assert_eq!(evacuations.apply_report(&report(Offset::in_era(1, 5)), at(1)), None);
    assert!(evacuations.active().is_empty());
    // The copy that the store came back from may lack the record.
    assert!(evacuations.apply_report(&report(Offset(5)), at(2)).is_some());
    let mut evacuations = Evacuations::default();
    evacuations.apply_snapshot(&[], Offset(9), at(0));
    assert!(
        evacuations.apply_report(&report(Offset(9)), at(1)).is_some(),
        "a record after the read"
    );
}
