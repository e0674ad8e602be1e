//! Gateways that hear each other late, not at all, or through a relay.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::net::SocketAddr;

use base::{Incarnation, Offset, ProcessId, ProcessName, Timestamp};
use membership::GatewayTable;
use wire::{Echo, GatewayRecord, GatewayState};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn process(name: &str, incarnation: u64) -> ProcessId {
    ProcessId { name: ProcessName::new(name), incarnation: Incarnation(incarnation) }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn state(name: &str, data_centre: &str, sent_ms: u64) -> GatewayState {
    GatewayState {
        from: process(name, 1),
        address: address(name.len() as u16),
        data_centre: data_centre.into(),
        sent_micros: sent_ms * 1_000,
        config: Offset(1),
        evidence_age_ms: None,
        store_read_age_ms: Some(0),
        targets_read_age_ms: Some(0),
        targets_digest: 0,
        draining: false,
        admitted: Vec::new(),
        work: Vec::new(),
        sends: Vec::new(),
        demand: Vec::new(),
        news: Vec::new(),
        silent_targets: Vec::new(),
        further_sends: Vec::new(),
    }
}

fn table() -> GatewayTable {
    GatewayTable::new(process("m", 7), "north")
}

/// Guards against keys served on evidence that is older than it looks: what a peer says is dated by
/// this process's own datagram that the peer had, not by the arrival of the peer's word.
#[test]
fn a_peers_word_is_dated_by_the_own_datagram_that_it_answers() {
    let mut table = table();
    table.apply_state(&state("a", "north", 5), at(100)).unwrap();
    let echo = |heard_ms: u64, incarnation| Echo {
        sent_micros: 9_000,
        heard_micros: heard_ms * 1_000,
        heard_incarnation: incarnation,
    };
    let from = process("a", 1);
    assert_eq!(table.apply_echo(&from, echo(0, 7)), None, "it has heard nothing from here");
    assert_eq!(table.apply_echo(&from, echo(40, 6)), None, "what it heard was of an earlier run");
    assert_eq!(table.apply_echo(&from, echo(40, 7)), Some(at(40)));
    assert_eq!(table.apply_echo(&process("a", 2), echo(50, 7)), None, "its next run was not heard");
    assert_eq!(table.apply_echo(&process("b", 1), echo(50, 7)), None);
    let back = table.echo_for(&ProcessName::new("a"), at(120));
    assert_eq!((back.sent_micros, back.heard_micros), (120_000, 9_000));
}

/// Guards against an older datagram, or one of an older run, that overwrites a newer state.
#[test]
fn an_older_state_is_refused() {
    let mut table = table();
    table.apply_state(&state("a", "north", 10), at(100)).unwrap();
    assert!(table.apply_state(&state("a", "north", 10), at(110)).is_err());
    assert!(table.apply_state(&state("a", "north", 9), at(110)).is_err());
    let next = GatewayState { from: process("a", 2), ..state("a", "north", 1) };
    table.apply_state(&next, at(120)).unwrap();
    assert!(table.apply_state(&state("a", "north", 50), at(130)).is_err());
    assert!(
        table.apply_state(&state("m", "north", 50), at(130)).is_err(),
        "its own word comes back"
    );
}

/// Guards against a data centre that nobody speaks for after its relay froze, and against two
/// relays in a data centre whose gateways hear each other.
#[test]
fn the_next_gateway_speaks_for_the_data_centre_when_the_first_is_silent_or_leaves() {
    let mut table = table();
    assert!(table.is_relay(at(0)), "alone");
    table.apply_state(&state("a", "north", 5), at(1_000)).unwrap();
    table.apply_state(&state("z", "north", 5), at(1_000)).unwrap();
    assert!(!table.is_relay(at(1_500)));
    assert!(table.is_relay(at(1_600)), "a has been silent for 600 ms");
    let leaving = GatewayState { draining: true, ..state("a", "north", 900) };
    table.apply_state(&leaving, at(1_900)).unwrap();
    assert!(table.is_relay(at(1_900)));
}

/// Guards against data centres that never find each other: while none of another one is heard, all
/// of it that may be alive are told.
#[test]
fn a_silent_data_centre_is_told_through_all_its_gateways() {
    let mut table = table();
    for (name, port) in [("s1", 21), ("s2", 22)] {
        let process = process(name, 1);
        let record = GatewayRecord { process, address: address(port), data_centre: "south".into() };
        table.apply_registration(&record, at(0));
    }
    let told = |table: &GatewayTable, ms| -> Vec<String> {
        table.remote_relays(at(ms)).into_iter().map(|(name, _)| name.to_string()).collect()
    };
    assert_eq!(told(&table, 100), ["s1", "s2"]);
    table.apply_state(&state("s2", "south", 5), at(200)).unwrap();
    assert_eq!(told(&table, 300), ["s2"]);
    assert_eq!(told(&table, 800), ["s1", "s2"]);
}

/// Guards against a store that all gateways read, and against one that nobody reads because the
/// first two stall.
#[test]
fn two_gateways_read_for_all_and_others_step_in() {
    let mut table = table();
    for name in ["a", "b"] {
        table.apply_state(&state(name, "north", 5), at(10_000)).unwrap();
    }
    assert!(!table.is_reader(at(10_200)));
    let stalled = GatewayState { store_read_age_ms: Some(1_600), ..state("a", "north", 300) };
    table.apply_state(&stalled, at(10_300)).unwrap();
    assert!(table.is_reader(at(10_300)), "a hears, but its last read is too old");
    // One that follows the configuration reads, though it leaves the list of targets to another
    // one.
    let standby = GatewayState { targets_read_age_ms: Some(60_000), ..state("b", "north", 400) };
    table.apply_state(&standby, at(10_400)).unwrap();
    table.apply_state(&state("a", "north", 400), at(10_400)).unwrap();
    assert!(!table.is_reader(at(10_400)));
}

/// Guards against gateways that all read the list of targets at the same moment when the first one
/// stalls.
#[test]
fn gateways_stand_by_in_the_order_of_their_names() {
    let mut table = table();
    assert_eq!(table.rank(at(0)), 0);
    for name in ["a", "b", "z"] {
        table.apply_state(&state(name, "north", 5), at(1_000)).unwrap();
    }
    assert_eq!(table.rank(at(1_100)), 2);
    table.apply_state(&state("a", "north", 600), at(1_600)).unwrap();
    assert_eq!(table.rank(at(1_700)), 1, "b is silent");
}

/// Guards against a share of the rates that a dead gateway holds for ever, and against one that is
/// taken from a gateway which is only cut off for a while.
#[test]
fn a_gateway_is_gone_after_30_s_of_silence_or_at_once_if_it_left() {
    let mut table = table();
    table.apply_state(&state("a", "north", 5), at(0)).unwrap();
    assert!(table.expire(at(29_999)).is_empty());
    assert_eq!(table.counts(at(29_999)), (1, 0));
    assert_eq!(table.expire(at(30_000)), [ProcessName::new("a")]);
    let leaving = GatewayState { draining: true, ..state("b", "north", 5) };
    table.apply_state(&leaving, at(40_000)).unwrap();
    assert!(table.expire(at(40_900)).is_empty());
    assert_eq!(table.expire(at(41_000)), [ProcessName::new("b")]);
}
