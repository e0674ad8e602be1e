//! Owners of slots, replayed from the log stream `slots`.

use base::{Offset, ProcessId, ProcessName, SortedMap};
use config::BucketLayout;
use serde::{Deserialize, Serialize};
use wire::SlotId;

use crate::record::{BucketLayoutRecord, SnapshotSlot};
use crate::{CustomerLevel, ReplacedOwner, SlotEntry, SlotRecord, SlotSnapshot, WriterPosition};

/// Most writers remembered; the one silent for longest is dropped first.
const MAX_WRITERS: usize = 2_048;

/// Levels at which a new owner starts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Opening {
    /// The slot was never owned: every bucket is full.
    Full,
    /// The last owner died or the split of the buckets changed: every bucket is empty.
    Empty,
    /// The last owner released the slot: buckets not listed are full.
    Levels {
        /// Buckets that are not full.
        levels: Vec<CustomerLevel>,
        /// Milliseconds until each open permit for a load from the weight store runs out.
        permit_holds_ms: Vec<u32>,
    },
}

/// State of one slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SlotState {
    /// Released; whoever claims it first has it.
    Free {
        /// Levels for the next owner.
        opening: Opening,
    },
    /// Owned.
    Owned {
        /// Owner.
        owner: ProcessId,
        /// Levels at which the owner started.
        opening: Opening,
        /// Record that made it the owner.
        since: Offset,
    },
}

/// What a record did.
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
    /// The slot is free.
    Freed {
        /// Slot.
        slot: SlotId,
        /// Former owner.
        former: ProcessId,
    },
    /// The state was replaced by a snapshot; compare all owners again.
    Restored,
    /// Kept until a snapshot arrives, because earlier records are missing.
    Pending,
    /// The record has no effect.
    Void(VoidReason),
}

/// Why a record has no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VoidReason {
    /// Its offset was read before.
    AlreadyRead,
    /// The writer's record was seen before, or a newer run of the writer has written.
    Superseded,
    /// The slot has an owner that is not proven dead.
    NotFree,
    /// The writer does not own the slot that it releases.
    NotOwner,
    /// The payload does not decode.
    Malformed,
    /// The snapshot says nothing that was not read.
    OldSnapshot,
}

/// Owner of each slot as a function of the log alone: replicas that read the same records agree.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlotLedger {
    through: Offset,
    first_layout: Option<BucketLayoutRecord>,
    slots: SortedMap<SlotId, SlotState>,
    writers: SortedMap<ProcessName, WriterPosition>,
    /// Records after a gap, in order; none if nothing is missing.
    after_gap: Option<Vec<(Offset, SlotEntry)>>,
    /// Last missing offset, if records are missing.
    missing_through: Offset,
}

impl SlotLedger {
    /// A ledger that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Last offset read.
    pub const fn through(&self) -> Offset {
        self.through
    }

    /// Whether the state is known: no record is missing, or a snapshot has covered the gap.
    pub const fn is_complete(&self) -> bool {
        self.after_gap.is_none()
    }

    /// State of a slot; none if it was never claimed.
    pub fn state(&self, slot: SlotId) -> Option<&SlotState> {
        self.slots.get(&slot)
    }

    /// Owner of a slot.
    pub fn owner(&self, slot: SlotId) -> Option<&ProcessId> {
        match self.slots.get(&slot) {
            Some(SlotState::Owned { owner, .. }) => Some(owner),
            _ => None,
        }
    }

    /// Slots owned by `process`, in order.
    pub fn owned_by(&self, process: &ProcessId) -> impl Iterator<Item = SlotId> {
        self.slots.iter().filter_map(move |(slot, state)| match state {
            SlotState::Owned { owner, .. } if owner == process => Some(*slot),
            _ => None,
        })
    }

    /// Last sequence number seen of this run of a process.
    pub fn last_sequence(&self, process: &ProcessId) -> u64 {
        match self.writers.get(&process.name) {
            Some(mark) if mark.incarnation == process.incarnation => mark.sequence,
            _ => 0,
        }
    }

    /// Reads the next record of the stream.
    ///
    /// An offset beyond the next one means that records are gone (the log's retention is limited);
    /// the state is unknown from then on until a snapshot that covers them.
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

    /// Reads the next record of the stream, decoded.
    pub fn apply(&mut self, offset: Offset, entry: SlotEntry) -> Verdict {
        if offset <= self.through {
            return Verdict::Void(VoidReason::AlreadyRead);
        }
        self.advance(offset);
        if let SlotRecord::Snapshot(snapshot) = entry.record {
            return self.restore(snapshot);
        }
        match &mut self.after_gap {
            Some(kept) => {
                kept.push((offset, entry));
                Verdict::Pending
            }
            None => self.judge(offset, entry),
        }
    }

    fn advance(&mut self, offset: Offset) {
        if offset > self.through.next() {
            self.slots = SortedMap::new();
            self.writers = SortedMap::new();
            self.first_layout = None;
            self.after_gap = Some(Vec::new());
            self.missing_through = Offset(offset.0 - 1);
        }
        self.through = offset;
    }

    fn judge(&mut self, offset: Offset, entry: SlotEntry) -> Verdict {
        let SlotEntry { writer, sequence, record } = entry;
        if !self.mark(&writer, sequence, offset) {
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

    /// State as a snapshot record.
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

    /// Adopts a snapshot if records are missing and it covers them, then judges the records that
    /// were read since the gap and are not in it.
    fn restore(&mut self, snapshot: SlotSnapshot) -> Verdict {
        if self.after_gap.is_none() || snapshot.through < self.missing_through {
            return Verdict::Void(VoidReason::OldSnapshot);
        }
        let kept = self.after_gap.take().unwrap_or_default();
        self.first_layout = snapshot.first_layout;
        self.slots = snapshot.slots.into_iter().map(|s| (s.slot, s.state)).collect();
        self.writers = snapshot.writers.into_iter().map(|w| (w.name.clone(), w)).collect();
        for (offset, entry) in kept {
            if offset > snapshot.through {
                self.judge(offset, entry);
            }
        }
        Verdict::Restored
    }

    fn mark(&mut self, writer: &ProcessId, sequence: u64, offset: Offset) -> bool {
        if let Some(mark) = self.writers.get(&writer.name)
            && (writer.incarnation, sequence) <= (mark.incarnation, mark.sequence)
        {
            return false;
        }
        let mark = WriterPosition {
            name: writer.name.clone(),
            incarnation: writer.incarnation,
            sequence,
            offset,
        };
        self.writers.insert(writer.name.clone(), mark);
        if self.writers.len() > MAX_WRITERS {
            let oldest = self.writers.values().min_by_key(|w| w.offset).map(|w| w.name.clone());
            if let Some(name) = oldest {
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
                let newer_self =
                    owner.name == writer.name && owner.incarnation < writer.incarnation;
                let proven = replaces
                    .as_ref()
                    .is_some_and(|r| r.owner == *owner && r.proof.holds_for(owner));
                if !newer_self && !proven {
                    return Verdict::Void(VoidReason::NotFree);
                }
                (Opening::Empty, Some(owner.clone()))
            }
        };
        self.give(offset, slot, writer, former, opening)
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
            Some(heir) => self.give(offset, slot, heir, Some(writer), opening),
            None => {
                self.slots.insert(slot, SlotState::Free { opening });
                Verdict::Freed { slot, former: writer }
            }
        }
    }

    fn give(
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

    /// Whether `layout` is the one under which slots were first claimed; under another one, slots that
    /// were never owned start empty, because their tokens may have been spent under the first.
    pub fn is_first_layout(&self, layout: BucketLayout) -> bool {
        self.first_layout.is_none_or(|first| first == layout.into())
    }
}
