//! Quarantine of one subject.

use base::Timestamp;

/// A subject is in quarantine: no request with it and with all of its companions is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Hold {
    /// When it began.
    pub since: Timestamp,
    /// From when on a trial is allowed.
    pub until: Timestamp,
    /// Trials that failed before it.
    pub failed_trials: u32,
    /// Whether this process has sent a trial.
    pub on_trial: bool,
    /// Parts that were in the same crashes, in order. The cause may be any of them, so that a request with
    /// fewer of them is sent: its answer or its crash tells them apart.
    pub companions: Vec<u64>,
}

impl Hold {
    /// Whether a request with these parts and with the subject is refused.
    pub fn covers(&self, parts: &[u64]) -> bool {
        self.companions.iter().all(|companion| parts.contains(companion))
    }

    /// Keeps the companions that `is_kept` accepts; returns whether there are fewer now.
    pub fn narrow(&mut self, is_kept: impl Fn(u64) -> bool) -> bool {
        let before = self.companions.len();
        self.companions.retain(|companion| is_kept(*companion));
        self.companions.len() < before
    }
}
