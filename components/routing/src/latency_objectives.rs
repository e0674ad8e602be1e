//! Latency objectives of a request, and the timeouts after which another target is tried.

use std::time::Duration;

/// Minimum time that the caller of a stream is assumed to wait for the next event.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a caller is assumed to wait, as a multiple of the response objective.
const CALLER_TIMEOUT_RESPONSES: u32 = 4;
/// Time that a caller is assumed to wait, as a multiple of the event gap objective.
const CALLER_TIMEOUT_EVENT_GAPS: u32 = 8;
/// Share of the caller timeout after which a silent target is abandoned, so that another target has
/// the same time.
const EVENT_TIMEOUT_SHARE: f64 = 0.45;
/// Share of the caller timeout after which a target that was expected to be slow is abandoned.
const SLOW_TARGET_TIMEOUT_SHARE: f64 = 0.9;
/// Timeout of the first event, as a multiple of its estimate.
const FIRST_EVENT_ESTIMATE_FACTOR: f64 = 2.0;
/// Time added to the first event timeout for delays that the estimate does not include.
const FIRST_EVENT_ALLOWANCE: Duration = Duration::from_millis(400);
/// Timeout of a plain response, as a multiple of its estimate; service times vary by a factor of
/// five.
const PLAIN_ESTIMATE_FACTOR: f64 = 4.0;
/// Minimum timeout of a plain response.
const MIN_PLAIN_TIMEOUT: Duration = Duration::from_millis(120);
/// Maximum timeout of a plain response, as a share of the response objective, so that another
/// target can still meet it.
const MAX_PLAIN_TIMEOUT_SHARE: f64 = 0.6;

/// Latency objectives of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LatencyObjectives {
    /// Maximum time until the response, or the first event of a stream.
    pub response: Duration,
    /// Maximum time between two events of a stream.
    pub event_gap: Duration,
}

impl LatencyObjectives {
    /// Returns how long the caller of a stream is assumed to wait for the first or the next event.
    pub fn caller_timeout(self) -> Duration {
        MIN_CALLER_TIMEOUT
            .max(self.response * CALLER_TIMEOUT_RESPONSES)
            .max(self.event_gap * CALLER_TIMEOUT_EVENT_GAPS)
    }

    /// Returns the time without an event after which another target continues a stream.
    pub fn event_timeout(self) -> Duration {
        self.caller_timeout().mul_f64(EVENT_TIMEOUT_SHARE)
    }

    /// Returns the timeout of the first event of a stream that is expected after `estimate_ms`.
    ///
    /// A target that is only as slow as expected is not abandoned, since no other target was
    /// expected to be faster.
    pub fn first_event_timeout(self, estimate_ms: f64) -> Duration {
        let estimate = Duration::from_secs_f64(estimate_ms.max(0.0) / 1_000.0);
        let slow = (estimate + FIRST_EVENT_ALLOWANCE)
            .min(self.caller_timeout().mul_f64(SLOW_TARGET_TIMEOUT_SHARE));
        (estimate.mul_f64(FIRST_EVENT_ESTIMATE_FACTOR) + FIRST_EVENT_ALLOWANCE)
            .min(self.event_timeout())
            .max(slow)
    }

    /// Returns the timeout of a plain response that is expected after `estimate_ms`.
    pub fn plain_timeout(self, estimate_ms: f64) -> Duration {
        let expected =
            Duration::from_secs_f64(estimate_ms.max(0.0) * PLAIN_ESTIMATE_FACTOR / 1_000.0);
        expected.min(self.response.mul_f64(MAX_PLAIN_TIMEOUT_SHARE)).max(MIN_PLAIN_TIMEOUT)
    }
}
