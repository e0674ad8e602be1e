//! Retry budget shared by gateways.

use std::time::Duration;

use base::{Incarnation, ProcessId, ProcessName, Timestamp};
use rates::{FleetRetryBudget, RetryBudgetSettings, RetryCounts, RetryDecision};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn budget_from(slack_from: Timestamp) -> FleetRetryBudget {
    let window = Duration::from_secs(10);
    FleetRetryBudget::new(RetryBudgetSettings { ratio: 0.1, slack: 40.0, window }, slack_from)
}

fn budget() -> FleetRetryBudget {
    budget_from(at(0))
}

fn process(name: &str, incarnation: u64) -> ProcessId {
    ProcessId { name: ProcessName::new(name), incarnation: Incarnation(incarnation) }
}

/// Reports of nine other gateways, each with the same counts.
fn report_nine(budget: &mut FleetRetryBudget, requests: u32, retries: u32, now: Timestamp) {
    for index in 0..9 {
        let peer = process(&format!("other-{index}"), 1);
        budget.update_peer(&peer, RetryCounts { requests, retries }, now);
    }
}

fn count_acquired(budget: &mut FleetRetryBudget, gateways: u32, now: Timestamp) -> u32 {
    (0..1_000).map(|_| u32::from(budget.try_acquire(gateways, now).allowed)).sum()
}

/// Guards against a fleet in which each gateway spends the whole slack: four gateways that hear
/// nobody must stay within it together.
#[test]
fn gateways_that_hear_nobody_stay_within_the_slack() {
    let sum: u32 = (0..4).map(|_| count_acquired(&mut budget(), 4, at(0))).sum();
    assert!(sum <= 40, "{sum} retries with a slack of 40");
    assert!(sum >= 28, "{sum} retries with a slack of 40");
}

/// Guards against a gateway that takes more than its part before the others can know of it, and
/// against one that stops while the others leave the budget unused.
#[test]
fn part_of_the_unused_budget_is_available_again_and_again() {
    let mut budget = budget();
    report_nine(&mut budget, 100, 0, at(0));
    // A tenth of 0.85 x (0.1 x 900 + 40) = 110.5.
    assert_eq!(count_acquired(&mut budget, 10, at(0)), 11);
    assert_eq!(count_acquired(&mut budget, 10, at(499)), 0);
    // A tenth of 110.5 - 11.
    assert_eq!(count_acquired(&mut budget, 10, at(500)), 9);
}

/// Guards against retries beyond a budget that the other gateways have used up.
#[test]
fn budget_used_up_by_other_gateways_allows_no_retry() {
    let mut budget = budget();
    report_nine(&mut budget, 100, 13, at(0));
    assert_eq!(count_acquired(&mut budget, 10, at(0)), 0);
}

/// Guards against a report of a restarted gateway that hides the retries of its former process,
/// and against requests of the former process that still entitle others to retries.
#[test]
fn retries_of_an_ended_process_stay_counted_for_one_window() {
    let mut budget = budget();
    budget.update_peer(&process("other", 1), RetryCounts { requests: 200, retries: 40 }, at(0));
    budget.update_peer(&process("other", 2), RetryCounts::default(), at(1_000));
    // The slack of 34 less what 200 requests did not cover: 40 - 0.85 x 0.1 x 200 = 23.
    assert!((budget.try_acquire(2, at(1_000)).left - 11.0).abs() < 1e-9);
    budget.update_peer(&process("other", 2), RetryCounts::default(), at(10_000));
    // Without the retry above, which is older than the report delay.
    assert!((budget.try_acquire(2, at(10_000)).left - 33.0).abs() < 1e-9);
}

/// Guards against a new process that spends the slack which its predecessor has spent.
#[test]
fn new_process_uses_the_slack_only_after_one_window() {
    let mut budget = budget_from(at(10_000));
    assert_eq!(count_acquired(&mut budget, 1, at(9_999)), 0);
    assert_eq!(count_acquired(&mut budget, 1, at(10_000)), 34, "0.85 x 40");
}

/// Guards against large fleets with few requests, in which a gateway's part is below one retry:
/// none at all, or one of each gateway at each moment.
#[test]
fn part_below_one_retry_is_allowed_in_a_longer_time() {
    let mut budget = budget();
    // A 68th of 0.85 x 40 is half a retry in 500 ms.
    let left = |budget: &mut FleetRetryBudget, ms: u64| {
        for index in 0..67 {
            budget.update_peer(
                &process(&format!("other-{index}"), 1),
                RetryCounts::default(),
                at(ms),
            );
        }
        count_acquired(budget, 68, at(ms))
    };
    assert_eq!([0, 500, 999, 1_100].map(|ms| left(&mut budget, ms)), [1, 0, 0, 1]);
}

/// Guards against log lines that do not show what a decision was based on.
#[test]
fn decision_tells_what_it_was_based_on() {
    let mut budget = budget();
    budget.record_request(at(0));
    report_nine(&mut budget, 100, 1, at(0));
    assert!(budget.try_acquire(12, at(0)).allowed);
    let RetryDecision { allowed, own, peers, left, reporting } = budget.try_acquire(12, at(0));
    assert!(allowed);
    assert_eq!(own, RetryCounts { requests: 1, retries: 1 });
    assert_eq!(peers, RetryCounts { requests: 900, retries: 9 });
    assert_eq!(reporting, 10);
    // 0.85 x (0.1 x 901 + 40 x 10 / 12) - 9.
    assert!((left - 95.918).abs() < 0.001, "{left}");
}

/// Guards against retries that count for longer or shorter than the window.
#[test]
fn retry_counts_for_the_length_of_the_window() {
    let mut budget = budget();
    for ms in 0..100 {
        budget.record_request(at(ms));
    }
    let first = count_acquired(&mut budget, 1, at(100));
    assert_eq!(first, 42, "0.85 x (0.1 x 100 + 40)");
    assert_eq!(count_acquired(&mut budget, 1, at(10_099)), 0);
    assert_eq!(budget.counts(at(10_099)), RetryCounts { requests: 0, retries: 42 });
    assert_eq!(count_acquired(&mut budget, 1, at(10_100)), 34, "the requests have left the window");
}
