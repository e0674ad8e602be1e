//! Replica of the configuration stream in one process.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use base::{Offset, SnapshotSchedule, Timestamp};
use compact_str::CompactString;
use config::{Sources, Town};

use crate::judge::Judge;
use crate::record::{Decoded, MAX_RECORD_BYTES};
use crate::{Change, Judgement, Record, RecordId, Snapshot};

/// Records judged since the last snapshot after which a new one is due.
const RECORDS_PER_SNAPSHOT: u64 = 500;
/// Records kept while the state before them is missing; snapshots stand closer together.
const MAX_PENDING: usize = 4 * 1_024;
/// Newest records kept for peers.
const MAX_KEPT: usize = 256;
/// Bytes of the newest records kept for peers; also the most that one reply carries.
const MAX_KEPT_BYTES: usize = MAX_RECORD_BYTES;

/// What came of feeding a record.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Verdicts reached, in offset order; empty for a record seen before.
    pub judgements: Vec<Judgement>,
    /// The configuration now in force, if it changed.
    pub town: Option<Arc<Town>>,
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
pub struct KeptRecord {
    /// Offset.
    pub offset: Offset,
    /// Content.
    pub payload: Vec<u8>,
}

/// Replica of the configuration stream: judges records in offset order, whatever way they came.
///
/// Records may be fed repeatedly, from the log and from peers. A record that does not follow the
/// last one is kept until a snapshot, or the records between, make it judgeable.
#[derive(Clone, Debug)]
pub struct ConfigLog {
    site: CompactString,
    judge: Judge,
    pending: VecDeque<KeptRecord>,
    kept: VecDeque<KeptRecord>,
    kept_bytes: usize,
    newest: Offset,
    newer_rules: Option<NewerRules>,
    schedule: SnapshotSchedule,
}

impl ConfigLog {
    /// An empty replica for one site; the log keeps records for `retention`.
    pub fn new(site: &str, retention: Duration) -> Self {
        Self {
            site: CompactString::new(site),
            judge: Judge::default(),
            pending: VecDeque::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            newest: Offset::default(),
            newer_rules: None,
            schedule: SnapshotSchedule::new(retention, RECORDS_PER_SNAPSHOT),
        }
    }

    /// Feeds a record read from the log or received from a peer.
    pub fn apply(&mut self, offset: Offset, payload: &[u8], now: Timestamp) -> Progress {
        let before = self.version();
        let mut progress = Progress::default();
        self.newest = self.newest.max(offset);
        if offset > self.position() && self.newer_rules.is_none() {
            let decoded = Record::decode(payload);
            let kept = KeptRecord { offset, payload: payload.to_vec() };
            if let Decoded::Record(Record { change: Change::Snapshot(snapshot), .. }) = &decoded
                && snapshot.through >= offset
            {
                // Made for a catch-up: a snapshot on the log covers only offsets before its own.
                self.adopt(snapshot, offset);
            } else if offset == self.position().next() {
                self.step(kept, decoded, now, &mut progress);
            } else {
                if let Decoded::Record(Record { change: Change::Snapshot(snapshot), .. }) = &decoded
                {
                    self.adopt(snapshot, offset);
                }
                self.wait(kept);
            }
            self.drain_pending(now, &mut progress);
        }
        if self.version() != before {
            progress.town = self.judge.town.clone();
        }
        progress
    }

    /// Last record judged; 0 if none.
    pub fn position(&self) -> Offset {
        self.judge.state.through
    }

    /// Where to read on in a log that keeps records from `oldest`.
    pub fn next_offset(&self, oldest: Offset) -> Offset {
        if self.newer_rules.is_some() {
            return self.newest.next().max(oldest);
        }
        let mut next = self.position().next().max(oldest);
        for record in &self.pending {
            if record.offset == next {
                next = next.next();
            }
        }
        next
    }

    /// Version in force; 0 if none.
    pub fn version(&self) -> Offset {
        self.judge.state.version
    }

    /// Configuration in force.
    pub fn town(&self) -> Option<&Arc<Town>> {
        self.judge.town.as_ref()
    }

    /// Files and key edits in force.
    pub fn sources(&self) -> Option<&Sources> {
        (self.version() > Offset::default()).then_some(&self.judge.state.sources)
    }

    /// Whether records are held back because those before them are missing.
    ///
    /// A reader at the end of the log that still waits asks a peer.
    pub fn is_waiting(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The record at which judging stopped.
    pub fn newer_rules(&self) -> Option<NewerRules> {
        self.newer_rules
    }

    /// Whether everything through `end` is judged, so that what is in force is up to date.
    pub fn is_current(&self, end: Offset) -> bool {
        self.position() >= end && self.newer_rules.is_none()
    }

    /// Where a record with this id first stood, among the newest ids.
    pub fn find(&self, id: &RecordId) -> Option<Offset> {
        self.judge.state.recent.iter().find(|seen| seen.id == *id).map(|seen| seen.offset)
    }

    /// Notes that the log was read to its end.
    pub fn note_end(&mut self, now: Timestamp) {
        self.schedule.note_end(now);
    }

    /// Whether the first live entry should write a snapshot now.
    pub fn is_snapshot_due(&self, now: Timestamp) -> bool {
        let judging = self.newer_rules.is_none() && !self.is_waiting();
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
    pub fn records_from(&self, from: Offset) -> Vec<KeptRecord> {
        let mut records = Vec::new();
        if from > self.position() {
            return records;
        }
        let kept_from = self.kept.front().map_or(self.position().next(), |record| record.offset);
        if from < kept_from {
            // The id is not judged; it only has to be the same for the same state.
            let id = RecordId(CompactString::const_new("catch-up"));
            let snapshot = self.encode_snapshot(id);
            let offset = self.position();
            records.extend(snapshot.map(|payload| KeptRecord { offset, payload }));
            return records;
        }
        let mut bytes = 0;
        for record in self.kept.iter().filter(|record| record.offset >= from) {
            bytes += record.payload.len();
            if bytes > MAX_KEPT_BYTES && !records.is_empty() {
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
        let change = Change::Snapshot(Box::new(self.judge.state.clone()));
        Record { id, change }.encode()
    }

    /// Judges the record after the last one.
    fn step(
        &mut self,
        kept: KeptRecord,
        decoded: Decoded,
        now: Timestamp,
        progress: &mut Progress,
    ) {
        let offset = kept.offset;
        let judgement = match decoded {
            Decoded::OtherRules { rules } => {
                self.newer_rules = Some(NewerRules { offset, rules });
                self.pending.clear();
                return;
            }
            Decoded::Malformed => {
                Judgement { offset, id: None, verdict: self.judge.judge_malformed(offset) }
            }
            Decoded::Record(record) => {
                match record.change {
                    Change::Snapshot(_) => self.schedule.note_snapshot(now),
                    _ => self.schedule.note_record(),
                }
                let id = Some(record.id.clone());
                Judgement { offset, id, verdict: self.judge.judge(offset, record, &self.site) }
            }
        };
        progress.judgements.push(judgement);
        self.keep(kept);
    }

    /// Takes the state of a snapshot if it leads forward.
    ///
    /// Records between the state and the snapshot's own offset may still be missing; judging goes on
    /// when they arrive.
    fn adopt(&mut self, snapshot: &Snapshot, offset: Offset) {
        let through = snapshot.through;
        let forward = through > self.position() && snapshot.version >= self.version();
        if !forward || through > offset || snapshot.version > through {
            return;
        }
        if let Some(judge) = Judge::restore(snapshot.clone(), &self.site) {
            self.judge = judge;
            self.kept.clear();
            self.kept_bytes = 0;
            let position = self.position();
            self.pending.retain(|pending| pending.offset > position);
        }
    }

    /// Keeps a record until those before it are there.
    fn wait(&mut self, record: KeptRecord) {
        match self.pending.binary_search_by(|pending| pending.offset.cmp(&record.offset)) {
            Ok(_) => {}
            Err(at) => self.pending.insert(at, record),
        }
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
    }

    fn drain_pending(&mut self, now: Timestamp, progress: &mut Progress) {
        while self.newer_rules.is_none()
            && self.pending.front().is_some_and(|next| next.offset <= self.position().next())
        {
            let Some(record) = self.pending.pop_front() else { break };
            if record.offset > self.position() {
                let decoded = Record::decode(&record.payload);
                self.step(record, decoded, now, progress);
            }
        }
    }

    fn keep(&mut self, record: KeptRecord) {
        self.kept_bytes += record.payload.len();
        self.kept.push_back(record);
        while self.kept.len() > MAX_KEPT || self.kept_bytes > MAX_KEPT_BYTES {
            let Some(oldest) = self.kept.pop_front() else { break };
            self.kept_bytes -= oldest.payload.len();
        }
    }
}
