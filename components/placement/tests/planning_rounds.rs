//! Rounds of a planner that is stopped or cut off for a while.

use base::Timestamp;
use placement::PlanningRounds;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Guards against a planner that wakes and plans loads from states that were sent before or while it was
/// stopped: loads that another planner ordered meanwhile don't count in the weight store's limit.
#[test]
fn a_planner_that_was_stopped_waits_for_new_states() {
    let mut rounds = PlanningRounds::default();
    for ms in (0..1_000).step_by(125) {
        rounds.record(Some(at(ms)), at(ms));
        assert!(!rounds.is_view_outdated(at(ms)));
    }
    for ms in (8_000..8_900).step_by(125) {
        rounds.record(Some(at(ms)), at(ms));
        assert!(rounds.is_view_outdated(at(ms)), "{ms}");
    }
    rounds.record(Some(at(8_900)), at(8_900));
    assert!(!rounds.is_view_outdated(at(8_900)));
}

/// Guards against a planner that was cut off and, as soon as it is heard again, plans loads beside those
/// that another planner ordered meanwhile.
#[test]
fn a_planner_that_was_cut_off_waits_for_new_states() {
    let mut rounds = PlanningRounds::default();
    for ms in (0..8_000).step_by(125) {
        rounds.record(Some(at(ms.min(1_000))), at(ms));
        assert_eq!(rounds.is_view_outdated(at(ms)), ms >= 2_000, "{ms}");
    }
    for ms in (8_000..8_750).step_by(125) {
        rounds.record(Some(at(ms)), at(ms));
        assert!(rounds.is_view_outdated(at(ms)), "{ms}");
    }
    rounds.record(Some(at(8_875)), at(8_875));
    assert!(!rounds.is_view_outdated(at(8_875)));
}

/// Guards against a planner that never settles: on a busy machine, whose rounds are late, or where there
/// is nobody to be heard.
#[test]
fn late_rounds_and_missing_peers_are_no_gap() {
    let mut rounds = PlanningRounds::default();
    for ms in (0..10_000).step_by(900) {
        rounds.record(None, at(ms));
        assert!(!rounds.is_view_outdated(at(ms)));
    }
}
