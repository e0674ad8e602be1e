//! Label values of metrics.

use wire::RefuseReason;

/// Label value for a refusal reason.
pub(crate) const fn refuse_label(reason: RefuseReason) -> &'static str {
    match reason {
        RefuseReason::ClaimUnsettled => "claim_unsettled",
        RefuseReason::DeadlineTooShort => "deadline_too_short",
        RefuseReason::Draining => "draining",
        RefuseReason::IdempotencyMismatch => "idempotency_mismatch",
        RefuseReason::LogUnavailable => "log_unavailable",
        RefuseReason::NoCapacity => "no_capacity",
        RefuseReason::TargetUnhealthy => "target_unhealthy",
        RefuseReason::QueueFull => "queue_full",
        RefuseReason::Unknown => "unknown",
    }
}
