//! Attempts of one request, and whether another one is allowed.

use crate::TargetKey;

/// Maximum number of sends that did not run, in addition to those that may run the request.
const MAX_SENDS_NOT_RUN: usize = 2;
/// Maximum number of runs on ended targets that don't count against the limit. A request that loses
/// more targets is probably the cause.
const MAX_REPLACED_RUNS: usize = 3;

/// State of one send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SendState {
    /// No response yet; the target may be running the request.
    Open,
    /// Nothing of the request reached the target.
    NotSent,
    /// The target did not run the request.
    NotRun,
    /// The target ran the request or may have run it.
    MayHaveRun,
    /// As `MayHaveRun`; the connection broke before the response was complete.
    Broken,
}

/// Lifecycle phase of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPhase {
    /// The target is running.
    Active,
    /// The target is leaving; it completes the requests that it has accepted.
    Leaving,
    /// The target is not listed any more, or does not respond to its agent: it may have ended, or stand
    /// still and go on later with what it runs.
    Unheard,
    /// The target has ended: its address refuses connections or belongs to another target.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    target: TargetKey,
    state: SendState,
}

/// The attempts of a request.
///
/// The limit of a route is on the number of targets that run a request. A target that ended, or was
/// cut off while leaving, during the run does not count: its run is over, and the request can
/// continue elsewhere as if that run had not begun. A target that only fell silent may still run it.
#[derive(Clone, Debug)]
pub struct Attempts {
    max_runs: usize,
    attempts: Vec<Attempt>,
}

impl SendState {
    /// Returns whether the target may have run the request.
    const fn may_have_run(self) -> bool {
        match self {
            Self::Open | Self::MayHaveRun | Self::Broken => true,
            Self::NotSent | Self::NotRun => false,
        }
    }
}

impl Attempt {
    /// Returns whether the run is over because its target ended or cut it off while leaving.
    fn is_lost(&self, phase: TargetPhase) -> bool {
        match (self.state, phase) {
            (SendState::MayHaveRun | SendState::Open, TargetPhase::Ended) => true,
            (
                SendState::Broken,
                TargetPhase::Ended | TargetPhase::Unheard | TargetPhase::Leaving,
            ) => true,
            (SendState::NotSent | SendState::NotRun, _)
            | (_, TargetPhase::Active | TargetPhase::Leaving | TargetPhase::Unheard) => false,
        }
    }
}

impl Attempts {
    /// Creates the state of a request that was not sent yet and may run on `max_runs` targets.
    pub fn new(max_runs: u32) -> Self {
        Self { max_runs: usize::try_from(max_runs).unwrap_or(usize::MAX), attempts: Vec::new() }
    }

    /// Records a send to a target.
    pub fn begin(&mut self, target: TargetKey) {
        self.attempts.push(Attempt { target, state: SendState::Open });
    }

    /// Records that nothing of the request reached the target of the last send.
    pub fn record_not_sent(&mut self) {
        self.set_last_state(SendState::NotSent);
    }

    /// Records that the last send did not run.
    pub fn record_not_run(&mut self) {
        self.set_last_state(SendState::NotRun);
    }

    /// Records that the last send ran or may have run.
    pub fn record_may_have_run(&mut self) {
        self.set_last_state(SendState::MayHaveRun);
    }

    /// Records that the connection of the last send broke before the response was complete.
    pub fn record_broken(&mut self) {
        self.set_last_state(SendState::Broken);
    }

    fn set_last_state(&mut self, state: SendState) {
        if let Some(last) = self.attempts.last_mut() {
            last.state = state;
        }
    }

    /// Returns the number of sends.
    pub fn count(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether a target may have run the request or may be running it now.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state.may_have_run())
    }

    /// Returns whether the request may have reached a target, so that the next send is a further one.
    pub fn may_have_arrived(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state != SendState::NotSent)
    }

    /// Returns whether the request may be sent once more; `phase_of` returns the current phase of a
    /// target.
    pub fn allow_another(&self, phase_of: impl Fn(TargetKey) -> TargetPhase) -> bool {
        self.allow_after(0, phase_of)
    }

    /// Returns whether another target could still be tried if the next send gets no response.
    pub fn allow_one_after_next(&self, phase_of: impl Fn(TargetKey) -> TargetPhase) -> bool {
        self.allow_after(1, phase_of)
    }

    /// Returns whether the request may be sent once more after `further` more sends that may run
    /// it.
    fn allow_after(&self, further: usize, phase_of: impl Fn(TargetKey) -> TargetPhase) -> bool {
        let lost = self.attempts.iter().filter(|attempt| attempt.is_lost(phase_of(attempt.target)));
        let replaced = lost.count().min(MAX_REPLACED_RUNS);
        let ran = self.attempts.iter().filter(|attempt| attempt.state.may_have_run()).count();
        ran - replaced + further < self.max_runs
            && self.attempts.len() - replaced + further
                < self.max_runs.saturating_add(MAX_SENDS_NOT_RUN)
    }
}
