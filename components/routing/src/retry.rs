//! Which failures may be retried.

use base::ExecutionState;
use wire::RefuseReason;

/// What a call allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// May run more than once: a generation, a safe method, a route marked so.
    Repeatable,
    /// At most once, and the side processes keep a claim under the caller's idempotency key.
    AtMostOnceKeyed,
    /// At most once, without an idempotency key.
    AtMostOnce,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The side process refused it; the call was not run.
    Refused(RefuseReason),
    /// No connection to the side process; nothing was sent.
    NotSent,
    /// The side process answered that the attempt failed.
    Failed(ExecutionState),
    /// The call was sent and the side process did not answer, or its stream broke.
    NoAnswer,
    /// The answer did not match the request.
    Mismatched,
}

/// What to do after a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Another target may be tried, within budget and deadline.
    TryAnother,
    /// The call ends; nothing has run.
    EndNotRun,
    /// The call ends; it may have run.
    EndUnknown,
    /// The call ends; it has run.
    EndRan,
}

/// The rule on retries.
///
/// A call that was not run may go to another target if the reason is one of this target. A call that
/// may have run is tried again only if it may run twice, or if the claim under its idempotency key
/// makes a second run impossible.
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
