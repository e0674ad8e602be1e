//! Records of the stream `claims`.

use base::Offset;
use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use compact_str::{CompactString, format_compact};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{AttemptId, Claim, ClaimKey, IdempotencyEntry, StoredOutcome};

/// Name of the stream.
pub const CLAIMS_STREAM: &str = "claims";
/// Number of the rules by which this program reads the stream; see
/// [`crate::ClaimLog::newer_rules`].
pub const CLAIM_RULES_VERSION: u32 = 1;
/// Largest record in bytes.
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
        /// Who ran it.
        attempt: AttemptId,
        /// PriorOutcome.
        outcome: StoredOutcome,
    },
    /// The call was not run by this attempt and never will be; the key is free again.
    Release {
        /// Key of the claim.
        key: ClaimKey,
        /// Who had claimed it.
        attempt: AttemptId,
    },
    /// Part of the state through an offset.
    Snapshot(SnapshotPart),
}

/// Part of a snapshot; one record can't hold the entries of a busy day.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotPart {
    /// Writer and number of the snapshot.
    pub id: AttemptId,
    /// Last record included.
    pub through: Offset,
    /// Position of this part, from zero.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// IdempotencyTable, in the order of their claims.
    pub entries: Vec<LoggedEntry>,
}

/// A entry with the offset of its claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoggedEntry {
    /// Offset of the claim.
    pub offset: Offset,
    /// IdempotencyEntry.
    pub entry: IdempotencyEntry,
}

/// A record to append, with the writer's id for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppendRequest {
    /// Id of the record, the same on each attempt to append it.
    pub id: CompactString,
    /// Content.
    pub payload: Vec<u8>,
}

#[derive(Deserialize, Serialize)]
struct Envelope {
    rules: u32,
    body: Vec<u8>,
}

/// What the bytes of a record hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodedClaim {
    /// A record under the rules of this program.
    Record(ClaimRecord),
    /// A record under rules that this program does not know.
    UnsupportedRules {
        /// Number of the rules.
        rules: u32,
    },
    /// No record.
    Malformed,
}

const fn codec() -> Configuration<LittleEndian, Varint, Limit<MAX_CLAIM_RECORD_BYTES>> {
    bincode::config::standard().with_limit::<MAX_CLAIM_RECORD_BYTES>()
}

impl ClaimRecord {
    /// Encodes the record; `None` if it exceeds [`MAX_CLAIM_RECORD_BYTES`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let body = bincode::serde::encode_to_vec(self, codec()).ok()?;
        encode_claim_envelope(CLAIM_RULES_VERSION, body)
    }

    /// Decodes the bytes of a record.
    pub fn decode(payload: &[u8]) -> DecodedClaim {
        let Some(envelope) = decode_whole::<Envelope>(payload) else {
            return DecodedClaim::Malformed;
        };
        if envelope.rules != CLAIM_RULES_VERSION {
            return DecodedClaim::UnsupportedRules { rules: envelope.rules };
        }
        decode_whole(&envelope.body).map_or(DecodedClaim::Malformed, DecodedClaim::Record)
    }

    /// Id of the record for the log.
    pub(crate) fn id(&self) -> CompactString {
        let text = |kind: &str, attempt: &AttemptId| {
            format_compact!("{kind}#{}#{}", attempt.process, attempt.number)
        };
        match self {
            Self::Claim(claim) => text("claim", &claim.attempt),
            Self::Outcome { attempt, .. } => text("outcome", attempt),
            Self::Release { attempt, .. } => text("release", attempt),
            Self::Snapshot(part) => format_compact!("{}#{}", text("snapshot", &part.id), part.part),
        }
    }

    /// The record as something to append; `None` as for [`ClaimRecord::encode`].
    pub(crate) fn to_append(&self) -> Option<AppendRequest> {
        Some(AppendRequest { id: self.id(), payload: self.encode()? })
    }
}

/// Encodes the outer layer of a record; `body` is the content under `rules`.
///
/// `None` if it exceeds [`MAX_CLAIM_RECORD_BYTES`].
pub fn encode_claim_envelope(rules: u32, body: Vec<u8>) -> Option<Vec<u8>> {
    let bytes = bincode::serde::encode_to_vec(Envelope { rules, body }, codec()).ok()?;
    (bytes.len() <= MAX_CLAIM_RECORD_BYTES).then_some(bytes)
}

fn decode_whole<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, used) = bincode::serde::decode_from_slice(bytes, codec()).ok()?;
    (used == bytes.len()).then_some(value)
}
