//! What the agents that remember streams are told, and when.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::net::{IpAddr, Ipv4Addr};

use base::{Incarnation, Timestamp};
use streams::{
    Keeper, KeeperSet, LiveStreams, LiveStreamsSettings, StreamOrigins, group_messages,
    pack_streams,
};
use wire::{KnownStream, StreamOrigin};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn keeper(number: u16, run: u64) -> Keeper {
    let [high, low] = number.to_be_bytes();
    let ip = IpAddr::from(Ipv4Addr::new(10, 0, high, low));
    Keeper { ip, incarnation: Some(Incarnation(run)) }
}

fn keepers(count: u16) -> KeeperSet {
    KeeperSet::new((0..count).map(|number| keeper(number, 1)).collect())
}

fn origin(attempt: u64) -> StreamOrigin {
    StreamOrigin { attempt, service: 1, software: "v1".into() }
}

/// Keepers that are told in a round.
fn told(live: &mut LiveStreams, keepers: &KeeperSet, ms: u64) -> Vec<Keeper> {
    let messages = live.next_messages(keepers, at(ms));
    messages.into_iter().map(|(keeper, _)| keeper).collect()
}

/// Guards against streams that nobody remembers after agents were restarted in turn: keepers that are told
/// once only. Nothing may be sent while nothing changes.
#[test]
fn keepers_that_join_or_restart_are_told_of_live_streams() {
    let mut live = LiveStreams::default();
    let mut set = keepers(4);
    let (number, first) = live.begin(origin(7), &set, at(0));
    assert_eq!(first.len(), 2);
    assert_eq!(told(&mut live, &set, 100), []);
    // The first keeper runs anew, without knowledge.
    let restarted = Keeper { incarnation: Some(Incarnation(2)), ..first[0] };
    let runs = (0..4).map(|number| keeper(number, 1));
    set.update(runs.map(|run| if run == first[0] { restarted } else { run }).collect());
    assert_eq!(told(&mut live, &set, 200), [restarted]);
    assert_eq!(told(&mut live, &set, 300), []);
    // The second one is gone.
    let others = (0..4).map(|number| keeper(number, 1)).filter(|run| !first.contains(run));
    let mut left: Vec<Keeper> = others.chain([restarted]).collect();
    left.sort_unstable();
    set.update(left);
    let next = told(&mut live, &set, 400);
    assert!(next.len() == 1 && !first.contains(&next[0]), "{next:?}");
    live.end(number);
    set.update(vec![keeper(9, 1)]);
    assert_eq!(told(&mut live, &set, 500), [], "the stream has ended");
}

/// Guards against a long stream that its keepers forget while it lasts.
#[test]
fn keepers_are_told_again_before_they_forget() {
    let mut live = LiveStreams::default();
    let set = keepers(4);
    let (_, mut first) = live.begin(origin(7), &set, at(0));
    assert_eq!(told(&mut live, &set, 29_900), []);
    let mut again = told(&mut live, &set, 30_000);
    first.sort_unstable();
    again.sort_unstable();
    assert_eq!(again, first);
    assert_eq!(told(&mut live, &set, 30_200), []);
}

/// Guards against rounds that take long in a large fleet, and against streams that are never looked at while
/// agents come and go all the time.
#[test]
fn a_round_has_a_bound_and_leaves_no_stream_out() {
    let settings = LiveStreamsSettings { max_ranks: 10_000, ..LiveStreamsSettings::default() };
    let mut live = LiveStreams::new(settings);
    let mut set = keepers(1_000);
    for attempt in 0..100 {
        live.begin(origin(attempt), &set, at(0));
    }
    let mut informed: Vec<u64> = Vec::new();
    for round in 2..12 {
        set.update((0..1_000).map(|number| keeper(number, round)).collect());
        let messages = live.next_messages(&set, at(round * 200));
        assert_eq!(messages.len(), 20, "ten streams of two keepers");
        informed.extend(messages.iter().map(|(_, stream)| stream.origin.attempt));
    }
    informed.sort_unstable();
    informed.dedup();
    assert_eq!(informed.len(), 100);
}

/// Guards against what a stopping agent knows being lost, passed back to it, or kept for ever since it
/// looks new.
#[test]
fn streams_of_a_stopped_agent_pass_to_present_keepers_with_their_age() {
    let mut live = LiveStreams::new(LiveStreamsSettings { max_waiting: 1, ..Default::default() });
    let set = keepers(3);
    let stopped = keeper(1, 1);
    let stream = KnownStream { origin: origin(7), age_ms: 1_000 };
    assert!(live.pass_on(stream.clone(), stopped.ip, at(0)));
    assert!(!live.pass_on(stream, stopped.ip, at(0)), "no room");
    let mut messages = live.next_messages(&set, at(500));
    messages.sort_by_key(|(keeper, _)| *keeper);
    let passed_on = KnownStream { origin: origin(7), age_ms: 1_500 };
    assert_eq!(messages, [(keeper(0, 1), passed_on.clone()), (keeper(2, 1), passed_on.clone())]);
    assert_eq!(told(&mut live, &set, 600), []);

    let mut known = StreamOrigins::default();
    known.record_known(&passed_on, at(100_000));
    assert_eq!(known.known_streams(at(100_000)).collect::<Vec<_>>(), [passed_on]);
    assert_eq!(known.software_of(7, 1, at(158_500)), None, "60 s after it was recorded");
    known.record(&origin(8), at(160_000));
    known.record_known(&KnownStream { origin: origin(8), age_ms: 5_000 }, at(160_000));
    assert!(known.software_of(8, 1, at(219_000)).is_some(), "older news change nothing");
}

/// Guards against datagrams that are too large to be sent.
#[test]
fn messages_are_packed_into_datagrams() {
    let long = KnownStream {
        origin: StreamOrigin { software: "v".repeat(300).into(), ..origin(u64::MAX) },
        age_ms: u32::MAX,
    };
    let messages = vec![(keeper(1, 1), long.clone()); 500];
    let groups = group_messages(messages);
    assert_eq!(groups.iter().map(|(_, streams)| streams.len()).sum::<usize>(), 500);
    for (_, streams) in groups {
        assert!(wire::encode(&streams).unwrap().len() <= 8_010);
    }
    let small = KnownStream { origin: origin(u64::MAX), age_ms: 1 };
    assert!(pack_streams(vec![small; 4_096]).len() <= 16, "receivers' buffers hold so many");
    assert_eq!(pack_streams([]).len(), 0);
    assert!(wire::encode(&long).unwrap().len() <= long.max_bytes());
}

/// Guards against an order of keepers that depends on more than the machines: who asks must find them.
#[test]
fn the_order_of_keepers_depends_on_the_machines_alone() {
    let (runs, others) = (keepers(20), KeeperSet::new((0..20).map(|n| keeper(n, 5)).collect()));
    let ips = |set: &KeeperSet, attempt| -> Vec<IpAddr> {
        set.keepers_of(attempt, None, 4).iter().map(|keeper| keeper.ip).collect()
    };
    for attempt in 0..100 {
        assert_eq!(ips(&runs, attempt), ips(&others, attempt));
        assert_eq!(runs.keepers_of(attempt, None, 2), runs.keepers_of(attempt, None, 4)[..2]);
    }
    assert_eq!(runs.len(), 20);
    assert!(!runs.is_empty());
    let unchanged = runs.version();
    let mut same = runs;
    same.update((0..20).map(|n| keeper(n, 1)).collect());
    assert_eq!(same.version(), unchanged);
}
