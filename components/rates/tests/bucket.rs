//! Levels, refunds and rate changes of a bucket.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

mod support;

use std::time::Duration;

use base::{SortedMap, Timestamp, Tokens};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use rates::{Bucket, MicroTokens, Share};
use support::{Debit, ShareInForce, check_windows};

const SEED: u64 = 4_202;
const START: Share = Share { rate_tokens_per_s: 7, cap_tokens: 30 };

#[derive(Clone, Debug)]
enum Op {
    Advance { micros: u64 },
    Take { tokens: u64 },
    Settle { which: usize, used_percent: u64 },
    SetShare { rate: u64, cap: u64 },
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        3 => (0..4_000_000u64).prop_map(|micros| Op::Advance { micros }),
        4 => (1..40u64).prop_map(|tokens| Op::Take { tokens }),
        4 => (0..8usize, 0..=100u64)
            .prop_map(|(which, used_percent)| Op::Settle { which, used_percent }),
        1 => (0..20u64, 0..50u64).prop_map(|(rate, cap)| Op::SetShare { rate, cap }),
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

/// Operations of the bucket under test, either the real one or a naive one.
trait BucketOps {
    fn take(&mut self, number: u64, wanted: Tokens, now: Timestamp) -> Option<Tokens>;
    fn settle(&mut self, number: u64, used: Tokens, now: Timestamp);
    fn set_share(&mut self, share: Share, now: Timestamp);
    fn level(&mut self, now: Timestamp) -> u128;
}

impl BucketOps for Bucket {
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

/// Bound on the refunds of the naive bucket.
#[derive(Clone, Copy)]
enum NaiveRefund {
    /// The cap only.
    CapOnly,
    /// The smallest headroom since the reservation, not corrected for other refunds.
    UncorrectedMinimum,
}

struct NaiveBucket {
    share: Share,
    level: u128,
    at: Timestamp,
    refund: NaiveRefund,
    /// Micro-tokens and smallest headroom since the reservation, by number.
    open: SortedMap<u64, (u128, u128)>,
}

impl NaiveBucket {
    fn new(refund: NaiveRefund) -> Self {
        let level = u128::from(START.cap_tokens) * 1_000_000;
        Self { share: START, level, at: Timestamp::default(), refund, open: SortedMap::new() }
    }
    fn cap(&self) -> u128 {
        u128::from(self.share.cap_tokens) * 1_000_000
    }
    fn record_headroom(&mut self) {
        let headroom = self.cap() - self.level;
        self.open
            .values_mut()
            .for_each(|(_, min_headroom)| *min_headroom = (*min_headroom).min(headroom));
    }
}

impl BucketOps for NaiveBucket {
    fn take(&mut self, number: u64, wanted: Tokens, now: Timestamp) -> Option<Tokens> {
        let available = u64::try_from(self.level(now) / 1_000_000).unwrap();
        let tokens = wanted.0.min(available);
        let micros = u128::from(tokens) * 1_000_000;
        self.level -= micros;
        self.open.insert(number, (micros, self.cap() - self.level));
        (tokens > 0).then_some(Tokens(tokens))
    }
    fn settle(&mut self, number: u64, used: Tokens, now: Timestamp) {
        self.level(now);
        let Some((micros, min_headroom)) = self.open.remove(&number) else { return };
        let spare = micros - u128::from(used.0) * 1_000_000;
        let bound = match self.refund {
            NaiveRefund::CapOnly => self.cap() - self.level,
            NaiveRefund::UncorrectedMinimum => min_headroom,
        };
        self.level += spare.min(bound);
        self.record_headroom();
    }
    fn set_share(&mut self, share: Share, now: Timestamp) {
        self.level(now);
        self.share = share;
        self.level = self.level.min(self.cap());
        self.record_headroom();
    }
    fn level(&mut self, now: Timestamp) -> u128 {
        let accrued = now.since(self.at).as_micros() * u128::from(self.share.rate_tokens_per_s);
        self.level = (self.level + accrued).min(self.cap());
        self.at = now;
        self.record_headroom();
        self.level
    }
}

#[derive(Clone, Copy)]
enum Event {
    Debit { number: u64 },
    SetShare { share: Share },
}

struct RunState {
    events: Vec<(Timestamp, Event)>,
    taken: SortedMap<u64, Debit>,
    in_force: Vec<ShareInForce>,
    now: Timestamp,
}

impl RunState {
    /// Returns the level of a bucket from which only the amounts that count as taken now were
    /// taken.
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
                Event::SetShare { share: new } => {
                    share = *new;
                    level = level.min(u128::from(share.cap_tokens) * 1_000_000);
                }
            }
        }
        refill(level, share, at, self.now)
    }
}

fn run_ops(
    bucket: &mut impl BucketOps,
    ops: &[Op],
    mut after_each: impl FnMut(&RunState, u128),
) -> RunState {
    let mut run = RunState {
        events: Vec::new(),
        taken: SortedMap::new(),
        in_force: vec![ShareInForce { from: Timestamp::default(), share: START }],
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
            Op::SetShare { rate, cap } => {
                let share = Share { rate_tokens_per_s: rate, cap_tokens: cap };
                bucket.set_share(share, run.now);
                run.events.push((run.now, Event::SetShare { share }));
                run.in_force.push(ShareInForce { from: run.now, share });
            }
        }
        let level = bucket.level(run.now);
        after_each(&run, level);
    }
    run
}

fn check_run(bucket: &mut impl BucketOps, ops: &[Op]) -> Result<(), String> {
    let run = run_ops(bucket, ops, |_, _| {});
    let debits: Vec<Debit> = run.taken.values().copied().collect();
    check_windows(&debits, &run.in_force)
}

/// Guards against drift, wrong refills, and refunds that are too large or too small.
#[test]
fn level_equals_that_of_taking_only_the_used_amounts() {
    TestRunner::new(config(2_000))
        .run(&ops(), |ops| {
            let mut bucket = Bucket::full(START, Timestamp::default());
            let mut failure = None;
            run_ops(&mut bucket, &ops, |run, level| {
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
fn no_window_admits_more_than_burst_plus_rate() {
    TestRunner::new(config(2_000))
        .run(&ops(), |ops| {
            check_run(&mut Bucket::full(START, Timestamp::default()), &ops)
                .map_err(TestCaseError::fail)
        })
        .unwrap();
}

/// Verifies that the check can fail: refunds bounded only by the cap admit too much.
#[test]
fn check_detects_refunds_bounded_only_by_the_cap() {
    let result = TestRunner::new(config(2_000)).run(&ops(), |ops| {
        check_run(&mut NaiveBucket::new(NaiveRefund::CapOnly), &ops).map_err(TestCaseError::fail)
    });
    assert!(result.is_err(), "seed {SEED}: the naive bucket passed");
}

/// Verifies that the check can fail: with headroom minima that other refunds don't lower, two
/// overlapping reservations are refunded for the same refill.
#[test]
fn check_detects_minima_that_ignore_other_refunds() {
    let result = TestRunner::new(config(20_000)).run(&ops(), |ops| {
        check_run(&mut NaiveBucket::new(NaiveRefund::UncorrectedMinimum), &ops)
            .map_err(TestCaseError::fail)
    });
    assert!(result.is_err(), "seed {SEED}: the naive bucket passed");

    // Smallest case, at 1 token per second and a cap of 30: two reservations of 5 are open while
    // the bucket refills by 5, then 20 are taken, and both reservations are refunded in full. The
    // naive bucket then has 15 tokens.
    let share = Op::SetShare { rate: 1, cap: 30 };
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
    assert!(check_run(&mut NaiveBucket::new(NaiveRefund::UncorrectedMinimum), &case).is_err());
    assert_eq!(check_run(&mut Bucket::full(START, Timestamp::default()), &case), Ok(()));
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
fn duplicate_settlement_refunds_once() {
    let mut bucket = Bucket::full(START, Timestamp::default());
    let now = Timestamp::default();
    assert_eq!(bucket.take(1, Tokens(20), now), Some(Tokens(20)));
    assert_eq!(bucket.settle(1, Tokens(5), now), Some(MicroTokens(15_000_000)));
    assert_eq!(bucket.settle(1, Tokens(0), now), None);
    assert_eq!(bucket.settle(7, Tokens(0), now), None);
    assert_eq!(bucket.level(now), MicroTokens(25_000_000));
}

/// Usage beyond the reservation must be repaid before anything else is granted.
#[test]
fn usage_beyond_the_reservation_leaves_a_debt() {
    let mut bucket = Bucket::full(START, Timestamp::default());
    let now = Timestamp::default();
    bucket.take(1, Tokens(30), now);
    bucket.settle(1, Tokens(37), now);
    assert_eq!(bucket.time_until(Tokens(7), now), Some(Duration::from_secs(2)));
    assert_eq!(bucket.take(2, Tokens(1), now + Duration::from_secs(1)), None);
    assert_eq!(bucket.take(3, Tokens(9), now + Duration::from_secs(2)), Some(Tokens(7)));
}

/// Guards against unbounded memory use by reservations that their requesters never settle.
#[test]
fn unsettled_reservations_are_dropped_without_a_refund() {
    let share = Share { rate_tokens_per_s: 1_000, cap_tokens: 1_000 };
    let mut bucket = Bucket::full(share, Timestamp::default());
    let mut now = Timestamp::default();
    for number in 0..20_000 {
        now = now + Duration::from_millis(200);
        bucket.take(number, Tokens(1), now);
    }
    assert!(
        bucket.open_reservations() <= 5_000,
        "{} reservations kept",
        bucket.open_reservations()
    );
}
