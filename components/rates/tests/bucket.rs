//! Levels, refunds and changes of rate of one bucket.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

mod support;

use std::time::Duration;

use base::{SortedMap, Timestamp, Tokens};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use rates::{Bucket, MicroTokens, Share};
use support::{Debit, InForce, check_windows};

const SEED: u64 = 4_202;
const START: Share = Share { rate_tokens_per_s: 7, cap_tokens: 30 };

#[derive(Clone, Debug)]
enum Op {
    Advance { micros: u64 },
    Take { tokens: u64 },
    Settle { which: usize, used_percent: u64 },
    Reshape { rate: u64, cap: u64 },
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        3 => (0..4_000_000u64).prop_map(|micros| Op::Advance { micros }),
        4 => (1..40u64).prop_map(|tokens| Op::Take { tokens }),
        4 => (0..8usize, 0..=100u64)
            .prop_map(|(which, used_percent)| Op::Settle { which, used_percent }),
        1 => (0..20u64, 0..50u64).prop_map(|(rate, cap)| Op::Reshape { rate, cap }),
    ];
    prop::collection::vec(op, 1..120)
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

/// What the tests drive: the real bucket or a naive one.
trait Drive {
    fn take(&mut self, number: u64, wanted: Tokens, now: Timestamp) -> Option<Tokens>;
    fn settle(&mut self, number: u64, used: Tokens, now: Timestamp);
    fn set_share(&mut self, share: Share, now: Timestamp);
    fn level(&mut self, now: Timestamp) -> u128;
}

impl Drive for Bucket {
    fn take(&mut self, number: u64, wanted: Tokens, now: Timestamp) -> Option<Tokens> {
        Bucket::take(self, number, wanted, now)
    }
    fn settle(&mut self, number: u64, used: Tokens, now: Timestamp) {
        Bucket::settle(self, number, used, now);
    }
    fn set_share(&mut self, share: Share, now: Timestamp) {
        Bucket::set_share(self, share, now);
    }
    fn level(&mut self, now: Timestamp) -> u128 {
        Bucket::level(self, now).0
    }
}

/// How a naive bucket bounds refunds.
#[derive(Clone, Copy)]
enum NaiveRefund {
    /// Only by the cap.
    Whole,
    /// By the smallest headroom since the reservation, without correcting it for other refunds.
    UncorrectedMinima,
}

struct Naive {
    share: Share,
    level: u128,
    at: Timestamp,
    refund: NaiveRefund,
    /// Tokens and smallest headroom since, by number.
    open: SortedMap<u64, (u128, u128)>,
}

impl Naive {
    fn new(refund: NaiveRefund) -> Self {
        let level = u128::from(START.cap_tokens) * 1_000_000;
        Self { share: START, level, at: Timestamp::default(), refund, open: SortedMap::new() }
    }
    fn cap(&self) -> u128 {
        u128::from(self.share.cap_tokens) * 1_000_000
    }
    fn note(&mut self) {
        let headroom = self.cap() - self.level;
        self.open.values_mut().for_each(|(_, least)| *least = (*least).min(headroom));
    }
}

impl Drive for Naive {
    fn take(&mut self, number: u64, wanted: Tokens, now: Timestamp) -> Option<Tokens> {
        let there = u64::try_from(self.level(now) / 1_000_000).unwrap();
        let tokens = wanted.0.min(there);
        let micros = u128::from(tokens) * 1_000_000;
        self.level -= micros;
        self.open.insert(number, (micros, self.cap() - self.level));
        (tokens > 0).then_some(Tokens(tokens))
    }
    fn settle(&mut self, number: u64, used: Tokens, now: Timestamp) {
        self.level(now);
        let Some((micros, least)) = self.open.remove(&number) else { return };
        let spare = micros - u128::from(used.0) * 1_000_000;
        let bound = match self.refund {
            NaiveRefund::Whole => self.cap() - self.level,
            NaiveRefund::UncorrectedMinima => least,
        };
        self.level += spare.min(bound);
        self.note();
    }
    fn set_share(&mut self, share: Share, now: Timestamp) {
        self.level(now);
        self.share = share;
        self.level = self.level.min(self.cap());
        self.note();
    }
    fn level(&mut self, now: Timestamp) -> u128 {
        let accrued = now.since(self.at).as_micros() * u128::from(self.share.rate_tokens_per_s);
        self.level = (self.level + accrued).min(self.cap());
        self.at = now;
        self.note();
        self.level
    }
}

#[derive(Clone, Copy)]
enum Event {
    Debit { number: u64 },
    Reshape { share: Share },
}

struct Run {
    events: Vec<(Timestamp, Event)>,
    taken: SortedMap<u64, Debit>,
    in_force: Vec<InForce>,
    now: Timestamp,
}

impl Run {
    /// Level of a bucket from which only what counts as taken now was ever taken.
    fn reference_level(&self) -> u128 {
        let mut share = START;
        let mut level = u128::from(share.cap_tokens) * 1_000_000;
        let mut at = Timestamp::default();
        let refill = |level: u128, share: Share, from: Timestamp, to: Timestamp| {
            let accrued = to.since(from).as_micros() * u128::from(share.rate_tokens_per_s);
            (level + accrued).min(u128::from(share.cap_tokens) * 1_000_000)
        };
        for (time, event) in &self.events {
            level = refill(level, share, at, *time);
            at = *time;
            match event {
                Event::Debit { number } => {
                    level = level.checked_sub(self.taken.get(number).unwrap().micros).unwrap();
                }
                Event::Reshape { share: new } => {
                    share = *new;
                    level = level.min(u128::from(share.cap_tokens) * 1_000_000);
                }
            }
        }
        refill(level, share, at, self.now)
    }
}

fn drive(bucket: &mut impl Drive, ops: &[Op], mut after_each: impl FnMut(&Run, u128)) -> Run {
    let mut run = Run {
        events: Vec::new(),
        taken: SortedMap::new(),
        in_force: vec![InForce { from: Timestamp::default(), share: START }],
        now: Timestamp::default(),
    };
    let mut open: Vec<(u64, u64)> = Vec::new();
    for (number, op) in (0u64..).zip(ops) {
        match *op {
            Op::Advance { micros } => run.now = run.now + Duration::from_micros(micros),
            Op::Take { tokens } => {
                if let Some(granted) = bucket.take(number, Tokens(tokens), run.now) {
                    let micros = u128::from(granted.0) * 1_000_000;
                    run.taken.insert(number, Debit { at: run.now, micros });
                    run.events.push((run.now, Event::Debit { number }));
                    open.push((number, granted.0));
                }
            }
            Op::Settle { which, used_percent } if !open.is_empty() => {
                let (number, tokens) = open.remove(which % open.len());
                let used = tokens * used_percent / 100;
                bucket.settle(number, Tokens(used), run.now);
                run.taken.get_mut(&number).unwrap().micros = u128::from(used) * 1_000_000;
            }
            Op::Settle { .. } => {}
            Op::Reshape { rate, cap } => {
                let share = Share { rate_tokens_per_s: rate, cap_tokens: cap };
                bucket.set_share(share, run.now);
                run.events.push((run.now, Event::Reshape { share }));
                run.in_force.push(InForce { from: run.now, share });
            }
        }
        let level = bucket.level(run.now);
        after_each(&run, level);
    }
    run
}

fn check(bucket: &mut impl Drive, ops: &[Op]) -> Result<(), String> {
    let run = drive(bucket, ops, |_, _| {});
    let debits: Vec<Debit> = run.taken.values().copied().collect();
    check_windows(&debits, &run.in_force)
}

/// Guards against drift, wrong refills, and refunds that give too much or too little.
#[test]
fn level_is_what_it_would_be_had_only_the_used_amounts_been_taken() {
    TestRunner::new(config(2_000))
        .run(&ops(), |ops| {
            let mut bucket = Bucket::full(START, Timestamp::default());
            let mut failure = None;
            drive(&mut bucket, &ops, |run, level| {
                let expected = run.reference_level();
                if level != expected && failure.is_none() {
                    failure = Some(format!("level {level}, expected {expected}"));
                }
            });
            failure.map_or(Ok(()), |text| Err(TestCaseError::fail(text)))
        })
        .unwrap();
}

#[test]
fn no_window_admits_more_than_burst_and_rate() {
    TestRunner::new(config(2_000))
        .run(&ops(), |ops| {
            check(&mut Bucket::full(START, Timestamp::default()), &ops).map_err(TestCaseError::fail)
        })
        .unwrap();
}

/// The oracle must be able to fail: a refund bounded only by the cap admits too much.
#[test]
fn oracle_catches_refunds_without_the_headroom_rule() {
    let caught = TestRunner::new(config(2_000)).run(&ops(), |ops| {
        check(&mut Naive::new(NaiveRefund::Whole), &ops).map_err(TestCaseError::fail)
    });
    assert!(caught.is_err(), "seed {SEED}: the naive bucket passed");
}

/// Minima of the headroom that are not lowered by other refunds let two overlapping reservations be
/// refunded for the same refill.
#[test]
fn oracle_catches_minima_that_ignore_other_refunds() {
    let caught = TestRunner::new(config(20_000)).run(&ops(), |ops| {
        check(&mut Naive::new(NaiveRefund::UncorrectedMinima), &ops).map_err(TestCaseError::fail)
    });
    assert!(caught.is_err(), "seed {SEED}: the naive bucket passed");

    // The smallest case: at 1 token a second and a cap of 30, two reservations of 5 are open while the
    // bucket refills by 5; 20 are taken; both are refunded in full, and 15 more are there.
    let share = Op::Reshape { rate: 1, cap: 30 };
    let case = [
        share,
        Op::Take { tokens: 5 },
        Op::Take { tokens: 5 },
        Op::Advance { micros: 5_000_000 },
        Op::Take { tokens: 20 },
        Op::Settle { which: 0, used_percent: 0 },
        Op::Settle { which: 0, used_percent: 0 },
        Op::Take { tokens: 40 },
    ];
    assert!(check(&mut Naive::new(NaiveRefund::UncorrectedMinima), &case).is_err());
    assert_eq!(check(&mut Bucket::full(START, Timestamp::default()), &case), Ok(()));
}

#[test]
fn fractions_of_a_token_add_up_exactly() {
    let share = Share { rate_tokens_per_s: 3, cap_tokens: 1_000_000 };
    let mut bucket = Bucket::empty(share, Timestamp::default());
    let mut now = Timestamp::default();
    for _ in 0..1_000_000 {
        now = now + Duration::from_micros(7);
        bucket.level(now);
    }
    assert_eq!(bucket.level(now), MicroTokens(21_000_000));
}

#[test]
fn a_settlement_that_comes_twice_refunds_once() {
    let mut bucket = Bucket::full(START, Timestamp::default());
    let now = Timestamp::default();
    assert_eq!(bucket.take(1, Tokens(20), now), Some(Tokens(20)));
    assert_eq!(bucket.settle(1, Tokens(5), now), Some(MicroTokens(15_000_000)));
    assert_eq!(bucket.settle(1, Tokens(0), now), None);
    assert_eq!(bucket.settle(7, Tokens(0), now), None);
    assert_eq!(bucket.level(now), MicroTokens(25_000_000));
}

/// More used than reserved must be paid back before anything else is granted.
#[test]
fn excess_use_leaves_a_debt() {
    let mut bucket = Bucket::full(START, Timestamp::default());
    let now = Timestamp::default();
    bucket.take(1, Tokens(30), now);
    bucket.settle(1, Tokens(37), now);
    assert_eq!(bucket.time_until(Tokens(7), now), Some(Duration::from_secs(2)));
    assert_eq!(bucket.take(2, Tokens(1), now + Duration::from_secs(1)), None);
    assert_eq!(bucket.take(3, Tokens(9), now + Duration::from_secs(2)), Some(Tokens(7)));
}

/// Reservations whose requester never settles must not keep memory for ever.
#[test]
fn unsettled_reservations_are_forgotten_without_a_refund() {
    let share = Share { rate_tokens_per_s: 1_000, cap_tokens: 1_000 };
    let mut bucket = Bucket::full(share, Timestamp::default());
    let mut now = Timestamp::default();
    for number in 0..20_000 {
        now = now + Duration::from_millis(200);
        bucket.take(number, Tokens(1), now);
    }
    assert!(bucket.open_reservations() <= 5_000, "{} kept", bucket.open_reservations());
}
