//! Demand estimates for models, from this process and from its peers.

use base::{ProcessName, Timestamp, short_hash};
use placement::ModelDemandTable;
use wire::ModelLoad;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Records 10 requests per second of 30 ms each.
fn record_steady_stream(table: &mut ModelDemandTable, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..to_ms).step_by(100) {
        table.record_request("a", 30.0, at(ms));
    }
}

/// A steady stream of requests: the estimate is close to 300 ms of engine time per second.
#[test]
fn steady_stream_is_estimated_within_a_tenth() {
    let mut table = ModelDemandTable::new();
    record_steady_stream(&mut table, 0, 20_000);
    let (work_ms, _) = table.total("a", at(20_000));
    assert!((270.0..=330.0).contains(&work_ms), "{work_ms}");
}

/// A sudden rise and fall: the estimate contains most of a new demand after one second and decays
/// over several seconds once the demand ends.
#[test]
fn rise_is_estimated_within_a_second_and_fall_after_several() {
    let mut table = ModelDemandTable::new();
    record_steady_stream(&mut table, 0, 1_000);
    let (rising, _) = table.total("a", at(1_000));
    assert!(rising >= 150.0, "{rising}");
    record_steady_stream(&mut table, 1_000, 20_000);
    let (kept, _) = table.total("a", at(22_000));
    assert!(kept >= 150.0, "{kept}");
    let (ended, _) = table.total("a", at(60_000));
    assert!(ended < 1.0, "{ended}");
}

/// Guards against the demand of a stopped gateway that keeps copies loaded forever.
#[test]
fn peer_report_expires_after_two_seconds() {
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

/// Guards against a count of waiting requests that goes below zero or is not reported to peers.
#[test]
fn waiting_requests_are_reported_without_other_demand() {
    let mut table = ModelDemandTable::new();
    table.record_waiting("a", false);
    table.record_waiting("a", true);
    let reported = table.own_loads(at(0));
    assert_eq!(reported.iter().map(|load| load.waiting).collect::<Vec<_>>(), [1]);
    table.record_waiting("a", false);
    assert!(table.own_loads(at(0)).is_empty());
}
