//! Sends of one request, over all orders of what can happen to them.

use routing::{Attempts, TargetKey, TargetPhase};

/// What happens to one send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// The target refuses it.
    Refused,
    /// No answer, and the target lives on.
    SilentLives,
    /// No answer, and the target is found to have ended.
    SilentEnds,
    /// No answer from a target that leaves.
    SilentLeaves,
    /// The answer breaks off, and the target lives on.
    BrokenLives,
    /// The answer breaks off at a target that leaves.
    BrokenLeaves,
    /// The answer breaks off, and the target is found to have ended.
    BrokenEnds,
}

const STEPS: [Step; 7] = [
    Step::Refused,
    Step::SilentLives,
    Step::SilentEnds,
    Step::SilentLeaves,
    Step::BrokenLives,
    Step::BrokenLeaves,
    Step::BrokenEnds,
];

impl Step {
    fn phase(self) -> TargetPhase {
        match self {
            Self::Refused | Self::SilentLives | Self::BrokenLives => TargetPhase::Active,
            Self::SilentLeaves | Self::BrokenLeaves => TargetPhase::Leaving,
            Self::SilentEnds | Self::BrokenEnds => TargetPhase::Ended,
        }
    }

    /// Whether the run counts against the route's limit.
    fn counts(self) -> bool {
        matches!(self, Self::SilentLives | Self::SilentLeaves | Self::BrokenLives)
    }

    fn is_lost(self) -> bool {
        matches!(self, Self::SilentEnds | Self::BrokenLeaves | Self::BrokenEnds)
    }
}

fn apply(attempts: &mut Attempts, at: usize, step: Step) {
    attempts.begin(TargetKey(u32::try_from(at).unwrap_or_default()));
    match step {
        Step::Refused => attempts.record_not_run(),
        Step::SilentLives | Step::SilentEnds | Step::SilentLeaves => attempts.record_may_have_run(),
        Step::BrokenLives | Step::BrokenLeaves | Step::BrokenEnds => attempts.record_broken(),
    }
}

fn phase_of(steps: &[Step]) -> impl Fn(TargetKey) -> TargetPhase + '_ {
    |key| steps.get(key.0 as usize).map_or(TargetPhase::Active, |step| step.phase())
}

/// Plays every order of steps as long as another send is allowed; calls `check` after each.
fn play(max_runs: u32, steps: &mut Vec<Step>, check: &mut impl FnMut(&Attempts, &[Step])) {
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
        play(max_runs, steps, check);
        steps.pop();
    }
}

/// Guards against a request that runs on more living targets than its route allows, and against one that is
/// sent for ever.
#[test]
fn no_order_of_failures_exceeds_the_limit_of_a_route() {
    for max_runs in 1..=3 {
        let mut longest = 0;
        play(max_runs, &mut Vec::new(), &mut |_, steps| {
            let counted = steps.iter().filter(|step| step.counts()).count();
            assert!(counted <= max_runs as usize, "{steps:?}");
            longest = longest.max(steps.len());
        });
        assert_eq!(longest, max_runs as usize + 2 + 3);
    }
}

/// The pattern "two targets of one stream are taken away", seen on Lomo Cosido's heavy day: the first target
/// fell silent and the second one left while it answered; the stream was then cut since both of the attempts
/// of its route were spent. Targets that have ended don't count, whatever the order.
#[test]
fn a_stream_goes_on_while_its_targets_end() {
    for max_runs in 1..=3 {
        play(max_runs, &mut Vec::new(), &mut |attempts, steps| {
            let lost = steps.iter().filter(|step| step.is_lost()).count();
            let counted = steps.iter().filter(|step| step.counts()).count();
            let refused = steps.iter().filter(|step| **step == Step::Refused).count();
            if lost <= 3 && counted < max_runs as usize && refused < 2 {
                assert!(attempts.allow_another(phase_of(steps)), "{steps:?}");
            }
        });
    }
}

/// Guards against a refusal that says nothing ran while a target may be at work.
#[test]
fn only_refusals_leave_a_request_not_run() {
    let mut attempts = Attempts::new(2);
    assert!(!attempts.may_have_run());
    apply(&mut attempts, 0, Step::Refused);
    assert!(!attempts.may_have_run());
    attempts.begin(TargetKey(1));
    assert!(attempts.may_have_run(), "it may be at work");
}

/// Guards against leaving a slow target for another one when none may be asked after it.
#[test]
fn the_last_attempt_is_not_left() {
    let mut attempts = Attempts::new(2);
    let lives = |_| TargetPhase::Active;
    assert!(attempts.allow_one_after_next(lives));
    apply(&mut attempts, 0, Step::SilentLives);
    assert!(attempts.allow_another(lives) && !attempts.allow_one_after_next(lives));
    assert!(
        attempts.allow_one_after_next(|_| TargetPhase::Ended),
        "the first target has ended since"
    );
}

/// The pattern "streams stall at overloaded engines": a stream whose last attempt is under way stays where it
/// is however long it pauses. It was once cut after 1.08 s, with nowhere left to go.
#[test]
fn a_stream_on_its_last_attempt_may_not_move() {
    let mut attempts = Attempts::new(2);
    let lives = |_| TargetPhase::Active;
    attempts.begin(TargetKey(0));
    assert!(attempts.allow_another(lives), "one attempt is left");
    attempts.record_may_have_run();
    attempts.begin(TargetKey(1));
    assert!(!attempts.allow_another(lives));
    assert!(attempts.allow_another(|key| match key {
        TargetKey(0) => TargetPhase::Ended,
        TargetKey(_) => TargetPhase::Active,
    }));
}
