//! Retry decisions, retry budget, backoff delays and deadlines per hop.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::time::Duration;

use base::{ExecutionState, Timestamp, seeded_rng};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use routing::{
    Backoff, CallKind, Failure, RetryBudget, RetryDecision, remaining_for_hop, retry_decision,
};
use wire::RefuseReason;

const SEED: u64 = 4_222;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Invariants I8 and I9: a call that must not run twice is never retried after it may have run,
/// unless its claim prevents a second run, and a refused call is never reported as possibly run.
#[test]
fn calls_are_retried_only_if_they_did_not_run_or_may_run_again() {
    use RetryDecision::{EndNotRun, EndRan, EndUnknown, TryAnother};
    let rows = [
        (Failure::NotSent, [TryAnother; 3]),
        (Failure::Failed(ExecutionState::NotRun), [TryAnother; 3]),
        (Failure::Failed(ExecutionState::Unknown), [TryAnother, EndUnknown, EndUnknown]),
        (Failure::Failed(ExecutionState::Ran), [TryAnother, EndRan, EndRan]),
        (Failure::NoAnswer, [TryAnother, TryAnother, EndUnknown]),
        (Failure::Mismatched, [TryAnother, TryAnother, EndUnknown]),
        (Failure::Refused(RefuseReason::Draining), [TryAnother; 3]),
        (Failure::Refused(RefuseReason::NoCapacity), [TryAnother; 3]),
        (Failure::Refused(RefuseReason::QueueFull), [TryAnother; 3]),
        (Failure::Refused(RefuseReason::TargetUnhealthy), [TryAnother; 3]),
        (Failure::Refused(RefuseReason::Unknown), [TryAnother; 3]),
        (Failure::Refused(RefuseReason::ClaimUnsettled), [EndNotRun; 3]),
        (Failure::Refused(RefuseReason::DeadlineTooShort), [EndNotRun; 3]),
        (Failure::Refused(RefuseReason::IdempotencyMismatch), [EndNotRun; 3]),
        (Failure::Refused(RefuseReason::LogUnavailable), [EndNotRun; 3]),
    ];
    let kinds = [CallKind::Repeatable, CallKind::AtMostOnceKeyed, CallKind::AtMostOnce];
    for (failure, decisions) in rows {
        for (kind, expected) in kinds.into_iter().zip(decisions) {
            assert_eq!(retry_decision(kind, failure), expected, "{kind:?} {failure:?}");
        }
    }
}

/// Guards against retries that multiply the load on a failing fleet: at any time their number stays
/// within the share of requests plus the fixed rate, including one second of it at the start.
#[test]
fn retries_stay_within_the_budget() {
    let steps = prop::collection::vec((0..300u64, 0..40u32, 0..20u32), 1..200);
    let config = ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    };
    TestRunner::new(config)
        .run(&steps, |steps| {
            let mut budget = RetryBudget::new(10, 3, at(0));
            let (mut now, mut requests, mut retries) = (0, 0, 0);
            for (wait_ms, new, tries) in steps {
                now += wait_ms;
                requests += u64::from(new);
                (0..new).for_each(|_| budget.record_request());
                retries += (0..tries).filter(|_| budget.try_spend(at(now))).count() as u64;
                prop_assert!(retries * 1_000 <= requests * 100 + now * 3 + 3_000);
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against a service with few requests that can't retry.
#[test]
fn fixed_rate_is_always_available() {
    let mut budget = RetryBudget::new(10, 3, at(0));
    let spent = |budget: &mut RetryBudget, ms| (0..10).filter(|_| budget.try_spend(at(ms))).count();
    assert_eq!(spent(&mut budget, 0), 3);
    assert_eq!(spent(&mut budget, 333), 0);
    assert_eq!(spent(&mut budget, 1_000), 3);
    assert_eq!(spent(&mut budget, 100_000), 3);
}

#[test]
fn delays_are_jittered_over_the_whole_range_and_bounded() {
    let mut rng = seeded_rng(SEED);
    let backoff = Backoff::default();
    for (retry, bound_ms) in [(0, 20), (1, 40), (3, 160), (6, 1_000), (40, 1_000)] {
        let bound = Duration::from_millis(bound_ms);
        let delays: Vec<Duration> = (0..500).map(|_| backoff.delay(retry, &mut rng)).collect();
        assert!(delays.iter().all(|d| *d <= bound));
        assert!(
            delays.iter().any(|d| *d < bound / 10) && delays.iter().any(|d| *d > bound * 9 / 10)
        );
    }
}

#[test]
fn deadlines_shrink_at_each_hop() {
    let deadline = at(10_000);
    assert_eq!(remaining_for_hop(deadline, at(0)), Some(Duration::from_millis(9_800)));
    assert_eq!(remaining_for_hop(deadline, at(9_990)), Some(Duration::from_millis(8)));
    assert_eq!(remaining_for_hop(deadline, at(9_998)), None);
    assert_eq!(remaining_for_hop(deadline, at(11_000)), None);
}
