//! The sends of one request, and whether another one is allowed.

use crate::TargetKey;

/// Sends that did not run, beyond those that may run the request.
const EXTRA_SENDS: usize = 2;
/// Runs on targets that have ended that are made up for. A request that loses more targets than that is
/// probably the cause.
const MOST_REPLACED: usize = 3;

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
pub enum TargetEnd {
    /// No sign of it.
    Lives,
    /// It leaves; it still answers what it has until it ends.
    Leaves,
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
    most_runs: usize,
    made: Vec<Attempt>,
}

impl Attempt {
    /// Whether the run is over since its target has ended.
    fn is_lost(&self, end: TargetEnd) -> bool {
        match (self.state, end) {
            (SendState::MayHaveRun | SendState::Open, TargetEnd::Ended) => true,
            (SendState::Broken, TargetEnd::Ended | TargetEnd::Leaves) => true,
            (SendState::NotRun, _) | (_, TargetEnd::Lives | TargetEnd::Leaves) => false,
        }
    }
}

impl Attempts {
    /// A request that was not sent yet and may run on `most_runs` targets.
    pub fn new(most_runs: u32) -> Self {
        Self { most_runs: usize::try_from(most_runs).unwrap_or(usize::MAX), made: Vec::new() }
    }

    /// Records a send.
    pub fn begin(&mut self, target: TargetKey) {
        self.made.push(Attempt { target, state: SendState::Open });
    }

    /// Records that the last send did not run.
    pub fn note_not_run(&mut self) {
        self.settle(SendState::NotRun);
    }

    /// Records that the last send ran or may have run.
    pub fn note_may_have_run(&mut self) {
        self.settle(SendState::MayHaveRun);
    }

    /// Records that the connection of the last send broke before the answer was whole.
    pub fn note_broken(&mut self) {
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

    /// Whether the request may be sent once more; `end_of` tells of a target whether it has ended since.
    pub fn allow_another(&self, end_of: impl Fn(TargetKey) -> TargetEnd) -> bool {
        self.allow_after(0, end_of)
    }

    /// Whether another target could still be tried if the next send gets no answer.
    pub fn allow_one_after_next(&self, end_of: impl Fn(TargetKey) -> TargetEnd) -> bool {
        self.allow_after(1, end_of)
    }

    /// Whether the request may be sent once more after `further` more sends that may run it.
    fn allow_after(&self, further: usize, end_of: impl Fn(TargetKey) -> TargetEnd) -> bool {
        let lost = self.made.iter().filter(|attempt| attempt.is_lost(end_of(attempt.target)));
        let replaced = lost.count().min(MOST_REPLACED);
        let ran = self.made.iter().filter(|attempt| attempt.state != SendState::NotRun).count();
        ran - replaced + further < self.most_runs
            && self.made.len() - replaced + further < self.most_runs.saturating_add(EXTRA_SENDS)
    }
}
