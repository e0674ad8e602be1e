//! Gateway table with late, lost and relayed states.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

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
        targets_view_age_ms: Some(0),
        targets_digest: 0,
        draining: false,
        admitted: Vec::new(),
        work: Vec::new(),
        sends: Vec::new(),
        demand: Vec::new(),
        bound_streams: Vec::new(),
        news: Vec::new(),
        silent_targets: Vec::new(),
        further_sends: Vec::new(),
        suspects: Vec::new(),
        target_limits: Vec::new(),
        evacuations: Vec::new(),
        target_speeds: Vec::new(),
        store_era: None,
        store_era_settled: false,
    }
}

fn table() -> GatewayTable {
    GatewayTable::new(process("m", 7), "north")
}

/// An API key must not be served on evidence that is older than assumed. Ages reported by a peer
/// count from the datagram of this process that the peer had last received, not from the arrival of
/// the report.
#[test]
fn peer_ages_count_from_the_own_datagram_that_the_peer_received() {
    let mut table = table();
    table.apply_state(&state("a", "north", 5), at(100)).unwrap();
    let echo = |heard_ms: u64, incarnation| Echo {
        sent_micros: 9_000,
        heard_micros: heard_ms * 1_000,
        heard_incarnation: incarnation,
    };
    let from = process("a", 1);
    assert_eq!(table.apply_echo(&from, echo(0, 7)), None, "it has received no datagram");
    assert_eq!(
        table.apply_echo(&from, echo(40, 6)),
        None,
        "it received a datagram of an earlier incarnation"
    );
    assert_eq!(table.apply_echo(&from, echo(40, 7)), Some(at(40)));
    assert_eq!(
        table.apply_echo(&process("a", 2), echo(50, 7)),
        None,
        "its next incarnation is unknown"
    );
    assert_eq!(table.apply_echo(&process("b", 1), echo(50, 7)), None);
    let back = table.echo_for(&ProcessName::new("a"), at(120));
    assert_eq!((back.sent_micros, back.heard_micros), (120_000, 9_000));
}

/// A datagram that arrives out of order, or one of an older incarnation, must not overwrite a newer
/// state.
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
        "own state returned by a relay"
    );
}

/// A data centre must not lose its relay when the first gateway freezes, nor have two relays while
/// its gateways reach each other.
#[test]
fn next_gateway_becomes_relay_when_the_first_is_silent_or_drains() {
    let mut table = table();
    assert!(table.is_relay(at(0)), "alone");
    table.apply_state(&state("a", "north", 5), at(1_000)).unwrap();
    table.apply_state(&state("z", "north", 5), at(1_000)).unwrap();
    assert!(!table.is_relay(at(1_500)));
    assert!(table.is_relay(at(1_600)), "a has been silent for 600 ms");
    let draining = GatewayState { draining: true, ..state("a", "north", 900) };
    table.apply_state(&draining, at(1_900)).unwrap();
    assert!(table.is_relay(at(1_900)));
}

/// Data centres must find each other: while no gateway of another one is reachable, all its
/// registered gateways receive states.
#[test]
fn all_gateways_of_an_unreachable_data_centre_receive_states() {
    let mut table = table();
    for (name, port) in [("s1", 21), ("s2", 22)] {
        let process = process(name, 1);
        let record = GatewayRecord {
            process,
            address: address(port),
            data_centre: "south".into(),
            settled_era: None,
        };
        table.apply_registration(&record, at(0));
    }
    let relays = |table: &GatewayTable, ms| -> Vec<String> {
        table.remote_relays(at(ms)).into_iter().map(|(name, _)| name.to_string()).collect()
    };
    assert_eq!(relays(&table, 100), ["s1", "s2"]);
    table.apply_state(&state("s2", "south", 5), at(200)).unwrap();
    assert_eq!(relays(&table, 300), ["s2"]);
    assert_eq!(relays(&table, 800), ["s1", "s2"]);
}

/// The store must not be read by all gateways, nor by none because the first two stall.
#[test]
fn two_gateways_read_the_store_and_others_take_over() {
    let mut table = table();
    for name in ["a", "b"] {
        table.apply_state(&state(name, "north", 5), at(10_000)).unwrap();
    }
    assert!(!table.is_reader(at(10_200)));
    let stalled = GatewayState { store_read_age_ms: Some(1_600), ..state("a", "north", 300) };
    table.apply_state(&stalled, at(10_300)).unwrap();
    assert!(table.is_reader(at(10_300)), "a is reachable, but its last read is too old");
    // A gateway that reads the configuration counts as a reader even if it leaves the list of
    // targets to another one.
    let standby = GatewayState { targets_read_age_ms: Some(60_000), ..state("b", "north", 400) };
    table.apply_state(&standby, at(10_400)).unwrap();
    table.apply_state(&state("a", "north", 400), at(10_400)).unwrap();
    assert!(!table.is_reader(at(10_400)));
}

/// Not all gateways may read the list of targets at the same moment when the first one stalls.
#[test]
fn gateways_rank_in_the_order_of_their_names() {
    let mut table = table();
    assert_eq!(table.rank(at(0)), 0);
    for name in ["a", "b", "z"] {
        table.apply_state(&state(name, "north", 5), at(1_000)).unwrap();
    }
    assert_eq!(table.rank(at(1_100)), 2);
    table.apply_state(&state("a", "north", 600), at(1_600)).unwrap();
    assert_eq!(table.rank(at(1_700)), 1, "b is silent");
}

/// A dead gateway must not hold its share of the rates for ever, and a gateway that is only cut off
/// for a while must not lose it.
#[test]
fn gateway_expires_after_30_s_of_silence_or_soon_after_draining() {
    let mut table = table();
    table.apply_state(&state("a", "north", 5), at(0)).unwrap();
    assert!(table.expire(at(29_999)).is_empty());
    assert_eq!(table.counts(at(29_999)), (1, 0));
    assert_eq!(table.expire(at(30_000)), [ProcessName::new("a")]);
    let draining = GatewayState { draining: true, ..state("b", "north", 5) };
    table.apply_state(&draining, at(40_000)).unwrap();
    assert!(table.expire(at(40_900)).is_empty());
    assert_eq!(table.expire(at(41_000)), [ProcessName::new("b")]);
}

/// Guards against datagrams that waited while this process stood still and make old reads of the list look
/// new, and against a peer whose list differs.
#[test]
fn peer_reads_of_the_list_are_dated_by_the_own_datagram_that_the_peer_received() {
    let mut table = table();
    let sent = GatewayState { targets_read_age_ms: Some(50), ..state("b", "north", 100) };
    table.apply_state(&sent, at(5_000)).unwrap();
    assert_eq!(table.targets_known_at(sent.targets_digest), None);
    table.record_targets_read(&sent.from.name, Duration::from_millis(50), at(1_000));
    assert_eq!(table.targets_known_at(sent.targets_digest), Some(at(950)));
    assert_eq!(table.targets_known_at(sent.targets_digest + 1), None);
}

/// Guards against reads that look new because the relay that passes them on stood still: the receiver would take
/// the list for known, and the store for reachable, at a time when nobody read it.
#[test]
fn reads_in_a_state_that_waited_at_a_relay_are_older() {
    let read = GatewayState { targets_read_age_ms: Some(50), ..state("b", "south", 100) };
    let mut relayed = read.clone();
    relayed.add_age(Duration::from_millis(4_000));
    assert_eq!(relayed.targets_view_age_ms, Some(4_000));
    for (state, read_at) in [(read, at(9_950)), (relayed, at(5_950))] {
        let mut table = table();
        table.apply_state(&state, at(10_000)).unwrap();
        assert_eq!(table.freshest_targets(at(10_000)), Some((0, read_at)));
    }
}
