//! Gaps that long prompts cause in the streams that run at the same engine.

use std::time::Duration;

use routing::PrefillGaps;

/// Guards against chats whose events are late because several long prompts were sent to their engine
/// at once. Load: prompts of 240 ms beside ten chats that accept gaps of 600 ms; a second engine with
/// a longer way to the first event must be cheaper than the third prompt in a row.
#[test]
fn a_row_of_long_prompts_costs_more_than_another_engine() {
    let gaps = PrefillGaps::new(Duration::from_millis(600));
    assert_eq!(gaps.cost_ms(240.0, 10), 0.0);
    assert!(gaps.cost_ms(480.0, 10) > 240.0, "{}", gaps.cost_ms(480.0, 10));
    assert!(gaps.cost_ms(720.0, 10) > 2.0 * 240.0, "{}", gaps.cost_ms(720.0, 10));
}

/// Guards against a backlog that counts more the longer it is: streams that are late already lose
/// nothing further.
#[test]
fn the_cost_of_a_backlog_is_bounded_by_the_streams() {
    let gaps = PrefillGaps::new(Duration::from_millis(400));
    assert_eq!(gaps.late_share(10_000.0), 1.0);
    assert_eq!(gaps.cost_ms(10_000.0, 3), gaps.cost_ms(5_000.0, 3));
}

/// Guards against the same tolerance for callers with different gap objectives.
#[test]
fn callers_with_a_shorter_gap_objective_tolerate_a_shorter_backlog() {
    let short = PrefillGaps::new(Duration::from_millis(200));
    let long = PrefillGaps::new(Duration::from_millis(800));
    assert!(short.late_share(300.0) > 0.0);
    assert_eq!(long.late_share(300.0), 0.0);
}
