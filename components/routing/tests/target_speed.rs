//! Targets of uneven speed: the estimate of one target, and a plain service whose gateways learn of each
//! other's requests with a delay.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use base::{ProcessName, Timestamp, WarmCopies, seeded_rng};
use compact_str::format_compact;
use rand::Rng;
use routing::{
    DirectChoice, DirectFleet, DirectPick, DirectPlainRequirements, SendId, SharingGateways,
    SpeedChange, TargetLoadSample, TargetSpeed, WorkKind,
};
use wire::{TargetEntry, TargetState};

const TARGETS: usize = 3;
const SLOTS: u32 = 6;
/// Usual time of a request.
const WORK_MS: f64 = 30.0;
/// Time within which a response is on time.
const OBJECTIVE_MS: f64 = 150.0;
/// Time between two reports of a gateway to the others.
const EXCHANGE_MS: u64 = 100;
/// Requests per second of the lending deployment.
const RATE_PER_S: f64 = 76.3;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Time that a request takes at a target relative to the usual one, by target, time in milliseconds
/// and requests that run there.
type Slowdown = fn(usize, u64, u32) -> f64;
/// Time of a request by its target's concurrency, relative to its time alone.
type Growth = fn(f64) -> f64;
/// The load that a target reports, by target, time and its true load with its pace.
type Report = fn(usize, u64, TargetLoadSample) -> Option<TargetLoadSample>;

struct Service {
    gateways: usize,
    rate_per_s: f64,
    seconds: u64,
    slowdown: Slowdown,
    report: Report,
}

const LENDING: Service = Service {
    gateways: 21,
    rate_per_s: RATE_PER_S,
    seconds: 40,
    slowdown: |_, _, _| 1.0,
    report: |_, _, load| Some(load),
};

struct Request {
    gateway: usize,
    pick: DirectPick,
    id: SendId,
    sent_us: u64,
}

#[derive(Default)]
struct Target {
    running: u32,
    queue: VecDeque<usize>,
}

/// Responses of a run: when the request was sent, its target and how long it took, in milliseconds.
struct Responses(Vec<(u64, usize, f64)>);

impl Responses {
    fn share_of(&self, target: usize, from_ms: u64) -> f64 {
        let sent: Vec<usize> =
            self.0.iter().filter(|(at, _, _)| *at >= from_ms).map(|(_, to, _)| *to).collect();
        sent.iter().filter(|to| **to == target).count() as f64 / sent.len() as f64
    }

    fn on_time(&self, from_ms: u64) -> f64 {
        let took: Vec<f64> =
            self.0.iter().filter(|(at, _, _)| *at >= from_ms).map(|(_, _, took)| *took).collect();
        took.iter().filter(|took| **took <= OBJECTIVE_MS).count() as f64 / took.len() as f64
    }
}

fn entry(number: usize) -> TargetEntry {
    TargetEntry {
        id: format_compact!("target-{number}"),
        born_ms: Some(1),
        service: "web".into(),
        software: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number as u16)),
        data_centre: "north-a".into(),
        slots: SLOTS,
        state: TargetState::Ready,
        cold_ms: 0,
        orders_accepted: 0,
        models: Vec::new(),
        warm: WarmCopies::default(),
    }
}

fn gateway(number: usize) -> DirectFleet {
    let mut fleet = DirectFleet::new("north-a");
    let sharers = SharingGateways { process: number as u32, ..SharingGateways::default() };
    fleet.set_sharing_gateways(sharers, at(0));
    (0..TARGETS).for_each(|target| fleet.apply_entry(&entry(target), at(0)));
    fleet
}

fn choose(fleet: &DirectFleet, now: Timestamp) -> DirectPick {
    let requirements = DirectPlainRequirements { service: "web", software: None, exclude: &[] };
    match fleet.choose_plain(&requirements, now) {
        DirectChoice::Serve(pick) => pick,
        other => panic!("{other:?}"),
    }
}

/// Returns the number of targets with a concurrency limit at the end of a run.
fn limited(fleet: &DirectFleet) -> usize {
    fleet.targets().filter(|target| target.speed.concurrency_limit(at(40_000)).is_some()).count()
}

impl Service {
    /// Runs the service; requests arrive at random gateways at random times.
    fn run(&self, seed: u64) -> (Responses, Vec<DirectFleet>) {
        let mut rng = seeded_rng(seed);
        let mut fleets: Vec<DirectFleet> = (0..self.gateways).map(gateway).collect();
        let mut targets: Vec<Target> = (0..TARGETS).map(|_| Target::default()).collect();
        let mut requests: Vec<Request> = Vec::new();
        let mut responses = Responses(Vec::new());
        let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
        let (mut next_arrival_us, mut next_exchange_us) = (0, 0);
        loop {
            let end_us = ends.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            let now_us = next_arrival_us.min(next_exchange_us).min(end_us);
            let now = Timestamp::from_micros(now_us);
            if now_us >= self.seconds * 1_000_000 {
                return (responses, fleets);
            }
            let mut start = None;
            if now_us == next_exchange_us {
                next_exchange_us += EXCHANGE_MS * 1_000;
                let state = |fleet: &DirectFleet| (fleet.local_work(now), fleet.speed_reports(now));
                let states: Vec<_> = fleets.iter().map(state).collect();
                for (at, fleet) in fleets.iter_mut().enumerate() {
                    for (from, (work, speeds)) in
                        states.iter().enumerate().filter(|(from, _)| *from != at)
                    {
                        let peer = ProcessName::new(&format!("gateway-{from}"));
                        fleet.apply_peer_work(&peer, work, now);
                        fleet.apply_speed_reports(from as u32, speeds, now);
                    }
                }
            } else if now_us == next_arrival_us {
                let wait_s = -f64::ln(rng.random_range(1e-9..1.0)) / self.rate_per_s;
                next_arrival_us += 1 + (wait_s * 1e6) as u64;
                let gateway = rng.random_range(0..self.gateways);
                let pick = choose(&fleets[gateway], now);
                let id = fleets[gateway].record_plain(pick.key, now);
                targets[pick.key.0 as usize].queue.push_back(requests.len());
                start = Some(pick.key.0 as usize);
                requests.push(Request { gateway, pick, id, sent_us: now_us });
            } else if let Some(Reverse((_, number))) = ends.pop() {
                let Request { gateway, pick, id, sent_us } = &requests[number];
                let at = pick.key.0 as usize;
                let fleet = &mut fleets[*gateway];
                let took_ms = (now_us - sent_us) as f64 / 1_000.0;
                let (running, waiting) = (targets[at].running, targets[at].queue.len() as u32);
                let pace = 100.0 * (self.slowdown)(at, now_us / 1_000, 1);
                let pace_percent = Some(pace as u32);
                let load = TargetLoadSample { running, waiting, slots: SLOTS, pace_percent };
                if let Some(sample) = (self.report)(at, now_us / 1_000, load) {
                    fleet.record_load(pick.key, sample, now);
                }
                fleet.record_plain_response(pick, took_ms, now);
                fleet.record_end(pick.key, *id);
                responses.0.push((sent_us / 1_000, at, took_ms));
                targets[at].running -= 1;
                start = Some(at);
            }
            let Some(at) = start else { continue };
            while targets[at].running < SLOTS
                && let Some(number) = targets[at].queue.pop_front()
            {
                targets[at].running += 1;
                let slowdown = (self.slowdown)(at, now_us / 1_000, targets[at].running);
                let work_ms = WORK_MS * rng.random_range(0.4..1.6) * slowdown;
                ends.push(Reverse((now_us + (work_ms * 1_000.0) as u64, number)));
            }
        }
    }
}

/// Guards against a slow target that gets its full share of the requests, or none, with and without
/// its reports; and against a recovery that is not seen.
#[test]
fn target_that_takes_three_times_as_long_gets_few_requests_until_it_recovers() {
    let slowdown: Slowdown = |target, ms, _| if target == 0 && ms < 20_000 { 3.0 } else { 1.0 };
    let reports: [Report; 2] = [|_, _, load| Some(load), |_, _, _| None];
    for report in reports {
        let (mut slow, fleets) = Service { slowdown, report, ..LENDING }.run(1);
        let recovered = slow.share_of(0, 28_000);
        slow.0.retain(|(at, _, _)| *at < 20_000);
        let share = slow.share_of(0, 5_000);
        let on_time = slow.on_time(5_000);
        println!("slow {share:.3} on time {on_time:.3} recovered {recovered:.3}");
        assert!((0.001..0.1).contains(&share), "{share}");
        assert!(on_time > 0.99, "{on_time}");
        assert!(recovered > 0.2, "{recovered}");
        assert!(fleets.iter().all(|fleet| limited(fleet) < TARGETS));
    }
}

/// Guards against targets that are starved, and requests that are refused, because all are slow.
#[test]
fn targets_that_are_slow_together_count_as_usual() {
    let slowdown: Slowdown = |_, ms, _| if ms >= 5_000 { 3.0 } else { 1.0 };
    let (responses, fleets) = Service { slowdown, report: |_, _, _| None, ..LENDING }.run(2);
    for target in 0..TARGETS {
        let share = responses.share_of(target, 5_000);
        println!("share {share:.3}");
        assert!(share > 0.25, "{share}");
    }
    for fleet in &fleets {
        let pick = choose(fleet, at(40_000));
        let load_ms = WORK_MS * 3.0;
        assert!(pick.admission_ms < 2.0 * load_ms, "{pick:?}");
    }
}

/// Guards against gateways that follow a pace which has changed before they act on it.
#[test]
fn pace_that_alternates_every_100_ms_makes_few_requests_late() {
    let slowdown: Slowdown = |target, ms, _| match (target, ms / 100 % 2) {
        (0, 0) | (1, 1) => 4.0,
        _ => 1.0,
    };
    let (responses, _) = Service { slowdown, ..LENDING }.run(3);
    let shares: Vec<f64> = (0..TARGETS).map(|target| responses.share_of(target, 5_000)).collect();
    println!("{shares:?} on time {:.3}", responses.on_time(5_000));
    assert!(shares.iter().all(|share| *share > 0.002), "{shares:?}");
    assert!(responses.on_time(5_000) > 0.98);
}

/// Guards against a target that attracts requests by a false report, or that drives them away although
/// it works as usual.
#[test]
fn false_report_does_not_decide() {
    let slow: Slowdown = |target, _, _| if target == 0 { 3.0 } else { 1.0 };
    let boasts: Report = |target, ms, load| match target {
        0 if ms % 2 == 0 => {
            Some(TargetLoadSample { running: 0, waiting: 0, pace_percent: Some(10), ..load })
        }
        0 => Some(TargetLoadSample { running: 0, waiting: 0, pace_percent: Some(60), ..load }),
        _ => Some(load),
    };
    let (responses, _) = Service { slowdown: slow, report: boasts, ..LENDING }.run(4);
    let share = responses.share_of(0, 10_000);
    println!("boasts {share:.3}");
    assert!(share < 0.2, "{share}");
    let laments: Report = |target, ms, load| match target {
        0 if ms % 2 == 0 => {
            Some(TargetLoadSample { waiting: 9, pace_percent: Some(1_000), ..load })
        }
        0 => Some(TargetLoadSample { waiting: 9, pace_percent: Some(200), ..load }),
        _ => Some(load),
    };
    let (responses, _) = Service { report: laments, ..LENDING }.run(5);
    let share = responses.share_of(0, 10_000);
    println!("laments {share:.3}");
    assert!(share > 0.15, "{share}");
}

/// Guards against gateways that all choose the same idle target at once.
#[test]
fn gateways_with_the_same_knowledge_spread_their_requests() {
    let mut counts = [0; TARGETS];
    for number in 0..27 {
        counts[choose(&gateway(number), at(1_000)).key.0 as usize] += 1;
    }
    assert!(counts.iter().all(|count| (4..=15).contains(count)), "{counts:?}");
}

/// Guards against requests that are added to a target beyond the concurrency at which they only wait,
/// and against a limit at a target whose times don't depend on its concurrency.
#[test]
fn concurrency_limit_is_found_only_where_the_time_grows() {
    let growths: [(Growth, Option<RangeInclusive<u32>>); 4] = [
        (|_| 1.0, None),
        (|n| (n / 2.0).max(1.0), Some(2..=3)),
        (|n| (n / 4.0).max(1.0), Some(3..=5)),
        (|n| 1.0 + 0.4 * (n - 1.0), Some(1..=3)),
    ];
    for (growth, expected) in growths {
        for seed in 0..20 {
            let mut rng = seeded_rng(seed);
            let mut speed = TargetSpeed::default();
            for number in 1..=400 {
                let in_flight = rng.random_range(1..=SLOTS + 2);
                let took_ms = WORK_MS * rng.random_range(0.4..1.6) * growth(f64::from(in_flight));
                speed.record_plain(took_ms, in_flight, WORK_MS, at(number * 300));
            }
            let limit = speed.concurrency_limit(at(120_000));
            let is_expected = match (&expected, limit) {
                (None, None) => true,
                (Some(expected), Some(limit)) => expected.contains(&limit),
                _ => false,
            };
            assert!(is_expected, "seed {seed}: {limit:?}, expected {expected:?}");
        }
    }
}

/// Guards against requests that wait at targets above their limit while another is below its limit, and
/// against refusals by a limit.
#[test]
fn targets_that_slow_down_before_they_are_full_share_the_load() {
    let slowdown: Slowdown = |target, _, running| match target {
        0 => f64::from(running).max(1.0),
        1 => (f64::from(running) / 2.0).max(1.0),
        _ => 1.0,
    };
    let service = Service { rate_per_s: 160.0, slowdown, ..LENDING };
    let (responses, fleets) = service.run(6);
    let shares: Vec<f64> = (0..TARGETS).map(|target| responses.share_of(target, 10_000)).collect();
    println!("{shares:?} on time {:.3}", responses.on_time(10_000));
    assert!(shares[0] < shares[1] && shares[1] < shares[2], "{shares:?}");
    assert!(responses.on_time(10_000) > 0.97);
    assert!(fleets.iter().any(|fleet| limited(fleet) > 0));
}

/// Guards against an estimate that outlives what it was made of, and against values for a target of
/// which nothing is known.
#[test]
fn slowdown_without_news_returns_to_usual() {
    let mut speed = TargetSpeed::default();
    assert_eq!(speed.slowdown(WorkKind::Prefill, at(0)), 1.0);
    assert_eq!(speed.concurrency_limit(at(0)), None);
    let sample = |pace_percent| TargetLoadSample { running: 1, waiting: 0, slots: 6, pace_percent };
    speed.record_report(sample(Some(300)), at(0));
    assert!((speed.slowdown(WorkKind::Prefill, at(0)) - 3.0).abs() < 0.01);
    for number in 0..30 {
        speed.record_report(sample(None), at(number * 500));
        speed.record_plain(90.0, 1, 30.0, at(number * 500));
    }
    assert!(speed.slowdown(WorkKind::Plain, at(15_000)) > 2.0);
    assert!(speed.slowdown(WorkKind::Plain, at(40_000)) < 1.1);
    for odd in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e308] {
        speed.record_plain(odd, u32::MAX, odd, at(41_000));
        speed.record_first_event(odd, at(41_000));
        speed.record_event_gap(odd, at(41_000));
        let values = [WorkKind::Plain, WorkKind::Prefill, WorkKind::Decode]
            .map(|kind| speed.slowdown(kind, at(41_000)));
        assert!(values.iter().all(|value| (0.5..=8.0).contains(value)), "{odd}: {values:?}");
    }
}

/// Guards against a log line for each response of a target whose speed alternates.
#[test]
fn changes_are_logged_at_most_every_five_seconds() {
    let mut speed = TargetSpeed::default();
    let mut changes = Vec::new();
    for number in 0..600 {
        let took_ms = if number / 50 % 2 == 0 { 200.0 } else { 20.0 };
        speed.record_plain(took_ms, 1, 20.0, at(number * 100));
        changes.extend(speed.take_change(at(number * 100)));
    }
    assert!((2..=12).contains(&changes.len()), "{changes:?}");
    assert_eq!(changes[0], SpeedChange::Slowed);
    assert!(changes.contains(&SpeedChange::Recovered));
}
