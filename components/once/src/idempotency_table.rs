//! Table of idempotency entries.

use base::{Offset, SortedMap};

use crate::record::LoggedEntry;
use crate::{AttemptId, Claim, ClaimKey, IdempotencyEntry, StoredOutcome};

/// Size limit of all stored bodies in bytes. Beyond it the oldest outcomes lose their bodies.
const MAX_TOTAL_BODY_BYTES: usize = 32 << 20;

/// Entries by the offset of their claim, with an index by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdempotencyTable {
    by_offset: SortedMap<Offset, IdempotencyEntry>,
    /// Key hash and offset of each entry; the elements are small, so an insertion in the middle is
    /// cheap.
    index: Vec<(u64, Offset)>,
    body_bytes: usize,
}

impl IdempotencyTable {
    /// Creates a table from the entries of a snapshot.
    pub(crate) fn restore(entries: impl Iterator<Item = LoggedEntry>) -> Self {
        let mut table = Self::default();
        for logged in entries {
            table.insert(logged.offset, logged.entry);
        }
        table
    }

    pub(crate) fn len(&self) -> usize {
        self.by_offset.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Offset, &IdempotencyEntry)> {
        self.by_offset.iter()
    }

    fn offset_of(&self, key: &ClaimKey) -> Option<Offset> {
        let hash = key.hash();
        let start = self.index.partition_point(|(other, _)| *other < hash);
        self.index[start..]
            .iter()
            .take_while(|(other, _)| *other == hash)
            .map(|(_, offset)| *offset)
            .find(|offset| self.by_offset.get(offset).is_some_and(|m| m.claim.key == *key))
    }

    pub(crate) fn get(&self, key: &ClaimKey) -> Option<&IdempotencyEntry> {
        self.by_offset.get(&self.offset_of(key)?)
    }

    /// Creates the entry of a claim, unless the entry under its key was unexpired when the claim
    /// was made. Returns whether it was created.
    ///
    /// The result depends only on the records and not on the clock of the reader, so that all
    /// readers agree.
    pub(crate) fn insert_claim(&mut self, offset: Offset, claim: Claim) -> bool {
        if let Some(at) = self.offset_of(&claim.key) {
            let is_unexpired = self
                .by_offset
                .get(&at)
                .is_some_and(|entry| claim.claimed_unix_ms < entry.claim.expires_unix_ms);
            if is_unexpired {
                return false;
            }
            self.remove(at);
        }
        self.insert(offset, IdempotencyEntry { claim, outcome: None });
        true
    }

    /// Stores the outcome of the current claim; a later outcome does not replace the first.
    pub(crate) fn set_outcome(
        &mut self,
        key: &ClaimKey,
        attempt: &AttemptId,
        outcome: StoredOutcome,
    ) {
        let Some(at) = self.offset_of(key) else { return };
        let Some(entry) = self.by_offset.get_mut(&at) else { return };
        if entry.claim.attempt != *attempt || entry.outcome.is_some() {
            return;
        }
        self.body_bytes += body_bytes(&outcome);
        entry.outcome = Some(outcome);
        self.evict_oldest_bodies();
    }

    /// Releases the key of a claim that was not run.
    pub(crate) fn release(&mut self, key: &ClaimKey, attempt: &AttemptId) {
        let Some(at) = self.offset_of(key) else { return };
        let can_release = self
            .by_offset
            .get(&at)
            .is_some_and(|entry| entry.claim.attempt == *attempt && entry.outcome.is_none());
        if can_release {
            self.remove(at);
        }
    }

    /// Removes entries that expired before a time.
    pub(crate) fn purge(&mut self, before_unix_ms: u64) {
        let expired: Vec<Offset> = self
            .by_offset
            .iter()
            .filter(|(_, entry)| entry.claim.expires_unix_ms < before_unix_ms)
            .map(|(offset, _)| *offset)
            .collect();
        if expired.is_empty() {
            return;
        }
        let is_expired = |offset: &Offset| expired.binary_search(offset).is_ok();
        self.index.retain(|(_, offset)| !is_expired(offset));
        let mut removed_bytes = 0;
        self.by_offset.retain(|offset, entry| {
            let keep = !is_expired(offset);
            if !keep {
                removed_bytes += entry.outcome.as_ref().map_or(0, body_bytes);
            }
            keep
        });
        self.body_bytes -= removed_bytes;
    }

    fn insert(&mut self, offset: Offset, entry: IdempotencyEntry) {
        let index_entry = (entry.claim.key.hash(), offset);
        if let Err(at) = self.index.binary_search(&index_entry) {
            self.index.insert(at, index_entry);
        }
        self.body_bytes += entry.outcome.as_ref().map_or(0, body_bytes);
        self.by_offset.insert(offset, entry);
    }

    fn remove(&mut self, offset: Offset) {
        if let Some(entry) = self.by_offset.remove(&offset) {
            let index_entry = (entry.claim.key.hash(), offset);
            if let Ok(at) = self.index.binary_search(&index_entry) {
                self.index.remove(at);
            }
            self.body_bytes -= entry.outcome.as_ref().map_or(0, body_bytes);
        }
    }

    fn evict_oldest_bodies(&mut self) {
        if self.body_bytes <= MAX_TOTAL_BODY_BYTES {
            return;
        }
        // Reduces the size to three quarters, so that the scan is rare.
        let goal_bytes = MAX_TOTAL_BODY_BYTES / 4 * 3;
        for outcome in self.by_offset.values_mut().filter_map(|entry| entry.outcome.as_mut()) {
            if self.body_bytes <= goal_bytes {
                break;
            }
            self.body_bytes -= outcome.body.take().map_or(0, |body| body.len());
        }
    }
}

fn body_bytes(outcome: &StoredOutcome) -> usize {
    outcome.body.as_ref().map_or(0, Vec::len)
}
