//! Replica of the configuration stream in one process.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use base::{Offset, SnapshotSchedule, Timestamp};
use compact_str::CompactString;
use config::{FleetConfig, Sources};

use crate::record::{DecodedRecord, MAX_RECORD_BYTES};
use crate::state_machine::StateMachine;
use crate::{Change, Record, RecordId, RecordVerdict, Snapshot};

/// Number of records after the last snapshot that makes a new one due.
const RECORDS_PER_SNAPSHOT: u64 = 500;
/// Maximum number of records buffered while earlier ones are missing; snapshots are closer
/// together.
const MAX_BUFFERED_RECORDS: usize = 4 * 1_024;
/// Maximum number of recent records kept for peers.
const MAX_RECENT_RECORDS: usize = 256;
/// Size limit of the recent records kept for peers, in bytes; also the limit of one reply.
const MAX_RECENT_BYTES: usize = MAX_RECORD_BYTES;

/// Result of applying a record.
#[derive(Clone, Debug, Default)]
pub struct ApplyResult {
    /// Verdicts in offset order; empty for a record applied before.
    pub verdicts: Vec<RecordVerdict>,
    /// Configuration in force, if it changed.
    pub new_config: Option<Arc<FleetConfig>>,
}

/// A record under a rules version that this program does not support; no record after it is
/// applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewerRules {
    /// Offset of the record.
    pub offset: Offset,
    /// Rules version of the record.
    pub rules: u32,
}

/// An encoded record as exchanged between peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedRecord {
    /// Offset.
    pub offset: Offset,
    /// Content.
    pub payload: Vec<u8>,
}

/// Replica of the configuration stream. It applies records in offset order, regardless of the
/// source and order in which they arrive.
///
/// The same record may be passed repeatedly, from the log and from peers. A record that does not
/// follow the last one is buffered until the missing records or a snapshot arrive.
#[derive(Clone, Debug)]
pub struct ConfigLog {
    site: CompactString,
    machine: StateMachine,
    buffered: VecDeque<EncodedRecord>,
    recent: VecDeque<EncodedRecord>,
    recent_bytes: usize,
    newest: Offset,
    newer_rules: Option<NewerRules>,
    schedule: SnapshotSchedule,
}

impl ConfigLog {
    /// Creates an empty replica for one site; the log keeps records for `retention`.
    pub fn new(site: &str, retention: Duration) -> Self {
        Self {
            site: CompactString::new(site),
            machine: StateMachine::default(),
            buffered: VecDeque::new(),
            recent: VecDeque::new(),
            recent_bytes: 0,
            newest: Offset::default(),
            newer_rules: None,
            schedule: SnapshotSchedule::new(retention, RECORDS_PER_SNAPSHOT),
        }
    }

    /// Applies a record read from the log or received from a peer.
    pub fn apply(&mut self, offset: Offset, payload: &[u8], now: Timestamp) -> ApplyResult {
        let before = self.version();
        let mut result = ApplyResult::default();
        self.newest = self.newest.max(offset);
        if offset > self.position() && self.newer_rules.is_none() {
            let decoded = Record::decode(payload);
            let encoded = EncodedRecord { offset, payload: payload.to_vec() };
            if let DecodedRecord::Record(Record { change: Change::Snapshot(snapshot), .. }) =
                &decoded
                && snapshot.through >= offset
            {
                // A snapshot made for a peer's catch-up: one on the log covers only offsets before
                // its own.
                self.install_snapshot(snapshot, offset);
            } else if offset == self.position().next() {
                self.apply_next(encoded, decoded, now, &mut result);
            } else {
                if let DecodedRecord::Record(Record {
                    change: Change::Snapshot(snapshot), ..
                }) = &decoded
                {
                    self.install_snapshot(snapshot, offset);
                }
                self.buffer(encoded);
            }
            self.drain_buffered(now, &mut result);
        }
        if self.version() != before {
            result.new_config = self.machine.compiled.clone();
        }
        result
    }

    /// Returns the offset of the last applied record; 0 if there is none.
    pub fn position(&self) -> Offset {
        self.machine.state.through
    }

    /// Returns the offset of the next read from a log that keeps records from `oldest`.
    pub fn next_offset(&self, oldest: Offset) -> Offset {
        if self.newer_rules.is_some() {
            return self.newest.next().max(oldest);
        }
        let mut next = self.position().next().max(oldest);
        for record in &self.buffered {
            if record.offset == next {
                next = next.next();
            }
        }
        next
    }

    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> Offset {
        self.machine.state.version
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&Arc<FleetConfig>> {
        self.machine.compiled.as_ref()
    }

    /// Returns the files and key edits in force.
    pub fn sources(&self) -> Option<&Sources> {
        (self.version() > Offset::default()).then_some(&self.machine.state.sources)
    }

    /// Whether records are buffered because earlier ones are missing.
    ///
    /// A reader that is at the end of the log and still has a gap requests the records from a peer.
    pub fn has_gap(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Returns the record with an unsupported rules version, if one was reached.
    pub fn newer_rules(&self) -> Option<NewerRules> {
        self.newer_rules
    }

    /// Whether all records through `end` are applied, so that the configuration in force is up to
    /// date.
    pub fn is_up_to_date(&self, end: Offset) -> bool {
        self.position() >= end && self.newer_rules.is_none()
    }

    /// Returns the offset of the first record with this id, if it is among the recent ids.
    pub fn find(&self, id: &RecordId) -> Option<Offset> {
        self.machine.state.recent.iter().find(|seen| seen.id == *id).map(|seen| seen.offset)
    }

    /// Records that the log was read to its end.
    pub fn note_end(&mut self, now: Timestamp) {
        self.schedule.note_end(now);
    }

    /// Whether a snapshot is due; the first live entry by name writes it.
    pub fn is_snapshot_due(&self, now: Timestamp) -> bool {
        let is_current = self.newer_rules.is_none() && !self.has_gap();
        is_current && self.position() > Offset::default() && self.schedule.is_due(now)
    }

    /// Encodes a snapshot record to append. Another one becomes due only if this one does not
    /// arrive.
    ///
    /// Returns `None` if there is no state, or if the state exceeds the record limit.
    pub fn take_snapshot(&mut self, id: RecordId, now: Timestamp) -> Option<Vec<u8>> {
        self.schedule.note_sent(now);
        self.encode_snapshot(id)
    }

    /// Returns records for a peer that has all records before `from`; the first one may be a
    /// snapshot.
    ///
    /// Together they fit into one message; the peer requests the rest with further calls.
    pub fn records_from(&self, from: Offset) -> Vec<EncodedRecord> {
        let mut records = Vec::new();
        if from > self.position() {
            return records;
        }
        let recent_from =
            self.recent.front().map_or(self.position().next(), |record| record.offset);
        if from < recent_from {
            // The id has no effect on the verdict; it only has to be the same for the same state.
            let id = RecordId(CompactString::const_new("catch-up"));
            let snapshot = self.encode_snapshot(id);
            let offset = self.position();
            records.extend(snapshot.map(|payload| EncodedRecord { offset, payload }));
            return records;
        }
        let mut bytes = 0;
        for record in self.recent.iter().filter(|record| record.offset >= from) {
            bytes += record.payload.len();
            if bytes > MAX_RECENT_BYTES && !records.is_empty() {
                break;
            }
            records.push(record.clone());
        }
        records
    }

    fn encode_snapshot(&self, id: RecordId) -> Option<Vec<u8>> {
        if self.position() == Offset::default() {
            return None;
        }
        let change = Change::Snapshot(Box::new(self.machine.state.clone()));
        Record { id, change }.encode()
    }

    /// Applies the record that follows the last one.
    fn apply_next(
        &mut self,
        encoded: EncodedRecord,
        decoded: DecodedRecord,
        now: Timestamp,
        result: &mut ApplyResult,
    ) {
        let offset = encoded.offset;
        let record_verdict = match decoded {
            DecodedRecord::UnsupportedRules { rules } => {
                self.newer_rules = Some(NewerRules { offset, rules });
                self.buffered.clear();
                return;
            }
            DecodedRecord::Malformed => {
                RecordVerdict { offset, id: None, verdict: self.machine.apply_malformed(offset) }
            }
            DecodedRecord::Record(record) => {
                match record.change {
                    Change::Snapshot(_) => self.schedule.note_snapshot(now),
                    _ => self.schedule.note_record(),
                }
                let id = Some(record.id.clone());
                RecordVerdict {
                    offset,
                    id,
                    verdict: self.machine.apply(offset, record, &self.site),
                }
            }
        };
        result.verdicts.push(record_verdict);
        self.retain_recent(encoded);
    }

    /// Installs a snapshot that is newer than the state.
    ///
    /// Records between the state and the offset of the snapshot may still be missing; they are
    /// applied when they arrive.
    fn install_snapshot(&mut self, snapshot: &Snapshot, offset: Offset) {
        let through = snapshot.through;
        let is_newer = through > self.position() && snapshot.version >= self.version();
        if !is_newer || through > offset || snapshot.version > through {
            return;
        }
        if let Some(machine) = StateMachine::from_snapshot(snapshot.clone(), &self.site) {
            self.machine = machine;
            self.recent.clear();
            self.recent_bytes = 0;
            let position = self.position();
            self.buffered.retain(|buffered| buffered.offset > position);
        }
    }

    /// Buffers a record until the earlier ones have arrived.
    fn buffer(&mut self, record: EncodedRecord) {
        match self.buffered.binary_search_by(|buffered| buffered.offset.cmp(&record.offset)) {
            Ok(_) => {}
            Err(at) => self.buffered.insert(at, record),
        }
        if self.buffered.len() > MAX_BUFFERED_RECORDS {
            self.buffered.pop_front();
        }
    }

    fn drain_buffered(&mut self, now: Timestamp, result: &mut ApplyResult) {
        while self.newer_rules.is_none()
            && self.buffered.front().is_some_and(|next| next.offset <= self.position().next())
        {
            let Some(record) = self.buffered.pop_front() else { break };
            if record.offset > self.position() {
                let decoded = Record::decode(&record.payload);
                self.apply_next(record, decoded, now, result);
            }
        }
    }

    fn retain_recent(&mut self, record: EncodedRecord) {
        self.recent_bytes += record.payload.len();
        self.recent.push_back(record);
        while self.recent.len() > MAX_RECENT_RECORDS || self.recent_bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else { break };
            self.recent_bytes -= oldest.payload.len();
        }
    }
}
