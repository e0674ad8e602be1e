//! How long a target may be silent before another one is tried.

use std::time::Duration;

/// Shortest patience of a caller of a stream without a further event.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
/// Patience of a caller in objectives.
const PATIENCE_OBJECTIVES: u32 = 4;
/// Patience of a caller in longest pauses.
const PATIENCE_GAPS: u32 = 8;
/// Part of the caller's patience after which a silent target is left, so that another one has as long.
const SILENCE_PART: f64 = 0.45;
/// Part of the caller's patience after which a target that was expected to be slow is left.
const SLOW_SILENCE_PART: f64 = 0.9;
/// Time for a first event, in estimates of it.
const ESTIMATES: f64 = 2.0;
/// Time for a first event beyond the estimates, for what they don't see.
const ALLOWANCE: Duration = Duration::from_millis(400);
/// Time for a plain answer, in estimates of it; service times vary by a factor of five.
const PLAIN_ESTIMATES: f64 = 4.0;
/// Shortest time for a plain answer.
const LEAST_PLAIN: Duration = Duration::from_millis(120);
/// Longest time for a plain answer, as a part of the objective, so that another target can be on time.
const PLAIN_OBJECTIVE_PART: f64 = 0.6;

/// Objectives of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Objectives {
    /// Time until an answer (or the first event of a stream) is late.
    pub answer: Duration,
    /// Longest pause between two events of a stream.
    pub gap: Duration,
}

impl Objectives {
    /// Longest silence of a stream, before or between events, that its caller bears.
    pub fn patience(self) -> Duration {
        LEAST_PATIENCE.max(self.answer * PATIENCE_OBJECTIVES).max(self.gap * PATIENCE_GAPS)
    }

    /// Silence between two events after which another target goes on with a stream.
    pub fn event_limit(self) -> Duration {
        self.patience().mul_f64(SILENCE_PART)
    }

    /// Wait for the first event of a stream that was expected after `estimate_ms`. A target that is only as
    /// slow as expected is not left: another one was not expected to be faster.
    pub fn first_event_limit(self, estimate_ms: f64) -> Duration {
        let estimate = Duration::from_secs_f64(estimate_ms.max(0.0) / 1_000.0);
        let slow = (estimate + ALLOWANCE).min(self.patience().mul_f64(SLOW_SILENCE_PART));
        (estimate.mul_f64(ESTIMATES) + ALLOWANCE).min(self.event_limit()).max(slow)
    }

    /// Wait for a plain answer that was expected after `estimate_ms`.
    pub fn plain_limit(self, estimate_ms: f64) -> Duration {
        let expected = Duration::from_secs_f64(estimate_ms.max(0.0) * PLAIN_ESTIMATES / 1_000.0);
        expected.min(self.answer.mul_f64(PLAIN_OBJECTIVE_PART)).max(LEAST_PLAIN)
    }
}
