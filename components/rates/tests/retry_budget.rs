//! The budget of retries that gateways share.

use std::time::Duration;

use base::Timestamp;
use rates::{FleetRetryBudget, RetryBudgetSettings, RetryCounts};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn budget() -> FleetRetryBudget {
    FleetRetryBudget::new(RetryBudgetSettings {
        ratio: 0.1,
        slack: 40.0,
        window: Duration::from_secs(10),
    })
}

fn taken(budget: &mut FleetRetryBudget, gateways: u32, peers: RetryCounts, now: Timestamp) -> u32 {
    (0..1_000).map(|_| u32::from(budget.try_acquire(gateways, peers, now))).sum()
}

/// Guards against a fleet whose gateways each spend the whole slack: four that hear nothing of each other
/// stay within it.
#[test]
fn gateways_that_hear_nothing_of_each_other_stay_within_the_slack() {
    let alone = RetryCounts { requests: 0, retries: 1_000 };
    let sum: u32 = (0..4).map(|_| taken(&mut budget(), 4, alone, at(0))).sum();
    assert!(sum <= 40, "{sum} retries with a slack of 40");
    assert!(sum >= 28, "{sum} retries with a slack of 40");
}

/// Guards against a gateway in front of a failing data centre that gives up while the others use nothing.
#[test]
fn what_others_leave_unused_may_be_used() {
    let idle = RetryCounts { requests: 1_000, retries: 0 };
    let pooled = taken(&mut budget(), 10, idle, at(0));
    // 0.6 of (0.1 x 1,000 + 40).
    assert_eq!(pooled, 84);
    let busy = RetryCounts { requests: 1_000, retries: 84 };
    assert_eq!(taken(&mut budget(), 10, busy, at(0)), 3, "only its own part of the slack is left");
}

/// Guards against sends that count for longer than the window, or shorter.
#[test]
fn a_send_counts_for_the_window() {
    let mut budget = budget();
    let peers = RetryCounts::default();
    for ms in 0..100 {
        budget.record_request(at(ms));
    }
    let first = taken(&mut budget, 1, peers, at(100));
    assert_eq!(first, 42, "0.85 of (0.1 x 100 + 40)");
    assert_eq!(taken(&mut budget, 1, peers, at(10_099)), 0);
    assert_eq!(budget.counts(at(10_099)), RetryCounts { requests: 0, retries: 42 });
    assert_eq!(taken(&mut budget, 1, peers, at(10_100)), 34, "the requests are out of the window");
}
