//! State machine of the configuration: the verdict on a record is a pure function of the state
//! before it and the record.

use std::sync::Arc;

use base::Offset;
use config::{AddedKey, FleetConfig, KeyEntry, SourceFile, Sources, WithdrawnKey, is_usable_name};

use crate::snapshot::SeenId;
use crate::{Change, Record, RecordId, Rejection, Snapshot, Verdict};

/// Size limit of the base file and overlays together, in bytes, under rules version 1.
///
/// With the key edits at their limits too, a snapshot still fits into one record.
pub const MAX_FILES_BYTES: usize = 600 << 10;
/// Maximum number of added keys that the base file does not list.
pub const MAX_ADDED_KEYS: usize = 1_024;
/// Maximum number of withdrawn keys kept although the base file does not list them.
const MAX_WITHDRAWN_KEYS: usize = 2_048;
/// Maximum number of record ids kept to detect duplicates, which follow the original within
/// seconds.
const MAX_RECENT_IDS: usize = 256;

/// State after a record, with its compiled configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct StateMachine {
    pub(crate) state: Snapshot,
    pub(crate) compiled: Option<Arc<FleetConfig>>,
}

impl StateMachine {
    /// Restores the state from a snapshot for one site; returns `None` if its files don't compile.
    pub(crate) fn from_snapshot(state: Snapshot, site: &str) -> Option<Self> {
        if state.version == Offset::default() {
            return Some(Self { state, compiled: None });
        }
        let config = state.sources.compile(site, state.version).ok()?;
        Some(Self { state, compiled: Some(Arc::new(config)) })
    }

    /// Applies the record that follows the last one.
    pub(crate) fn apply(&mut self, offset: Offset, record: Record, site: &str) -> Verdict {
        self.state.through = offset;
        if matches!(record.change, Change::Snapshot(_)) {
            return Verdict::Snapshot;
        }
        if let Some(seen) = self.state.recent.iter().find(|seen| seen.id == record.id) {
            return Verdict::Duplicate { first: seen.offset };
        }
        self.remember_id(offset, record.id);
        let outcome = match record.change {
            Change::Files { base_version, base, overlays } => {
                self.apply_files(offset, base_version, base, overlays, site)
            }
            Change::AddKey(key) => self.add_key(offset, key),
            Change::WithdrawKey { name } => self.withdraw_key(offset, &name),
            Change::Snapshot(_) => return Verdict::Snapshot,
        };
        match outcome {
            Ok(()) => Verdict::Accepted,
            Err(rejection) => Verdict::Rejected(rejection),
        }
    }

    /// Applies a record that can't be decoded.
    pub(crate) fn apply_malformed(&mut self, offset: Offset) -> Verdict {
        self.state.through = offset;
        Verdict::Rejected(Rejection::Malformed)
    }

    fn remember_id(&mut self, offset: Offset, id: RecordId) {
        let recent = &mut self.state.recent;
        if recent.len() >= MAX_RECENT_IDS {
            recent.remove(0);
        }
        recent.push(SeenId { offset, id });
    }

    fn apply_files(
        &mut self,
        offset: Offset,
        base_version: Offset,
        base: SourceFile,
        overlays: Vec<SourceFile>,
        site: &str,
    ) -> Result<(), Rejection> {
        let in_force = self.state.version;
        if base_version != in_force {
            return Err(Rejection::Raced { base_version, in_force });
        }
        let length = |file: &SourceFile| file.name.len() + file.text.len();
        let bytes = length(&base) + overlays.iter().map(length).sum::<usize>();
        if bytes > MAX_FILES_BYTES {
            return Err(Rejection::TooLong { bytes, limit: MAX_FILES_BYTES });
        }
        let keys = self.state.sources.keys.clone();
        let mut sources = Sources { base, overlays, keys };
        let checked = sources.check_and_compile(site, offset).map_err(Rejection::Invalid)?;
        let listed = |hash: &[u8; 32]| checked.listed_keys.binary_search(hash).is_ok();
        sources.keys.added.retain(|key| !listed(&key.sha256));
        let excess = sources.keys.withdrawn.len().saturating_sub(MAX_WITHDRAWN_KEYS);
        // The check passed, so the files list no withdrawn key and the oldest ones can be dropped.
        sources.keys.withdrawn.drain(..excess);
        self.state.sources = sources;
        self.set_version(offset, checked.config);
        Ok(())
    }

    fn add_key(&mut self, offset: Offset, key: AddedKey) -> Result<(), Rejection> {
        let config = self.compiled.as_ref().ok_or(Rejection::NoFiles)?;
        if !is_usable_name(&key.name) {
            return Err(Rejection::KeyName(key.name));
        }
        let same = |k: &&KeyEntry| k.name == key.name || k.sha256 == key.sha256;
        if let Some(existing) = config.keys.iter().find(same) {
            return Err(Rejection::KeyExists(existing.name.clone()));
        }
        let edits = &self.state.sources.keys;
        if let Some(withdrawn) = edits.withdrawn.iter().find(|w| w.sha256 == key.sha256) {
            return Err(Rejection::KeyWithdrawn(withdrawn.name.clone()));
        }
        let Some(customer) = config.customer_id(&key.customer) else {
            return Err(Rejection::UnknownCustomer(key.customer));
        };
        if edits.added.len() >= MAX_ADDED_KEYS {
            return Err(Rejection::TooManyKeys { limit: MAX_ADDED_KEYS });
        }
        let (sha256, name) = (key.sha256, key.name.clone());
        let config = config.with_key(offset, KeyEntry { sha256, name, customer });
        self.state.sources.keys.added.push(key);
        self.set_version(offset, config);
        Ok(())
    }

    fn withdraw_key(&mut self, offset: Offset, name: &str) -> Result<(), Rejection> {
        let config = self.compiled.as_ref().ok_or(Rejection::NoFiles)?;
        let Some(key) = config.keys.iter().find(|key| key.name == name) else {
            return Err(Rejection::UnknownKey(name.into()));
        };
        let (name, sha256) = (key.name.clone(), key.sha256);
        let config = config.without_key(offset, &sha256);
        let sources = &mut self.state.sources;
        sources.keys.added.retain(|key| key.sha256 != sha256);
        sources.keys.withdrawn.push(WithdrawnKey { name, sha256 });
        if sources.keys.withdrawn.len() > MAX_WITHDRAWN_KEYS {
            // A withdrawn key that the files still list must not be dropped.
            let listed = sources.listed_keys();
            let is_unlisted = |w: &WithdrawnKey| listed.binary_search(&w.sha256).is_err();
            if let Some(oldest) = sources.keys.withdrawn.iter().position(is_unlisted) {
                sources.keys.withdrawn.remove(oldest);
            }
        }
        self.set_version(offset, config);
        Ok(())
    }

    fn set_version(&mut self, offset: Offset, config: FleetConfig) {
        self.state.version = offset;
        self.compiled = Some(Arc::new(config));
    }
}
