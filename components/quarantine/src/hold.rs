//! Quarantine of one subject.

use base::Timestamp;

/// A subject is in quarantine: no request with it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Hold {
    /// When it began.
    pub since: Timestamp,
    /// From when on a trial is allowed.
    pub until: Timestamp,
    /// Trials that failed before it.
    pub failed_trials: u32,
    /// Whether this process has sent a trial.
    pub on_trial: bool,
}
