//! Which slots this process claims and lets go.

use std::time::Duration;

use base::{ProcessId, SortedMap, Timestamp, rendezvous_score};
use compact_str::CompactString;
use config::Town;
use membership::TerminationProof;
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
pub struct EntryLocation {
    /// Process.
    pub process: ProcessId,
    /// Region.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
}

/// How an append to the stream `slots` ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
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
pub struct SlotPlanner {
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
pub struct PlanInput<'a> {
    /// Owners by the log.
    pub ledger: &'a SlotLedger,
    /// Configuration in force.
    pub town: &'a Town,
    /// Live entries that take new work, this process among them unless it is stopping.
    pub live: &'a [EntryLocation],
    /// Proof that a run of a process has ended.
    pub proof: &'a dyn Fn(&ProcessId) -> Option<TerminationProof>,
    /// Time before the last read that reached the end of the stream.
    pub caught_up_at: Option<Timestamp>,
    /// Whether this process is stopping.
    pub stopping: bool,
}

impl SlotPlanner {
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

    /// The next record to append, if any. Report the end of the append by
    /// [`SlotPlanner::append_finished`].
    ///
    /// A slot that is to be released stops granting before its record is returned.
    pub fn next_entry(
        &mut self,
        view: &PlanInput<'_>,
        owner: &mut SlotOwner,
        now: Timestamp,
    ) -> Option<SlotEntry> {
        self.settle_pending(view, now);
        if self.pending != Pending::None
            || !view.ledger.is_complete()
            || view.caught_up_at.is_none()
        {
            return None;
        }
        let record = self.release(view, owner, now).or_else(|| self.claim(view, now))?;
        self.last_sequence += 1;
        self.pending = Pending::InFlight { sequence: self.last_sequence };
        Some(SlotEntry { writer: self.me.clone(), sequence: self.last_sequence, record })
    }

    /// Takes the end of an append.
    pub fn append_finished(&mut self, sequence: u64, step: AppendOutcome, now: Timestamp) {
        if self.pending != (Pending::InFlight { sequence }) {
            return;
        }
        self.pending = match step {
            AppendOutcome::Stored | AppendOutcome::Unknown => Pending::Ended { sequence, at: now },
            AppendOutcome::NotStored => Pending::Pause { until: now + APPEND_RETRY },
        };
    }

    fn settle_pending(&mut self, view: &PlanInput<'_>, now: Timestamp) {
        let over = match self.pending {
            Pending::None => true,
            Pending::InFlight { sequence } => view.ledger.last_sequence(&self.me) >= sequence,
            Pending::Ended { sequence, at } => {
                view.ledger.last_sequence(&self.me) >= sequence
                    || view.caught_up_at.is_some_and(|read| read >= at + APPEND_GRACE)
            }
            Pending::Pause { until } => now >= until,
        };
        if over {
            self.pending = Pending::None;
        }
    }

    fn release(
        &mut self,
        view: &PlanInput<'_>,
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
        let heir = ranked_owners(slot, view.live).into_iter().find(|e| e.process != self.me);
        Some(SlotRecord::Released {
            slot,
            to: heir.map(|e| e.process.clone()),
            levels: released.levels,
            permit_holds_ms: released.permit_holds_ms,
        })
    }

    fn misplaced(
        &mut self,
        view: &PlanInput<'_>,
        owner: &SlotOwner,
        now: Timestamp,
    ) -> Option<SlotId> {
        let open: Vec<SlotId> = owner.open_slots().collect();
        self.misplaced_since.retain(|slot, _| open.binary_search(slot).is_ok());
        let mut chosen = None;
        for slot in open {
            let better = preferred_owner(slot, view.live).is_some_and(|p| *p != self.me);
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

    fn claim(&mut self, view: &PlanInput<'_>, now: Timestamp) -> Option<SlotRecord> {
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
                let turn = ranked_owners(slot, view.live).iter().position(|e| e.process == self.me);
                let Some(turn) = turn.and_then(|turn| u32::try_from(turn).ok()) else { continue };
                if own || now.since(since) >= CLAIM_TURN * turn {
                    return Some(SlotRecord::Claimed { slot, layout: layout.into(), replaces });
                }
            }
        }
        None
    }

    /// Whether the slot can be claimed, and whom the claim replaces.
    fn claimable(&self, slot: SlotId, view: &PlanInput<'_>) -> Option<Option<ReplacedOwner>> {
        match view.ledger.state(slot) {
            None | Some(SlotState::Free { .. }) => Some(None),
            Some(SlotState::Owned { owner, .. }) if *owner == self.me => None,
            Some(SlotState::Owned { owner, .. }) => {
                let newer_self =
                    owner.name == self.me.name && owner.incarnation < self.me.incarnation;
                let proof = if newer_self {
                    Some(TerminationProof::NewerIncarnation(self.me.incarnation))
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
/// The slots of a partition are given out one after another, each to the region, then the entry
/// process, then the data centre that has the fewest of them; rendezvous hashing decides between
/// equals. So the loss of one process takes no more slots than it must, also where all processes
/// are in one data centre.
pub fn preferred_owner(slot: SlotId, live: &[EntryLocation]) -> Option<&ProcessId> {
    ranked_owners(slot, live).first().map(|entry| &entry.process)
}

/// Live entries in the order in which they should own a slot.
fn ranked_owners(slot: SlotId, live: &[EntryLocation]) -> Vec<&EntryLocation> {
    let mut owners: Vec<&EntryLocation> = Vec::new();
    for index in 0..slot.index {
        let earlier = SlotId { partition: slot.partition, index };
        owners.extend(live.iter().min_by_key(|entry| placing(earlier, entry, &owners)));
    }
    let mut ranked: Vec<&EntryLocation> = live.iter().collect();
    ranked.sort_by_cached_key(|entry| placing(slot, entry, &owners));
    ranked
}

/// Claim of an entry process to a slot, given the owners of the slots before it; smaller is better.
fn placing<'a>(
    slot: SlotId,
    entry: &'a EntryLocation,
    owners: &[&EntryLocation],
) -> (usize, usize, usize, u64, &'a str) {
    let owned = |alike: &dyn Fn(&EntryLocation) -> bool| owners.iter().filter(|o| alike(o)).count();
    let name = entry.process.name.as_str();
    let [low, high] = slot.index.to_le_bytes();
    let [first, second] = slot.partition.to_le_bytes();
    (
        owned(&|other| other.region == entry.region),
        owned(&|other| other.process == entry.process),
        owned(&|other| other.region == entry.region && other.data_centre == entry.data_centre),
        u64::MAX - rendezvous_score(&[first, second, low, high], name),
        name,
    )
}
