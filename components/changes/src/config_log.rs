//! Replica of the configuration stream in one process.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use base::{Offset, SnapshotSchedule, Timestamp};
use compact_str::CompactString;
use config::{Sources, Town};

use crate::record::{DecodedRecord, MAX_RECORD_BYTES};
use crate::state_machine::StateMachine;
use crate::{Change, Record, RecordId, RecordVerdict, Snapshot};

/// Records judged since the last snapshot after which a new one is due.
const RECORDS_PER_SNAPSHOT: u64 = 500;
/// Records encoded while the state before them is missing; snapshots stand closer together.
const MAX_BUFFERED_RECORDS: usize = 4 * 1_024;
/// Newest records encoded for peers.
const MAX_RECENT_RECORDS: usize = 256;
/// Bytes of the newest records encoded for peers; also the most that one reply carries.
const MAX_RECENT_BYTES: usize = MAX_RECORD_BYTES;

/// What came of feeding a record.
#[derive(Clone, Debug, Default)]
pub struct ApplyResult {
    /// Verdicts reached, in offset order; empty for a record seen before.
    pub verdicts: Vec<RecordVerdict>,
    /// The configuration now in force, if it changed.
    pub new_config: Option<Arc<Town>>,
}

/// A record under rules that this program does not know; nothing after it is judged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewerRules {
    /// Offset of the record.
    pub offset: Offset,
    /// Number of its rules.
    pub rules: u32,
}

/// A record as peers pass it on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedRecord {
    /// Offset.
    pub offset: Offset,
    /// Content.
    pub payload: Vec<u8>,
}

/// Replica of the configuration stream: judges records in offset order, whatever way they came.
///
/// Records may be fed repeatedly, from the log and from peers. A record that does not follow the
/// last one is encoded until a snapshot, or the records between, make it judgeable.
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
    /// An empty replica for one site; the log keeps records for `retention`.
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

    /// Feeds a record read from the log or received from a peer.
    pub fn apply(&mut self, offset: Offset, payload: &[u8], now: Timestamp) -> ApplyResult {
        let before = self.version();
        let mut progress = ApplyResult::default();
        self.newest = self.newest.max(offset);
        if offset > self.position() && self.newer_rules.is_none() {
            let decoded = Record::decode(payload);
            let encoded = EncodedRecord { offset, payload: payload.to_vec() };
            if let DecodedRecord::Record(Record { change: Change::Snapshot(snapshot), .. }) =
                &decoded
                && snapshot.through >= offset
            {
                // Made for a catch-up: a snapshot on the log covers only offsets before its own.
                self.install_snapshot(snapshot, offset);
            } else if offset == self.position().next() {
                self.apply_next(encoded, decoded, now, &mut progress);
            } else {
                if let DecodedRecord::Record(Record {
                    change: Change::Snapshot(snapshot), ..
                }) = &decoded
                {
                    self.install_snapshot(snapshot, offset);
                }
                self.buffer(encoded);
            }
            self.drain_buffered(now, &mut progress);
        }
        if self.version() != before {
            progress.new_config = self.machine.compiled.clone();
        }
        progress
    }

    /// Last record judged; 0 if none.
    pub fn position(&self) -> Offset {
        self.machine.state.through
    }

    /// Where to read on in a log that keeps records from `oldest`.
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

    /// Version in force; 0 if none.
    pub fn version(&self) -> Offset {
        self.machine.state.version
    }

    /// Configuration in force.
    pub fn current(&self) -> Option<&Arc<Town>> {
        self.machine.compiled.as_ref()
    }

    /// Files and key edits in force.
    pub fn sources(&self) -> Option<&Sources> {
        (self.version() > Offset::default()).then_some(&self.machine.state.sources)
    }

    /// Whether records are held back because those before them are missing.
    ///
    /// A reader at the end of the log that still waits asks a peer.
    pub fn has_gap(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// The record at which judging stopped.
    pub fn newer_rules(&self) -> Option<NewerRules> {
        self.newer_rules
    }

    /// Whether everything through `end` is judged, so that what is in force is up to date.
    pub fn is_up_to_date(&self, end: Offset) -> bool {
        self.position() >= end && self.newer_rules.is_none()
    }

    /// Where a record with this id first stood, among the newest ids.
    pub fn find(&self, id: &RecordId) -> Option<Offset> {
        self.machine.state.recent.iter().find(|seen| seen.id == *id).map(|seen| seen.offset)
    }

    /// Notes that the log was read to its end.
    pub fn note_end(&mut self, now: Timestamp) {
        self.schedule.note_end(now);
    }

    /// Whether the first live entry should write a snapshot now.
    pub fn is_snapshot_due(&self, now: Timestamp) -> bool {
        let judging = self.newer_rules.is_none() && !self.has_gap();
        judging && self.position() > Offset::default() && self.schedule.is_due(now)
    }

    /// Encodes a snapshot record to append; another is due only if this one does not arrive.
    ///
    /// `None` if there is nothing to keep, or if the state exceeds a record.
    pub fn take_snapshot(&mut self, id: RecordId, now: Timestamp) -> Option<Vec<u8>> {
        self.schedule.note_sent(now);
        self.encode_snapshot(id)
    }

    /// Records for a peer that has everything before `from`; the first may be a snapshot.
    ///
    /// The records together fit one message; the peer asks again for more.
    pub fn records_from(&self, from: Offset) -> Vec<EncodedRecord> {
        let mut records = Vec::new();
        if from > self.position() {
            return records;
        }
        let recent_from =
            self.recent.front().map_or(self.position().next(), |record| record.offset);
        if from < recent_from {
            // The id is not judged; it only has to be the same for the same state.
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

    /// Judges the record after the last one.
    fn apply_next(
        &mut self,
        encoded: EncodedRecord,
        decoded: DecodedRecord,
        now: Timestamp,
        progress: &mut ApplyResult,
    ) {
        let offset = encoded.offset;
        let judgement = match decoded {
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
        progress.verdicts.push(judgement);
        self.retain_recent(encoded);
    }

    /// Takes the state of a snapshot if it leads forward.
    ///
    /// Records between the state and the snapshot's own offset may still be missing; judging goes
    /// on when they arrive.
    fn install_snapshot(&mut self, snapshot: &Snapshot, offset: Offset) {
        let through = snapshot.through;
        let forward = through > self.position() && snapshot.version >= self.version();
        if !forward || through > offset || snapshot.version > through {
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

    /// Keeps a record until those before it are there.
    fn buffer(&mut self, record: EncodedRecord) {
        match self.buffered.binary_search_by(|buffered| buffered.offset.cmp(&record.offset)) {
            Ok(_) => {}
            Err(at) => self.buffered.insert(at, record),
        }
        if self.buffered.len() > MAX_BUFFERED_RECORDS {
            self.buffered.pop_front();
        }
    }

    fn drain_buffered(&mut self, now: Timestamp, progress: &mut ApplyResult) {
        while self.newer_rules.is_none()
            && self.buffered.front().is_some_and(|next| next.offset <= self.position().next())
        {
            let Some(record) = self.buffered.pop_front() else { break };
            if record.offset > self.position() {
                let decoded = Record::decode(&record.payload);
                self.apply_next(record, decoded, now, progress);
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
