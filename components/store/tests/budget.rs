//! Append budget with given timestamps.

use std::time::Duration;

use base::Timestamp;
use store::AppendBudget;

/// The budget must not admit more than one second's burst plus the rate in any window.
#[test]
fn never_admits_more_than_the_burst_plus_the_rate() {
    let mut budget = AppendBudget::new(20, Timestamp::default());
    let mut admitted = 0;
    for millis in 0..10_000 {
        if budget.try_take(Timestamp::from_millis(millis)).is_ok() {
            admitted += 1;
        }
    }
    assert_eq!(admitted, 20 + 199);
}

#[test]
fn returns_the_exact_time_until_the_next_append() {
    let now = Timestamp::from_millis(5);
    let mut budget = AppendBudget::new(1, now);
    assert_eq!(budget.try_take(now), Ok(()));
    assert_eq!(budget.try_take(now), Err(Duration::from_secs(1)));
    let almost = now + Duration::from_micros(999_999);
    assert_eq!(budget.try_take(almost), Err(Duration::from_micros(1)));
    assert_eq!(budget.try_take(now + Duration::from_secs(1)), Ok(()));
}
