//! Slot ownership, replayed from the log stream `slots`.

use base::{Offset, ProcessId, ProcessName, SortedMap};
use config::BucketLayout;
use serde::{Deserialize, Serialize};
use wire::SlotId;

use crate::record::{BucketLayoutRecord, SnapshotSlot};
use crate::{CustomerLevel, ReplacedOwner, SlotEntry, SlotRecord, SlotSnapshot, WriterPosition};

/// Largest number of writer positions kept; the one with the oldest last record is evicted first.
const MAX_WRITERS: usize = 2_048;

/// Bucket levels at which a new owner starts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Opening {
    /// Every bucket is full: the slot was never owned.
    Full,
    /// Every bucket is empty: the last owner crashed, or the bucket layout changed.
    Empty,
    /// The last owner released the slot: buckets that are not listed are full.
    Levels {
        /// Buckets that are not full.
        levels: Vec<CustomerLevel>,
        /// Milliseconds until each open permit for a load from the weight store expires.
        permit_holds_ms: Vec<u32>,
    },
}

/// State of one slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SlotState {
    /// Released; the first claim in the log gets it.
    Free {
        /// Levels for the next owner.
        opening: Opening,
    },
    /// Owned by a process.
    Owned {
        /// Owner.
        owner: ProcessId,
        /// Levels at which the owner started.
        opening: Opening,
        /// Offset of the record that assigned the slot to the owner.
        since: Offset,
    },
}

/// Effect of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The slot has a new owner.
    Owned {
        /// Slot.
        slot: SlotId,
        /// New owner.
        owner: ProcessId,
        /// Former owner, if any.
        former: Option<ProcessId>,
        /// Levels for the new owner.
        opening: Opening,
    },
    /// The slot became free.
    Freed {
        /// Slot.
        slot: SlotId,
        /// Former owner.
        former: ProcessId,
    },
    /// The state was replaced by a snapshot; the caller must compare all owners again.
    Restored,
    /// Deferred until a snapshot arrives, because earlier records are missing.
    Pending,
    /// The record has no effect.
    Void(VoidReason),
}

/// Reason why a record has no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VoidReason {
    /// The offset was already read.
    AlreadyRead,
    /// The record is a duplicate, or a newer incarnation of the writer has written.
    Superseded,
    /// The slot has an owner, and there is no proof that its incarnation has ended.
    NotFree,
    /// The writer does not own the slot that it releases.
    NotOwner,
    /// The payload does not decode.
    Malformed,
    /// The snapshot is not needed, or does not cover the missing records.
    OldSnapshot,
}

/// Owner of each slot.
///
/// The state is a function of the log alone, so replicas that read the same records agree.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlotLedger {
    through: Offset,
    first_layout: Option<BucketLayoutRecord>,
    slots: SortedMap<SlotId, SlotState>,
    writers: SortedMap<ProcessName, WriterPosition>,
    /// Records read after a gap, in order; none if no record is missing.
    deferred_after_gap: Option<Vec<(Offset, SlotEntry)>>,
    /// Last missing offset, if records are missing.
    gap_end: Offset,
}

impl SlotLedger {
    /// Creates a ledger that has read no record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the last offset read.
    pub const fn through(&self) -> Offset {
        self.through
    }

    /// Returns whether the state is known: no record is missing, or a snapshot has covered the gap.
    pub const fn is_complete(&self) -> bool {
        self.deferred_after_gap.is_none()
    }

    /// Returns the state of a slot, or none if it was never claimed.
    pub fn state(&self, slot: SlotId) -> Option<&SlotState> {
        self.slots.get(&slot)
    }

    /// Returns the owner of a slot.
    pub fn owner(&self, slot: SlotId) -> Option<&ProcessId> {
        match self.slots.get(&slot) {
            Some(SlotState::Owned { owner, .. }) => Some(owner),
            _ => None,
        }
    }

    /// Returns the slots owned by `process`, in order.
    pub fn owned_by(&self, process: &ProcessId) -> impl Iterator<Item = SlotId> {
        self.slots.iter().filter_map(move |(slot, state)| match state {
            SlotState::Owned { owner, .. } if owner == process => Some(*slot),
            _ => None,
        })
    }

    /// Returns the last sequence number read from this incarnation of a process, or 0.
    pub fn last_sequence(&self, process: &ProcessId) -> u64 {
        match self.writers.get(&process.name) {
            Some(position) if position.incarnation == process.incarnation => position.sequence,
            _ => 0,
        }
    }

    /// Applies the next record of the stream.
    ///
    /// An offset beyond the next one means that records are missing, since the log's retention is
    /// limited. The state is then unknown until a snapshot covers the missing records.
    pub fn apply_payload(&mut self, offset: Offset, payload: &[u8]) -> Verdict {
        if offset <= self.through {
            return Verdict::Void(VoidReason::AlreadyRead);
        }
        match SlotEntry::decode(payload) {
            Ok(entry) => self.apply(offset, entry),
            Err(_) => {
                self.advance(offset);
                Verdict::Void(VoidReason::Malformed)
            }
        }
    }

    /// Applies the next record of the stream, already decoded.
    pub fn apply(&mut self, offset: Offset, entry: SlotEntry) -> Verdict {
        if offset <= self.through {
            return Verdict::Void(VoidReason::AlreadyRead);
        }
        self.advance(offset);
        if let SlotRecord::Snapshot(snapshot) = entry.record {
            return self.restore(snapshot);
        }
        match &mut self.deferred_after_gap {
            Some(deferred) => {
                deferred.push((offset, entry));
                Verdict::Pending
            }
            None => self.apply_in_order(offset, entry),
        }
    }

    fn advance(&mut self, offset: Offset) {
        if offset > self.through.next() {
            self.slots = SortedMap::new();
            self.writers = SortedMap::new();
            self.first_layout = None;
            self.deferred_after_gap = Some(Vec::new());
            self.gap_end = Offset(offset.0 - 1);
        }
        self.through = offset;
    }

    fn apply_in_order(&mut self, offset: Offset, entry: SlotEntry) -> Verdict {
        let SlotEntry { writer, sequence, record } = entry;
        if !self.record_position(&writer, sequence, offset) {
            return Verdict::Void(VoidReason::Superseded);
        }
        match record {
            SlotRecord::Claimed { slot, layout, replaces } => {
                self.claim(offset, slot, layout, replaces, writer)
            }
            SlotRecord::Released { slot, to, levels, permit_holds_ms } => {
                let opening = Opening::Levels { levels, permit_holds_ms };
                self.release(offset, slot, to, opening, writer)
            }
            SlotRecord::Snapshot(_) => Verdict::Void(VoidReason::OldSnapshot),
        }
    }

    /// Returns the state as a snapshot.
    pub fn snapshot(&self) -> SlotSnapshot {
        SlotSnapshot {
            through: self.through,
            first_layout: self.first_layout,
            slots: self
                .slots
                .iter()
                .map(|(slot, state)| SnapshotSlot { slot: *slot, state: state.clone() })
                .collect(),
            writers: self.writers.values().cloned().collect(),
        }
    }

    /// Restores a snapshot if it covers all missing records, then applies the records that were
    /// read after the gap and are not included in it.
    fn restore(&mut self, snapshot: SlotSnapshot) -> Verdict {
        if self.deferred_after_gap.is_none() || snapshot.through < self.gap_end {
            return Verdict::Void(VoidReason::OldSnapshot);
        }
        let deferred = self.deferred_after_gap.take().unwrap_or_default();
        self.first_layout = snapshot.first_layout;
        self.slots = snapshot.slots.into_iter().map(|s| (s.slot, s.state)).collect();
        self.writers = snapshot.writers.into_iter().map(|w| (w.name.clone(), w)).collect();
        for (offset, entry) in deferred {
            if offset > snapshot.through {
                self.apply_in_order(offset, entry);
            }
        }
        Verdict::Restored
    }

    fn record_position(&mut self, writer: &ProcessId, sequence: u64, offset: Offset) -> bool {
        if let Some(position) = self.writers.get(&writer.name)
            && (writer.incarnation, sequence) <= (position.incarnation, position.sequence)
        {
            return false;
        }
        let position = WriterPosition {
            name: writer.name.clone(),
            incarnation: writer.incarnation,
            sequence,
            offset,
        };
        self.writers.insert(writer.name.clone(), position);
        if self.writers.len() > MAX_WRITERS {
            let least_recent =
                self.writers.values().min_by_key(|w| w.offset).map(|w| w.name.clone());
            if let Some(name) = least_recent {
                self.writers.remove(&name);
            }
        }
        true
    }

    fn claim(
        &mut self,
        offset: Offset,
        slot: SlotId,
        layout: BucketLayoutRecord,
        replaces: Option<ReplacedOwner>,
        writer: ProcessId,
    ) -> Verdict {
        let first_layout = *self.first_layout.get_or_insert(layout);
        let (opening, former) = match self.slots.get(&slot) {
            None if layout == first_layout => (Opening::Full, None),
            None => (Opening::Empty, None),
            Some(SlotState::Free { opening }) => (opening.clone(), None),
            Some(SlotState::Owned { owner, .. }) => {
                let is_own_restart =
                    owner.name == writer.name && owner.incarnation < writer.incarnation;
                let proven = replaces
                    .as_ref()
                    .is_some_and(|r| r.owner == *owner && r.proof.holds_for(owner));
                if !is_own_restart && !proven {
                    return Verdict::Void(VoidReason::NotFree);
                }
                (Opening::Empty, Some(owner.clone()))
            }
        };
        self.assign(offset, slot, writer, former, opening)
    }

    fn release(
        &mut self,
        offset: Offset,
        slot: SlotId,
        to: Option<ProcessId>,
        opening: Opening,
        writer: ProcessId,
    ) -> Verdict {
        if self.owner(slot) != Some(&writer) {
            return Verdict::Void(VoidReason::NotOwner);
        }
        match to {
            Some(new_owner) => self.assign(offset, slot, new_owner, Some(writer), opening),
            None => {
                self.slots.insert(slot, SlotState::Free { opening });
                Verdict::Freed { slot, former: writer }
            }
        }
    }

    fn assign(
        &mut self,
        offset: Offset,
        slot: SlotId,
        owner: ProcessId,
        former: Option<ProcessId>,
        opening: Opening,
    ) -> Verdict {
        let state =
            SlotState::Owned { owner: owner.clone(), opening: opening.clone(), since: offset };
        self.slots.insert(slot, state);
        Verdict::Owned { slot, owner, former, opening }
    }

    /// Returns whether `layout` is the one under which slots were first claimed.
    ///
    /// Under any other layout, slots that were never owned start empty, because their tokens may
    /// have been spent under the first one.
    pub fn is_first_layout(&self, layout: BucketLayout) -> bool {
        self.first_layout.is_none_or(|first| first == layout.into())
    }
}
