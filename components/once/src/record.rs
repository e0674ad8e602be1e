//! Records of the stream `claims`.

use base::Offset;
use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use compact_str::{CompactString, format_compact};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{AttemptId, Claim, ClaimKey, IdempotencyEntry, StoredOutcome};

/// Name of the claims stream.
pub const CLAIMS_STREAM: &str = "claims";
/// Version of the rules by which this program applies the stream; see
/// [`crate::ClaimLog::newer_rules`].
pub const CLAIM_RULES_VERSION: u32 = 1;
/// Size limit of a record in bytes.
pub const MAX_CLAIM_RECORD_BYTES: usize = 1 << 20;

/// Content of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimRecord {
    /// Intent to run a call.
    Claim(Claim),
    /// The call ran.
    Outcome {
        /// Key of the claim.
        key: ClaimKey,
        /// Attempt that ran it.
        attempt: AttemptId,
        /// Outcome.
        outcome: StoredOutcome,
    },
    /// The attempt did not run the call and never will; the key is released.
    Release {
        /// Key of the claim.
        key: ClaimKey,
        /// Attempt that made the claim.
        attempt: AttemptId,
    },
    /// Part of the state after the records through an offset.
    Snapshot(SnapshotPart),
}

/// Part of a snapshot; the entries of a busy day do not fit into one record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotPart {
    /// Identity of the snapshot: its writer and a sequence number.
    pub id: AttemptId,
    /// Offset of the last record included.
    pub through: Offset,
    /// Index of this part, from zero.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Entries in the order of their claims.
    pub entries: Vec<LoggedEntry>,
}

/// Entry with the offset of its claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoggedEntry {
    /// Offset of the claim.
    pub offset: Offset,
    /// Entry.
    pub entry: IdempotencyEntry,
}

/// Record to append to the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppendRequest {
    /// Record id; the same on each attempt to append the record.
    pub id: CompactString,
    /// Content.
    pub payload: Vec<u8>,
}

#[derive(Deserialize, Serialize)]
struct Envelope {
    rules: u32,
    body: Vec<u8>,
}

/// Result of decoding a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodedClaim {
    /// A record under the rules version of this program.
    Record(ClaimRecord),
    /// A record under another rules version.
    UnsupportedRules {
        /// Rules version.
        rules: u32,
    },
    /// Not a valid record.
    Malformed,
}

const fn codec() -> Configuration<LittleEndian, Varint, Limit<MAX_CLAIM_RECORD_BYTES>> {
    bincode::config::standard().with_limit::<MAX_CLAIM_RECORD_BYTES>()
}

impl ClaimRecord {
    /// Encodes the record; returns `None` if it exceeds [`MAX_CLAIM_RECORD_BYTES`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let body = bincode::serde::encode_to_vec(self, codec()).ok()?;
        encode_claim_envelope(CLAIM_RULES_VERSION, body)
    }

    /// Decodes a record.
    pub fn decode(payload: &[u8]) -> DecodedClaim {
        let Some(envelope) = decode_exact::<Envelope>(payload) else {
            return DecodedClaim::Malformed;
        };
        if envelope.rules != CLAIM_RULES_VERSION {
            return DecodedClaim::UnsupportedRules { rules: envelope.rules };
        }
        decode_exact(&envelope.body).map_or(DecodedClaim::Malformed, DecodedClaim::Record)
    }

    /// Returns the id of the record on the log.
    pub(crate) fn id(&self) -> CompactString {
        let id_text = |kind: &str, attempt: &AttemptId| {
            format_compact!("{kind}#{}#{}", attempt.process, attempt.number)
        };
        match self {
            Self::Claim(claim) => id_text("claim", &claim.attempt),
            Self::Outcome { attempt, .. } => id_text("outcome", attempt),
            Self::Release { attempt, .. } => id_text("release", attempt),
            Self::Snapshot(part) => {
                format_compact!("{}#{}", id_text("snapshot", &part.id), part.part)
            }
        }
    }

    /// Converts the record to an append request; returns `None` in the cases of
    /// [`ClaimRecord::encode`].
    pub(crate) fn to_append(&self) -> Option<AppendRequest> {
        Some(AppendRequest { id: self.id(), payload: self.encode()? })
    }
}

/// Encodes the envelope of a record, where `body` is the content under the rules version `rules`.
///
/// Returns `None` if it exceeds [`MAX_CLAIM_RECORD_BYTES`].
pub fn encode_claim_envelope(rules: u32, body: Vec<u8>) -> Option<Vec<u8>> {
    let bytes = bincode::serde::encode_to_vec(Envelope { rules, body }, codec()).ok()?;
    (bytes.len() <= MAX_CLAIM_RECORD_BYTES).then_some(bytes)
}

fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, used) = bincode::serde::decode_from_slice(bytes, codec()).ok()?;
    (used == bytes.len()).then_some(value)
}
