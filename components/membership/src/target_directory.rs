//! Directory of targets, built from the platform's list and the availability of the store that
//! holds it.
//!
//! A few gateways read the list and distribute the changes to the others. Each record has an
//! offset, so duplicate, late and reordered updates have no effect. That a target has no entry is known
//! as of an offset too: of the targets that a reader doesn't hold, as of the last record that it has read.
//! The first record of a target in a
//! new era of the store may come from the copy that the store was restored from; it undoes neither the
//! leaving nor the end of a target. The target itself writes a later one if it still serves.

use std::time::Duration;

use base::{Offset, SortedMap, Timestamp, short_hash};
use compact_str::CompactString;
use wire::{TargetEntry, TargetNews, TargetState};

use crate::store_contact::StoreContact;

/// Time between two reads of the list. Each read is paid for. A leaving target must be noticed
/// within the 2,000 ms for which it still serves, and a failed call takes half of that.
const READ_INTERVAL: Duration = Duration::from_millis(550);
/// Time between two reads of the list during startup.
const STARTUP_READ_INTERVAL: Duration = Duration::from_millis(120);
/// Period after startup in which the list is read more often. After a complete power loss, targets
/// register within about 300 ms of the processes, and nothing can be loaded until they are known.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);
/// Period after the recovery of the store within which targets whose entries expired register
/// again. The platform promises about two seconds; a target that is still missing afterwards is
/// gone.
pub const REREGISTRATION_PERIOD: Duration = Duration::from_secs(2);
/// Time for which the tombstone of a target is kept, so that old updates can't restore it.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(120);

/// A target with its last entry.
#[derive(Clone, Debug, Eq, PartialEq)]
struct ListedTarget {
    entry: TargetEntry,
    offset: Offset,
    /// Offset at which the entry was missing after an outage of the store.
    missing_at: Option<Offset>,
}

impl ListedTarget {
    /// Offset as of which the store is known to have this entry, or none.
    fn known_offset(&self) -> Offset {
        self.missing_at.map_or(self.offset, |at| at.max(self.offset))
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Tombstone {
    offset: Offset,
    born_ms: Option<u64>,
    at: Timestamp,
}

/// Targets by id with their last entries.
///
/// Entries expire while the store is unavailable, so an entry that is missing shortly after an
/// outage is no evidence that its target is gone. If the store only turned this gateway away, the other
/// gateways read it meanwhile, and a missing entry means what it always does.
#[derive(Clone, Debug)]
pub struct TargetDirectory {
    targets: SortedMap<CompactString, ListedTarget>,
    tombstones: SortedMap<CompactString, Tombstone>,
    /// Last record of the list that this gateway has read itself, with all before it.
    read_to: Option<Offset>,
    store: StoreContact,
}

impl Default for TargetDirectory {
    fn default() -> Self {
        Self::new()
    }
}

impl TargetDirectory {
    /// Creates an empty directory.
    pub const fn new() -> Self {
        Self {
            targets: SortedMap::new(),
            tombstones: SortedMap::new(),
            read_to: None,
            store: StoreContact::new(),
        }
    }

    /// Sets the time between two announcements of a target.
    pub const fn set_announce_interval(&mut self, interval: Duration) {
        self.store.set_announce_interval(interval);
    }

    /// Returns the time until the next read of the list by a process that started `age` ago.
    pub fn read_interval(age: Duration) -> Duration {
        if age < STARTUP_PERIOD { STARTUP_READ_INTERVAL } else { READ_INTERVAL }
    }

    /// Returns the time until the missing targets are to be judged; none if there are none.
    pub fn judgement_due(&self, now: Timestamp) -> Option<Duration> {
        self.has_missing().then(|| self.remaining_recovery(now).unwrap_or_default())
    }

    /// Records that the store did not answer a read or answered that it is unavailable.
    pub fn note_failure(&mut self, now: Timestamp) {
        self.store.note_failure(now);
    }

    /// Whether the last read of the list by this process failed.
    pub const fn is_failing(&self) -> bool {
        self.store.is_failing()
    }

    /// Records that the store answered a read.
    pub fn note_contact(&mut self, now: Timestamp) {
        self.store.note_read(now);
    }

    /// Records that another gateway read the whole list at `at`.
    pub fn note_peer_contact(&mut self, at: Timestamp) {
        self.store.note_peer_read(at);
    }

    /// Records that the store came back from an older copy: what is missing in it is no evidence.
    pub fn note_restored(&mut self, now: Timestamp) {
        self.store.note_restored(now);
    }

    /// Applies a record of the list. Returns the update to distribute, if the record changes
    /// anything.
    pub fn apply(
        &mut self,
        offset: Offset,
        id: &str,
        entry: Option<TargetEntry>,
        now: Timestamp,
    ) -> Option<TargetNews> {
        if self.known_offset(id).is_some_and(|known| offset <= known) {
            return None;
        }
        match entry {
            Some(entry) => self.apply_entry(offset, entry),
            None => self.apply_absence(offset, id, now),
        }
    }

    /// Records that all records of the list before `next` were read and applied.
    pub fn note_read_to(&mut self, next: Offset) {
        self.read_to = self.read_to.max(Some(next.previous()));
    }

    /// Applies the whole list before offset `end`; entries that can't be decoded, given by their ids,
    /// change nothing. Returns the updates to distribute.
    pub fn replace(
        &mut self,
        entries: Vec<(Offset, TargetEntry)>,
        undecoded: &[CompactString],
        end: Offset,
        now: Timestamp,
    ) -> Vec<TargetNews> {
        let decoded = entries.iter().map(|(_, entry)| &entry.id);
        let mut ids: Vec<CompactString> = decoded.chain(undecoded).cloned().collect();
        ids.sort_unstable();
        let mut updates: Vec<TargetNews> = entries
            .into_iter()
            .filter_map(|(offset, entry)| {
                let id = entry.id.clone();
                self.apply(offset, &id, Some(entry), now)
            })
            .collect();
        let absent: Vec<CompactString> =
            self.targets.keys().filter(|id| ids.binary_search(id).is_err()).cloned().collect();
        let last = end.previous();
        updates.extend(absent.into_iter().filter_map(|id| self.apply(last, &id, None, now)));
        self.note_read_to(end);
        updates
    }

    /// Applies an update from another gateway; returns whether it changes anything. The sender may have read
    /// less of the list than this gateway, which would not read the removal of such a target again.
    pub fn apply_update(&mut self, update: &TargetNews, now: Timestamp) -> bool {
        let known = self.known_offset(&update.id).or(self.read_to);
        if known.is_some_and(|known| update.offset <= known) {
            return false;
        }
        match &update.entry {
            Some(entry) => self.apply_entry(update.offset, entry.clone()).is_some(),
            // The sender has already waited for the re-registration period.
            None if self.targets.contains_key(&update.id) => {
                self.drop_target(update.offset, &update.id, now).is_some()
            }
            None => {
                // News of its entry may arrive later than those of its removal.
                let tombstone = Tombstone { offset: update.offset, born_ms: None, at: now };
                self.tombstones.insert(update.id.clone(), tombstone);
                false
            }
        }
    }

    /// Drops the targets that are still missing after the re-registration period. Returns the
    /// updates to distribute.
    pub fn expire(&mut self, now: Timestamp) -> Vec<TargetNews> {
        self.tombstones.retain(|_, tombstone| now.since(tombstone.at) < TOMBSTONE_RETENTION);
        if self.is_recovering(now) {
            return Vec::new();
        }
        let missing: Vec<(CompactString, Offset)> = self
            .targets
            .iter()
            .filter_map(|(id, listed)| Some((id.clone(), listed.missing_at?)))
            .collect();
        missing.into_iter().filter_map(|(id, at)| self.drop_target(at, &id, now)).collect()
    }

    fn known_offset(&self, id: &str) -> Option<Offset> {
        let listed = self.targets.get(id).map(ListedTarget::known_offset);
        listed.or_else(|| self.tombstones.get(id).map(|tombstone| tombstone.offset))
    }

    fn apply_entry(&mut self, offset: Offset, entry: TargetEntry) -> Option<TargetNews> {
        let id = entry.id.clone();
        if let Some(tombstone) = self.tombstones.get_mut(&id)
            && tombstone.offset.era() < offset.era()
            && tombstone.born_ms == entry.born_ms
        {
            tombstone.offset = offset;
            return None;
        }
        if let Some(listed) = self.targets.get_mut(&id)
            && listed.offset.era() < offset.era()
            && listed.entry.born_ms == entry.born_ms
            && listed.entry.state != TargetState::Ready
            && entry.state == TargetState::Ready
        {
            listed.offset = offset;
            listed.missing_at = None;
            return None;
        }
        self.tombstones.remove(&id);
        let listed = ListedTarget { entry: entry.clone(), offset, missing_at: None };
        let former = self.targets.insert(id.clone(), listed);
        let is_update = former.is_none_or(|former| needs_update(&former.entry, &entry));
        is_update.then_some(TargetNews { offset, id, entry: Some(entry) })
    }

    fn apply_absence(&mut self, offset: Offset, id: &str, now: Timestamp) -> Option<TargetNews> {
        if self.is_recovering(now) {
            if let Some(listed) = self.targets.get_mut(id) {
                listed.missing_at.get_or_insert(offset);
            }
            return None;
        }
        self.drop_target(offset, id, now)
    }

    fn drop_target(&mut self, offset: Offset, id: &str, now: Timestamp) -> Option<TargetNews> {
        let born_ms = self.targets.remove(id)?.entry.born_ms;
        self.tombstones.insert(CompactString::new(id), Tombstone { offset, born_ms, at: now });
        Some(TargetNews { offset, id: CompactString::new(id), entry: None })
    }

    /// Time for which missing entries are no evidence yet, because the store has just recovered.
    fn remaining_recovery(&self, now: Timestamp) -> Option<Duration> {
        self.store.remaining(REREGISTRATION_PERIOD, now)
    }

    fn is_recovering(&self, now: Timestamp) -> bool {
        self.remaining_recovery(now).is_some()
    }

    /// Iterates over the targets without an entry whose end is not certain yet.
    pub fn missing(&self) -> impl Iterator<Item = &str> {
        let missing = self.targets.iter().filter(|(_, listed)| listed.missing_at.is_some());
        missing.map(|(id, _)| id.as_str())
    }

    /// Whether targets without an entry are kept, so that the directory is not what the store says.
    pub fn has_missing(&self) -> bool {
        self.missing().next().is_some()
    }

    /// Returns a digest of the targets and their states, equal for equal directories.
    pub fn digest(&self) -> u32 {
        self.targets
            .values()
            .map(|listed| {
                let entry = &listed.entry;
                let leaving = u64::from(entry.state != TargetState::Ready);
                let mut bytes = entry.id.as_bytes().to_vec();
                bytes.extend(entry.software.as_bytes());
                bytes.extend(entry.born_ms.unwrap_or_default().to_le_bytes());
                bytes.extend(leaving.to_le_bytes());
                if entry.cold_ms > 0 {
                    bytes.push(1);
                }
                short_hash(&bytes)
            })
            .fold(0, |digest, hash| digest ^ hash)
    }

    /// Returns the entry of a target.
    pub fn get(&self, id: &str) -> Option<&TargetEntry> {
        self.targets.get(id).map(|listed| &listed.entry)
    }

    /// Returns the entry of a target if the record at `offset` is its newest one. After [`Self::apply`]
    /// this shows whether the record was applied or is outdated.
    pub fn entry_at(&self, id: &str, offset: Offset) -> Option<&TargetEntry> {
        self.targets.get(id).filter(|listed| listed.offset == offset).map(|listed| &listed.entry)
    }

    /// Iterates over the entries by id, including those of leaving targets.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values().map(|listed| &listed.entry)
    }
}

/// Whether a changed entry must be distributed. Changes of adapters are frequent and are reported
/// by agents instead.
fn needs_update(former: &TargetEntry, entry: &TargetEntry) -> bool {
    let leaving = |entry: &TargetEntry| entry.state != TargetState::Ready;
    let models = |entry: &TargetEntry| -> Vec<CompactString> {
        entry.models.iter().map(|loaded| loaded.model.clone()).collect()
    };
    former.born_ms != entry.born_ms
        || former.address != entry.address
        || leaving(former) != leaving(entry)
        || former.service != entry.service
        || former.software != entry.software
        || models(former) != models(entry)
        // The remaining time decreases by itself.
        || (former.cold_ms > 0) != (entry.cold_ms > 0)
        || former.cold_ms < entry.cold_ms
}
