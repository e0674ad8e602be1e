//! Table of marks.

use base::{Offset, SortedMap};

use crate::record::PlacedMark;
use crate::{AttemptId, Claim, ClaimKey, Mark, StoredOutcome};

/// Most bytes of stored bodies; beyond it the oldest answers are kept without their bodies.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Marks by the offset of their claim, with an index by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Marks {
    by_offset: SortedMap<Offset, Mark>,
    /// Hash of the key with the offset: small entries, so that an insertion in the middle is cheap.
    index: Vec<(u64, Offset)>,
    body_bytes: usize,
}

impl Marks {
    /// Takes the marks of a snapshot.
    pub(crate) fn restore(marks: impl Iterator<Item = PlacedMark>) -> Self {
        let mut table = Self::default();
        for placed in marks {
            table.insert(placed.offset, placed.mark);
        }
        table
    }

    pub(crate) fn len(&self) -> usize {
        self.by_offset.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Offset, &Mark)> {
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

    pub(crate) fn get(&self, key: &ClaimKey) -> Option<&Mark> {
        self.by_offset.get(&self.offset_of(key)?)
    }

    /// Makes the mark of a claim unless one stands under its key when it was made; tells whether it did.
    ///
    /// Only the records decide this, not the reader's clock, so that all readers agree.
    pub(crate) fn claim(&mut self, offset: Offset, claim: Claim) -> bool {
        if let Some(at) = self.offset_of(&claim.key) {
            let stands = self
                .by_offset
                .get(&at)
                .is_some_and(|mark| claim.claimed_unix_ms < mark.claim.expires_unix_ms);
            if stands {
                return false;
            }
            self.remove(at);
        }
        self.insert(offset, Mark { claim, outcome: None });
        true
    }

    /// Stores the outcome of the claim that stands; the first outcome stays.
    pub(crate) fn settle(&mut self, key: &ClaimKey, attempt: &AttemptId, outcome: StoredOutcome) {
        let Some(at) = self.offset_of(key) else { return };
        let Some(mark) = self.by_offset.get_mut(&at) else { return };
        if mark.claim.attempt != *attempt || mark.outcome.is_some() {
            return;
        }
        self.body_bytes += body_length(&outcome);
        mark.outcome = Some(outcome);
        self.drop_old_bodies();
    }

    /// Frees the key of a claim that was not run.
    pub(crate) fn release(&mut self, key: &ClaimKey, attempt: &AttemptId) {
        let Some(at) = self.offset_of(key) else { return };
        let free = self
            .by_offset
            .get(&at)
            .is_some_and(|mark| mark.claim.attempt == *attempt && mark.outcome.is_none());
        if free {
            self.remove(at);
        }
    }

    /// Forgets marks that expired before a time.
    pub(crate) fn purge(&mut self, before_unix_ms: u64) {
        let expired: Vec<Offset> = self
            .by_offset
            .iter()
            .filter(|(_, mark)| mark.claim.expires_unix_ms < before_unix_ms)
            .map(|(offset, _)| *offset)
            .collect();
        if expired.is_empty() {
            return;
        }
        let gone = |offset: &Offset| expired.binary_search(offset).is_ok();
        self.index.retain(|(_, offset)| !gone(offset));
        let mut freed = 0;
        self.by_offset.retain(|offset, mark| {
            let keep = !gone(offset);
            if !keep {
                freed += mark.outcome.as_ref().map_or(0, body_length);
            }
            keep
        });
        self.body_bytes -= freed;
    }

    fn insert(&mut self, offset: Offset, mark: Mark) {
        let entry = (mark.claim.key.hash(), offset);
        if let Err(at) = self.index.binary_search(&entry) {
            self.index.insert(at, entry);
        }
        self.body_bytes += mark.outcome.as_ref().map_or(0, body_length);
        self.by_offset.insert(offset, mark);
    }

    fn remove(&mut self, offset: Offset) {
        if let Some(mark) = self.by_offset.remove(&offset) {
            let entry = (mark.claim.key.hash(), offset);
            if let Ok(at) = self.index.binary_search(&entry) {
                self.index.remove(at);
            }
            self.body_bytes -= mark.outcome.as_ref().map_or(0, body_length);
        }
    }

    fn drop_old_bodies(&mut self) {
        if self.body_bytes <= MAX_BODY_BYTES {
            return;
        }
        // Down to three quarters, so that the scan is rare.
        let target = MAX_BODY_BYTES / 4 * 3;
        for outcome in self.by_offset.values_mut().filter_map(|mark| mark.outcome.as_mut()) {
            if self.body_bytes <= target {
                break;
            }
            self.body_bytes -= outcome.body.take().map_or(0, |body| body.len());
        }
    }
}

fn body_length(outcome: &StoredOutcome) -> usize {
    outcome.body.as_ref().map_or(0, Vec::len)
}
