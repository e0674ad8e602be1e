//! Judgement of targets that stand still.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::net::SocketAddr;

use base::{Incarnation, LoadedModel, ProcessId, ProcessName, Timestamp, WarmCopies};
use compact_str::format_compact;
use routing::{
    DirectChoice, DirectFleet, DirectPick, GenerationRequirements, SilenceChange, SilenceSettings,
    TargetKey,
};
use wire::{AgentState, TargetEntry, TargetState, TargetWorkCopy};

/// Time between two judgements.
const STEP_MS: u64 = 100;
/// Engine of which this gateway and its peers know streams.
const BUSY: TargetKey = TargetKey(0);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn fleet() -> DirectFleet {
    let mut fleet = DirectFleet::new("north-a");
    for number in 0..2_u16 {
        let entry = TargetEntry {
            id: format_compact!("engine-{number}"),
            born_ms: Some(1),
            service: "engines".into(),
            software: "v1".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
            data_centre: "north-a".into(),
            slots: 8,
            state: TargetState::Ready,
            cold_ms: 0,
            orders_accepted: 0,
            models: vec![LoadedModel { model: "m".into(), version: 1, adapters: Vec::new() }],
            warm: WarmCopies::default(),
        };
        fleet.apply_entry(&entry, at(0));
    }
    fleet
}

const fn requirements(exclude: &[TargetKey]) -> GenerationRequirements<'_> {
    GenerationRequirements {
        service: "engines",
        model: "m",
        adapter: None,
        links: &[],
        prompt_tokens: 500,
        output_tokens: 100,
        software: None,
        exclude,
    }
}

fn pick(fleet: &DirectFleet, exclude: &[TargetKey], ms: u64) -> Option<DirectPick> {
    match fleet.choose_generation(&requirements(exclude), at(ms)) {
        DirectChoice::Serve(pick) => Some(pick),
        _ => None,
    }
}

/// Starts streams at the busy engine, each with its first event.
fn start_streams(fleet: &mut DirectFleet, count: usize, ms: u64) {
    for _ in 0..count {
        let pick = pick(fleet, &[TargetKey(1)], ms).unwrap();
        let id = fleet.record_generation(&pick, &requirements(&[]), at(ms));
        fleet.record_first_event(&pick, "m", id, 20.0, at(ms));
        fleet.record_sign(pick.key, at(ms));
    }
}

fn peer_work(quiet_ms: u32) -> TargetWorkCopy {
    let target = fleet().target(BUSY).hash;
    let quiet_ms = Some(quiet_ms);
    TargetWorkCopy { target, unread_ms: 0, waiting: 0, running: 3, cache_tokens: 0, quiet_ms }
}

/// Judges the fleet until `until_ms`; `each` says what arrives before each judgement. Returns when the
/// busy engine fell silent.
fn judge_until(
    fleet: &mut DirectFleet,
    from_ms: u64,
    until_ms: u64,
    mut each: impl FnMut(&mut DirectFleet, u64),
) -> Option<u64> {
    let mut fell_ms = None;
    for ms in (from_ms..=until_ms).step_by(STEP_MS as usize) {
        each(fleet, ms);
        for (key, change) in fleet.judge_silence(&SilenceSettings::default(), at(ms)) {
            assert_eq!(key, BUSY, "nothing runs at the other engine");
            if matches!(change, SilenceChange::Fell { .. }) {
                fell_ms.get_or_insert(ms);
            }
        }
    }
    fell_ms
}

/// Guards against requests that are sent to an engine whose streams all stand still.
#[test]
fn no_request_goes_to_an_engine_whose_streams_stand_still() {
    let mut fleet = fleet();
    start_streams(&mut fleet, 3, 0);
    let fell = judge_until(&mut fleet, 0, 1_000, |fleet, ms| fleet.record_heard(at(ms)));
    assert_eq!(fell, Some(500));
    assert!((0..20).all(|_| pick(&fleet, &[], 1_000).unwrap().key != BUSY));
    assert!(pick(&fleet, &[TargetKey(1)], 1_000).is_none());
}

/// Guards against an engine that stays excluded after it goes on, or for ever if nobody can tell.
#[test]
fn an_engine_that_is_heard_again_is_used_again() {
    let mut fleet = fleet();
    start_streams(&mut fleet, 3, 0);
    let fell = judge_until(&mut fleet, 0, 1_000, |fleet, ms| fleet.record_heard(at(ms)));
    assert!(fell.is_some());
    fleet.record_sign(BUSY, at(1_050));
    judge_until(&mut fleet, 1_100, 1_100, |_, _| {});
    assert!(pick(&fleet, &[TargetKey(1)], 1_100).is_some(), "heard again");
    judge_until(&mut fleet, 1_200, 6_000, |fleet, ms| fleet.record_heard(at(ms)));
    assert!(pick(&fleet, &[TargetKey(1)], 6_000).is_some(), "tried again after its entry's time");
}

/// Guards against streams that leave a working engine because this process or its link stood still.
#[test]
fn a_gateway_that_hears_nobody_judges_no_engine() {
    let mut fleet = fleet();
    start_streams(&mut fleet, 3, 0);
    assert_eq!(judge_until(&mut fleet, 0, 3_000, |_, _| {}), None, "cut off");
    // After a pause of seven seconds the datagrams of others arrive before the engine's events.
    let fell = judge_until(&mut fleet, 10_000, 10_400, |fleet, ms| fleet.record_heard(at(ms)));
    assert_eq!(fell, None, "thawed");
}

/// Guards against streams that leave an engine that another gateway or its agent hears.
#[test]
fn an_engine_that_anyone_hears_is_not_silent() {
    let mut fleet = fleet();
    start_streams(&mut fleet, 3, 0);
    let peer = ProcessName::new("front-2");
    let fell = judge_until(&mut fleet, 0, 3_000, |fleet, ms| {
        fleet.record_heard(at(ms));
        fleet.apply_peer_work(&peer, &[peer_work(100)], at(ms));
    });
    assert_eq!(fell, None, "heard by a gateway");
}

fn agent_state(sent_ms: u64, waited_ms: u32) -> AgentState {
    AgentState {
        from: ProcessId { name: ProcessName::new("side-1"), incarnation: Incarnation(1) },
        sent_micros: sent_ms * 1_000,
        waited_ms,
        target: "engine-0".into(),
        born_ms: Some(1),
        answers: true,
        orders_accepted: 0,
        models: vec![LoadedModel { model: "m".into(), version: 1, adapters: Vec::new() }],
        changing: None,
        free_adapter_slots: 4,
        running: 3,
        waiting: 0,
        cache_used_tokens: 0,
        warm: WarmCopies::default(),
        fetch_ages_ms: Vec::new(),
        asked_at: None,
    }
}

/// Guards against an agent's state that a gateway held back and that passes for a sign of life.
#[test]
fn a_state_of_an_agent_counts_from_when_it_was_sent() {
    for (held_back, expected) in [(false, None), (true, Some(500))] {
        let mut fleet = fleet();
        start_streams(&mut fleet, 3, 0);
        let fell = judge_until(&mut fleet, 0, 2_000, |fleet, ms| {
            fleet.record_heard(at(ms));
            let waited_ms = if held_back { u32::try_from(ms).unwrap() } else { 0 };
            fleet.apply_agent_state(&agent_state(ms + 1, waited_ms), at(ms));
        });
        assert_eq!(fell, expected, "held back: {held_back}");
    }
}

/// Guards against gateways that keep a silent engine alive for each other by passing on old signs.
#[test]
fn what_others_heard_is_not_reported_as_heard_here() {
    let mut fleet = fleet();
    let peer = ProcessName::new("front-2");
    fleet.apply_peer_work(&peer, &[peer_work(0)], at(900));
    start_streams(&mut fleet, 1, 100);
    fleet.apply_peer_work(&peer, &[peer_work(0)], at(1_000));
    let quiet: Vec<_> = fleet.local_work(at(1_000)).iter().map(|work| work.quiet_ms).collect();
    assert_eq!(quiet, [Some(900)]);
    let fell = judge_until(&mut fleet, 1_000, 2_000, |fleet, ms| {
        fleet.record_heard(at(ms));
        let quiet_ms = u32::try_from(ms - 1_000).unwrap();
        fleet.apply_peer_work(&peer, &[peer_work(quiet_ms)], at(ms));
    });
    assert_eq!(fell, Some(1_500), "half a second after the last sign anywhere");
}

/// Guards against a stream that is moved because it lost its place to others for a moment.
#[test]
fn one_stream_gets_more_time() {
    let mut fleet = fleet();
    start_streams(&mut fleet, 1, 0);
    let fell = judge_until(&mut fleet, 0, 2_000, |fleet, ms| fleet.record_heard(at(ms)));
    assert_eq!(fell, Some(900));
}

/// Guards against long prompts at an engine without an agent that are taken for its silence.
#[test]
fn requests_without_a_first_event_prove_no_silence_without_an_agent() {
    let mut fleet = fleet();
    let pick = pick(&fleet, &[TargetKey(1)], 0).unwrap();
    fleet.record_generation(&pick, &requirements(&[]), at(0));
    fleet.record_sign(pick.key, at(0));
    let fell = judge_until(&mut fleet, 0, 5_000, |fleet, ms| fleet.record_heard(at(ms)));
    assert_eq!(fell, None);
}

/// Guards against requests that may run only once and are sent to a target that has no entry and may have
/// ended, and against live targets that are not used while their entries come back after an outage.
#[test]
fn a_missing_target_takes_once_only_requests_while_it_is_heard() {
    let mut fleet = fleet();
    let ids = |fleet: &DirectFleet, ms: u64| fleet.missing_unheard("engines", at(ms));
    assert_eq!(ids(&fleet, 1_000), [], "all are listed");
    fleet.set_missing(["engine-0", "engine-1"].into_iter());
    assert_eq!(ids(&fleet, 1_000).len(), 2);
    fleet.record_sign(BUSY, at(1_000));
    assert_eq!(ids(&fleet, 1_900), [TargetKey(1)]);
    assert_eq!(ids(&fleet, 2_100).len(), 2, "the last sign is old");
    assert_eq!(fleet.missing_unheard("others", at(2_100)), []);
    fleet.set_missing(["engine-1"].into_iter());
    assert_eq!(ids(&fleet, 9_000), [TargetKey(1)]);
}
