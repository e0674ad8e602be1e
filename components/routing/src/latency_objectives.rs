//! How long a target may be silent before another one is tried.

use std::time::Duration;

/// Shortest patience of a caller of a stream without a further event.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Patience of a caller in objectives.
const CALLER_TIMEOUT_RESPONSES: u32 = 4;
/// Patience of a caller in longest pauses.
const CALLER_TIMEOUT_EVENT_GAPS: u32 = 8;
/// Part of the caller's patience after which a silent target is left, so that another one has as long.
const EVENT_TIMEOUT_SHARE: f64 = 0.45;
/// Part of the caller's patience after which a target that was expected to be slow is left.
const SLOW_TARGET_TIMEOUT_SHARE: f64 = 0.9;
/// Time for a first event, in estimates of it.
const FIRST_EVENT_ESTIMATE_FACTOR: f64 = 2.0;
/// Time for a first event beyond the estimates, for what they don't see.
const FIRST_EVENT_ALLOWANCE: Duration = Duration::from_millis(400);
/// Time for a plain answer, in estimates of it; service times vary by a factor of five.
const PLAIN_ESTIMATE_FACTOR: f64 = 4.0;
/// Shortest time for a plain answer.
const MIN_PLAIN_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest time for a plain answer, as a part of the objective, so that another target can be on time.
const MAX_PLAIN_TIMEOUT_SHARE: f64 = 0.6;

/// Objectives of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LatencyObjectives {
    /// Time until an answer (or the first event of a stream) is late.
    pub response: Duration,
    /// Longest pause between two events of a stream.
    pub event_gap: Duration,
}

impl LatencyObjectives {
    /// Longest silence of a stream, before or between events, that its caller bears.
    pub fn caller_timeout(self) -> Duration {
        MIN_CALLER_TIMEOUT
            .max(self.response * CALLER_TIMEOUT_RESPONSES)
            .max(self.event_gap * CALLER_TIMEOUT_EVENT_GAPS)
    }

    /// Silence between two events after which another target goes on with a stream.
    pub fn event_timeout(self) -> Duration {
        self.caller_timeout().mul_f64(EVENT_TIMEOUT_SHARE)
    }

    /// Wait for the first event of a stream that was expected after `estimate_ms`. A target that is only as
    /// slow as expected is not left: another one was not expected to be faster.
    pub fn first_event_timeout(self, estimate_ms: f64) -> Duration {
        let estimate = Duration::from_secs_f64(estimate_ms.max(0.0) / 1_000.0);
        let slow = (estimate + FIRST_EVENT_ALLOWANCE)
            .min(self.caller_timeout().mul_f64(SLOW_TARGET_TIMEOUT_SHARE));
        (estimate.mul_f64(FIRST_EVENT_ESTIMATE_FACTOR) + FIRST_EVENT_ALLOWANCE)
            .min(self.event_timeout())
            .max(slow)
    }

    /// Wait for a plain answer that was expected after `estimate_ms`.
    pub fn plain_timeout(self, estimate_ms: f64) -> Duration {
        let expected =
            Duration::from_secs_f64(estimate_ms.max(0.0) * PLAIN_ESTIMATE_FACTOR / 1_000.0);
        expected.min(self.response.mul_f64(MAX_PLAIN_TIMEOUT_SHARE)).max(MIN_PLAIN_TIMEOUT)
    }
}
