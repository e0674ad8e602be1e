//! How long requests wait, when they are refused, and what is learned from answers.

use std::time::Duration;

use base::Timestamp;
use proptest::prelude::*;
use routing::{
    Admission, LatencyObjectives, LoadWait, PrefillEstimator, PrefixCacheEstimate, PrefixLink,
    Slack, TargetHealth, TargetOutcome, admit, wait_for_model, waits_for_adapter,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn slack(objective_ms: u64, deadline_ms: u64, priority: u8) -> Slack {
    Slack { objective: ms(objective_ms), deadline: ms(deadline_ms), priority }
}

/// The pattern "queue longer than callers wait": who can't be answered in time is refused at once, others
/// go on; those that will be late go behind those that can still be on time.
#[test]
fn what_cant_be_in_time_is_refused_and_what_is_late_goes_last() {
    assert_eq!(admit(50.0, slack(500, 3_000, 0)), Admission::Send { urgency: 2 });
    assert_eq!(admit(50.0, slack(500, 3_000, 9)), Admission::Send { urgency: 6 });
    assert_eq!(admit(600.0, slack(500, 3_000, 0)), Admission::Send { urgency: 8 });
    assert!(matches!(admit(2_800.0, slack(500, 3_000, 0)), Admission::Refuse { .. }));
}

proptest! {
    /// Guards against an advice to return that the caller can't heed, and against refusals that depend on
    /// anything but the time: a request with more time is never refused where one with less is sent.
    #[test]
    fn refusals_follow_the_time_left(
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

    /// Guards against requests that wait past the time in which they could be answered, and against an
    /// advice to return after the caller has gone.
    #[test]
    fn a_wait_for_a_model_ends_in_time(
        loading in proptest::option::of(0..20_000u64),
        waited in 0..20_000u64,
        allowed in 1..20_000u64,
    ) {
        match wait_for_model(loading.map(ms), ms(waited), ms(allowed)) {
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

/// The pattern "a model moves": requests wait for a load that ends soon and for one that was only asked
/// for, and are refused where the load takes longer than they have.
#[test]
fn requests_wait_for_a_load_that_ends_soon() {
    assert_eq!(wait_for_model(Some(ms(400)), ms(0), ms(3_000)), LoadWait::Wait);
    assert_eq!(
        wait_for_model(Some(ms(2_000)), ms(0), ms(3_000)),
        LoadWait::Refuse { retry_after: ms(1_000) }
    );
    assert_eq!(wait_for_model(None, ms(699), ms(3_000)), LoadWait::Wait);
    assert!(matches!(wait_for_model(None, ms(700), ms(3_000)), LoadWait::Refuse { .. }));
    assert!(waits_for_adapter(ms(349)) && !waits_for_adapter(ms(350)));
}

/// The pattern "frozen engine": a stream's first event, a gap and a plain answer each have an end that
/// leaves another target time; one that is only slow is not left. A target whose first event was expected
/// after 3 s was once left after 1 s for one that was no faster, which spent the attempts of the stream.
#[test]
fn a_silent_target_is_left_early_enough_for_another() {
    let objectives = LatencyObjectives { response: ms(500), event_gap: ms(60) };
    // The caller bears four objectives; 0.45 of it is left to the first target.
    assert_eq!(objectives.event_timeout(), ms(900));
    assert_eq!(objectives.first_event_timeout(100.0), ms(600));
    assert_eq!(objectives.first_event_timeout(400.0), ms(900));
    assert_eq!(objectives.first_event_timeout(1_000.0), ms(1_400));
    assert_eq!(objectives.first_event_timeout(10_000.0), ms(1_800));
    assert_eq!(objectives.plain_timeout(10.0), ms(120));
    assert_eq!(objectives.plain_timeout(50.0), ms(200));
    assert_eq!(objectives.plain_timeout(10_000.0), ms(300));
}

/// Guards against a target that is left out for ever, and against one that is tried again without a pause.
#[test]
fn pauses_of_a_silent_target_double_up_to_two_seconds() {
    let at = Timestamp::from_millis;
    let mut health = TargetHealth::default();
    health.record(TargetOutcome::NoResponse, at(0));
    assert!(health.is_usable(at(0)), "one lost answer says little");
    let mut now = 0;
    for pause in [400, 800, 1_600, 2_000, 2_000] {
        health.record(TargetOutcome::NoResponse, at(now));
        assert!(!health.is_usable(at(now + pause - 1)));
        assert!(health.is_usable(at(now + pause)));
        now += pause;
    }
    health.record(TargetOutcome::Answered, at(now));
    health.record(TargetOutcome::NoResponse, at(now));
    assert!(health.is_usable(at(now)));
}

/// The pattern "congestion": waits that nobody knew of must not make the engines look slower and slower,
/// until everything is refused; a slower pace that lasts is learned all the same.
#[test]
fn the_pace_follows_the_fast_observations() {
    let mut pace = PrefillEstimator::new();
    pace.observe("m", 1_000, 10.0);
    for round in 0..200 {
        pace.observe("m", 1_000, if round % 5 == 0 { 10.0 } else { 200.0 });
    }
    let known = pace.prefill_ms("m", 1_000);
    assert!(known < 20.0, "10 ms look like {known} ms");
    for _ in 0..400 {
        pace.observe("m", 1_000, 40.0);
    }
    let known = pace.prefill_ms("m", 1_000);
    assert!((30.0..=40.1).contains(&known), "40 ms look like {known} ms");
    pace.observe("m", 399, 0.5);
    assert!(pace.prefill_ms("m", 1_000) >= 30.0, "short prompts say nothing of the pace");
}

fn link(hash: u32) -> PrefixLink {
    PrefixLink { hash, tokens: 100 }
}

/// The pattern "more prompts than memory": the parts used last are kept, a part without those before it is
/// of no use, and the memory never holds more than the engine's.
#[test]
fn the_prompts_used_last_are_kept() {
    let at = Timestamp::from_millis;
    let mut memory = PrefixCacheEstimate::new(500);
    memory.record_prompt(&[link(1), link(2), link(3)], at(0));
    memory.record_prompt(&[link(1), link(4)], at(10));
    assert_eq!(memory.matched_tokens(&[link(1), link(2), link(3)]), 300);
    memory.record_prompt(&[link(1), link(5), link(6)], at(20));
    let matched = memory.matched_tokens(&[link(1), link(2), link(3)]);
    assert!(matched < 300, "600 tokens in a memory of 500");
    assert_eq!(memory.matched_tokens(&[link(1), link(5), link(6)]), 300);
    assert_eq!(memory.matched_tokens(&[link(9), link(5), link(6)]), 0);
    memory.set_capacity(100);
    assert_eq!(memory.matched_tokens(&[link(1), link(5), link(6)]), 100);
    memory.clear();
    assert_eq!(memory.matched_tokens(&[link(1)]), 0);
}
