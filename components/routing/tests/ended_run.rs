//! Judgement of the target of a response that ended with its connection.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Timestamp, WarmCopies};
use routing::{DirectFleet, EndedRun, TargetKey, TargetLife};
use wire::{TargetEntry, TargetState};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn entry(id: &str, born_ms: u64, state: TargetState) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        born_ms: Some(born_ms),
        service: "engines".into(),
        software: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        data_centre: "north-a".into(),
        slots: 8,
        state,
        cold_ms: 0,
        orders_accepted: 0,
        models: Vec::new(),
        warm: WarmCopies::default(),
    }
}

/// A run from 0 s, whose target may have been replaced within 1 s, and which ended at 5 s.
const RUN: EndedRun = EndedRun {
    sent_at: Timestamp { micros: 0 },
    born_ms: Some(1),
    connected_at: Timestamp { micros: 5_000_000 },
    replaced_after: Duration::from_millis(1_000),
    names_start: false,
};

fn judge(run: EndedRun, entries: &[TargetEntry], list_known_ms: u64) -> TargetLife {
    let mut fleet = DirectFleet::new("north-a");
    entries.iter().for_each(|entry| fleet.apply_entry(entry, at(0)));
    run.judge(fleet.target(TargetKey(0)), Some(at(list_known_ms)), at(6_000))
}

/// Guards against a list that counts as evidence of a life: a process at the address that has not entered itself
/// yet is taken for the target that it has replaced.
#[test]
fn a_target_that_names_its_start_is_asked() {
    let listed = [entry("a", 1, TargetState::Ready)];
    let run = EndedRun { names_start: true, ..RUN };
    assert_eq!(judge(run, &listed, 5_500), TargetLife::Ask);
    let short = EndedRun { connected_at: at(900), ..run };
    assert_eq!(judge(short, &listed, 0), TargetLife::Alive, "no time to replace it");
}

/// Guards against another life, or another target at the address, that counts as the target.
#[test]
fn a_replaced_target_has_ended() {
    let again = [entry("a", 2, TargetState::Ready)];
    assert_eq!(judge(RUN, &again, 5_500), TargetLife::Ended);
    let other = [entry("a", 1, TargetState::Ready), entry("b", 2, TargetState::Ready)];
    assert_eq!(judge(RUN, &other, 5_500), TargetLife::Ended);
}

/// Guards against a list from before the connection that counts as evidence, and against the trust in a target
/// that leaves.
#[test]
fn only_a_later_list_shows_that_a_target_serves() {
    let listed = [entry("a", 1, TargetState::Ready)];
    assert_eq!(judge(RUN, &listed, 5_000), TargetLife::AwaitList);
    assert_eq!(judge(RUN, &listed, 5_001), TargetLife::Alive);
    let leaving = [entry("a", 1, TargetState::Leaving { remaining_ms: None })];
    assert_eq!(judge(RUN, &leaving, 5_500), TargetLife::Ask);
}
