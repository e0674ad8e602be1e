//! Admission of requests, and the urgency with which they are sent.

use std::time::Duration;

/// Maximum retry delay, as a share of the time until the deadline.
const MAX_RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;
/// Minimum retry delay, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 100.0;
/// Factor applied to estimates, which are too low by about this much when an engine is busy.
const ESTIMATE_MARGIN: f64 = 1.1;
/// Urgency of requests that are expected to miss their objective.
const LATE_URGENCY: u8 = 8;
/// Urgency of the most urgent requests.
const MOST_URGENT: u8 = 2;
/// Urgency of the least urgent requests that can still meet their objective.
const LEAST_URGENT_ON_TIME: u8 = 6;

/// Remaining time and priority of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slack {
    /// Time until the response misses its objective.
    pub objective: Duration,
    /// Time until the caller gives up.
    pub deadline: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// Admission decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request is sent.
    Send {
        /// Urgency at the target, from 0 (first) to 9.
        urgency: u8,
    },
    /// The request is refused, because the response would arrive after the caller's deadline.
    Refuse {
        /// Retry delay for the caller.
        retry_after: Duration,
    },
}

/// Decides whether to send a request whose first event is expected after `estimate_ms`.
///
/// A request that is expected to miss its objective gets a lower urgency than those that can still
/// meet theirs.
pub fn admit(estimate_ms: f64, slack: Slack) -> Admission {
    let millis = |duration: Duration| duration.as_secs_f64() * 1_000.0;
    let (objective_ms, deadline_ms) = (millis(slack.objective), millis(slack.deadline));
    if estimate_ms * ESTIMATE_MARGIN >= deadline_ms {
        return Admission::Refuse { retry_after: retry_after(estimate_ms, slack.deadline) };
    }
    if estimate_ms > objective_ms {
        return Admission::Send { urgency: LATE_URGENCY };
    }
    Admission::Send { urgency: (MOST_URGENT + slack.priority).min(LEAST_URGENT_ON_TIME) }
}

/// Returns the retry delay of a refused request: the time to complete about half of the work ahead
/// of it, at most the share of its remaining time that a caller is willing to wait.
fn retry_after(estimate_ms: f64, left: Duration) -> Duration {
    let most_ms = left.as_secs_f64() * 1_000.0 * MAX_RETRY_AFTER_SHARE;
    let wait_ms = (estimate_ms / 2.0).max(MIN_RETRY_AFTER_MS).min(most_ms).max(0.0);
    Duration::from_secs_f64(wait_ms / 1_000.0)
}
