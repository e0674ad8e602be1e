//! Whether a request is sent, and with which urgency.

use std::time::Duration;

/// Share of the time left that a caller waits at most before it comes back.
const MAX_RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;
/// Shortest advised wait, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 100.0;
/// Estimates are this much too low when an engine is busy.
const ESTIMATE_MARGIN: f64 = 1.1;
/// Urgency of requests that will be late anyway.
const LATE_URGENCY: u8 = 8;
/// Urgency of the most urgent requests.
const MOST_URGENT: u8 = 2;
/// Urgency of the least urgent requests that are still on time.
const LEAST_URGENT_ON_TIME: u8 = 6;

/// Time that a request has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slack {
    /// Until its answer is late.
    pub objective: Duration,
    /// Until its caller is gone.
    pub deadline: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Send it.
    Send {
        /// Urgency within the target, 0 to 9, 0 first.
        urgency: u8,
    },
    /// Refuse it, since its caller would be gone before the answer.
    Refuse {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Decides on a request whose first event is expected after `estimate_ms`.
///
/// A request that will be late goes behind those that can still be on time.
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

/// When a refused caller should come back: when about half of the work in front of it is done, within
/// the share of its time that it is willing to wait.
fn retry_after(estimate_ms: f64, left: Duration) -> Duration {
    let most_ms = left.as_secs_f64() * 1_000.0 * MAX_RETRY_AFTER_SHARE;
    let wait_ms = (estimate_ms / 2.0).max(MIN_RETRY_AFTER_MS).min(most_ms).max(0.0);
    Duration::from_secs_f64(wait_ms / 1_000.0)
}
