//! Results that a side process gets for its calls.

use crate::record::AppendRequest;
use crate::{AttemptId, StoredOutcome};

/// Known outcome of a call under an idempotency key that was not run again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PriorOutcome {
    /// The call ran. The response has no body if that was too large to store.
    Ran(StoredOutcome),
    /// Another attempt claimed the call and may have run it.
    Unknown,
    /// The key belongs to a different request; this one was not run.
    Mismatch,
}

/// Result of [`crate::ClaimLog::begin`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BeginResult {
    /// Append the claim and apply the records of the stream until the attempt is settled.
    Append {
        /// Attempt.
        attempt: AttemptId,
        /// Claim of the attempt.
        claim: AppendRequest,
    },
    /// The outcome is already known.
    Known(PriorOutcome),
    /// The stream can't be applied at present; the call is not run.
    NotReady,
}

/// Settlement of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settlement {
    /// Attempt.
    pub attempt: AttemptId,
    /// Result.
    pub result: SettlementResult,
}

/// Result of a settled attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettlementResult {
    /// Its claim is the first one: the call must be run now and only now.
    Run,
    /// Another claim is the first one.
    Lost(PriorOutcome),
    /// Not settled in time: this attempt does not run the call and never will.
    Unsettled,
    /// The claim of an attempt that had already ended turned out to be the first one. The record
    /// must be appended to release the idempotency key.
    Late(AppendRequest),
}
