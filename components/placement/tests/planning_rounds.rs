//! Rounds of a planner whose process stands still.

use base::Timestamp;
use placement::PlanningRounds;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Guards against a planner that wakes and plans loads from states that were sent before or during its
/// standstill: loads that another planner ordered meanwhile don't count in the weight store's limit.
#[test]
fn a_planner_that_stood_still_waits_for_new_states() {
    let mut rounds = PlanningRounds::default();
    for ms in (0..1_000).step_by(125) {
        assert!(!rounds.record(at(ms)) && !rounds.is_view_outdated(at(ms)));
    }
    assert!(rounds.record(at(8_000)));
    for ms in (8_000..8_900).step_by(125) {
        rounds.record(at(ms));
        assert!(rounds.is_view_outdated(at(ms)), "{ms}");
    }
    assert!(!rounds.record(at(8_900)) && !rounds.is_view_outdated(at(8_900)));
}

/// Guards against a planner that never settles on a busy machine, whose rounds are late.
#[test]
fn late_rounds_are_no_standstill() {
    let mut rounds = PlanningRounds::default();
    for ms in (0..10_000).step_by(900) {
        assert!(!rounds.record(at(ms)) && !rounds.is_view_outdated(at(ms)));
    }
}
