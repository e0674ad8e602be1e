//! Passive health check of a target, based on the outcomes of requests.

use std::time::Duration;

use base::Timestamp;

/// Weight of a new outcome in the moving average of failures.
const FAILURE_SHARE_WEIGHT: f64 = 0.12;
/// Number of consecutive outcomes without a response after which a target is ejected.
const EJECTION_THRESHOLD: u32 = 2;
/// Duration of the first ejection; doubles with each further one.
const INITIAL_EJECTION: Duration = Duration::from_millis(400);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_millis(2_000);

/// Outcome of a request, as far as it concerns the health of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetOutcome {
    /// A complete response.
    Answered,
    /// A response that reports a failure of the target.
    Failed,
    /// No response: connection refused, connection reset, or timeout.
    NoResponse,
}

/// Health of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failure_share: f64,
    consecutive_no_response: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    answered_at: Option<Timestamp>,
}

impl TargetHealth {
    /// Records an outcome.
    pub fn record(&mut self, outcome: TargetOutcome, now: Timestamp) {
        let failed = match outcome {
            TargetOutcome::Answered => 0.0,
            TargetOutcome::Failed | TargetOutcome::NoResponse => 1.0,
        };
        self.failure_share += FAILURE_SHARE_WEIGHT * (failed - self.failure_share);
        match outcome {
            TargetOutcome::Answered => {
                self.answered_at = Some(now);
                self.consecutive_no_response = 0;
                self.ejections = 0;
                self.ejected_until = None;
            }
            TargetOutcome::Failed => self.consecutive_no_response = 0,
            TargetOutcome::NoResponse => {
                self.consecutive_no_response += 1;
                if self.consecutive_no_response >= EJECTION_THRESHOLD {
                    let ejection = INITIAL_EJECTION * 2_u32.saturating_pow(self.ejections);
                    self.ejected_until = Some(now + ejection.min(MAX_EJECTION));
                    self.ejections = (self.ejections + 1).min(8);
                }
            }
        }
    }

    /// Returns whether the target may receive work. It may again after an ejection, so that a
    /// recovery is detected.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Returns the time of the last complete response.
    pub const fn answered_at(&self) -> Option<Timestamp> {
        self.answered_at
    }

    /// Returns the share of recent requests that failed.
    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
