//! Random histories: with lost, repeated and delayed records and with restarts, a call runs at most
//! once.

use base::{Offset, Timestamp};
use once::{AppendRequest, AttemptId, BeginResult, ClaimLog, Settlement, SettlementResult};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::common::{START_MS, body, key, outcome, side};

const SIDES: usize = 3;
const NAMES: [&str; SIDES] = ["a", "b", "c"];
const KEYS: u8 = 3;

#[derive(Clone, Debug)]
enum Step {
    /// A side starts an attempt; the append may be stored at once, late, twice or never.
    Begin {
        side: usize,
        key: u8,
        append: AppendFate,
    },
    /// A delayed append reaches the log.
    Arrive(usize),
    /// A record of the log is appended again.
    Repeat(usize),
    /// A side reads some records.
    Read(usize, usize),
    /// A side receives one record out of order.
    ReadOutOfOrder(usize, usize),
    ExpirePending,
    Abandon(usize),
    /// A run ends with a response, without one, or before anything was sent.
    Finish {
        run: usize,
        append: AppendFate,
    },
    LoseOutcome(usize),
    Release {
        run: usize,
        append: AppendFate,
    },
    Snapshot {
        side: usize,
        append: AppendFate,
    },
    Trim,
    Restart(usize),
}

#[derive(Clone, Copy, Debug)]
enum AppendFate {
    Stored,
    StoredTwice,
    Delayed,
    Lost,
}

fn append_fate() -> impl Strategy<Value = AppendFate> {
    prop_oneof![
        4 => Just(AppendFate::Stored),
        1 => Just(AppendFate::StoredTwice),
        2 => Just(AppendFate::Delayed),
        1 => Just(AppendFate::Lost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let side = 0..SIDES;
    let any = 0..60_usize;
    prop_oneof![
        6 => (side.clone(), 0..KEYS, append_fate())
            .prop_map(|(side, key, append)| Step::Begin { side, key, append }),
        2 => any.clone().prop_map(Step::Arrive),
        1 => any.clone().prop_map(Step::Repeat),
        8 => (side.clone(), 1..6_usize).prop_map(|(side, count)| Step::Read(side, count)),
        2 => (side.clone(), any.clone()).prop_map(|(side, at)| Step::ReadOutOfOrder(side, at)),
        2 => Just(Step::ExpirePending),
        1 => any.clone().prop_map(Step::Abandon),
        2 => (any.clone(), append_fate()).prop_map(|(run, append)| Step::Finish { run, append }),
        1 => any.clone().prop_map(Step::LoseOutcome),
        2 => (any, append_fate()).prop_map(|(run, append)| Step::Release { run, append }),
        1 => (side.clone(), append_fate())
            .prop_map(|(side, append)| Step::Snapshot { side, append }),
        1 => Just(Step::Trim),
        1 => side.prop_map(Step::Restart),
    ]
}

/// An attempt that was allowed to run.
struct Run {
    side: usize,
    attempt: AttemptId,
    key: u8,
    /// Nothing was sent to the target.
    unsent: bool,
}

struct Simulation {
    log: Vec<Vec<u8>>,
    oldest: u64,
    delayed: Vec<AppendRequest>,
    sides: Vec<ClaimLog>,
    incarnations: u64,
    begun: Vec<(AttemptId, u8)>,
    settled_not_run: Vec<AttemptId>,
    runs: Vec<Run>,
    now: Timestamp,
}

impl Simulation {
    fn new() -> Self {
        Self {
            log: Vec::new(),
            oldest: 1,
            delayed: Vec::new(),
            sides: NAMES.iter().map(|name| side(name, 1)).collect(),
            incarnations: 1,
            begun: Vec::new(),
            settled_not_run: Vec::new(),
            runs: Vec::new(),
            now: Timestamp::default(),
        }
    }

    fn append(&mut self, append: AppendRequest, fate: AppendFate) {
        match fate {
            AppendFate::Stored => self.log.push(append.payload),
            AppendFate::StoredTwice => {
                self.log.push(append.payload.clone());
                self.delayed.push(append.clone());
                self.log.push(append.payload);
            }
            AppendFate::Delayed => self.delayed.push(append),
            AppendFate::Lost => {}
        }
    }

    fn settle(&mut self, at: usize, settlements: Vec<Settlement>) {
        for Settlement { attempt, result } in settlements {
            match result {
                SettlementResult::Run => {
                    let Some((_, key)) = self.begun.iter().find(|(id, _)| *id == attempt) else {
                        panic!("run of an attempt that never began: {attempt:?}")
                    };
                    let key = *key;
                    assert!(
                        !self.settled_not_run.contains(&attempt),
                        "run after not_run: {attempt:?}"
                    );
                    let earlier = self.runs.iter().filter(|run| run.key == key && !run.unsent);
                    assert_eq!(earlier.count(), 0, "key {key} ran before {attempt:?}");
                    self.runs.push(Run { side: at, attempt, key, unsent: false });
                }
                SettlementResult::Lost(_) | SettlementResult::Unsettled => {
                    self.settled_not_run.push(attempt);
                }
                SettlementResult::Late(append) => {
                    assert!(
                        self.settled_not_run.contains(&attempt),
                        "released after a run: {attempt:?}"
                    );
                    self.append(append, AppendFate::Stored);
                }
            }
        }
    }

    fn feed(&mut self, at: usize, offset: u64) {
        if offset < self.oldest || offset > self.log.len() as u64 {
            return;
        }
        let payload = self.log[offset as usize - 1].clone();
        let settlements = self.sides[at].apply(Offset(offset), &payload, self.now);
        self.settle(at, settlements);
    }

    fn read(&mut self, at: usize, count: usize) {
        for _ in 0..count {
            let next = self.sides[at].next_offset(Offset(self.oldest));
            self.feed(at, next.0);
        }
    }

    fn run_index(&self, index: usize) -> Option<usize> {
        (!self.runs.is_empty()).then(|| index % self.runs.len())
    }

    fn run(&mut self, step: &Step) {
        self.now = self.now + std::time::Duration::from_millis(200);
        match *step {
            Step::Begin { side, key: n, append } => {
                let skew = side as u64 * 120_000;
                let begun = self.sides[side].begin(key(n), body(n), self.now, START_MS + skew);
                if let BeginResult::Append { attempt, claim } = begun {
                    self.begun.push((attempt, n));
                    self.append(claim, append);
                }
            }
            Step::Arrive(index) => {
                if !self.delayed.is_empty() {
                    let late = self.delayed.swap_remove(index % self.delayed.len());
                    self.log.push(late.payload);
                }
            }
            Step::Repeat(index) => {
                if let Some(payload) = self.log.get(index).cloned() {
                    self.log.push(payload);
                }
            }
            Step::Read(side, count) => self.read(side, count),
            Step::ReadOutOfOrder(side, offset) => self.feed(side, offset as u64),
            Step::ExpirePending => {
                for at in 0..SIDES {
                    let settlements = self.sides[at].expire_pending(self.now);
                    self.settle(at, settlements);
                }
            }
            Step::Abandon(index) => {
                let ran = |id: &AttemptId| self.runs.iter().any(|run| run.attempt == *id);
                let waiting: Vec<AttemptId> =
                    self.begun.iter().map(|(id, _)| id.clone()).filter(|id| !ran(id)).collect();
                if let Some(attempt) = waiting.get(index) {
                    for side in &mut self.sides {
                        side.abandon(attempt);
                    }
                    self.settled_not_run.push(attempt.clone());
                }
            }
            Step::Finish { run, append } => {
                let Some(run) = self.run_index(run) else { return };
                let (at, attempt) = (self.runs[run].side, self.runs[run].attempt.clone());
                if let Some(record) = self.sides[at].finish(&attempt, outcome("ok")) {
                    self.append(record, append);
                }
            }
            Step::LoseOutcome(run) => {
                if let Some(run) = self.run_index(run) {
                    let (at, attempt) = (self.runs[run].side, self.runs[run].attempt.clone());
                    self.sides[at].note_unknown_outcome(&attempt);
                }
            }
            Step::Release { run, append } => {
                let Some(run) = self.run_index(run) else { return };
                let (at, attempt) = (self.runs[run].side, self.runs[run].attempt.clone());
                if let Some(record) = self.sides[at].release(&attempt) {
                    self.runs[run].unsent = true;
                    self.settled_not_run.push(attempt);
                    self.append(record, append);
                }
            }
            Step::Snapshot { side, append } => {
                if self.sides[side].has_gap() {
                    return;
                }
                for part in self.sides[side].take_snapshot(self.now, START_MS) {
                    self.append(part, append);
                }
            }
            Step::Trim => self.oldest = self.trim_to(),
            Step::Restart(at) => {
                self.incarnations += 1;
                self.sides[at] = side(NAMES[at], self.incarnations);
            }
        }
    }

    /// The log may drop the records that its newest snapshot covers.
    fn trim_to(&self) -> u64 {
        let covered =
            self.log.iter().filter_map(|payload| match once::ClaimRecord::decode(payload) {
                once::DecodedClaim::Record(once::ClaimRecord::Snapshot(part)) => {
                    Some(part.through.0 + 1)
                }
                _ => None,
            });
        covered.max().unwrap_or(1).max(self.oldest)
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed_0002),
        ..Config::default()
    })]

    #[test]
    fn key_runs_at_most_once_and_all_sides_agree(
        steps in proptest::collection::vec(step(), 1..80)
    ) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.run(step);
        }
        // The second pass reads the releases that the first one caused.
        for at in (0..SIDES).chain(0..SIDES) {
            simulation.read(at, simulation.log.len() + SIDES * steps.len() + 1);
        }
        let reference = &simulation.sides[0];
        for at in 1..SIDES {
            prop_assert_eq!(simulation.sides[at].position(), reference.position());
            for n in 0..KEYS {
                let known = |claims: &ClaimLog| {
                    claims.look_up(&key(n), body(n), START_MS).map(|answer| {
                        matches!(answer, once::PriorOutcome::Ran(_))
                    })
                };
                // The side that ran a call may have an outcome whose record was lost.
                let (left, right) = (known(&simulation.sides[at]), known(reference));
                prop_assert_eq!(left.is_some(), right.is_some());
            }
        }
    }
}
