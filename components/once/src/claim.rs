//! ClaimLog on idempotency keys and their entries.

use base::ProcessId;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What a caller's idempotency key stands for.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// Customer that the call runs for; empty on a public route.
    pub customer: CompactString,
    /// Route.
    pub route: CompactString,
    /// SHA-256 of the caller's key.
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

/// One try of one process to run a call; never used again after a restart.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// Process and run that would run the call.
    pub process: ProcessId,
    /// Number within the run.
    pub number: u64,
}

/// SHA-256 of what a call asks for; calls under one key must not differ in it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fingerprint(pub [u8; 32]);

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), path_and_query.as_bytes(), body] {
            // The length keeps two requests apart that share the concatenation of their parts.
            hasher.update(part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

/// Intent to run a call; the first one under a key may run it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Who would run it.
    pub attempt: AttemptId,
    /// What the caller's key stands for.
    pub key: ClaimKey,
    /// What the call asks for.
    pub fingerprint: Fingerprint,
    /// When the claim was made, by the writer's wall clock, in milliseconds.
    pub claimed_unix_ms: u64,
    /// Until when the claim stands, in milliseconds.
    pub expires_unix_ms: u64,
}

/// A header field of a stored answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredHeader {
    /// Lower-case name.
    pub name: CompactString,
    /// Value.
    pub value: Vec<u8>,
}

/// The answer of a call that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredOutcome {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<StoredHeader>,
    /// Body; none if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// The first claim under a key, with its outcome if there is one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IdempotencyEntry {
    /// The claim.
    pub claim: Claim,
    /// Its outcome.
    pub outcome: Option<StoredOutcome>,
}
