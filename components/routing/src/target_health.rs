//! Health of a target by the outcomes of what it was sent.

use std::time::Duration;

use base::Timestamp;

/// Weight of a new outcome in the share of failures.
const SHARE_WEIGHT: f64 = 0.12;
/// Failures without an answer in a row after which a target is left out for a while.
const SILENT_LIMIT: u32 = 2;
/// First time for which it is left out; doubles each time it fails again.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest time for which it is left out before it is tried again.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_000);

/// How a request at a target ended, as far as it says something of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetOutcome {
    /// A whole answer.
    Answered,
    /// An answer that says the target failed.
    Failed,
    /// No answer: refused connection, reset, or silence.
    Silent,
}

/// Health of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failure_share: f64,
    silent_in_row: u32,
    pauses: u32,
    left_out_until: Option<Timestamp>,
    answered_at: Option<Timestamp>,
}

impl TargetHealth {
    /// Takes an outcome.
    pub fn note(&mut self, outcome: TargetOutcome, now: Timestamp) {
        let failed = match outcome {
            TargetOutcome::Answered => 0.0,
            TargetOutcome::Failed | TargetOutcome::Silent => 1.0,
        };
        self.failure_share += SHARE_WEIGHT * (failed - self.failure_share);
        match outcome {
            TargetOutcome::Answered => {
                self.answered_at = Some(now);
                self.silent_in_row = 0;
                self.pauses = 0;
                self.left_out_until = None;
            }
            TargetOutcome::Failed => self.silent_in_row = 0,
            TargetOutcome::Silent => {
                self.silent_in_row += 1;
                if self.silent_in_row >= SILENT_LIMIT {
                    let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.pauses);
                    self.left_out_until = Some(now + pause.min(LONGEST_PAUSE));
                    self.pauses = (self.pauses + 1).min(8);
                }
            }
        }
    }

    /// Whether the target may be sent work; after a pause it may, so that its return is noticed.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.left_out_until.is_none_or(|until| now >= until)
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
