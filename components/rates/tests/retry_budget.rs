//! Retry budget shared by gateways.

use std::time::Duration;

use base::{Incarnation, ProcessId, ProcessName, Timestamp};
use rates::{FleetRetryBudget, RetryBudgetSettings, RetryCounts, RetrySource};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn budget() -> FleetRetryBudget {
    let window = Duration::from_secs(10);
    FleetRetryBudget::new(RetryBudgetSettings { ratio: 0.1, slack: 40.0, window }, at(0))
}

/// A budget with a report of one other gateway at time 0.
fn budget_with_peer(requests: u32, retries: u32) -> FleetRetryBudget {
    let mut budget = budget();
    let peer = ProcessId { name: ProcessName::new("other"), incarnation: Incarnation(1) };
    budget.update_peer(&peer, RetryCounts { requests, retries }, at(0));
    budget
}

fn count_acquired(budget: &mut FleetRetryBudget, gateways: u32, now: Timestamp) -> u32 {
    (0..1_000).map(|_| u32::from(budget.try_acquire(gateways, now).source.is_some())).sum()
}

/// Guards against a fleet in which each gateway spends the whole slack: four gateways that have
/// only their own shares must stay within it together.
#[test]
fn gateways_limited_to_their_own_shares_stay_within_the_slack() {
    let sum: u32 = (0..4).map(|_| count_acquired(&mut budget_with_peer(0, 1_000), 4, at(0))).sum();
    assert!(sum <= 40, "{sum} retries with a slack of 40");
    assert!(sum >= 28, "{sum} retries with a slack of 40");
}

/// Guards against a gateway in front of a failing data centre that stops retrying although the
/// others leave the budget unused.
#[test]
fn unused_budget_of_other_gateways_is_available() {
    let pooled = count_acquired(&mut budget_with_peer(1_000, 0), 10, at(0));
    // 0.6 x (0.1 x 1,000 + 40).
    assert_eq!(pooled, 84);
    assert_eq!(
        count_acquired(&mut budget_with_peer(1_000, 84), 10, at(0)),
        3,
        "only the gateway's own share of the slack is left"
    );
}

/// Guards against log lines that name the wrong part of the budget: retries beyond the gateway's
/// own share come from the pool.
#[test]
fn retry_beyond_the_own_share_is_taken_from_the_pool() {
    let mut budget = budget_with_peer(1_000, 0);
    let sources: Vec<_> =
        (0..85).map(|_| budget.try_acquire(10, at(0)).source.map(RetrySource::as_str)).collect();
    // Own share: 0.85 x 40 / 10; pool: 0.6 x (0.1 x 1,000 + 40).
    assert_eq!(sources[..3], [Some("own_share"); 3]);
    assert_eq!(sources[3..84], [Some("pool"); 81]);
    assert_eq!(sources[84], None);
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
