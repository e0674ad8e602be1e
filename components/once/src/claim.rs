//! Claims on idempotency keys and their outcomes.

use base::ProcessId;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Scope and hash of a caller's idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// Customer on whose behalf the call runs; empty on a public route.
    pub customer: CompactString,
    /// Route.
    pub route: CompactString,
    /// SHA-256 of the caller's idempotency key.
    pub key_sha256: [u8; 32],
}

impl ClaimKey {
    pub(crate) fn hash(&self) -> u64 {
        let mut bytes = Vec::with_capacity(self.customer.len() + self.route.len() + 34);
        for part in [self.customer.as_bytes(), self.route.as_bytes(), &self.key_sha256] {
            bytes.extend_from_slice(part);
            bytes.push(0);
        }
        base::hash_bytes(&bytes)
    }
}

/// Attempt of a process to run a call; an id is never reused after a restart.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// Process and incarnation that would run the call.
    pub process: ProcessId,
    /// Sequence number within the incarnation.
    pub number: u64,
}

/// SHA-256 of the content of a call. Calls under the same idempotency key must have the same
/// fingerprint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fingerprint(pub [u8; 32]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), path_and_query.as_bytes(), body] {
            // The length prefix distinguishes requests whose concatenated parts are equal.
            hasher.update(part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

/// Intent to run a call. The first claim under a key may run it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Attempt that would run the call.
    pub attempt: AttemptId,
    /// Idempotency key.
    pub key: ClaimKey,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Wall-clock time of the writer when the claim was made, in milliseconds.
    pub claimed_unix_ms: u64,
    /// Time at which the claim expires, in milliseconds.
    pub expires_unix_ms: u64,
}

/// Header field of a stored response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredHeader {
    /// Name in lower case.
    pub name: CompactString,
    /// Value.
    pub value: Vec<u8>,
}

/// Response of a call that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredOutcome {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<StoredHeader>,
    /// Body; `None` if it was too large to store.
    pub body: Option<Vec<u8>>,
}

/// First claim under an idempotency key, with its outcome if there is one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IdempotencyEntry {
    /// Claim.
    pub claim: Claim,
    /// Outcome of the claim.
    pub outcome: Option<StoredOutcome>,
}
