//! Retry budgets of several services.

use std::time::Duration;

use base::{Incarnation, ProcessId, ProcessName, Timestamp};
use compact_str::CompactString;
use rates::{RetryBudgetSettings, RetryBudgets};

const SETTINGS: RetryBudgetSettings =
    RetryBudgetSettings { ratio: 0.2, slack: 40.0, window: Duration::from_secs(10) };

fn budgets(first_start: bool) -> RetryBudgets {
    let mut budgets = RetryBudgets::new(SETTINGS, first_start);
    ["a", "b"].into_iter().for_each(|name| budgets.add_service(&CompactString::new(name)));
    budgets
}

fn left(budgets: &mut RetryBudgets, service: &str, now: Timestamp) -> Option<f64> {
    budgets.try_acquire(service, 1, now).map(|decision| decision.left)
}

/// Guards against changed bounds that reach a budget in use only after a restart.
#[test]
fn changed_settings_reach_a_budget_in_use() {
    let now = Timestamp::default();
    let mut budgets = budgets(true);
    assert_eq!(left(&mut budgets, "a", now), Some(34.0));
    budgets.set_settings(RetryBudgetSettings { slack: 20.0, ..SETTINGS });
    budgets.add_service(&CompactString::new("a"));
    budgets.add_service(&CompactString::new("c"));
    assert_eq!(left(&mut budgets, "a", now), Some(17.0));
    assert_eq!(left(&mut budgets, "c", now), Some(17.0));
}

/// Guards against slack that a restarted process uses at once.
#[test]
fn slack_is_used_at_once_only_on_the_first_start() {
    let mut budgets = budgets(false);
    assert_eq!(left(&mut budgets, "a", Timestamp::from_millis(9_999)), Some(0.0));
    assert_eq!(left(&mut budgets, "a", Timestamp::from_millis(10_000)), Some(34.0));
}

/// Guards against reports that are taken for those of another service.
#[test]
fn reports_count_for_their_service_only() {
    let now = Timestamp::default();
    let (mut here, mut there) = (budgets(true), budgets(true));
    (0..10).for_each(|_| there.record_request("b", now));
    let peer = ProcessId { name: ProcessName::new("other"), incarnation: Incarnation(1) };
    here.update_peer(&peer, &there.reports(now), now);
    assert_eq!(left(&mut here, "a", now), Some(34.0));
    assert_eq!(left(&mut here, "b", now), Some(35.7));
    assert_eq!(left(&mut here, "unknown", now), None);
}
