//! Target selection by the router.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::cell::Cell;
use std::net::SocketAddr;

use base::{Incarnation, Offset, ProcessId, ProcessName, Role, Timestamp, seeded_rng};
use compact_str::CompactString;
use config::MembershipSettings;
use membership::{LocalProcess, Membership};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use rand::Rng;
use routing::{
    CacheEvent, CacheEventKind, Choice, MAX_CANDIDATES, ModelRequirements, NetworkDelays, NoTarget,
    PREFIX_BLOCK_BYTES, Pick, PlainRequirements, Reachability, Router, prefix_blocks,
    reachability_of,
};
use wire::{CopyState, Heartbeat, LogView, ModelCopy, TargetKind, TargetReport};

const SEED: u64 = 4_221;
const MODEL: &str = "eulogy";

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn name(target: usize) -> CompactString {
    compact_str::format_compact!("t{target}")
}

fn copies(models: &[(&str, CopyState)]) -> Vec<ModelCopy> {
    let copy = |(model, state): &(&str, CopyState)| ModelCopy {
        model: CompactString::new(model),
        state: *state,
    };
    models.iter().map(copy).collect()
}

fn report(target: usize) -> TargetReport {
    TargetReport {
        target: name(target),
        service: CompactString::new("llais"),
        kind: TargetKind::Engine,
        healthy: true,
        quarantined: false,
        models: copies(&[(MODEL, CopyState::Resident)]),
        adapters: Vec::new(),
        capacity_mb: 10_000,
        used_mb: 0,
        queued_tokens: 0,
        running: 0,
        batch: 8,
        tokens_per_s: 1_000,
        sample_age_ms: 0,
    }
}

fn heartbeat(target: usize, report: TargetReport) -> Heartbeat {
    Heartbeat {
        from: ProcessId {
            name: ProcessName::new(&format!("side-{target}")),
            incarnation: Incarnation(1),
        },
        role: Role::Side,
        region: CompactString::new("north"),
        data_centre: CompactString::new("dc-a"),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::try_from(target).unwrap())),
        config_offset: Offset(1),
        log: LogView::default(),
        draining: false,
        target: Some(report),
        demand: Vec::new(),
    }
}

fn router(targets: usize, change: impl Fn(usize, &mut TargetReport)) -> Router {
    let mut router = Router::new("north", "dc-a", NetworkDelays::default());
    for target in 0..targets {
        let mut report = report(target);
        change(target, &mut report);
        router.apply_heartbeat(&heartbeat(target, report), at(1));
    }
    router
}

fn requirements<'a>(exclude: &'a [CompactString]) -> ModelRequirements<'a> {
    ModelRequirements {
        model: MODEL,
        service: "llais",
        memory_mb: 1_000,
        adapter: None,
        blocks: &[],
        prompt_tokens: 100,
        affinity: 0,
        exclude,
    }
}

fn usable(_: &ProcessId) -> Reachability {
    Reachability::Usable
}

fn served(choice: Choice) -> Pick {
    match choice {
        Choice::Serve(pick) => pick,
        other => panic!("{other:?}"),
    }
}

fn loader(choice: Choice) -> CompactString {
    match choice {
        Choice::Load(pick) => pick.target,
        other => panic!("{other:?}"),
    }
}

#[derive(Clone, Copy, Debug)]
struct State {
    draining: bool,
    leaving: bool,
    silent: bool,
    healthy: bool,
    resident: bool,
    excluded: bool,
}

fn states() -> impl Strategy<Value = Vec<State>> {
    let rarely = || prop::bool::weighted(0.3);
    let state = (rarely(), rarely(), rarely(), prop::bool::weighted(0.8), any::<bool>(), rarely())
        .prop_map(|(draining, leaving, silent, healthy, resident, excluded)| State {
            draining,
            leaving,
            silent,
            healthy,
            resident,
            excluded,
        });
    prop::collection::vec(state, 1..40)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

/// Chooses a target for several affinities among targets in these states; fails if a forbidden
/// target is chosen or a usable one is not found.
fn choose_among(
    states: &[State],
    reachability: impl Fn(&Membership, &ProcessId) -> Reachability,
) -> Result<(), TestCaseError> {
    let me = LocalProcess {
        process: ProcessId { name: ProcessName::new("me"), incarnation: Incarnation(1) },
        role: Role::Entry,
        region: CompactString::new("north"),
        data_centre: CompactString::new("dc-a"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    };
    let mut members = Membership::new(me, MembershipSettings::default(), at(0));
    let mut router = Router::new("north", "dc-a", NetworkDelays::default());
    let mut vms = Vec::new();
    for (target, state) in states.iter().enumerate() {
        let mut report = report(target);
        report.healthy = state.healthy;
        if !state.resident {
            report.models.clear();
        }
        let heartbeat = Heartbeat { draining: state.draining, ..heartbeat(target, report) };
        let received_at = at(if state.silent { 8_000 } else { 9_900 });
        members.apply_heartbeat(&heartbeat, received_at);
        router.apply_heartbeat(&heartbeat, received_at);
        vms.push(membership::Vm {
            name: compact_str::format_compact!("vm-{target}"),
            address: heartbeat.address,
            role: Role::Side,
            region: heartbeat.region.clone(),
            data_centre: heartbeat.data_centre.clone(),
            leaving: state.leaving,
        });
    }
    members.apply_vm_list(&membership::VmList { version: 1, vms }, at(9_950), at(9_960));
    let excluded: Vec<CompactString> =
        (0..states.len()).filter(|t| states[*t].excluded).map(name).collect();
    let may_serve = |s: &State| !s.draining && !s.leaving && !s.silent && s.healthy && !s.excluded;
    let mut rng = seeded_rng(SEED);
    for affinity in 0..16 {
        let requirements = ModelRequirements { affinity, ..requirements(&excluded) };
        let choice =
            router.choose_model(&requirements, |process| reachability(&members, process), &mut rng);
        let pick = match &choice {
            Choice::Serve(pick) | Choice::Load(pick) => pick,
            Choice::None(_) => {
                prop_assert!(
                    !states.iter().any(may_serve),
                    "no target chosen although one is usable"
                );
                continue;
            }
        };
        let state = states[pick.target[1..].parse::<usize>().unwrap()];
        prop_assert!(may_serve(&state), "{pick:?}: {state:?}");
        let copy_usable = states.iter().any(|s| may_serve(s) && s.resident);
        prop_assert_eq!(matches!(choice, Choice::Serve(_)), copy_usable);
        prop_assert!(state.resident || !copy_usable);
    }
    Ok(())
}

/// Invariant I10: no target that must not receive work is chosen. Also guards against a refusal
/// while a usable target exists.
#[test]
fn never_picks_a_leaving_draining_silent_unhealthy_or_excluded_target() {
    let reachability =
        |members: &Membership, process: &ProcessId| reachability_of(members, process, at(10_000));
    TestRunner::new(config()).run(&states(), |states| choose_among(&states, reachability)).unwrap();
}

/// Verifies that the check can fail: liveness alone selects draining targets.
#[test]
fn check_detects_reachability_that_ignores_announcements() {
    let reachability = |members: &Membership, process: &ProcessId| {
        if members.is_reachable(process, at(10_000)) {
            Reachability::Usable
        } else {
            Reachability::Unusable
        }
    };
    let result =
        TestRunner::new(config()).run(&states(), |states| choose_among(&states, reachability));
    assert!(result.is_err(), "seed {SEED}: liveness alone passed the check");
}

/// Guards against a decision cost that grows with the fleet.
#[test]
fn examines_at_most_eight_targets_of_a_thousand() {
    let mut router = router(1_000, |_, _| {});
    let mut rng = seeded_rng(SEED);
    for affinity in 0..200 {
        let examined = Cell::new(0);
        let reachability = |_: &ProcessId| {
            examined.set(examined.get() + 1);
            Reachability::Usable
        };
        served(router.choose_model(
            &ModelRequirements { affinity, ..requirements(&[]) },
            reachability,
            &mut rng,
        ));
        assert!(examined.get() <= MAX_CANDIDATES, "{} examined", examined.get());
    }
}

/// Guards against rendezvous orders that use the same eight copies for all affinities.
#[test]
fn all_copies_of_a_model_get_requests() {
    let mut router = router(40, |_, _| {});
    let mut rng = seeded_rng(SEED);
    let mut hit: Vec<CompactString> = (0..2_000)
        .map(|affinity| ModelRequirements { affinity, ..requirements(&[]) })
        .map(|requirements| served(router.choose_model(&requirements, usable, &mut rng)).target)
        .collect();
    hit.sort_unstable();
    hit.dedup();
    assert_eq!(hit.len(), 40);
}

/// Returns the most and the fewest sends to a target while no new reports arrive. `record_sends` is
/// whether sends are recorded in the router.
fn spread(record_sends: bool) -> (usize, usize) {
    let mut router = router(2, |_, _| {});
    let mut rng = seeded_rng(SEED);
    let mut sends = [0, 0];
    for ms in 0..200 {
        let pick = served(router.choose_model(&requirements(&[]), usable, &mut rng));
        sends[pick.target[1..].parse::<usize>().unwrap()] += 1;
        if record_sends {
            router.record_send(&pick.target, 200, at(10 + ms));
        }
    }
    (*sends.iter().max().unwrap(), *sends.iter().min().unwrap())
}

/// Load reports lag: an entry that ignored its own sends would send everything to the target that
/// was last reported as idle.
#[test]
fn own_sends_count_until_a_report_includes_them() {
    assert_eq!(spread(true), (100, 100));
    let (most, least) = spread(false);
    assert!(least == 0 && most == 200, "unrecorded sends were spread: {most} {least}");
}

#[test]
fn report_includes_only_sends_before_its_sample() {
    let mut router = router(1, |_, _| {});
    let tokens = |router: &Router| router.target("t0").unwrap().unreported_tokens;
    router.record_send("t0", 10, at(100));
    let second = router.record_send("t0", 20, at(200)).unwrap();
    router.record_send("t0", 40, at(300));
    let sampled = TargetReport { sample_age_ms: 250, ..report(0) };
    router.apply_heartbeat(&heartbeat(0, sampled), at(400));
    assert_eq!(tokens(&router), 60);
    router.record_end("t0", second);
    router.record_end("t0", second);
    assert_eq!(tokens(&router), 40);
}

#[test]
fn cached_prefix_is_preferred_until_events_are_missed() {
    let mut router = router(8, |_, _| {});
    let mut rng = seeded_rng(SEED);
    let prompt = "x".repeat(20 * PREFIX_BLOCK_BYTES);
    let blocks = prefix_blocks(MODEL, None, &prompt);
    assert_eq!(blocks.len(), 20);
    // 40,000 uncached prompt tokens cost 4 s, more than the cost tolerance.
    let requirements =
        ModelRequirements { blocks: &blocks, prompt_tokens: 40_000, ..requirements(&[]) };
    let event = |sequence, kind, block| CacheEvent {
        sequence,
        kind,
        model: CompactString::new(MODEL),
        block,
    };
    for (sequence, block) in (1..).zip(&blocks) {
        router.apply_cache_event("t3", &event(sequence, CacheEventKind::Stored, *block));
    }
    for _ in 0..50 {
        assert_eq!(served(router.choose_model(&requirements, usable, &mut rng)).target, "t3");
    }
    // Event 21 is missing.
    router.apply_cache_event("t3", &event(22, CacheEventKind::Stored, 9));
    assert!(router.cache_is_stale("t3"));
    let picks =
        (0..50).map(|_| served(router.choose_model(&requirements, usable, &mut rng)).target);
    assert!(picks.collect::<Vec<_>>().iter().any(|target| target != "t3"));
    router.resync_cache("t3", 22, blocks.clone());
    assert!(!router.cache_is_stale("t3"));
    assert_eq!(served(router.choose_model(&requirements, usable, &mut rng)).target, "t3");
    // Blocks after a missing one can't be reused.
    router.apply_cache_event("t3", &event(23, CacheEventKind::Evicted, blocks[0]));
    let picks =
        (0..50).map(|_| served(router.choose_model(&requirements, usable, &mut rng)).target);
    assert!(picks.collect::<Vec<_>>().iter().any(|target| target != "t3"));
}

#[test]
fn prefixes_differ_by_model_adapter_and_text() {
    let long = "a".repeat(PREFIX_BLOCK_BYTES * 2 + 1);
    let blocks = prefix_blocks("m", None, &long);
    assert_eq!(blocks.len(), 2);
    assert_ne!(blocks, prefix_blocks("n", None, &long));
    assert_ne!(blocks, prefix_blocks("m", Some("x"), &long));
    let other_end = format!("{}b", &long[..PREFIX_BLOCK_BYTES * 2 - 1]);
    let other = prefix_blocks("m", None, &other_end);
    assert_eq!(blocks[0], other[0]);
    assert_ne!(blocks[1], other[1]);
}

#[test]
fn distance_load_adapter_and_suspicion_affect_the_choice() {
    let mut rng = seeded_rng(SEED);
    // One candidate is worse by more than the cost tolerance, so it is never chosen.
    let cheapest = |change: &dyn Fn(usize, &mut TargetReport),
                    adapter,
                    reachability: &dyn Fn(&ProcessId) -> Reachability| {
        let mut router = router(2, change);
        let mut rng = seeded_rng(SEED);
        let requirements = ModelRequirements { adapter, ..requirements(&[]) };
        served(router.choose_model(&requirements, reachability, &mut rng)).target
    };
    let loaded = |target: usize, report: &mut TargetReport| {
        report.queued_tokens = if target == 0 { 500 } else { 0 };
    };
    assert_eq!(cheapest(&loaded, None, &usable), "t1");
    let adapter = |target: usize, report: &mut TargetReport| {
        if target == 1 {
            report.adapters.push(CompactString::new("choir"));
        }
    };
    assert_eq!(cheapest(&adapter, Some("choir"), &usable), "t1");
    let suspect = |process: &ProcessId| {
        if process.name.as_str() == "side-0" { Reachability::Suspect } else { Reachability::Usable }
    };
    assert_eq!(cheapest(&|_, _| {}, None, &suspect), "t1");

    let mut router = router(1, |_, _| {});
    let far = Heartbeat {
        region: CompactString::new("south"),
        data_centre: CompactString::new("dc-c"),
        ..heartbeat(1, report(1))
    };
    router.apply_heartbeat(&far, at(1));
    for _ in 0..50 {
        assert_eq!(served(router.choose_model(&requirements(&[]), usable, &mut rng)).target, "t0");
    }
}

/// Guards against a full batch that counts as idle because nothing is queued behind it.
#[test]
fn running_batch_counts_as_load_without_a_queue() {
    let mut router = router(2, |target, report| report.running = if target == 0 { 8 } else { 0 });
    let mut rng = seeded_rng(SEED);
    let mut picks = [0, 0];
    for _ in 0..200 {
        let pick = served(router.choose_model(&requirements(&[]), usable, &mut rng));
        picks[usize::from(pick.target == "t1")] += 1;
    }
    assert_eq!(picks, [0, 200]);
}

/// Guards against loading a model twice: entries with the same targets must send a model without a
/// copy to the same target.
#[test]
fn every_entry_chooses_the_same_target_to_load_a_model() {
    let mut rng = seeded_rng(SEED);
    let unload = |target: usize, report: &mut TargetReport| {
        report.models.clear();
        report.quarantined = target.is_multiple_of(5);
        report.capacity_mb = if target.is_multiple_of(3) { 500 } else { 10_000 };
    };
    let mut router = router(30, unload);
    let mut other_router = Router::new("south", "dc-c", NetworkDelays::default());
    for target in (0..30).rev() {
        let mut report = report(target);
        unload(target, &mut report);
        report.queued_tokens = rng.random_range(0..10_000);
        other_router.apply_heartbeat(&heartbeat(target, report), at(1));
    }
    let mut excluded: Vec<CompactString> = Vec::new();
    // 16 of the 30 targets can hold the model; each chosen one is then excluded.
    for _ in 0..16 {
        let affinity = rng.random_range(0..100);
        let requirements = ModelRequirements { affinity, ..requirements(&excluded) };
        let first = loader(router.choose_model(&requirements, usable, &mut rng));
        assert_eq!(loader(other_router.choose_model(&requirements, usable, &mut rng)), first);
        let target: usize = first[1..].parse().unwrap();
        assert!(!target.is_multiple_of(5) && !target.is_multiple_of(3), "{first}");
        excluded.push(first);
    }
    let none = router.choose_model(&requirements(&excluded), usable, &mut rng);
    assert_eq!(none, Choice::None(NoTarget::TooLarge));
    // A target that is already loading the model is chosen.
    let loading = TargetReport { models: copies(&[(MODEL, CopyState::Loading)]), ..report(7) };
    router.apply_heartbeat(&heartbeat(7, loading), at(2));
    assert_eq!(loader(router.choose_model(&requirements(&[]), usable, &mut rng)), "t7");
}

#[test]
fn residency_follows_the_newest_incarnation_of_the_side_process() {
    let mut router = router(1, |_, _| {});
    let mut rng = seeded_rng(SEED);
    let mut newer = heartbeat(0, TargetReport { models: Vec::new(), ..report(0) });
    newer.from.incarnation = Incarnation(2);
    router.apply_heartbeat(&newer, at(2));
    router.apply_heartbeat(&heartbeat(0, report(0)), at(3));
    assert_eq!(router.copies(MODEL).count(), 0, "a heartbeat of an older incarnation was applied");
    assert!(matches!(router.choose_model(&requirements(&[]), usable, &mut rng), Choice::Load(_)));
    router.retain(|process| process.incarnation > Incarnation(2));
    let none = router.choose_model(&requirements(&[]), usable, &mut rng);
    assert_eq!(none, Choice::None(NoTarget::NoneKnown));
    router.apply_heartbeat(&newer, at(4));
    assert_eq!(router.targets().count(), 1);
}

#[test]
fn plain_calls_go_to_the_target_with_the_fewest_requests_in_flight() {
    let plain = |target: usize, report: &mut TargetReport| {
        report.kind = TargetKind::Plain;
        report.models.clear();
        report.running = if target == 2 { 0 } else { 300 };
    };
    let mut router = router(3, plain);
    let mut rng = seeded_rng(SEED);
    let requirements = PlainRequirements { service: "llais", affinity: 0, exclude: &[] };
    for _ in 0..50 {
        assert_eq!(served(router.choose_plain(&requirements, usable, &mut rng)).target, "t2");
    }
    let excluded = [name(2)];
    let rest = PlainRequirements { exclude: &excluded, ..requirements };
    assert_ne!(served(router.choose_plain(&rest, usable, &mut rng)).target, "t2");
    let unknown = PlainRequirements { service: "balcao", ..requirements };
    let none = router.choose_plain(&unknown, usable, &mut rng);
    assert_eq!(none, Choice::None(NoTarget::NoneKnown));
}
