//! Attempts of one request, over all sequences of their outcomes.

use routing::{Attempts, TargetKey, TargetPhase};

/// Outcome of one send, and the phase of its target afterwards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// The target refuses the request.
    Refused,
    /// No response, and the target is active.
    NoResponseActive,
    /// No response, and the target has ended.
    NoResponseEnded,
    /// No response, and the target is leaving.
    NoResponseLeaving,
    /// No response, and the target may have ended or stand still.
    NoResponseUnheard,
    /// The response breaks off, and the target is active.
    BrokenActive,
    /// The response breaks off, and the target is leaving.
    BrokenLeaving,
    /// The response breaks off, and the target has ended.
    BrokenEnded,
    /// The response breaks off, and nothing is heard of the target.
    BrokenUnheard,
}

const STEPS: [Step; 9] = [
    Step::Refused,
    Step::NoResponseActive,
    Step::NoResponseEnded,
    Step::NoResponseLeaving,
    Step::NoResponseUnheard,
    Step::BrokenActive,
    Step::BrokenLeaving,
    Step::BrokenEnded,
    Step::BrokenUnheard,
];

impl Step {
    fn phase(self) -> TargetPhase {
        match self {
            Self::Refused | Self::NoResponseActive | Self::BrokenActive => TargetPhase::Active,
            Self::NoResponseLeaving | Self::BrokenLeaving => TargetPhase::Leaving,
            Self::NoResponseEnded | Self::BrokenEnded => TargetPhase::Ended,
            Self::NoResponseUnheard | Self::BrokenUnheard => TargetPhase::Unheard,
        }
    }

    /// Returns whether the run counts against the limit of the route.
    fn counts_as_run(self) -> bool {
        matches!(
            self,
            Self::NoResponseActive
                | Self::NoResponseLeaving
                | Self::NoResponseUnheard
                | Self::BrokenActive
        )
    }

    fn is_lost(self) -> bool {
        matches!(
            self,
            Self::NoResponseEnded | Self::BrokenLeaving | Self::BrokenEnded | Self::BrokenUnheard
        )
    }
}

fn apply(attempts: &mut Attempts, at: usize, step: Step) {
    attempts.begin(TargetKey(u32::try_from(at).unwrap_or_default()));
    match step {
        Step::Refused => attempts.record_not_run(),
        Step::NoResponseActive
        | Step::NoResponseEnded
        | Step::NoResponseLeaving
        | Step::NoResponseUnheard => attempts.record_may_have_run(),
        Step::BrokenActive | Step::BrokenLeaving | Step::BrokenEnded | Step::BrokenUnheard => {
            attempts.record_broken()
        }
    }
}

fn phase_of(steps: &[Step]) -> impl Fn(TargetKey) -> TargetPhase + '_ {
    |key| steps.get(key.0 as usize).map_or(TargetPhase::Active, |step| step.phase())
}

/// Visits every sequence of steps for as long as another send is allowed, and calls `check` for
/// each.
fn visit_sequences(
    max_runs: u32,
    steps: &mut Vec<Step>,
    check: &mut impl FnMut(&Attempts, &[Step]),
) {
    let mut attempts = Attempts::new(max_runs);
    for (at, step) in steps.iter().enumerate() {
        apply(&mut attempts, at, *step);
    }
    check(&attempts, steps);
    if !attempts.allow_another(phase_of(steps)) {
        return;
    }
    for step in STEPS {
        steps.push(step);
        visit_sequences(max_runs, steps, check);
        steps.pop();
    }
}

/// Guards against a request that runs on more targets than its route allows, not counting lost
/// ones, and against one that is sent forever.
#[test]
fn no_order_of_failures_exceeds_the_limit_of_a_route() {
    for max_runs in 1..=3 {
        let mut longest = 0;
        visit_sequences(max_runs, &mut Vec::new(), &mut |_, steps| {
            let counted = steps.iter().filter(|step| step.counts_as_run()).count();
            assert!(counted <= max_runs as usize, "{steps:?}");
            longest = longest.max(steps.len());
        });
        assert_eq!(longest, max_runs as usize + 2 + 3);
    }
}

/// Guards against a stream that is cut after losing two targets: under heavy load the first target
/// stopped responding and the second one left during the response, which used up both attempts of
/// the route. Targets that have ended must not count, in any order.
#[test]
fn stream_continues_after_its_targets_end() {
    for max_runs in 1..=3 {
        visit_sequences(max_runs, &mut Vec::new(), &mut |attempts, steps| {
            let lost = steps.iter().filter(|step| step.is_lost()).count();
            let counted = steps.iter().filter(|step| step.counts_as_run()).count();
            let refused = steps.iter().filter(|step| **step == Step::Refused).count();
            if lost <= 3 && counted < max_runs as usize && refused < 2 {
                assert!(attempts.allow_another(phase_of(steps)), "{steps:?}");
            }
        });
    }
}

/// Guards against a third run while the first one goes on: a frozen target left the list, and its run
/// no longer counted although the target went on with it later.
#[test]
fn a_run_on_a_target_that_fell_silent_counts() {
    let mut attempts = Attempts::new(2);
    apply(&mut attempts, 0, Step::NoResponseUnheard);
    apply(&mut attempts, 1, Step::NoResponseActive);
    assert!(!attempts.allow_another(phase_of(&[Step::NoResponseUnheard, Step::NoResponseActive])));
    assert!(attempts.allow_another(phase_of(&[Step::NoResponseEnded, Step::NoResponseActive])));
}

/// Guards against reporting a request as not run while a target may be running it.
#[test]
fn only_refused_requests_did_not_run() {
    let mut attempts = Attempts::new(2);
    assert!(!attempts.may_have_run());
    apply(&mut attempts, 0, Step::Refused);
    assert!(!attempts.may_have_run());
    attempts.begin(TargetKey(1));
    assert!(attempts.may_have_run(), "the target may be running the request");
}

/// Guards against abandoning a slow target when only one more attempt would be allowed.
#[test]
fn last_attempt_is_not_abandoned() {
    let mut attempts = Attempts::new(2);
    let active = |_| TargetPhase::Active;
    assert!(attempts.allow_one_after_next(active));
    apply(&mut attempts, 0, Step::NoResponseActive);
    assert!(attempts.allow_another(active) && !attempts.allow_one_after_next(active));
    assert!(
        attempts.allow_one_after_next(|_| TargetPhase::Ended),
        "the run on the ended target still counts"
    );
}

/// Covers streams that stall at overloaded engines: a stream on its last attempt stays at its
/// target, however long it stalls. One was cut after 1.08 s although no further attempt was
/// allowed.
#[test]
fn stream_on_its_last_attempt_may_not_move() {
    let mut attempts = Attempts::new(2);
    let active = |_| TargetPhase::Active;
    attempts.begin(TargetKey(0));
    assert!(attempts.allow_another(active), "one attempt is left");
    attempts.record_may_have_run();
    attempts.begin(TargetKey(1));
    assert!(!attempts.allow_another(active));
    assert!(attempts.allow_another(|key| match key {
        TargetKey(0) => TargetPhase::Ended,
        TargetKey(_) => TargetPhase::Active,
    }));
}

/// Guards against a budget of further sends that is charged for targets that the request has not reached.
#[test]
fn a_send_that_reached_no_target_makes_the_next_one_no_further_one() {
    let mut attempts = Attempts::new(2);
    attempts.begin(TargetKey(0));
    assert!(attempts.may_have_arrived(), "its end is not known yet");
    attempts.record_not_sent();
    assert!(!attempts.may_have_arrived() && !attempts.may_have_run());
    attempts.begin(TargetKey(1));
    attempts.record_not_run();
    assert!(attempts.may_have_arrived() && !attempts.may_have_run());
}
