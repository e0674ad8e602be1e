//! The sends of one request, and whether another one is allowed.

use crate::TargetKey;

/// Sends that did not run, beyond those that may run the request.
const MAX_SENDS_NOT_RUN: usize = 2;
/// Runs on targets that have ended that are made up for. A request that loses more targets than that is
/// probably the cause.
const MAX_REPLACED_RUNS: usize = 3;

/// What is known of one send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SendState {
    /// No answer yet: the target may be at work on it.
    Open,
    /// The target did not run it.
    NotRun,
    /// The target ran it, or may have.
    MayHaveRun,
    /// The same, and the connection broke before the answer was whole.
    Broken,
}

/// Whether a target has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPhase {
    /// No sign of it.
    Active,
    /// It leaves; it still answers what it has until it ends.
    Leaving,
    /// It has ended or can't be reached.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    target: TargetKey,
    state: SendState,
}

/// The targets that a request was sent to.
///
/// The limit of a route is on targets that run a request. One that ended, or was cut off, while it ran the
/// request does not count: its run is over, and the request goes on elsewhere as if it had not begun there.
#[derive(Clone, Debug)]
pub struct Attempts {
    max_runs: usize,
    made: Vec<Attempt>,
}

impl Attempt {
    /// Whether the run is over since its target has ended.
    fn is_lost(&self, phase: TargetPhase) -> bool {
        match (self.state, phase) {
            (SendState::MayHaveRun | SendState::Open, TargetPhase::Ended) => true,
            (SendState::Broken, TargetPhase::Ended | TargetPhase::Leaving) => true,
            (SendState::NotRun, _) | (_, TargetPhase::Active | TargetPhase::Leaving) => false,
        }
    }
}

impl Attempts {
    /// A request that was not sent yet and may run on `max_runs` targets.
    pub fn new(max_runs: u32) -> Self {
        Self { max_runs: usize::try_from(max_runs).unwrap_or(usize::MAX), made: Vec::new() }
    }

    /// Records a send.
    pub fn begin(&mut self, target: TargetKey) {
        self.made.push(Attempt { target, state: SendState::Open });
    }

    /// Records that the last send did not run.
    pub fn record_not_run(&mut self) {
        self.settle(SendState::NotRun);
    }

    /// Records that the last send ran or may have run.
    pub fn record_may_have_run(&mut self) {
        self.settle(SendState::MayHaveRun);
    }

    /// Records that the connection of the last send broke before the answer was whole.
    pub fn record_broken(&mut self) {
        self.settle(SendState::Broken);
    }

    fn settle(&mut self, state: SendState) {
        if let Some(last) = self.made.last_mut() {
            last.state = state;
        }
    }

    /// Number of sends.
    pub fn count(&self) -> u32 {
        u32::try_from(self.made.len()).unwrap_or(u32::MAX)
    }

    /// Whether a target may have run the request or may be at work on it now.
    pub fn may_have_run(&self) -> bool {
        self.made.iter().any(|attempt| attempt.state != SendState::NotRun)
    }

    /// Whether the request may be sent once more; `phase_of` tells of a target whether it has ended since.
    pub fn allow_another(&self, phase_of: impl Fn(TargetKey) -> TargetPhase) -> bool {
        self.allow_after(0, phase_of)
    }

    /// Whether another target could still be tried if the next send gets no answer.
    pub fn allow_one_after_next(&self, phase_of: impl Fn(TargetKey) -> TargetPhase) -> bool {
        self.allow_after(1, phase_of)
    }

    /// Whether the request may be sent once more after `further` more sends that may run it.
    fn allow_after(&self, further: usize, phase_of: impl Fn(TargetKey) -> TargetPhase) -> bool {
        let lost = self.made.iter().filter(|attempt| attempt.is_lost(phase_of(attempt.target)));
        let replaced = lost.count().min(MAX_REPLACED_RUNS);
        let ran = self.made.iter().filter(|attempt| attempt.state != SendState::NotRun).count();
        ran - replaced + further < self.max_runs
            && self.made.len() - replaced + further
                < self.max_runs.saturating_add(MAX_SENDS_NOT_RUN)
    }
}
