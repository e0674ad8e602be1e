//! Record types of the log stream `slots`.

use base::{Incarnation, Offset, ProcessId, ProcessName};
use compact_str::CompactString;
use config::BucketLayout;
use membership::TerminationProof;
use serde::{Deserialize, Serialize};
use wire::{SlotId, WireError, decode, encode};

use crate::MicroTokens;

/// A record with the identity of its writer.
///
/// An append whose response is lost may be retried, and the log then stores both copies; readers
/// ignore the second. `sequence` increases with each record of one incarnation of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotEntry {
    /// Writer.
    pub writer: ProcessId,
    /// Sequence number within the writer's incarnation, from 1.
    pub sequence: u64,
    /// Content.
    pub record: SlotRecord,
}

/// Content of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SlotRecord {
    /// The writer claims a slot.
    Claimed {
        /// Slot.
        slot: SlotId,
        /// Bucket layout in the writer's configuration.
        layout: BucketLayoutRecord,
        /// Current owner, if any, with the proof that its incarnation has ended.
        replaces: Option<ReplacedOwner>,
    },
    /// The writer, which owns the slot, releases it; it has granted nothing since it created this
    /// record.
    Released {
        /// Slot.
        slot: SlotId,
        /// Owner from this record on; if none, the slot becomes free.
        to: Option<ProcessId>,
        /// Buckets that are not full.
        levels: Vec<CustomerLevel>,
        /// Milliseconds until each open permit for a load from the weight store expires.
        permit_holds_ms: Vec<u32>,
    },
    /// State of the ledger up to an offset of the stream.
    Snapshot(SlotSnapshot),
}

/// Bucket layout as recorded in the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BucketLayoutRecord {
    /// Number of partitions over which customers are hashed.
    pub partitions: u16,
    /// Number of slots in each bucket.
    pub slots: u16,
}

impl From<BucketLayout> for BucketLayoutRecord {
    fn from(layout: BucketLayout) -> Self {
        Self { partitions: layout.partitions, slots: layout.slots }
    }
}

/// Level of a customer's bucket in a released slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CustomerLevel {
    /// Customer.
    pub customer: CompactString,
    /// Level when the slot was released.
    pub level: MicroTokens,
}

/// Former owner of a claimed slot, with the proof that its incarnation has ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplacedOwner {
    /// Owner that the claim replaces; the claim is void if the slot has a different owner.
    pub owner: ProcessId,
    /// Proof that the owner's incarnation has ended.
    pub proof: TerminationProof,
}

/// State of the ledger up to an offset.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotSnapshot {
    /// Last offset that the state includes.
    pub through: Offset,
    /// Bucket layout in the first claim of the stream.
    pub first_layout: Option<BucketLayoutRecord>,
    /// Slots that have been claimed at least once, in order.
    pub slots: Vec<SnapshotSlot>,
    /// Position of each writer, by name.
    pub writers: Vec<WriterPosition>,
}

/// One slot in a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotSlot {
    /// Slot.
    pub slot: SlotId,
    /// State.
    pub state: crate::SlotState,
}

/// Last record of one writer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriterPosition {
    /// Process name of the writer.
    pub name: ProcessName,
    /// Newest incarnation that has written.
    pub incarnation: Incarnation,
    /// Its last sequence number.
    pub sequence: u64,
    /// Offset of that record.
    pub offset: Offset,
}

impl SlotEntry {
    /// Returns the record ID for the log service.
    pub fn id(&self) -> CompactString {
        compact_str::format_compact!("{}/{}", self.writer, self.sequence)
    }

    /// Encodes the entry as the payload of a log record.
    ///
    /// # Errors
    ///
    /// `TooLarge` if it exceeds the size limit of a message.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        encode(self)
    }

    /// Decodes the payload of a log record.
    ///
    /// # Errors
    ///
    /// `Malformed` if the payload is no slot entry.
    pub fn decode(payload: &[u8]) -> Result<Self, WireError> {
        decode(payload)
    }
}
