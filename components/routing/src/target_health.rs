//! Health of a target by the outcomes of what it was sent.

use std::time::Duration;

use base::Timestamp;

/// Weight of a new outcome in the share of failures.
const FAILURE_SHARE_WEIGHT: f64 = 0.12;
/// Failures without an answer in a row after which a target is left out for a while.
const EJECTION_THRESHOLD: u32 = 2;
/// First time for which it is left out; doubles each time it fails again.
const INITIAL_EJECTION: Duration = Duration::from_millis(400);
/// Longest time for which it is left out before it is tried again.
const MAX_EJECTION: Duration = Duration::from_millis(2_000);

/// How a request at a target ended, as far as it says something of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetOutcome {
    /// A whole answer.
    Answered,
    /// An answer that says the target failed.
    Failed,
    /// No answer: refused connection, reset, or silence.
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
    /// Takes an outcome.
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
                    let pause = INITIAL_EJECTION * 2_u32.saturating_pow(self.ejections);
                    self.ejected_until = Some(now + pause.min(MAX_EJECTION));
                    self.ejections = (self.ejections + 1).min(8);
                }
            }
        }
    }

    /// Whether the target may be sent work; after a pause it may, so that its return is noticed.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
    }

    /// When it last gave a whole answer.
    pub const fn answered_at(&self) -> Option<Timestamp> {
        self.answered_at
    }

    /// Share of recent requests that failed.
    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
