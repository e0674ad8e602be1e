//! Distribution of what entries say of cold targets.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::net::SocketAddr;

use base::{Offset, Timestamp, WarmCopies};
use membership::TargetDirectory;
use wire::{TargetEntry, TargetState};

fn entry(cold_ms: u64) -> TargetEntry {
    TargetEntry {
        id: "target-1".into(),
        born_ms: Some(1),
        service: "web".into(),
        software: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        data_centre: "north-a".into(),
        slots: 8,
        state: TargetState::Ready,
        cold_ms,
        orders_accepted: 0,
        models: Vec::new(),
        warm: WarmCopies::default(),
    }
}

/// Guards against gateways that don't learn that a target has become cold, or warm, and against an
/// update in every heartbeat of a cold target.
#[test]
fn a_target_that_becomes_cold_or_warm_is_an_update() {
    let mut directory = TargetDirectory::new();
    let mut offset = 0;
    let mut is_update = |cold_ms: u64| {
        offset += 1;
        let now = Timestamp::from_millis(offset * 1_200);
        directory.apply(Offset(offset), "target-1", Some(entry(cold_ms)), now).is_some()
    };
    let updates: Vec<bool> =
        [0, 3_000, 1_800, 600, 2_900, 1_700, 0, 0].map(&mut is_update).to_vec();
    assert_eq!(updates, [true, true, false, false, true, false, true, false]);
}

/// Guards against a lost update that nobody detects.
#[test]
fn coldness_is_part_of_the_digest() {
    let mut directory = TargetDirectory::new();
    let mut digest = |offset: u64, cold_ms: u64| {
        let now = Timestamp::from_millis(offset * 1_200);
        directory.apply(Offset(offset), "target-1", Some(entry(cold_ms)), now);
        directory.digest()
    };
    let (warm, cold, cooler) = (digest(1, 0), digest(2, 3_000), digest(3, 1_800));
    assert!(warm != cold && cold == cooler);
}
