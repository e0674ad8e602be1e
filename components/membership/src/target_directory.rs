//! Which targets there are, by the platform's list and the state of the store that holds it.
//!
//! A few gateways read the list and tell the others what changed. Each record has an offset, so
//! that updates which arrives twice, late or in another order changes nothing.

use std::time::Duration;

use base::{Offset, SortedMap, Timestamp, short_hash};
use compact_str::CompactString;
use wire::{TargetEntry, TargetNews, TargetState};

/// Time between two reads of the list. Each is paid for; a leaving target must be noticed within
/// the 2,000 ms that it still serves, of which a failed call takes half.
const READ_INTERVAL: Duration = Duration::from_millis(550);
/// The same just after the start of the process.
const STARTUP_READ_INTERVAL: Duration = Duration::from_millis(120);
/// Time after the start in which the list is read more often. After a loss of all power targets
/// enter it within some 300 ms of the processes, and until they are known nothing can be loaded.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);
/// Time after the store's return within which targets whose entries lapsed announce themselves
/// again; the platform promises about two seconds. A target still missing then is gone.
pub const REREGISTRATION_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a target that is gone is remembered, so that old updates can't bring it back.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(120);

/// What the directory knows of one target.
#[derive(Clone, Debug, Eq, PartialEq)]
struct ListedTarget {
    entry: TargetEntry,
    offset: Offset,
    /// Offset at which the entry was found missing because of an outage of the store.
    missing_at: Option<Offset>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Tombstone {
    offset: Offset,
    at: Timestamp,
}

/// Targets by id, with their last entries.
///
/// Entries lapse while the store is away, so an entry that is missing shortly after an outage says
/// nothing about its target.
#[derive(Clone, Debug, Default)]
pub struct TargetDirectory {
    targets: SortedMap<CompactString, ListedTarget>,
    tombstones: SortedMap<CompactString, Tombstone>,
    /// First failed read since the last good one.
    failing_since: Option<Timestamp>,
    /// End of the last outage.
    recovered_at: Option<Timestamp>,
}

impl TargetDirectory {
    /// A directory that knows nothing.
    pub const fn new() -> Self {
        Self {
            targets: SortedMap::new(),
            tombstones: SortedMap::new(),
            failing_since: None,
            recovered_at: None,
        }
    }

    /// Time until the next read of the list by a process that has run for `age`.
    pub fn read_interval(age: Duration) -> Duration {
        if age < STARTUP_PERIOD { STARTUP_READ_INTERVAL } else { READ_INTERVAL }
    }

    /// The store did not answer a read, or answered that it is unavailable.
    pub fn note_failure(&mut self, now: Timestamp) {
        self.failing_since.get_or_insert(now);
    }

    /// The store answered a read.
    pub fn note_contact(&mut self, now: Timestamp) {
        if self.failing_since.take().is_some() {
            self.recovered_at = Some(now);
        }
    }

    /// Takes a record of the list; returns what others should be told, if it says something new.
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

    /// Takes the whole list as of offset `end`; returns what others should be told.
    pub fn replace(
        &mut self,
        entries: Vec<(Offset, TargetEntry)>,
        end: Offset,
        now: Timestamp,
    ) -> Vec<TargetNews> {
        let mut ids: Vec<CompactString> =
            entries.iter().map(|(_, entry)| entry.id.clone()).collect();
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
        updates.extend(absent.into_iter().filter_map(|id| self.apply(end, &id, None, now)));
        updates
    }

    /// Takes the word of another gateway; true if it changes something.
    pub fn apply_update(&mut self, updates: &TargetNews, now: Timestamp) -> bool {
        if self.known_offset(&updates.id).is_some_and(|known| updates.offset <= known) {
            return false;
        }
        match &updates.entry {
            Some(entry) => self.apply_entry(updates.offset, entry.clone()),
            // The reader has waited out the time to return.
            None => self.drop_target(updates.offset, &updates.id, now),
        }
        .is_some()
    }

    /// Drops the targets that are still missing after the time to return; returns what others
    /// should be told.
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
        let listed = self.targets.get(id).map(|listed| listed.offset);
        listed.or_else(|| self.tombstones.get(id).map(|tombstone| tombstone.offset))
    }

    fn apply_entry(&mut self, offset: Offset, entry: TargetEntry) -> Option<TargetNews> {
        let id = entry.id.clone();
        self.tombstones.remove(&id);
        let listed = ListedTarget { entry: entry.clone(), offset, missing_at: None };
        let former = self.targets.insert(id.clone(), listed);
        let is_update = former.is_none_or(|former| differs(&former.entry, &entry));
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
        self.targets.remove(id)?;
        self.tombstones.insert(CompactString::new(id), Tombstone { offset, at: now });
        Some(TargetNews { offset, id: CompactString::new(id), entry: None })
    }

    /// Whether the store is away or has just returned, so that missing entries mean nothing.
    fn is_recovering(&self, now: Timestamp) -> bool {
        self.failing_since.is_some()
            || self.recovered_at.is_some_and(|at| now.since(at) < REREGISTRATION_PERIOD)
    }

    /// Digest of the targets and their states, equal at gateways that know the same.
    pub fn digest(&self) -> u32 {
        self.targets
            .values()
            .map(|listed| {
                let entry = &listed.entry;
                let leaving = u64::from(entry.state != TargetState::Ready);
                let mut bytes = entry.id.as_bytes().to_vec();
                bytes.extend(entry.born_ms.unwrap_or_default().to_le_bytes());
                bytes.extend(leaving.to_le_bytes());
                short_hash(&bytes)
            })
            .fold(0, |digest, hash| digest ^ hash)
    }

    /// Entry of a target.
    pub fn get(&self, id: &str) -> Option<&TargetEntry> {
        self.targets.get(id).map(|listed| &listed.entry)
    }

    /// Entries in the order of their ids, those of leaving targets included.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values().map(|listed| &listed.entry)
    }
}

/// Whether others should be told of a changed entry. Adapters come and go all the time and are
/// known from agents.
fn differs(former: &TargetEntry, entry: &TargetEntry) -> bool {
    let leaving = |entry: &TargetEntry| entry.state != TargetState::Ready;
    let models = |entry: &TargetEntry| -> Vec<CompactString> {
        entry.models.iter().map(|loaded| loaded.model.clone()).collect()
    };
    former.born_ms != entry.born_ms
        || former.address != entry.address
        || leaving(former) != leaving(entry)
        || former.service != entry.service
        || models(former) != models(entry)
}
