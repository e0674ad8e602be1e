//! Records of the stream `config`.

use base::{Offset, ProcessId};
use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use compact_str::{CompactString, format_compact};
use config::{AddedKey, SourceFile};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::Snapshot;

/// Name of the stream.
pub const CONFIG_STREAM: &str = "config";
/// Number of the rules by which this program judges changes.
///
/// The verdicts under one number never change; a change of the checks takes a new number.
pub const RULES_VERSION: u32 = 1;
/// Largest record in bytes; a snapshot must fit one message between processes.
pub const MAX_RECORD_BYTES: usize = (1 << 20) - 4_096;

/// Identity that a writer gives to a record, the same on each attempt to append it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RecordId(pub CompactString);

impl RecordId {
    /// The identity of the writer's record number `sequence`.
    pub fn new(writer: &ProcessId, sequence: u64) -> Self {
        Self(format_compact!("{}#{}#{sequence}", writer.name, writer.incarnation))
    }
}

/// A record as it stands on the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Writer's identity.
    pub id: RecordId,
    /// Content.
    pub change: Change,
}

/// A change of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// New base file and overlays.
    Files {
        /// Version that the files were made from; 0 for the first files.
        base_version: Offset,
        /// Base file.
        base: SourceFile,
        /// Overlays.
        overlays: Vec<SourceFile>,
    },
    /// Adds one key to the version in force.
    AddKey(AddedKey),
    /// Withdraws one key from the version in force.
    WithdrawKey {
        /// Name of the key.
        name: CompactString,
    },
    /// State through an earlier offset; changes nothing.
    Snapshot(Box<Snapshot>),
}

/// Outer layer of a record, the same under all rules.
#[derive(Deserialize, Serialize)]
struct Envelope {
    rules: u32,
    id: RecordId,
    body: Vec<u8>,
}

/// What the bytes of a record hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodedRecord {
    /// A record under the rules of this program.
    Record(Record),
    /// A record under rules that this program does not know.
    UnsupportedRules {
        /// Number of the rules.
        rules: u32,
    },
    /// No record.
    Malformed,
}

const fn codec() -> Configuration<LittleEndian, Varint, Limit<MAX_RECORD_BYTES>> {
    bincode::config::standard().with_limit::<MAX_RECORD_BYTES>()
}

impl Record {
    /// Encodes the record under the rules of this program.
    ///
    /// `None` if it exceeds [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let body = bincode::serde::encode_to_vec(&self.change, codec()).ok()?;
        encode_envelope(RULES_VERSION, &self.id, body)
    }

    /// Decodes the bytes of a record.
    pub fn decode(payload: &[u8]) -> DecodedRecord {
        let Some(envelope) = decode_whole::<Envelope>(payload) else {
            return DecodedRecord::Malformed;
        };
        if envelope.rules != RULES_VERSION {
            return DecodedRecord::UnsupportedRules { rules: envelope.rules };
        }
        match decode_whole(&envelope.body) {
            Some(change) => DecodedRecord::Record(Self { id: envelope.id, change }),
            None => DecodedRecord::Malformed,
        }
    }
}

/// Encodes the outer layer of a record; `body` is the content under `rules`.
///
/// `None` if it exceeds [`MAX_RECORD_BYTES`].
pub fn encode_envelope(rules: u32, id: &RecordId, body: Vec<u8>) -> Option<Vec<u8>> {
    let envelope = Envelope { rules, id: id.clone(), body };
    let bytes = bincode::serde::encode_to_vec(envelope, codec()).ok()?;
    (bytes.len() <= MAX_RECORD_BYTES).then_some(bytes)
}

fn decode_whole<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, used) = bincode::serde::decode_from_slice(bytes, codec()).ok()?;
    (used == bytes.len()).then_some(value)
}
