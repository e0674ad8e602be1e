//! Table of entries.

use base::{Offset, SortedMap};

use crate::record::LoggedEntry;
use crate::{AttemptId, Claim, ClaimKey, IdempotencyEntry, StoredOutcome};

/// Most bytes of stored bodies; beyond it the oldest answers are kept without their bodies.
const MAX_TOTAL_BODY_BYTES: usize = 32 << 20;

/// IdempotencyTable by the offset of their claim, with an index by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdempotencyTable {
    by_offset: SortedMap<Offset, IdempotencyEntry>,
    /// Hash of the key with the offset: small entries, so that an insertion in the middle is cheap.
    index: Vec<(u64, Offset)>,
    body_bytes: usize,
}

impl IdempotencyTable {
    /// Takes the entries of a snapshot.
    pub(crate) fn restore(entries: impl Iterator<Item = LoggedEntry>) -> Self {
        let mut table = Self::default();
        for placed in entries {
            table.insert(placed.offset, placed.entry);
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

    /// Makes the entry of a claim unless one stands under its key when it was made; tells whether
    /// it did.
    ///
    /// Only the records decide this, not the reader's clock, so that all readers agree.
    pub(crate) fn insert_claim(&mut self, offset: Offset, claim: Claim) -> bool {
        if let Some(at) = self.offset_of(&claim.key) {
            let stands = self
                .by_offset
                .get(&at)
                .is_some_and(|entry| claim.claimed_unix_ms < entry.claim.expires_unix_ms);
            if stands {
                return false;
            }
            self.remove(at);
        }
        self.insert(offset, IdempotencyEntry { claim, outcome: None });
        true
    }

    /// Stores the outcome of the claim that stands; the first outcome stays.
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

    /// Frees the key of a claim that was not run.
    pub(crate) fn release(&mut self, key: &ClaimKey, attempt: &AttemptId) {
        let Some(at) = self.offset_of(key) else { return };
        let free = self
            .by_offset
            .get(&at)
            .is_some_and(|entry| entry.claim.attempt == *attempt && entry.outcome.is_none());
        if free {
            self.remove(at);
        }
    }

    /// Forgets entries that expired before a time.
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
        let mut freed = 0;
        self.by_offset.retain(|offset, entry| {
            let keep = !is_expired(offset);
            if !keep {
                freed += entry.outcome.as_ref().map_or(0, body_bytes);
            }
            keep
        });
        self.body_bytes -= freed;
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
        // Down to three quarters, so that the scan is rare.
        let target = MAX_TOTAL_BODY_BYTES / 4 * 3;
        for outcome in self.by_offset.values_mut().filter_map(|entry| entry.outcome.as_mut()) {
            if self.body_bytes <= target {
                break;
            }
            self.body_bytes -= outcome.body.take().map_or(0, |body| body.len());
        }
    }
}

fn body_bytes(outcome: &StoredOutcome) -> usize {
    outcome.body.as_ref().map_or(0, Vec::len)
}
