//! Register of the versions in service, which a shared store keeps.
//!
//! It outlasts all gateways. The first ones write it, in turn, so that each version costs few writes
//! whatever the number of gateways.

use std::time::Duration;

use base::{SortedMap, Timestamp};
use compact_str::CompactString;
use wire::SoftwareVersion;

/// Settings of the writers of a register.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SoftwareRegisterSettings {
    /// Number of gateways that write, the first ones by rank.
    pub writers: usize,
    /// Time that each writer leaves to the one before it.
    pub write_delay: Duration,
}

impl Default for SoftwareRegisterSettings {
    fn default() -> Self {
        Self { writers: 2, write_delay: Duration::from_millis(500) }
    }
}

/// What a gateway knows of the versions when it looks for its next step.
#[derive(Clone, Copy, Debug)]
pub struct VersionsSeen<'a> {
    /// Versions that listed targets run, sorted.
    pub in_service: &'a [SoftwareVersion],
    /// These and the versions that were in service lately, sorted.
    pub lately: &'a [SoftwareVersion],
    /// Era of the store.
    pub store_era: Option<u64>,
}

/// Next call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegisterStep {
    /// No call.
    Wait,
    /// Read the register.
    Read,
    /// Write this version.
    Write(SoftwareVersion),
    /// Remove the version under this key.
    Remove(CompactString),
}

/// A gateway's copy of the register. It may lack what others wrote since its last read, which comes before
/// each series of writes.
#[derive(Clone, Debug, Default)]
pub struct SoftwareRegister {
    settings: SoftwareRegisterSettings,
    entries: SortedMap<CompactString, SoftwareVersion>,
    /// Start of the last read, and the era of the store that it names.
    read: Option<(Timestamp, Option<u64>)>,
    /// Since when the register differs from what the gateway sees.
    differs_since: Option<Timestamp>,
}

impl SoftwareRegister {
    /// Creates a copy that has not been read.
    pub fn new(settings: SoftwareRegisterSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Replaces the entries by those of a snapshot.
    pub fn replace(&mut self, entries: impl IntoIterator<Item = (CompactString, SoftwareVersion)>) {
        self.entries = SortedMap::new();
        for (key, version) in entries {
            self.entries.insert(key, version);
        }
    }

    /// Applies the newest record of a key; none if it was removed.
    pub fn apply(&mut self, key: &CompactString, version: Option<SoftwareVersion>) {
        match version {
            Some(version) => {
                self.entries.insert(key.clone(), version);
            }
            None => {
                self.entries.remove(key);
            }
        }
    }

    /// Records a read to the end of the register that began at `requested_at`.
    pub fn record_read(&mut self, requested_at: Timestamp, store_era: Option<u64>) {
        self.read = Some((requested_at, store_era));
    }

    /// Returns whether the register was ever read to its end.
    pub const fn is_read(&self) -> bool {
        self.read.is_some()
    }

    /// Iterates over the registered versions.
    pub fn versions(&self) -> impl Iterator<Item = &SoftwareVersion> {
        self.entries.values()
    }

    /// Returns the next call of the gateway at position `rank`.
    pub fn next_step(
        &mut self,
        seen: &VersionsSeen<'_>,
        rank: usize,
        now: Timestamp,
    ) -> RegisterStep {
        let writes = rank < self.settings.writers;
        // A store that came back from an older copy may lack entries.
        let is_current = self.read.is_some_and(|(_, era)| era == seen.store_era);
        let step = match self.missing(seen) {
            Some(version) => RegisterStep::Write(version),
            None if rank == 0 => {
                self.surplus(seen).map_or(RegisterStep::Wait, RegisterStep::Remove)
            }
            None => RegisterStep::Wait,
        };
        if step == RegisterStep::Wait && is_current {
            self.differs_since = None;
            return step;
        }
        let since = *self.differs_since.get_or_insert(now);
        let turn = self.settings.write_delay * u32::try_from(rank).unwrap_or(u32::MAX);
        if !writes || now.since(since) < turn {
            return RegisterStep::Wait;
        }
        match self.read {
            Some((read_at, _)) if is_current && read_at >= since => step,
            _ => RegisterStep::Read,
        }
    }

    fn missing(&self, seen: &VersionsSeen<'_>) -> Option<SoftwareVersion> {
        let is_missing = |version: &&SoftwareVersion| !self.entries.contains_key(&version.key());
        seen.in_service.iter().find(is_missing).cloned()
    }

    fn surplus(&self, seen: &VersionsSeen<'_>) -> Option<CompactString> {
        let is_surplus = |version: &SoftwareVersion| seen.lately.binary_search(version).is_err();
        self.entries.iter().find(|(_, version)| is_surplus(version)).map(|(key, _)| key.clone())
    }
}
