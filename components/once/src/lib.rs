//! At-most-once execution of calls with an idempotency key: claims, outcomes and snapshots.
//!
//! A call runs only at the side process whose claim is the first one under its key on the stream
//! `claims`. [`ClaimLog`] applies the records of the stream by offset and settles each pending
//! attempt: it may run, it gets the outcome of an earlier call, or its claim could not be settled
//! in time.

mod claim;
mod claim_log;
mod idempotency_table;
mod record;
mod settlement;

pub use claim::{
    AttemptId, Claim, ClaimKey, Fingerprint, IdempotencyEntry, StoredHeader, StoredOutcome,
};
pub use claim_log::{ClaimLimits, ClaimLog};
pub use record::{
    AppendRequest, CLAIM_RULES_VERSION, CLAIMS_STREAM, ClaimRecord, DecodedClaim, LoggedEntry,
    MAX_CLAIM_RECORD_BYTES, SnapshotPart, encode_claim_envelope,
};
pub use settlement::{BeginResult, PriorOutcome, Settlement, SettlementResult};
