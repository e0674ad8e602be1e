//! At-most-once claims and outcomes: replay, settlement, snapshots.
//!
//! A call under an idempotency key runs only at the side process whose claim is the first on the
//! stream `claims`. A [`Claims`] takes the stream's records with their offsets and tells each
//! waiting attempt whether it may run, what a repeated call is answered, or that its claim could not
//! be settled in time.

mod claim;
mod claims;
mod marks;
mod record;
mod settlement;

pub use claim::{AttemptId, Claim, ClaimKey, Fingerprint, Mark, StoredHeader, StoredOutcome};
pub use claims::{ClaimLimits, Claims};
pub use record::{
    Append, CLAIM_RULES, CLAIMS_STREAM, ClaimRecord, DecodedClaim, MAX_CLAIM_RECORD_BYTES,
    PlacedMark, SnapshotPart, encode_claim_envelope,
};
pub use settlement::{Answer, Begin, Settlement, SettlementResult};
