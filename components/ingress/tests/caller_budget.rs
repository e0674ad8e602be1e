//! Decisions of the budget for callers.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeMap;
use std::time::Duration;

use base::{Timestamp, seeded_rng};
use ingress::{Admission, CallerBudget, CallerBudgetSettings, ConnectionKey, ResponseRoom};
use rand::Rng;

const KB: u64 = 1_024;
const LARGEST: u64 = 4 << 20;

fn settings(memory_bytes: u64, connections: usize) -> CallerBudgetSettings {
    CallerBudgetSettings { memory_bytes, connections, socket_buffer_bytes: 32 << 10 }
}

fn open(budget: &mut CallerBudget, now: Timestamp) -> ConnectionKey {
    match budget.open(now) {
        Admission::Admitted { key, closed: None } => key,
        other => panic!("{other:?}"),
    }
}

fn open_reading(budget: &mut CallerBudget, group: u32, now: Timestamp) -> ConnectionKey {
    let key = open(budget, now);
    budget.start_request(key, now);
    budget.start_body(key, group, now);
    key
}

/// What a connection of the model does, with the memory of its body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Doing {
    Waiting,
    Reading(u64),
    Answering,
}

/// A step of the enumeration, for one of the connections that are open.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    StartBody(usize),
    Grow(usize),
    FinishBody(usize),
    FinishRequest(usize),
    Close(usize),
    Respond,
    Pass(u64),
}

const MEMORY: u64 = 1_000 * KB;
const CONNECTIONS: usize = 3;

/// The budget beside a simple model of it.
#[derive(Default)]
struct Model {
    doing: BTreeMap<ConnectionKey, Doing>,
    held: u64,
    now: Timestamp,
}

impl Model {
    fn step(&mut self, budget: &mut CallerBudget, step: Step) {
        let key = |at: usize| self.doing.keys().nth(at).copied();
        match step {
            Step::Open => match budget.open(self.now) {
                Admission::Admitted { key, closed } => {
                    if let Some(closed) = closed {
                        let doing = self.doing.remove(&closed).unwrap();
                        assert_ne!(doing, Doing::Answering, "closed during a request");
                    }
                    self.doing.insert(key, Doing::Waiting);
                }
                Admission::Refused => assert_eq!(self.doing.len(), CONNECTIONS),
            },
            Step::StartBody(at) => {
                let Some(key) = key(at).filter(|key| self.doing[key] == Doing::Waiting) else {
                    return;
                };
                budget.start_request(key, self.now);
                budget.start_body(key, at as u32 % 2, self.now);
                self.doing.insert(key, Doing::Reading(0));
            }
            Step::Grow(at) => {
                let Some(key) = key(at) else { return };
                let Doing::Reading(before) = self.doing[&key] else { return };
                let wanted = (before * 2).max(200 * KB);
                let reservation = budget.reserve(key, wanted, self.held, self.now);
                for (given_up, _) in reservation.given_up {
                    let doing = self.doing.insert(given_up, Doing::Answering).unwrap();
                    assert!(matches!(doing, Doing::Reading(bytes) if bytes > 0), "{doing:?}");
                }
                let doing =
                    if reservation.granted { Doing::Reading(wanted) } else { Doing::Answering };
                self.doing.insert(key, doing);
                if reservation.granted {
                    // A body that is larger than the memory is read if it is alone.
                    assert!(budget.reading_bytes() + self.held <= MEMORY.max(wanted));
                } else {
                    let alone = self.held == 0 && self.doing.len() == 1;
                    assert!(!alone, "a body that is alone was refused");
                }
            }
            Step::FinishBody(at) => {
                let Some(key) = key(at) else { return };
                let Doing::Reading(bytes) = self.doing[&key] else { return };
                budget.finish_body(key, self.now);
                self.held += bytes;
                self.doing.insert(key, Doing::Answering);
            }
            Step::FinishRequest(at) => {
                let Some(key) = key(at).filter(|key| self.doing[key] == Doing::Answering) else {
                    return;
                };
                budget.finish_request(key, self.now);
                self.held = 0;
                self.doing.insert(key, Doing::Waiting);
            }
            Step::Close(at) => {
                let Some(key) = key(at) else { return };
                budget.close(key);
                self.doing.remove(&key);
            }
            Step::Respond => {
                let room = budget.response_room(100 * KB, 100 * KB, self.held, self.now);
                if let ResponseRoom::GiveUpBody(key) = room {
                    let doing = self.doing.insert(key, Doing::Answering).unwrap();
                    assert!(matches!(doing, Doing::Reading(_)), "{doing:?}");
                }
                assert!(!matches!(room, ResponseRoom::Close(_)), "nothing is unread");
            }
            Step::Pass(millis) => self.now = self.now + Duration::from_millis(millis),
        }
        let reading = |doing: &Doing| if let Doing::Reading(bytes) = doing { *bytes } else { 0 };
        assert_eq!(budget.reading_bytes(), self.doing.values().map(reading).sum::<u64>());
        assert_eq!(budget.connection_count(), self.doing.len());
        assert!(self.doing.len() <= CONNECTIONS);
    }
}

/// Guards against memory that is counted twice or not at all, against more memory or connections
/// than there are, and against a request that is given up after it was passed on, in every order of
/// a few steps.
#[test]
fn every_order_of_steps_stays_within_the_budget() {
    let mut steps = vec![Step::Open, Step::Respond, Step::Pass(300), Step::Pass(600)];
    for at in 0..2 {
        let own = [
            Step::StartBody(at),
            Step::Grow(at),
            Step::FinishBody(at),
            Step::FinishRequest(at),
            Step::Close(at),
        ];
        steps.extend(own);
    }
    // Most orders begin with connections that read bodies; shorter ones are among the longer ones.
    let starts: [&[Step]; 3] = [
        &[Step::Open],
        &[Step::Open, Step::Open, Step::StartBody(0), Step::StartBody(1), Step::Grow(0)],
        &[
            Step::Open,
            Step::StartBody(0),
            Step::Grow(0),
            Step::Grow(0),
            Step::Open,
            Step::StartBody(1),
            Step::Grow(1),
        ],
    ];
    const LENGTH: u32 = 4;
    for start in starts {
        for number in 0..steps.len().pow(LENGTH) {
            let mut budget = CallerBudget::new(settings(MEMORY, CONNECTIONS));
            let mut model = Model::default();
            start.iter().for_each(|step| model.step(&mut budget, *step));
            let mut rest = number;
            for _ in 0..LENGTH {
                model.step(&mut budget, steps[rest % steps.len()]);
                rest /= steps.len();
            }
        }
    }
}

/// Guards against an ordinary client that is rejected because others hold bodies short of their end,
/// send without end or connect without a head, under any mixture of them.
#[test]
fn ordinary_clients_are_served_among_any_others() {
    for seed in 0..20 {
        let mut rng = seeded_rng(seed);
        let settings = CallerBudgetSettings::for_machine(120, 3_075);
        let mut budget = CallerBudget::new(settings);
        let mut abusive: Vec<(ConnectionKey, u64, bool)> = Vec::new();
        let mut now = Timestamp::default();
        for _ in 0..4_000 {
            now = now + Duration::from_millis(rng.random_range(1..5));
            if rng.random_bool(0.5) {
                let Admission::Admitted { key, .. } = budget.open(now) else { continue };
                let has_head = rng.random_bool(0.7);
                if has_head {
                    budget.start_request(key, now);
                    budget.start_body(key, 1, now);
                }
                abusive.push((key, 16 * KB, has_head));
            }
            for _ in 0..4 {
                let count = abusive.len();
                let Some((key, capacity, true)) =
                    abusive.get_mut(rng.random_range(0..count.max(1)))
                else {
                    continue;
                };
                if budget.reserve(*key, *capacity, 0, now).granted {
                    *capacity = (*capacity * 2).min(LARGEST);
                }
            }
            // An ordinary request: connect, head, body in three steps, response.
            let Admission::Admitted { key, .. } = budget.open(now) else {
                panic!("seed {seed}: an ordinary connection was refused")
            };
            now = now + Duration::from_millis(20);
            budget.start_request(key, now);
            budget.start_body(key, 2, now);
            for capacity in [16 * KB, 32 * KB, 40 * KB] {
                now = now + Duration::from_millis(10);
                let reservation = budget.reserve(key, capacity, 0, now);
                assert!(reservation.granted, "seed {seed}: an ordinary body was refused");
            }
            assert!(budget.reading_bytes() <= settings.memory_bytes);
            assert!(budget.connection_count() <= settings.connections);
            budget.finish_body(key, now);
            budget.close(key);
        }
    }
}

/// Guards against a budget that leaves no room for the largest allowed request on the smallest
/// machine, also with a few other requests.
#[test]
fn the_largest_body_fits_on_the_smallest_machine() {
    let settings = CallerBudgetSettings::for_machine(120, 3_075);
    let mut budget = CallerBudget::new(settings);
    let now = Timestamp::default();
    for _ in 0..100 {
        let small = open_reading(&mut budget, 1, now);
        assert!(budget.reserve(small, 40 * KB, 0, now).granted);
    }
    let large = open_reading(&mut budget, 2, now);
    for capacity in [16 * KB, 256 * KB, 1_024 * KB, LARGEST] {
        let reservation = budget.reserve(large, capacity, 0, now);
        assert!(reservation.granted && reservation.given_up.is_empty(), "{reservation:?}");
    }
    assert!(settings.connections >= 300, "{}", settings.connections);
}

/// Guards against a stalled body that keeps its memory while one that makes progress is given up.
#[test]
fn a_stalled_body_gives_way_first() {
    let mut budget = CallerBudget::new(settings(1_000 * KB, 10));
    let start = Timestamp::default();
    let stalled = open_reading(&mut budget, 1, start);
    let moving = open_reading(&mut budget, 1, start);
    assert!(budget.reserve(stalled, 200 * KB, 0, start).granted);
    assert!(budget.reserve(moving, 400 * KB, 0, start).granted);
    let now = start + Duration::from_millis(600);
    budget.record_progress(moving, now);
    let third = open_reading(&mut budget, 1, now);
    let reservation = budget.reserve(third, 300 * KB, 0, now);
    assert!(reservation.granted);
    assert_eq!(reservation.given_up, [(stalled, true)]);
}

/// Guards against a customer with one body that gives way to another customer's many.
#[test]
fn the_group_with_the_most_memory_gives_way_first() {
    let mut budget = CallerBudget::new(settings(1_000 * KB, 10));
    let now = Timestamp::default();
    let alone = open_reading(&mut budget, 1, now);
    assert!(budget.reserve(alone, 300 * KB, 0, now).granted);
    let many: Vec<ConnectionKey> = (0..3).map(|_| open_reading(&mut budget, 2, now)).collect();
    for key in &many[..2] {
        assert!(budget.reserve(*key, 200 * KB, 0, now).granted);
    }
    let reservation = budget.reserve(many[2], 200 * KB, 0, now);
    assert!(reservation.given_up.iter().all(|(key, _)| *key != alone), "{reservation:?}");
}

/// Guards against a response that is dropped although its caller reads it, and against unread ones
/// that keep others waiting.
#[test]
fn only_unread_responses_are_closed_for_others() {
    let mut budget = CallerBudget::new(settings(1_000 * KB, 10));
    let start = Timestamp::default();
    let [read, unread] = [(); 2].map(|()| {
        let key = open_reading(&mut budget, 1, start);
        budget.finish_body(key, start);
        budget.start_response(key, 350 * KB, start);
        budget.record_blocked(key);
        key
    });
    let held = 700 * KB;
    let room = budget.response_room(100 * KB, 100 * KB, held, start);
    assert_eq!(room, ResponseRoom::Wait);
    let now = start + Duration::from_millis(600);
    budget.record_sent(read, 10 * KB, now);
    let room = budget.response_room(100 * KB, 100 * KB, held, now);
    assert_eq!(room, ResponseRoom::Close(unread));
    let room = budget.response_room(100 * KB, 100 * KB, held - 350 * KB, now);
    assert_eq!(room, ResponseRoom::Granted);
}

/// Guards against silent connections that close those between two requests of ordinary callers.
#[test]
fn connections_without_a_head_are_closed_before_idle_ones() {
    let mut budget = CallerBudget::new(settings(1_000 * KB, 4));
    let start = Timestamp::default();
    let idle: Vec<ConnectionKey> = (0..3)
        .map(|_| {
            let key = open_reading(&mut budget, 1, start);
            budget.finish_request(key, start);
            key
        })
        .collect();
    let mut now = start;
    for _ in 0..20 {
        now = now + Duration::from_millis(300);
        if let Admission::Admitted { closed: Some(closed), .. } = budget.open(now) {
            assert!(!idle.contains(&closed), "an idle connection was closed");
        }
    }
}

/// Guards against callers that don't read their responses and so keep all others out.
#[test]
fn a_connection_whose_response_is_not_read_gives_way() {
    let mut budget = CallerBudget::new(settings(1_000 * KB, 2));
    let start = Timestamp::default();
    let [running, unread] = [(); 2].map(|()| {
        let key = open_reading(&mut budget, 1, start);
        budget.finish_body(key, start);
        key
    });
    budget.record_blocked(unread);
    assert_eq!(budget.open(start + Duration::from_millis(300)), Admission::Refused);
    let now = start + Duration::from_millis(600);
    let Admission::Admitted { closed, .. } = budget.open(now) else { panic!("refused") };
    assert_eq!(closed, Some(unread));
    assert_ne!(closed, Some(running));
}

/// Guards against ordinary callers that are closed because they all connect at once, before their
/// heads are read.
#[test]
fn connections_that_arrive_together_are_all_kept() {
    let mut budget = CallerBudget::new(settings(1_000 * KB, 100));
    for _ in 0..100 {
        open(&mut budget, Timestamp::default());
    }
    // Silent ones beyond half of the connections are closed as soon as they are late.
    let late = Timestamp::from_millis(300);
    let Admission::Admitted { closed, .. } = budget.open(late) else { panic!("refused") };
    assert!(closed.is_some());
}

/// Guards against bodies that come byte by byte and so keep all others out, and against the large
/// one that is closed in their place.
#[test]
fn the_slowest_body_gives_way_to_a_new_connection() {
    let mut budget = CallerBudget::new(settings(10_000 * KB, 3));
    let start = Timestamp::default();
    let large = open_reading(&mut budget, 1, start);
    assert!(budget.reserve(large, 2_000 * KB, 0, start).granted);
    let slow: Vec<ConnectionKey> = (0..2).map(|_| open_reading(&mut budget, 1, start)).collect();
    for key in &slow {
        assert!(budget.reserve(*key, KB, 0, start).granted);
    }
    let mut now = start;
    for _ in 0..3 {
        now = now + Duration::from_millis(400);
        [large, slow[0], slow[1]].iter().for_each(|key| budget.record_progress(*key, now));
    }
    let Admission::Admitted { closed, .. } = budget.open(now) else { panic!("refused") };
    assert_eq!(closed, Some(slow[0]));
}

/// Guards against sizes that overflow, and against a machine that serves nobody because its settings
/// are too small.
#[test]
fn any_settings_give_a_usable_budget() {
    let values = [0, 1, 120, 1 << 20, 1 << 53, 1 << 63, u64::MAX];
    for (memory_mb, descriptors) in values.iter().flat_map(|a| values.iter().map(move |b| (a, b))) {
        let settings = CallerBudgetSettings::for_machine(*memory_mb, *descriptors);
        assert!(settings.connections >= 16 && settings.socket_buffer_bytes >= 32 << 10);
        let mut budget = CallerBudget::new(settings);
        let key = open_reading(&mut budget, 0, Timestamp::default());
        for capacity in [KB, LARGEST] {
            assert!(budget.reserve(key, capacity, 0, Timestamp::default()).granted);
        }
    }
}
