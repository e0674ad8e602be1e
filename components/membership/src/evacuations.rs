//! Data centres that the operators evacuate.
//!
//! Each record has an offset, and of two records on a data centre the one at the higher offset
//! counts, from whichever source it comes. Records of an end are kept, so that an old record of the
//! beginning changes nothing; of a data centre without a record, it is known up to where the store was
//! read that none is evacuated. Where it is uncertain whether an evacuation has ended, it goes on: an
//! empty data centre costs capacity, a request that reaches an evacuated one breaks a promise.

use std::time::Duration;

use base::{Offset, SortedMap, Timestamp};
use compact_str::CompactString;
use wire::{EvacuationRecord, EvacuationReport};

/// Most data centres with a record, so that the reports fit into a datagram. The largest deployment
/// has fewer than ten.
const MAX_DATA_CENTRES: usize = 64;

/// A change of the evacuation of a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationChange {
    /// Data centre.
    pub data_centre: CompactString,
    /// Offset of the record that made the change.
    pub offset: Offset,
    /// Whether the evacuation is in progress now.
    pub is_active: bool,
    /// Time since the change became known to a gateway.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Evacuation {
    offset: Offset,
    is_active: bool,
    /// When it became known, and how old the news was at that time.
    known_at: Timestamp,
    age: Duration,
}

/// Evacuations by data centre.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    by_data_centre: SortedMap<CompactString, Evacuation>,
    /// Last record of the store that this gateway has read itself, with all before it.
    read_to: Option<Offset>,
}

impl Evacuations {
    /// Returns whether a data centre is being evacuated.
    pub fn is_active(&self, data_centre: &str) -> bool {
        self.by_data_centre.get(data_centre).is_some_and(|evacuation| evacuation.is_active)
    }

    /// Returns the data centres that are being evacuated, sorted by name.
    pub fn active(&self) -> Vec<CompactString> {
        let active = self.by_data_centre.iter().filter(|(_, evacuation)| evacuation.is_active);
        active.map(|(data_centre, _)| data_centre.clone()).collect()
    }

    /// Applies a record that was read from the store. Returns the change, if there is one.
    pub fn apply_record(
        &mut self,
        record: &EvacuationRecord,
        now: Timestamp,
    ) -> Option<EvacuationChange> {
        self.apply(record, Duration::ZERO, now)
    }

    /// Records that all records of the store before `next` were read and applied.
    pub fn note_read_to(&mut self, next: Offset) {
        self.read_to = self.read_to.max(Some(next.previous()));
    }

    /// Applies a snapshot of all records before offset `end`. An evacuation without a record has
    /// ended, unless the store came back from an older copy since it began and may have lost the
    /// record. Returns the changes.
    pub fn apply_snapshot(
        &mut self,
        records: &[EvacuationRecord],
        end: Offset,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        let last = end.previous();
        let is_absent = |data_centre: &CompactString| {
            !records.iter().any(|record| record.data_centre == *data_centre)
        };
        let ended: Vec<EvacuationRecord> = self
            .by_data_centre
            .iter()
            .filter(|(data_centre, evacuation)| {
                evacuation.is_active
                    && evacuation.offset.era() == end.era()
                    && is_absent(data_centre)
            })
            .map(|(data_centre, _)| EvacuationRecord {
                data_centre: data_centre.clone(),
                offset: last,
                is_active: false,
            })
            .collect();
        self.note_read_to(end);
        records.iter().chain(&ended).filter_map(|record| self.apply_record(record, now)).collect()
    }

    /// Applies the report of another gateway. Returns the change, if there is one.
    ///
    /// An evacuation without a record here has ended if this gateway has read further than its beginning in
    /// the same era of the store.
    pub fn apply_report(
        &mut self,
        report: &EvacuationReport,
        now: Timestamp,
    ) -> Option<EvacuationChange> {
        let has_ended = self
            .read_to
            .is_some_and(|read| report.offset <= read && report.offset.era() == read.era())
            && !self.by_data_centre.contains_key(&report.data_centre);
        if has_ended {
            return None;
        }
        let record = EvacuationRecord {
            data_centre: report.data_centre.clone(),
            offset: report.offset,
            is_active: report.is_active,
        };
        self.apply(&record, Duration::from_millis(u64::from(report.age_ms)), now)
    }

    fn apply(
        &mut self,
        record: &EvacuationRecord,
        age: Duration,
        now: Timestamp,
    ) -> Option<EvacuationChange> {
        let EvacuationRecord { data_centre, offset, is_active } = record;
        let former = self.by_data_centre.get(data_centre).copied();
        if former.is_some_and(|former| former.offset >= *offset) {
            return None;
        }
        if former.is_none() && !self.make_room(*is_active) {
            return None;
        }
        // A record that repeats the state, such as one that is written again after a restoration of
        // the store, doesn't change when the state began.
        let changes = former.is_none_or(|former| former.is_active != *is_active);
        let (known_at, age) = match former.filter(|_| !changes) {
            Some(former) => (former.known_at, former.age),
            None => (now, age),
        };
        let evacuation = Evacuation { offset: *offset, is_active: *is_active, known_at, age };
        self.by_data_centre.insert(data_centre.clone(), evacuation);
        changes.then(|| EvacuationChange {
            data_centre: data_centre.clone(),
            offset: *offset,
            is_active: *is_active,
            age,
        })
    }

    /// Makes room for a data centre without a record, in place of the oldest end. Returns whether
    /// there is room.
    fn make_room(&mut self, for_active: bool) -> bool {
        if self.by_data_centre.len() < MAX_DATA_CENTRES {
            return true;
        }
        let ended = self.by_data_centre.iter().filter(|(_, evacuation)| !evacuation.is_active);
        let oldest = ended
            .min_by_key(|(_, evacuation)| evacuation.offset)
            .map(|(data_centre, _)| data_centre.clone());
        match oldest.filter(|_| for_active) {
            Some(data_centre) => self.by_data_centre.remove(&data_centre).is_some(),
            None => false,
        }
    }

    /// Returns the reports for the other gateways.
    pub fn reports(&self, now: Timestamp) -> Vec<EvacuationReport> {
        self.by_data_centre
            .iter()
            .map(|(data_centre, evacuation)| EvacuationReport {
                data_centre: data_centre.clone(),
                offset: evacuation.offset,
                is_active: evacuation.is_active,
                age_ms: u32::try_from(
                    (now.since(evacuation.known_at) + evacuation.age).as_millis(),
                )
                .unwrap_or(u32::MAX),
            })
            .collect()
    }
}
