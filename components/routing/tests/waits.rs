//! Admission, waits, timeouts, health and the estimates learned from responses.

use std::time::Duration;

use base::Timestamp;
use proptest::prelude::*;
use routing::{
    Admission, LatencyObjectives, LoadWait, PrefillEstimator, PrefixCacheEstimate, PrefixLink,
    Slack, TargetHealth, TargetOutcome, TargetRange, admit, wait_for_model, waits_for_adapter,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn slack(objective_ms: u64, deadline_ms: u64, priority: u8) -> Slack {
    Slack { objective: ms(objective_ms), deadline: ms(deadline_ms), priority }
}

/// Covers a queue that is longer than callers wait: requests that can't meet their deadline are
/// refused immediately, and requests that miss their objective are less urgent than those that can
/// meet it.
#[test]
fn unreachable_deadlines_are_refused_and_late_requests_are_least_urgent() {
    assert_eq!(admit(50.0, slack(500, 3_000, 0)), Admission::Send { urgency: 2 });
    assert_eq!(admit(50.0, slack(500, 3_000, 9)), Admission::Send { urgency: 6 });
    assert_eq!(admit(600.0, slack(500, 3_000, 0)), Admission::Send { urgency: 8 });
    assert!(matches!(admit(2_800.0, slack(500, 3_000, 0)), Admission::Refuse { .. }));
}

proptest! {
    /// Guards against a retry delay longer than the caller waits, and against a refusal of a
    /// request that has more time than one that is sent.
    #[test]
    fn refusals_depend_on_the_remaining_time(
        estimate in 0.0..60_000.0f64,
        left in 1..30_000u64,
        more in 0..10_000u64,
        priority in 0..4u8,
    ) {
        let refused = |left| match admit(estimate, slack(200, left, priority)) {
            Admission::Refuse { retry_after } => Some(retry_after),
            Admission::Send { .. } => None,
        };
        if let Some(retry_after) = refused(left) {
            prop_assert!(retry_after <= ms(left) / 3 + ms(1), "{:?} of {} ms", retry_after, left);
        } else {
            prop_assert_eq!(refused(left + more), None);
        }
    }

    /// Guards against waiting for a load until it is too late to respond, and against a retry delay
    /// that ends after the caller's deadline.
    #[test]
    fn wait_for_a_model_leaves_time_for_the_response(
        loading in proptest::option::of(0..20_000u64),
        waited in 0..20_000u64,
        allowed in 1..20_000u64,
    ) {
        match wait_for_model(TargetRange::Any, loading.map(ms), ms(waited), ms(allowed)) {
            LoadWait::Wait => {
                let until = waited + loading.unwrap_or(0);
                prop_assert!(until <= allowed * 45 / 100 + 1 || loading.is_none() && waited < 700);
            }
            LoadWait::Refuse { retry_after } => {
                prop_assert!(retry_after <= ms(allowed.saturating_sub(waited)) / 3 + ms(1));
            }
        }
    }
}

/// Covers a model that moves between targets: requests wait for a load that ends soon or was just
/// requested, and are refused if the load takes longer than they can wait.
#[test]
fn requests_wait_for_a_load_that_ends_soon() {
    assert_eq!(wait_for_model(TargetRange::Any, Some(ms(400)), ms(0), ms(3_000)), LoadWait::Wait);
    assert_eq!(
        wait_for_model(TargetRange::Any, Some(ms(2_000)), ms(0), ms(3_000)),
        LoadWait::Refuse { retry_after: ms(1_000) }
    );
    assert_eq!(wait_for_model(TargetRange::Any, None, ms(699), ms(3_000)), LoadWait::Wait);
    assert!(matches!(
        wait_for_model(TargetRange::Any, None, ms(700), ms(3_000)),
        LoadWait::Refuse { .. }
    ));
    assert!(waits_for_adapter(ms(349)) && !waits_for_adapter(ms(350)));
}

/// Covers a target that stops responding: the timeouts of the first event, of an event gap and of a
/// plain response leave time for another target. A target that is only as slow as expected must not
/// time out: one with an estimate of 3 s was once abandoned after 1 s for another that was no
/// faster, which used up the attempts of the stream.
#[test]
fn timeouts_leave_time_for_another_target() {
    let objectives = LatencyObjectives { response: ms(500), event_gap: ms(60) };
    // The caller timeout is four response objectives; the first target gets 0.45 of it.
    assert_eq!(objectives.event_timeout(), ms(900));
    assert_eq!(objectives.first_event_timeout(100.0), ms(600));
    assert_eq!(objectives.first_event_timeout(400.0), ms(900));
    assert_eq!(objectives.first_event_timeout(1_000.0), ms(1_400));
    assert_eq!(objectives.first_event_timeout(10_000.0), ms(1_800));
    assert_eq!(objectives.plain_timeout(10.0), ms(120));
    assert_eq!(objectives.plain_timeout(50.0), ms(200));
    assert_eq!(objectives.plain_timeout(10_000.0), ms(300));
}

/// Guards against a target that stays ejected forever, and against one that is retried without a
/// pause.
#[test]
fn ejections_double_up_to_two_seconds() {
    let at = Timestamp::from_millis;
    let mut health = TargetHealth::default();
    health.record(TargetOutcome::NoResponse, at(0));
    assert!(health.is_usable(at(0)), "ejected after a single missing response");
    let mut now = 0;
    for ejection_ms in [400, 800, 1_600, 2_000, 2_000] {
        health.record(TargetOutcome::NoResponse, at(now));
        assert!(!health.is_usable(at(now + ejection_ms - 1)));
        assert!(health.is_usable(at(now + ejection_ms)));
        now += ejection_ms;
    }
    health.record(TargetOutcome::Answered, at(now));
    health.record(TargetOutcome::NoResponse, at(now));
    assert!(health.is_usable(at(now)));
}

/// Covers congestion: unknown waits must not raise the estimate until every request is refused. A
/// lasting slowdown must still be learned.
#[test]
fn prefill_estimate_follows_the_fast_observations() {
    let mut estimator = PrefillEstimator::new();
    estimator.observe("m", 1_000, 10.0);
    for round in 0..200 {
        estimator.observe("m", 1_000, if round % 5 == 0 { 10.0 } else { 200.0 });
    }
    let estimated_ms = estimator.prefill_ms("m", 1_000);
    assert!(estimated_ms < 20.0, "10 ms are estimated as {estimated_ms} ms");
    for _ in 0..400 {
        estimator.observe("m", 1_000, 40.0);
    }
    let estimated_ms = estimator.prefill_ms("m", 1_000);
    assert!((30.0..=40.1).contains(&estimated_ms), "40 ms are estimated as {estimated_ms} ms");
    estimator.observe("m", 399, 0.5);
    assert!(
        estimator.prefill_ms("m", 1_000) >= 30.0,
        "an observation with too few tokens was used"
    );
}

fn link(hash: u32) -> PrefixLink {
    PrefixLink { hash, tokens: 100 }
}

/// Covers more prompts than cache memory: the most recently used parts stay, a part counts only
/// with all parts before it, and the estimate never exceeds the engine's capacity.
#[test]
fn least_recently_used_parts_are_evicted() {
    let at = Timestamp::from_millis;
    let mut cache = PrefixCacheEstimate::new(500);
    cache.record_prompt(&[link(1), link(2), link(3)], at(0));
    cache.record_prompt(&[link(1), link(4)], at(10));
    assert_eq!(cache.matched_tokens(&[link(1), link(2), link(3)]), 300);
    cache.record_prompt(&[link(1), link(5), link(6)], at(20));
    let matched = cache.matched_tokens(&[link(1), link(2), link(3)]);
    assert!(matched < 300, "600 tokens are cached with a capacity of 500");
    assert_eq!(cache.matched_tokens(&[link(1), link(5), link(6)]), 300);
    assert_eq!(cache.matched_tokens(&[link(9), link(5), link(6)]), 0);
    cache.set_capacity(100);
    assert_eq!(cache.matched_tokens(&[link(1), link(5), link(6)]), 100);
    cache.clear();
    assert_eq!(cache.matched_tokens(&[link(1)]), 0);
}

/// Guards against a stream that is refused although the only targets that may go on with it will have
/// loaded its model before its caller gives up.
#[test]
fn bound_streams_wait_for_loads_that_end_before_their_callers_leave() {
    let wait =
        |loading, waited| wait_for_model(TargetRange::OneVersion, loading, ms(waited), ms(3_000));
    assert_eq!(wait(Some(ms(2_000)), 500), LoadWait::Wait);
    assert!(matches!(wait(Some(ms(2_600)), 0), LoadWait::Refuse { .. }));
    assert_eq!(wait(None, 1_499), LoadWait::Wait);
    assert!(matches!(wait(None, 1_500), LoadWait::Refuse { .. }));
}
