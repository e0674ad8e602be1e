//! At-most-once claims and outcomes: replay, settlement, snapshots.
//!
//! A call under an idempotency key runs only at the side process whose claim is the first on the
//! stream `claims`. A [`ClaimLog`] takes the stream's records with their offsets and tells each
//! waiting attempt whether it may run, what a repeated call is answered, or that its claim could
//! not be settled in time.

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
