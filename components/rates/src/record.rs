//! Records of the log stream `slots`.

use base::{Incarnation, Offset, ProcessId, ProcessName};
use compact_str::CompactString;
use config::BucketLayout;
use membership::TerminationProof;
use serde::{Deserialize, Serialize};
use wire::{SlotId, WireError, decode, encode};

use crate::MicroTokens;

/// A record with the identity of its writer.
///
/// An append whose answer is lost may be sent again, and the log then keeps both; readers drop the
/// second. `sequence` rises with each record of one run of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotEntry {
    /// Writer.
    pub writer: ProcessId,
    /// Number of the record among those of the writer's run, from 1.
    pub sequence: u64,
    /// Content.
    pub record: SlotRecord,
}

/// Content of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SlotRecord {
    /// The writer takes a slot.
    Claimed {
        /// Slot.
        slot: SlotId,
        /// Split of the buckets in the writer's configuration.
        layout: BucketLayoutRecord,
        /// Owner that is proven dead, if the slot had one.
        replaces: Option<ReplacedOwner>,
    },
    /// The writer, its owner, lets go of a slot and has granted nothing since it wrote this.
    Released {
        /// Slot.
        slot: SlotId,
        /// Process that owns the slot from this record on; none leaves it free.
        to: Option<ProcessId>,
        /// Buckets that are not full.
        levels: Vec<CustomerLevel>,
        /// Milliseconds until each open permit for a load from the weight store runs out.
        permit_holds_ms: Vec<u32>,
    },
    /// State through an offset of the stream.
    Snapshot(SlotSnapshot),
}

/// Split of the buckets, as recorded.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BucketLayoutRecord {
    /// Partitions of customers.
    pub partitions: u16,
    /// Slots of each bucket.
    pub slots: u16,
}

impl From<BucketLayout> for BucketLayoutRecord {
    fn from(layout: BucketLayout) -> Self {
        Self { partitions: layout.partitions, slots: layout.slots }
    }
}

/// Level of one customer's bucket in a released slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CustomerLevel {
    /// Customer.
    pub customer: CompactString,
    /// Level when the slot was released.
    pub level: MicroTokens,
}

/// Former owner of a claimed slot, with the proof that its run has ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplacedOwner {
    /// Owner that the claim replaces; the claim is void if the slot has another one.
    pub owner: ProcessId,
    /// Proof.
    pub proof: TerminationProof,
}

/// State of the ledger through an offset.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotSnapshot {
    /// Last offset that the state covers.
    pub through: Offset,
    /// Split of the buckets in the first claim on the stream.
    pub first_layout: Option<BucketLayoutRecord>,
    /// Slots that were ever claimed, in order.
    pub slots: Vec<SnapshotSlot>,
    /// Last record of each writer, by name.
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
    /// Name.
    pub name: ProcessName,
    /// Newest run that has written.
    pub incarnation: Incarnation,
    /// Its last sequence number.
    pub sequence: u64,
    /// Offset of that record.
    pub offset: Offset,
}

impl SlotEntry {
    /// Identity for the log service.
    pub fn id(&self) -> CompactString {
        compact_str::format_compact!("{}/{}", self.writer, self.sequence)
    }

    /// Encodes the entry as the payload of a log record.
    ///
    /// # Errors
    ///
    /// `TooLarge` above the limit of a message.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        encode(self)
    }

    /// Decodes a payload.
    ///
    /// # Errors
    ///
    /// `Malformed` for anything else.
    pub fn decode(payload: &[u8]) -> Result<Self, WireError> {
        decode(payload)
    }
}
