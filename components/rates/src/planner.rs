//! Decides which slots this process claims and releases.

use std::time::Duration;

use base::{ProcessId, SortedMap, Timestamp, rendezvous_score};
use compact_str::CompactString;
use config::FleetConfig;
use membership::TerminationProof;
use wire::SlotId;

use crate::{ReplacedOwner, SlotEntry, SlotLedger, SlotOwner, SlotRecord, SlotState};

/// Delay per rank before a process claims a slot, which gives each better-ranked one time to claim
/// it.
const CLAIM_DELAY_PER_RANK: Duration = Duration::from_secs(2);
/// Time for which another process must be preferred before a slot is handed over to it.
const REBALANCE_DELAY: Duration = Duration::from_secs(10);
/// Shortest time between two such handovers, since a slot grants nothing during its handover.
const MIN_HANDOVER_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before the next append after one that was not stored.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after a finished append for its record to appear in the log; an append without a response
/// may still be stored within it.
const APPEND_VISIBILITY_GRACE: Duration = Duration::from_secs(1);

/// Location of a live entry process that may own slots.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryLocation {
    /// Process.
    pub process: ProcessId,
    /// Region.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
}

/// Outcome of an append to the stream `slots`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The log stored it.
    Stored,
    /// The log rejected it; nothing was stored.
    NotStored,
    /// No response: it may have been stored or may still be.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pending {
    None,
    InFlight { sequence: u64 },
    Ended { sequence: u64, at: Timestamp },
    Backoff { until: Timestamp },
}

/// Plans claims and releases, with at most one append in flight.
///
/// Readers ignore a record whose sequence number is not above the writer's last one, so concurrent
/// appends that are reordered would lose a record.
#[derive(Clone, Debug)]
pub struct SlotPlanner {
    own_id: ProcessId,
    last_sequence: u64,
    pending: Pending,
    /// Time at which a slot was first found to be claimable.
    claimable_since: SortedMap<SlotId, Timestamp>,
    /// Time since which another process has been preferred for a slot of this one.
    better_owner_since: SortedMap<SlotId, Timestamp>,
    last_handover: Option<Timestamp>,
}

/// Input of one planning step.
pub struct PlanInput<'a> {
    /// Slot owners according to the log.
    pub ledger: &'a SlotLedger,
    /// Configuration in force.
    pub config: &'a FleetConfig,
    /// Live entry processes that accept new work, including this one unless it is stopping.
    pub live: &'a [EntryLocation],
    /// Returns the proof that an incarnation of a process has ended, if there is one.
    pub proof: &'a dyn Fn(&ProcessId) -> Option<TerminationProof>,
    /// Time just before the last read that reached the end of the stream.
    pub caught_up_at: Option<Timestamp>,
    /// Whether this process is stopping.
    pub stopping: bool,
}

impl SlotPlanner {
    /// Creates a planner that has appended nothing.
    pub fn new(own_id: ProcessId) -> Self {
        Self {
            own_id,
            last_sequence: 0,
            pending: Pending::None,
            claimable_since: SortedMap::new(),
            better_owner_since: SortedMap::new(),
            last_handover: None,
        }
    }

    /// Returns the next record to append, if any.
    ///
    /// The caller must report the outcome through [`SlotPlanner::append_finished`]. A slot that is
    /// to be released stops granting before its record is returned.
    pub fn next_entry(
        &mut self,
        input: &PlanInput<'_>,
        owner: &mut SlotOwner,
        now: Timestamp,
    ) -> Option<SlotEntry> {
        self.update_pending(input, now);
        if self.pending != Pending::None
            || !input.ledger.is_complete()
            || input.caught_up_at.is_none()
        {
            return None;
        }
        let record = self.release(input, owner, now).or_else(|| self.claim(input, now))?;
        self.last_sequence += 1;
        self.pending = Pending::InFlight { sequence: self.last_sequence };
        Some(SlotEntry { writer: self.own_id.clone(), sequence: self.last_sequence, record })
    }

    /// Records the outcome of an append.
    pub fn append_finished(&mut self, sequence: u64, outcome: AppendOutcome, now: Timestamp) {
        if self.pending != (Pending::InFlight { sequence }) {
            return;
        }
        self.pending = match outcome {
            AppendOutcome::Stored | AppendOutcome::Unknown => Pending::Ended { sequence, at: now },
            AppendOutcome::NotStored => Pending::Backoff { until: now + APPEND_RETRY_DELAY },
        };
    }

    fn update_pending(&mut self, input: &PlanInput<'_>, now: Timestamp) {
        let finished = match self.pending {
            Pending::None => true,
            Pending::InFlight { sequence } => input.ledger.last_sequence(&self.own_id) >= sequence,
            Pending::Ended { sequence, at } => {
                input.ledger.last_sequence(&self.own_id) >= sequence
                    || input.caught_up_at.is_some_and(|read| read >= at + APPEND_VISIBILITY_GRACE)
            }
            Pending::Backoff { until } => now >= until,
        };
        if finished {
            self.pending = Pending::None;
        }
    }

    fn release(
        &mut self,
        input: &PlanInput<'_>,
        owner: &mut SlotOwner,
        now: Timestamp,
    ) -> Option<SlotRecord> {
        let unconfirmed = owner.released_slots().next();
        let chosen = match unconfirmed {
            Some(slot) => Some(slot),
            None if input.stopping => owner.open_slots().next(),
            None => self.next_handover(input, owner, now),
        };
        let slot = chosen?;
        let released = owner.release(slot, now)?;
        let new_owner =
            ranked_owners(slot, input.live).into_iter().find(|e| e.process != self.own_id);
        Some(SlotRecord::Released {
            slot,
            to: new_owner.map(|e| e.process.clone()),
            levels: released.levels,
            permit_holds_ms: released.permit_holds_ms,
        })
    }

    fn next_handover(
        &mut self,
        input: &PlanInput<'_>,
        owner: &SlotOwner,
        now: Timestamp,
    ) -> Option<SlotId> {
        let open: Vec<SlotId> = owner.open_slots().collect();
        self.better_owner_since.retain(|slot, _| open.binary_search(slot).is_ok());
        let mut chosen = None;
        for slot in open {
            let has_better_owner =
                preferred_owner(slot, input.live).is_some_and(|p| *p != self.own_id);
            if !has_better_owner {
                self.better_owner_since.remove(&slot);
                continue;
            }
            let since = *self.better_owner_since.get_or_insert_with(slot, || now);
            if chosen.is_none() && now.since(since) >= REBALANCE_DELAY {
                chosen = Some(slot);
            }
        }
        if self.last_handover.is_some_and(|last| now.since(last) < MIN_HANDOVER_INTERVAL) {
            return None;
        }
        if chosen.is_some() {
            self.last_handover = Some(now);
        }
        chosen
    }

    fn claim(&mut self, input: &PlanInput<'_>, now: Timestamp) -> Option<SlotRecord> {
        if input.stopping {
            return None;
        }
        let layout = input.config.buckets;
        for partition in 0..layout.partitions.max(1) {
            for index in 0..layout.slots.max(1) {
                let slot = SlotId { partition, index };
                let Some(replaces) = self.claimable(slot, input) else {
                    self.claimable_since.remove(&slot);
                    continue;
                };
                let since = *self.claimable_since.get_or_insert_with(slot, || now);
                let is_own_restart =
                    replaces.as_ref().is_some_and(|r| r.owner.name == self.own_id.name);
                let rank =
                    ranked_owners(slot, input.live).iter().position(|e| e.process == self.own_id);
                let Some(rank) = rank.and_then(|rank| u32::try_from(rank).ok()) else { continue };
                if is_own_restart || now.since(since) >= CLAIM_DELAY_PER_RANK * rank {
                    return Some(SlotRecord::Claimed { slot, layout: layout.into(), replaces });
                }
            }
        }
        None
    }

    /// Returns none if the slot can't be claimed, and otherwise the owner that the claim replaces,
    /// if any.
    fn claimable(&self, slot: SlotId, input: &PlanInput<'_>) -> Option<Option<ReplacedOwner>> {
        match input.ledger.state(slot) {
            None | Some(SlotState::Free { .. }) => Some(None),
            Some(SlotState::Owned { owner, .. }) if *owner == self.own_id => None,
            Some(SlotState::Owned { owner, .. }) => {
                let is_own_restart =
                    owner.name == self.own_id.name && owner.incarnation < self.own_id.incarnation;
                let proof = if is_own_restart {
                    Some(TerminationProof::NewerIncarnation(self.own_id.incarnation))
                } else {
                    (input.proof)(owner)
                };
                proof.map(|proof| Some(ReplacedOwner { owner: owner.clone(), proof }))
            }
        }
    }
}

/// Returns the preferred owner of a slot among `live`.
///
/// The slots of a partition are assigned one after another, each to the region, then the entry
/// process, then the data centre that has the fewest of them; ties are broken by rendezvous
/// hashing. The loss of one process thus affects as few slots as possible, even if all processes
/// are in one data centre.
pub fn preferred_owner(slot: SlotId, live: &[EntryLocation]) -> Option<&ProcessId> {
    ranked_owners(slot, live).first().map(|entry| &entry.process)
}

/// Returns the live entry processes by preference as owner of a slot.
fn ranked_owners(slot: SlotId, live: &[EntryLocation]) -> Vec<&EntryLocation> {
    let mut owners: Vec<&EntryLocation> = Vec::new();
    for index in 0..slot.index {
        let earlier = SlotId { partition: slot.partition, index };
        owners.extend(live.iter().min_by_key(|entry| preference_key(earlier, entry, &owners)));
    }
    let mut ranked: Vec<&EntryLocation> = live.iter().collect();
    ranked.sort_by_cached_key(|entry| preference_key(slot, entry, &owners));
    ranked
}

/// Sort key of an entry process as owner of a slot, given the preferred owners of the slots before
/// it; the smallest key is preferred.
fn preference_key<'a>(
    slot: SlotId,
    entry: &'a EntryLocation,
    owners: &[&EntryLocation],
) -> (usize, usize, usize, u64, &'a str) {
    let owned = |same_place: &dyn Fn(&EntryLocation) -> bool| {
        owners.iter().filter(|o| same_place(o)).count()
    };
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
