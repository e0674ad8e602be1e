//! Which agents remember streams, and are asked for them.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

mod common;

use std::net::{IpAddr, SocketAddr};

use common::{agent_state, at, entry};
use compact_str::format_compact;
use routing::DirectFleet;
use streams::{Keeper, KeeperSet};
use wire::{TargetEntry, TargetState};

/// Guards against a stream whose keepers are not found again: a gateway that knows more or fewer engines
/// asks the agents that were told.
#[test]
fn the_keepers_of_a_stream_are_found_after_engines_came_and_went() {
    let many = |count: u16| {
        let mut fleet = DirectFleet::new("north-a");
        for number in 0..count {
            let address = SocketAddr::from(([10, 0, 0, number as u8], 9_000));
            fleet.apply_entry(&TargetEntry { address, ..entry(number, "north-a") }, at(0));
        }
        fleet
    };
    let (then, mut now) = (many(16), many(18));
    now.mark_unlisted("engine-3", at(1));
    for attempt in 0..500 {
        let told = KeeperSet::new(then.keepers(2, at(0))).keepers_of(attempt, None, 2);
        let asked = KeeperSet::new(now.keepers(2, at(1))).keepers_of(attempt, None, 4);
        assert!(told.iter().any(|keeper| asked.contains(keeper)), "{attempt}");
    }
}

/// Guards against streams that nobody remembers where most engines have no agent: gateways give their
/// orders, and nothing on their machines listens.
#[test]
fn only_machines_with_an_agent_remember_streams() {
    let mut fleet = DirectFleet::new("north-a");
    let address = |number: u16| SocketAddr::from(([10, 0, 0, number as u8], 9_000));
    for number in 0..20 {
        let entry = TargetEntry { address: address(number), ..entry(number, "north-a") };
        fleet.apply_entry(&entry, at(0));
    }
    let asked_keepers = |fleet: &DirectFleet| {
        let present = fleet.keepers(2, at(1));
        present.len() + fleet.former_keepers(&present, at(1)).len()
    };
    assert_eq!(asked_keepers(&fleet), 20, "nothing is known yet");
    for number in 0..20 {
        let asked_at = (number >= 3).then(|| address(100));
        let id = format_compact!("engine-{number}");
        fleet.apply_agent_state(&wire::AgentState { asked_at, ..agent_state(&id, 1) }, at(1));
    }
    assert_eq!(asked_keepers(&fleet), 3);
    let told: Vec<IpAddr> = fleet.keepers(2, at(1)).iter().map(|keeper| keeper.ip).collect();
    assert_eq!(told, [address(0).ip(), address(1).ip(), address(2).ip()]);
}

/// Guards against streams that nobody is asked for: the agents that know them run beside targets that leave
/// or have just left. Guards also against streams that nobody is told of while all targets leave.
#[test]
fn agents_beside_targets_that_leave_are_asked_and_told_if_need_be() {
    let mut fleet = DirectFleet::new("north-a");
    let address = |number: u16| SocketAddr::from(([10, 0, 0, number as u8], 9_000));
    let listed = |number| TargetEntry { address: address(number), ..entry(number, "north-a") };
    for number in 0..4 {
        fleet.apply_entry(&listed(number), at(0));
        let id = format_compact!("engine-{number}");
        fleet.apply_agent_state(&agent_state(&id, 1), at(0));
    }
    let leaving = |number| TargetEntry {
        state: TargetState::Leaving { remaining_ms: Some(2_000) },
        ..listed(number)
    };
    fleet.apply_entry(&leaving(0), at(10));
    fleet.mark_unlisted("engine-1", at(10));
    let ips = |keepers: &[Keeper]| -> Vec<u8> {
        let last = |ip: IpAddr| ip.to_string().rsplit('.').next().unwrap().parse().unwrap();
        keepers.iter().map(|keeper| last(keeper.ip)).collect()
    };
    let present = fleet.keepers(2, at(10));
    assert_eq!(ips(&present), [2, 3]);
    assert_eq!(ips(&fleet.former_keepers(&present, at(10))), [0, 1]);
    assert_eq!(ips(&fleet.former_keepers(&present, at(60_010))), [0], "60 s after it left");
    fleet.apply_entry(&leaving(2), at(20));
    assert_eq!(ips(&fleet.keepers(2, at(20))), [0, 2, 3]);
}

/// Guards against keepers that have ended: no state of an agent arrives, and the next one must be told.
#[test]
fn an_agent_that_is_not_heard_is_no_keeper() {
    let mut fleet = DirectFleet::new("north-a");
    for number in 0..3 {
        let address = SocketAddr::from(([10, 0, 0, number as u8], 9_000));
        fleet.apply_entry(&TargetEntry { address, ..entry(number, "north-a") }, at(0));
        fleet.apply_agent_state(&agent_state(&format!("engine-{number}"), 1), at(0));
    }
    for number in 0..2 {
        fleet.apply_agent_state(&agent_state(&format!("engine-{number}"), 2_000), at(2_000));
    }
    assert_eq!(fleet.keepers(2, at(2_000)).len(), 3);
    assert_eq!(fleet.keepers(2, at(2_500)).len(), 2);
}
