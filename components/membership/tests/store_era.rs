//! Era of a store that comes back from older copies.

use std::time::Duration;

use base::{Offset, Timestamp};
use membership::{REWRITE_PERIOD, StoreEra};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Guards against offsets of a restored log that count as older than those of the lost history, or
/// that name two records.
#[test]
fn offsets_increase_across_eras() {
    let lost = Offset::in_era(1, 5_000_000_000);
    let rewritten = Offset::in_era(2, 7);
    assert!(rewritten > lost);
    assert_eq!((rewritten.era(), rewritten.number()), (2, 7));
    assert_eq!(rewritten.next(), Offset::in_era(2, 8));
    // A log without eras keeps its numbers.
    assert_eq!(Offset::in_era(0, 7), Offset(7));
    // Fencing tokens travel as JSON numbers, which are exact up to 2^53.
    assert!(Offset::in_era(8_191, (1 << 40) - 1).0 < 1 << 53);
}

/// Guards against the content of a store that counts as complete before its writers had the time to
/// write again what was lost, and against a pause at each start of a process.
#[test]
fn restored_store_is_settled_after_the_rewrite_period() {
    let mut era = StoreEra::default();
    assert!(!era.is_settled(at(60_000)));
    // A process can't tell whether the first era that it sees has just begun.
    assert!(!era.record(4, at(1_000)));
    assert!(!era.is_settled(at(2_900)));
    assert!(era.is_settled(at(1_000) + REWRITE_PERIOD));
    assert!(era.record(5, at(10_000)));
    assert!(!era.record(4, at(10_100)));
    assert!(!era.record(5, at(10_100)));
    assert!(!era.is_settled(at(10_000) + REWRITE_PERIOD - Duration::from_millis(1)));
    assert!(era.is_settled(at(10_000) + REWRITE_PERIOD));
    assert_eq!(era.known(), Some(5));
}

/// Guards against a process that takes another one's word on a former era for one on the present.
#[test]
fn another_process_tells_that_the_content_is_complete() {
    let mut era = StoreEra::default();
    era.record(4, at(0));
    era.record_settled(3);
    assert!(!era.is_settled(at(100)));
    era.record_settled(4);
    assert!(era.is_settled(at(100)));
    era.record(5, at(200));
    assert!(!era.is_settled(at(300)));
    // A store that was never restored has lost nothing.
    let mut first = StoreEra::default();
    first.record(0, at(0));
    assert!(first.is_settled(at(0)));
}
