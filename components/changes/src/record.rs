//! Records of the stream `config`.

use base::{Offset, ProcessId};
use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use compact_str::{CompactString, format_compact};
use config::{AddedKey, SourceFile};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::Snapshot;

/// Name of the configuration stream.
pub const CONFIG_STREAM: &str = "config";
/// Version of the rules by which this program checks changes.
///
/// The verdicts under one version never change; any change of the checks needs a new version.
pub const RULES_VERSION: u32 = 1;
/// Size limit of a record in bytes; a snapshot must fit into one message between processes.
pub const MAX_RECORD_BYTES: usize = (1 << 20) - 4_096;

/// Record id assigned by the writer; the same on each attempt to append the record.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RecordId(pub CompactString);

impl RecordId {
    /// Creates the id of the writer's record number `sequence`.
    pub fn new(writer: &ProcessId, sequence: u64) -> Self {
        Self(format_compact!("{}#{}#{sequence}", writer.name, writer.incarnation))
    }
}

/// A record of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Record id assigned by the writer.
    pub id: RecordId,
    /// Content.
    pub change: Change,
}

/// A configuration change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// New base file and overlays.
    Files {
        /// Version on which the files are based; 0 for the first files.
        base_version: Offset,
        /// Base file.
        base: SourceFile,
        /// Overlays.
        overlays: Vec<SourceFile>,
    },
    /// Adds an API key to the version in force.
    AddKey(AddedKey),
    /// Withdraws an API key from the version in force.
    WithdrawKey {
        /// Name of the key.
        name: CompactString,
    },
    /// State after the records through an earlier offset; changes nothing.
    Snapshot(Box<Snapshot>),
}

/// Envelope of a record, the same under all rules versions.
#[derive(Deserialize, Serialize)]
struct Envelope {
    rules: u32,
    id: RecordId,
    body: Vec<u8>,
}

/// Result of decoding a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodedRecord {
    /// A record under the rules version of this program.
    Record(Record),
    /// A record under another rules version.
    UnsupportedRules {
        /// Rules version.
        rules: u32,
    },
    /// Not a valid record.
    Malformed,
}

const fn codec() -> Configuration<LittleEndian, Varint, Limit<MAX_RECORD_BYTES>> {
    bincode::config::standard().with_limit::<MAX_RECORD_BYTES>()
}

impl Record {
    /// Encodes the record under the rules version of this program.
    ///
    /// Returns `None` if it exceeds [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let body = bincode::serde::encode_to_vec(&self.change, codec()).ok()?;
        encode_envelope(RULES_VERSION, &self.id, body)
    }

    /// Decodes a record.
    pub fn decode(payload: &[u8]) -> DecodedRecord {
        let Some(envelope) = decode_exact::<Envelope>(payload) else {
            return DecodedRecord::Malformed;
        };
        if envelope.rules != RULES_VERSION {
            return DecodedRecord::UnsupportedRules { rules: envelope.rules };
        }
        match decode_exact(&envelope.body) {
            Some(change) => DecodedRecord::Record(Self { id: envelope.id, change }),
            None => DecodedRecord::Malformed,
        }
    }
}

/// Encodes the envelope of a record, where `body` is the content under the rules version `rules`.
///
/// Returns `None` if it exceeds [`MAX_RECORD_BYTES`].
pub fn encode_envelope(rules: u32, id: &RecordId, body: Vec<u8>) -> Option<Vec<u8>> {
    let envelope = Envelope { rules, id: id.clone(), body };
    let bytes = bincode::serde::encode_to_vec(envelope, codec()).ok()?;
    (bytes.len() <= MAX_RECORD_BYTES).then_some(bytes)
}

fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, used) = bincode::serde::decode_from_slice(bytes, codec()).ok()?;
    (used == bytes.len()).then_some(value)
}
