//! Which targets there are, by the platform's list and the state of the store that holds it.

use std::time::Duration;

use base::{SortedMap, Timestamp};
use compact_str::CompactString;

use crate::{TargetEntry, TargetState};

/// Time after the store's return within which targets whose entries lapsed announce themselves again;
/// the platform promises about two seconds. A target still missing then is gone.
pub const RETURN_TIME: Duration = Duration::from_secs(2);

/// What the directory knows of one target.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Listed {
    entry: TargetEntry,
    /// Set while the entry is missing because of an outage of the store.
    missing: bool,
}

/// What changed for a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// It takes work, or says something new of itself.
    Present,
    /// Its entry is gone while the store was away; it keeps its work until the list is sure.
    Lapsed,
    /// It takes no new work.
    Gone,
}

/// Targets by id, with their last entries.
///
/// Entries lapse while the store is away, so an entry that is missing shortly after an outage says
/// nothing about its target.
#[derive(Clone, Debug, Default)]
pub struct TargetDirectory {
    targets: SortedMap<CompactString, Listed>,
    /// First failed read since the last good one.
    failing_since: Option<Timestamp>,
    /// End of the last outage.
    returned_at: Option<Timestamp>,
}

impl TargetDirectory {
    /// A directory that knows nothing.
    pub const fn new() -> Self {
        Self { targets: SortedMap::new(), failing_since: None, returned_at: None }
    }

    /// The store did not answer a read, or answered that it is unavailable.
    pub fn note_failure(&mut self, now: Timestamp) {
        self.failing_since.get_or_insert(now);
    }

    /// The store answered a read.
    pub fn note_contact(&mut self, now: Timestamp) {
        if self.failing_since.take().is_some() {
            self.returned_at = Some(now);
        }
    }

    /// Takes the entry of a target.
    pub fn insert(&mut self, entry: TargetEntry) -> DirectoryChange {
        let change = match entry.state {
            TargetState::Ready => DirectoryChange::Present,
            TargetState::Leaving { .. } => DirectoryChange::Gone,
        };
        self.targets.insert(entry.id.clone(), Listed { entry, missing: false });
        change
    }

    /// Takes notice that a target has no usable entry any more.
    pub fn remove(&mut self, id: &str, now: Timestamp) -> DirectoryChange {
        if self.is_settling(now) {
            if let Some(listed) = self.targets.get_mut(id) {
                listed.missing = true;
            }
            return DirectoryChange::Lapsed;
        }
        self.targets.remove(id);
        DirectoryChange::Gone
    }

    /// Takes the whole list; returns the ids that are not on it, with what that means.
    pub fn replace(
        &mut self,
        entries: Vec<TargetEntry>,
        now: Timestamp,
    ) -> Vec<(CompactString, DirectoryChange)> {
        let mut ids: Vec<CompactString> = entries.iter().map(|entry| entry.id.clone()).collect();
        ids.sort_unstable();
        for entry in entries {
            self.insert(entry);
        }
        let absent: Vec<CompactString> =
            self.targets.keys().filter(|id| ids.binary_search(id).is_err()).cloned().collect();
        absent
            .into_iter()
            .map(|id| {
                let change = self.remove(&id, now);
                (id, change)
            })
            .collect()
    }

    /// Drops the targets that are still missing after the time to return; returns their ids.
    pub fn expire(&mut self, now: Timestamp) -> Vec<CompactString> {
        if self.is_settling(now) {
            return Vec::new();
        }
        let gone: Vec<CompactString> = self
            .targets
            .iter()
            .filter(|(_, listed)| listed.missing)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.targets.remove(id);
        }
        gone
    }

    /// Whether the store is away or has just returned, so that missing entries mean nothing.
    fn is_settling(&self, now: Timestamp) -> bool {
        self.failing_since.is_some()
            || self.returned_at.is_some_and(|at| now.since(at) < RETURN_TIME)
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
