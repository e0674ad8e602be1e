//! Demand for models, at this process and at its peers.

use base::{ProcessName, Timestamp, short_hash};
use placement::ModelDemandTable;
use wire::ModelLoad;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// 10 requests a second of 30 ms each.
fn steady(table: &mut ModelDemandTable, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..to_ms).step_by(100) {
        table.record_request("a", 30.0, at(ms));
    }
}

/// The pattern "steady stream": the estimate is near 300 ms of engine time a second.
#[test]
fn a_steady_stream_is_estimated_within_a_tenth() {
    let mut table = ModelDemandTable::new();
    steady(&mut table, 0, 20_000);
    let (work_ms, _) = table.total("a", at(20_000));
    assert!((270.0..=330.0).contains(&work_ms), "{work_ms}");
}

/// The pattern "sudden rise": most of a new demand is seen after a second, and the copies for one that
/// ends are kept for seconds.
#[test]
fn a_rise_is_seen_within_a_second_and_a_fall_after_several() {
    let mut table = ModelDemandTable::new();
    steady(&mut table, 0, 1_000);
    let (risen, _) = table.total("a", at(1_000));
    assert!(risen >= 150.0, "{risen}");
    steady(&mut table, 1_000, 20_000);
    let (kept, _) = table.total("a", at(22_000));
    assert!(kept >= 150.0, "{kept}");
    let (gone, _) = table.total("a", at(60_000));
    assert!(gone < 1.0, "{gone}");
}

/// Guards against the demand of a dead gateway that keeps copies for ever.
#[test]
fn a_peers_word_counts_for_two_seconds() {
    let mut table = ModelDemandTable::new();
    let load = ModelLoad {
        model: short_hash(b"a"),
        work_micros_per_s: 250_000,
        requests_per_1000_s: 1_000,
        waiting: 3,
    };
    table.update_peer(&ProcessName::new("gateway-2"), vec![load], at(0));
    assert_eq!(table.total("a", at(1_999)), (250.0, 3));
    assert_eq!(table.total("a", at(2_000)), (0.0, 0));
    assert_eq!(table.total("b", at(0)), (0.0, 0));
}

/// Guards against a count of waiting requests that goes below zero or is never told.
#[test]
fn requests_that_wait_are_told_without_other_demand() {
    let mut table = ModelDemandTable::new();
    table.record_waiting("a", false);
    table.record_waiting("a", true);
    let told = table.own_loads(at(0));
    assert_eq!(told.iter().map(|load| load.waiting).collect::<Vec<_>>(), [1]);
    table.record_waiting("a", false);
    assert!(table.own_loads(at(0)).is_empty());
}
