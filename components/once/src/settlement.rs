//! What a side process learns about its calls.

use crate::record::AppendRequest;
use crate::{AttemptId, StoredOutcome};

/// What is known about a call under an idempotency key without running it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PriorOutcome {
    /// It ran; this is the answer, without a body if that was too large to keep.
    Ran(StoredOutcome),
    /// Another attempt claimed it and may have run it.
    Unknown,
    /// The key stands for another request; this one was not run.
    Mismatch,
}

/// First step for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BeginResult {
    /// AppendRequest the claim, and feed the stream's records until the attempt is settled.
    Append {
        /// The attempt.
        attempt: AttemptId,
        /// Its claim.
        claim: AppendRequest,
    },
    /// The answer is known already.
    Known(PriorOutcome),
    /// The stream can't be judged now; the call is not run.
    NotReady,
}

/// End of an attempt's wait.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settlement {
    /// The attempt.
    pub attempt: AttemptId,
    /// What to do.
    pub result: SettlementResult,
}

/// What to do with an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettlementResult {
    /// Its claim is the first: run the call, now and only now.
    Run,
    /// Another claim is the first.
    Lost(PriorOutcome),
    /// Not settled in time: the call is not run, and never will be by this attempt.
    Unsettled,
    /// The claim of an attempt that was given up turned out to be the first: append this, so that
    /// the caller's key is free again.
    Late(AppendRequest),
}
