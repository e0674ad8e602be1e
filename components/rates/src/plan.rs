//! Which slots this process claims and lets go.

use std::time::Duration;

use base::{ProcessId, SortedMap, Timestamp, rendezvous_score};
use compact_str::CompactString;
use config::{DataCentre, Town};
use membership::DeathProof;
use wire::SlotId;

use crate::{ReplacedOwner, SlotEntry, SlotLedger, SlotOwner, SlotRecord, SlotState};

/// Time that each better-placed process has to claim a slot before the next one does.
const CLAIM_TURN: Duration = Duration::from_secs(2);
/// Time for which another process must be better placed before a slot is handed to it.
const REBALANCE_AFTER: Duration = Duration::from_secs(10);
/// Shortest time between two such handovers, since a slot grants nothing while it moves.
const REBALANCE_GAP: Duration = Duration::from_secs(5);
/// Pause after an append that was not stored.
const APPEND_RETRY: Duration = Duration::from_millis(200);
/// Time in which an append without an answer may still land.
const APPEND_GRACE: Duration = Duration::from_secs(1);

/// A live entry process that may own slots.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryPlace {
    /// Process.
    pub process: ProcessId,
    /// Region.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
}

/// How an append to the stream `slots` ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendEnd {
    /// The log stored it.
    Stored,
    /// The log refused it: nothing was stored.
    NotStored,
    /// No answer: it may have been stored or may land later.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pending {
    None,
    InFlight { sequence: u64 },
    Ended { sequence: u64, at: Timestamp },
    Pause { until: Timestamp },
}

/// Decides on claims and releases, one append at a time.
///
/// One at a time, because readers drop a record whose sequence number is below the last one.
#[derive(Clone, Debug)]
pub struct SlotPlan {
    me: ProcessId,
    last_sequence: u64,
    pending: Pending,
    /// When a slot was first seen to be claimable.
    claimable_since: SortedMap<SlotId, Timestamp>,
    /// Since when another process has been better placed for a slot of this one.
    misplaced_since: SortedMap<SlotId, Timestamp>,
    last_handover: Option<Timestamp>,
}

/// Facts for one decision.
pub struct SlotView<'a> {
    /// Owners by the log.
    pub ledger: &'a SlotLedger,
    /// Configuration in force.
    pub town: &'a Town,
    /// Live entries that take new work, this process among them unless it is stopping.
    pub live: &'a [EntryPlace],
    /// Proof that a run of a process has ended.
    pub proof: &'a dyn Fn(&ProcessId) -> Option<DeathProof>,
    /// Time before the last read that reached the end of the stream.
    pub read_end_at: Option<Timestamp>,
    /// Whether this process is stopping.
    pub stopping: bool,
}

impl SlotPlan {
    /// A plan that has appended nothing.
    pub fn new(me: ProcessId) -> Self {
        Self {
            me,
            last_sequence: 0,
            pending: Pending::None,
            claimable_since: SortedMap::new(),
            misplaced_since: SortedMap::new(),
            last_handover: None,
        }
    }

    /// The next record to append, if any. Report the end of the append by [`SlotPlan::append_ended`].
    ///
    /// A slot that is to be released stops granting before its record is returned.
    pub fn next_entry(
        &mut self,
        view: &SlotView<'_>,
        owner: &mut SlotOwner,
        now: Timestamp,
    ) -> Option<SlotEntry> {
        self.settle_pending(view, now);
        if self.pending != Pending::None || !view.ledger.is_complete() || view.read_end_at.is_none()
        {
            return None;
        }
        let record = self.release(view, owner, now).or_else(|| self.claim(view, now))?;
        self.last_sequence += 1;
        self.pending = Pending::InFlight { sequence: self.last_sequence };
        Some(SlotEntry { writer: self.me.clone(), sequence: self.last_sequence, record })
    }

    /// Takes the end of an append.
    pub fn append_ended(&mut self, sequence: u64, step: AppendEnd, now: Timestamp) {
        if self.pending != (Pending::InFlight { sequence }) {
            return;
        }
        self.pending = match step {
            AppendEnd::Stored | AppendEnd::Unknown => Pending::Ended { sequence, at: now },
            AppendEnd::NotStored => Pending::Pause { until: now + APPEND_RETRY },
        };
    }

    fn settle_pending(&mut self, view: &SlotView<'_>, now: Timestamp) {
        let over = match self.pending {
            Pending::None => true,
            Pending::InFlight { sequence } => view.ledger.last_sequence(&self.me) >= sequence,
            Pending::Ended { sequence, at } => {
                view.ledger.last_sequence(&self.me) >= sequence
                    || view.read_end_at.is_some_and(|read| read >= at + APPEND_GRACE)
            }
            Pending::Pause { until } => now >= until,
        };
        if over {
            self.pending = Pending::None;
        }
    }

    fn release(
        &mut self,
        view: &SlotView<'_>,
        owner: &mut SlotOwner,
        now: Timestamp,
    ) -> Option<SlotRecord> {
        let again = owner.released_slots().next();
        let chosen = match again {
            Some(slot) => Some(slot),
            None if view.stopping => owner.open_slots().next(),
            None => self.misplaced(view, owner, now),
        };
        let slot = chosen?;
        let released = owner.release(slot, now)?;
        let heir = ranked_owners(slot, view).find(|e| e.process != self.me);
        Some(SlotRecord::Released {
            slot,
            to: heir.map(|e| e.process.clone()),
            levels: released.levels,
            permit_holds_ms: released.permit_holds_ms,
        })
    }

    fn misplaced(
        &mut self,
        view: &SlotView<'_>,
        owner: &SlotOwner,
        now: Timestamp,
    ) -> Option<SlotId> {
        let open: Vec<SlotId> = owner.open_slots().collect();
        self.misplaced_since.retain(|slot, _| open.binary_search(slot).is_ok());
        let mut chosen = None;
        for slot in open {
            let better = preferred_owner(slot, view.town, view.live).is_some_and(|p| *p != self.me);
            if !better {
                self.misplaced_since.remove(&slot);
                continue;
            }
            let since = *self.misplaced_since.get_or_insert_with(slot, || now);
            if chosen.is_none() && now.since(since) >= REBALANCE_AFTER {
                chosen = Some(slot);
            }
        }
        if self.last_handover.is_some_and(|last| now.since(last) < REBALANCE_GAP) {
            return None;
        }
        if chosen.is_some() {
            self.last_handover = Some(now);
        }
        chosen
    }

    fn claim(&mut self, view: &SlotView<'_>, now: Timestamp) -> Option<SlotRecord> {
        if view.stopping {
            return None;
        }
        let layout = view.town.buckets;
        for partition in 0..layout.partitions.max(1) {
            for index in 0..layout.slots.max(1) {
                let slot = SlotId { partition, index };
                let Some(replaces) = self.claimable(slot, view) else {
                    self.claimable_since.remove(&slot);
                    continue;
                };
                let since = *self.claimable_since.get_or_insert_with(slot, || now);
                let own = replaces.as_ref().is_some_and(|r| r.owner.name == self.me.name);
                let turn = ranked_owners(slot, view).position(|e| e.process == self.me);
                let Some(turn) = turn.and_then(|turn| u32::try_from(turn).ok()) else { continue };
                if own || now.since(since) >= CLAIM_TURN * turn {
                    return Some(SlotRecord::Claimed { slot, layout: layout.into(), replaces });
                }
            }
        }
        None
    }

    /// Whether the slot can be claimed, and whom the claim replaces.
    fn claimable(&self, slot: SlotId, view: &SlotView<'_>) -> Option<Option<ReplacedOwner>> {
        match view.ledger.state(slot) {
            None | Some(SlotState::Free { .. }) => Some(None),
            Some(SlotState::Owned { owner, .. }) if *owner == self.me => None,
            Some(SlotState::Owned { owner, .. }) => {
                let newer_self =
                    owner.name == self.me.name && owner.incarnation < self.me.incarnation;
                let proof = if newer_self {
                    Some(DeathProof::NewerIncarnation(self.me.incarnation))
                } else {
                    (view.proof)(owner)
                };
                proof.map(|proof| Some(ReplacedOwner { owner: owner.clone(), proof }))
            }
        }
    }
}

/// Best-placed owner of a slot among `live`.
///
/// The slots of a partition go round the regions, then round the data centres of a region; within a
/// data centre rendezvous hashing decides.
pub fn preferred_owner<'a>(
    slot: SlotId,
    town: &Town,
    live: &'a [EntryPlace],
) -> Option<&'a ProcessId> {
    let order = PlaceOrder::new(slot, town);
    live.iter().min_by_key(|e| order.rank(e)).map(|e| &e.process)
}

fn ranked_owners<'a>(
    slot: SlotId,
    view: &SlotView<'a>,
) -> impl Iterator<Item = &'a EntryPlace> + use<'a> {
    let order = PlaceOrder::new(slot, view.town);
    let mut ranked: Vec<&EntryPlace> = view.live.iter().collect();
    ranked.sort_by_cached_key(|e| order.rank(e));
    ranked.into_iter()
}

/// Regions and data centres in the order in which they should own one slot.
struct PlaceOrder<'a> {
    key: [u8; 4],
    regions: Vec<&'a str>,
    centres: Vec<&'a DataCentre>,
}

impl<'a> PlaceOrder<'a> {
    fn new(slot: SlotId, town: &'a Town) -> Self {
        let partition = slot.partition.to_le_bytes();
        let [low, high] = slot.index.to_le_bytes();
        let index = usize::from(slot.index);
        let mut regions: Vec<&str> = town.data_centres.iter().map(|d| d.region.as_str()).collect();
        regions.sort_unstable();
        regions.dedup();
        regions.sort_by_cached_key(|region| rendezvous_score(&partition, region));
        let turns = index / regions.len().max(1);
        let turn = index % regions.len().max(1);
        regions.rotate_left(turn);
        let mut centres: Vec<&DataCentre> = Vec::with_capacity(town.data_centres.len());
        for region in &regions {
            let first = centres.len();
            centres.extend(town.data_centres.iter().filter(|d| d.region == *region));
            let inside = &mut centres[first..];
            inside.sort_by_cached_key(|d| rendezvous_score(&partition, &d.name));
            inside.rotate_left(turns % inside.len());
        }
        Self { key: [partition[0], partition[1], low, high], regions, centres }
    }

    /// Smaller is better.
    fn rank<'e>(&self, entry: &'e EntryPlace) -> (usize, usize, u64, &'e str) {
        let region = self.regions.iter().position(|r| *r == entry.region);
        let centre = self.centres.iter().position(|d| d.name == entry.data_centre);
        let name = entry.process.name.as_str();
        (
            region.unwrap_or(usize::MAX),
            centre.unwrap_or(usize::MAX),
            u64::MAX - rendezvous_score(&self.key, name),
            name,
        )
    }
}
