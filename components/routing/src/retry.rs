//! Decides which failures may be retried.

use base::ExecutionState;
use wire::RefuseReason;

/// How often a call may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// May run more than once: a generation, a safe method, or a route configured as repeatable.
    Repeatable,
    /// At most once; the side processes store a claim under the caller's idempotency key.
    AtMostOnceKeyed,
    /// At most once, without an idempotency key.
    AtMostOnce,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The side process refused the call; it did not run.
    Refused(RefuseReason),
    /// The connection to the side process failed; nothing was sent.
    NotSent,
    /// The side process reported that the attempt failed.
    Failed(ExecutionState),
    /// The call was sent, and there was no response or the stream broke.
    NoAnswer,
    /// The response did not match the request.
    Mismatched,
}

/// Action after a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Try another target, within the retry budget and the deadline.
    TryAnother,
    /// End the call; it did not run.
    EndNotRun,
    /// End the call; it may have run.
    EndUnknown,
    /// End the call; it has run.
    EndRan,
}

/// Decides whether a failed call is retried.
///
/// A call that did not run is sent to another target if the reason concerns this target only. A
/// call that may have run is retried only if it may run more than once, or if the claim under its
/// idempotency key prevents a second run.
pub const fn retry_decision(call: CallKind, failure: Failure) -> RetryDecision {
    match failure {
        Failure::NotSent => RetryDecision::TryAnother,
        Failure::Refused(reason) => match reason {
            RefuseReason::Draining
            | RefuseReason::NoCapacity
            | RefuseReason::QueueFull
            | RefuseReason::TargetUnhealthy
            | RefuseReason::Unknown => RetryDecision::TryAnother,
            RefuseReason::ClaimUnsettled
            | RefuseReason::DeadlineTooShort
            | RefuseReason::IdempotencyMismatch
            | RefuseReason::LogUnavailable => RetryDecision::EndNotRun,
        },
        Failure::Failed(ExecutionState::NotRun) => RetryDecision::TryAnother,
        Failure::Failed(ExecutionState::Ran) => match call {
            CallKind::Repeatable => RetryDecision::TryAnother,
            CallKind::AtMostOnce | CallKind::AtMostOnceKeyed => RetryDecision::EndRan,
        },
        Failure::Failed(ExecutionState::Unknown) => match call {
            CallKind::Repeatable => RetryDecision::TryAnother,
            CallKind::AtMostOnce | CallKind::AtMostOnceKeyed => RetryDecision::EndUnknown,
        },
        Failure::NoAnswer | Failure::Mismatched => match call {
            CallKind::Repeatable | CallKind::AtMostOnceKeyed => RetryDecision::TryAnother,
            CallKind::AtMostOnce => RetryDecision::EndUnknown,
        },
    }
}
