//! Replica of the claims stream in one side process, with the attempts of that process.

use std::collections::VecDeque;
use std::time::Duration;

use base::{Offset, ProcessId, SnapshotSchedule, SortedMap, Timestamp};

use crate::idempotency_table::IdempotencyTable;
use crate::record::{AppendRequest, ClaimRecord, DecodedClaim, LoggedEntry, SnapshotPart};
use crate::{
    AttemptId, BeginResult, Claim, ClaimKey, Fingerprint, PriorOutcome, Settlement,
    SettlementResult, StoredOutcome,
};

/// Number of records after the last snapshot that makes a new one due.
const RECORDS_PER_SNAPSHOT: u64 = 20_000;
/// Maximum number of records buffered while earlier ones are missing; more than there are between
/// two snapshots.
const MAX_BUFFERED_RECORDS: usize = 64 * 1_024;
/// Size limit of the entries in one snapshot part, in bytes; far below the record limit.
const MAX_PART_BYTES: usize = 256 << 10;
/// Estimated size of an entry without its strings and bodies, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 256;
/// Clock skew between VMs that is tolerated: entries are kept for this long after they expire, in
/// milliseconds.
const CLOCK_SKEW_MARGIN_MS: u64 = 600_000;

/// Limits of claims.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// Time after which an entry expires.
    pub window: Duration,
    /// Maximum time until a claim is settled.
    pub claim_timeout: Duration,
    /// Maximum size of the body of a stored outcome in bytes.
    pub outcome_body_bytes: usize,
    /// Retention of the log.
    pub retention: Duration,
}

#[derive(Clone, Debug)]
struct BufferedRecord {
    offset: Offset,
    /// `None` if the record can't be decoded; such a record has no effect.
    record: Option<ClaimRecord>,
}

/// Gap in the records up to and including `through`, first seen at `since`.
#[derive(Clone, Copy, Debug)]
struct Gap {
    through: Offset,
    since: Timestamp,
}

/// Decides from the order of claims on the log which attempts may run a call.
///
/// An attempt may run only while it is pending, and only when its own claim is read back as the
/// first one under its key, with no earlier record missing. A call is therefore run by at most one
/// attempt.
#[derive(Clone, Debug)]
pub struct ClaimLog {
    own: ProcessId,
    limits: ClaimLimits,
    next_number: u64,
    position: Offset,
    entries: IdempotencyTable,
    /// Deadlines of the pending attempts; they increase with the attempt number.
    pending: SortedMap<u64, Timestamp>,
    /// Own attempts that were allowed to run and have no outcome yet.
    running: SortedMap<u64, ClaimKey>,
    buffered: VecDeque<BufferedRecord>,
    snapshot_parts: Vec<SnapshotPart>,
    gap: Option<Gap>,
    newest: Offset,
    newer_rules: Option<u32>,
    schedule: SnapshotSchedule,
}

impl ClaimLog {
    /// Creates an empty replica for one incarnation of a side process.
    pub fn new(own: ProcessId, limits: ClaimLimits) -> Self {
        Self {
            own,
            limits,
            next_number: 1,
            position: Offset::default(),
            entries: IdempotencyTable::default(),
            pending: SortedMap::new(),
            running: SortedMap::new(),
            buffered: VecDeque::new(),
            snapshot_parts: Vec::new(),
            gap: None,
            newest: Offset::default(),
            newer_rules: None,
            schedule: SnapshotSchedule::new(limits.retention, RECORDS_PER_SNAPSHOT),
        }
    }

    /// Returns the known outcome of a call without making a claim; `None` if there is none.
    pub fn look_up(
        &self,
        key: &ClaimKey,
        fingerprint: Fingerprint,
        unix_ms: u64,
    ) -> Option<PriorOutcome> {
        let entry = self.entries.get(key)?;
        (unix_ms < entry.claim.expires_unix_ms).then(|| prior_outcome(entry, fingerprint))
    }

    /// Starts an attempt to run a call, unless its outcome is known.
    pub fn begin(
        &mut self,
        key: ClaimKey,
        fingerprint: Fingerprint,
        now: Timestamp,
        unix_ms: u64,
    ) -> BeginResult {
        if let Some(outcome) = self.look_up(&key, fingerprint, unix_ms) {
            return BeginResult::Known(outcome);
        }
        if self.newer_rules.is_some() || self.has_gap() {
            return BeginResult::NotReady;
        }
        let number = self.next_number;
        let attempt = AttemptId { process: self.own.clone(), number };
        let window_ms = u64::try_from(self.limits.window.as_millis()).unwrap_or(u64::MAX);
        let claim = Claim {
            attempt: attempt.clone(),
            key,
            fingerprint,
            claimed_unix_ms: unix_ms,
            expires_unix_ms: unix_ms.saturating_add(window_ms),
        };
        let Some(append) = ClaimRecord::Claim(claim).to_append() else {
            return BeginResult::NotReady;
        };
        self.next_number += 1;
        self.pending.insert(number, now + self.limits.claim_timeout);
        BeginResult::Append { attempt, claim: append }
    }

    /// Abandons a pending attempt because its caller disconnected or the log refused the claim.
    ///
    /// The attempt will not run the call. This has no effect on an attempt that is not pending.
    pub fn abandon(&mut self, attempt: &AttemptId) {
        if attempt.process == self.own {
            self.pending.remove(&attempt.number);
        }
    }

    /// Settles the pending attempts whose deadline has passed as not run.
    pub fn expire_pending(&mut self, now: Timestamp) -> Vec<Settlement> {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .take_while(|(_, deadline)| now >= **deadline)
            .map(|(number, _)| *number)
            .collect();
        expired.into_iter().map(|number| self.expire_attempt(number)).collect()
    }

    /// Time of the next call of [`ClaimLog::expire_pending`].
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.pending.values().next().copied()
    }

    /// Stores the outcome of a call that this process ran and returns the record to append.
    ///
    /// A body above the limit is omitted. Returns `None` if the attempt was not allowed to run.
    pub fn finish(
        &mut self,
        attempt: &AttemptId,
        mut outcome: StoredOutcome,
    ) -> Option<AppendRequest> {
        let key = self.remove_running(attempt)?;
        if outcome.body.as_ref().is_some_and(|body| body.len() > self.limits.outcome_body_bytes) {
            outcome.body = None;
        }
        // Stored before the append succeeds: a repeated call must get the outcome even while the
        // log is unavailable.
        self.entries.set_outcome(&key, attempt, outcome.clone());
        ClaimRecord::Outcome { key, attempt: attempt.clone(), outcome }.to_append()
    }

    /// Ends an attempt that was allowed to run but sent nothing to the target, and returns the
    /// record to append that releases the idempotency key.
    ///
    /// Returns `None` if the attempt was not allowed to run.
    pub fn release(&mut self, attempt: &AttemptId) -> Option<AppendRequest> {
        let key = self.remove_running(attempt)?;
        ClaimRecord::Release { key, attempt: attempt.clone() }.to_append()
    }

    /// Ends an attempt whose call was sent to the target without receiving a complete response.
    pub fn note_unknown_outcome(&mut self, attempt: &AttemptId) {
        let _key = self.remove_running(attempt);
    }

    fn remove_running(&mut self, attempt: &AttemptId) -> Option<ClaimKey> {
        if attempt.process == self.own { self.running.remove(&attempt.number) } else { None }
    }

    /// Applies a record read from the log; a record that was applied before is ignored.
    pub fn apply(&mut self, offset: Offset, payload: &[u8], now: Timestamp) -> Vec<Settlement> {
        let mut settlements = Vec::new();
        self.newest = self.newest.max(offset);
        if offset <= self.position || self.newer_rules.is_some() {
            return settlements;
        }
        let record = match ClaimRecord::decode(payload) {
            DecodedClaim::Record(record) => Some(record),
            DecodedClaim::Malformed => None,
            DecodedClaim::UnsupportedRules { rules } => {
                self.newer_rules = Some(rules);
                self.buffered.clear();
                self.snapshot_parts.clear();
                return settlements;
            }
        };
        if offset == self.position.next() {
            self.apply_next(offset, record, now, &mut settlements);
        } else {
            self.buffer(offset, record);
        }
        self.drain_buffered(now, &mut settlements);
        settlements
    }

    /// Records that the log was read to its end, and the oldest offset that it keeps.
    ///
    /// If no snapshot closes a gap, the entries in the records that the log dropped have expired
    /// once the window has passed since they were written, which was at least the retention before
    /// the gap was seen. From then on the remaining records are applied to an empty state.
    pub fn note_end(&mut self, oldest: Offset, now: Timestamp) -> Vec<Settlement> {
        let mut settlements = Vec::new();
        self.schedule.note_end(now);
        if self.gap.is_some_and(|gap| self.position >= gap.through) {
            self.gap = None;
        }
        if let Some(through) = oldest.0.checked_sub(1).map(Offset)
            && self.position < through
            && self.newer_rules.is_none()
        {
            let gap = *self.gap.get_or_insert(Gap { through, since: now });
            let age = now.since(gap.since) + self.limits.retention;
            if age >= self.limits.window + Duration::from_millis(CLOCK_SKEW_MARGIN_MS) {
                self.entries = IdempotencyTable::default();
                self.position = gap.through;
                self.gap = None;
                self.drain_buffered(now, &mut settlements);
            }
        }
        settlements
    }

    /// Returns the offset of the last applied record; 0 if there is none.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// Returns the offset of the next read from a log that keeps records from `oldest`.
    pub fn next_offset(&self, oldest: Offset) -> Offset {
        if self.newer_rules.is_some() {
            return self.newest.next().max(oldest);
        }
        let mut next = self.position.next().max(oldest);
        for buffered in &self.buffered {
            if buffered.offset == next {
                next = next.next();
            }
        }
        next
    }

    /// Whether records are buffered because earlier ones are missing.
    pub fn has_gap(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Returns the rules version of a record that this program does not support. No attempt runs
    /// after such a record.
    pub fn newer_rules(&self) -> Option<u32> {
        self.newer_rules
    }

    /// Number of entries in the table.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Removes entries that expired more than the clock skew margin ago.
    pub fn purge(&mut self, unix_ms: u64) {
        self.entries.purge(unix_ms.saturating_sub(CLOCK_SKEW_MARGIN_MS));
    }

    /// Whether a snapshot is due; the first live side by name writes it.
    pub fn is_snapshot_due(&self, now: Timestamp) -> bool {
        let is_current = self.newer_rules.is_none() && !self.has_gap();
        is_current && self.position > Offset::default() && self.schedule.is_due(now)
    }

    /// Creates a snapshot of the unexpired entries. Its parts must be appended in order.
    pub fn take_snapshot(&mut self, now: Timestamp, unix_ms: u64) -> Vec<AppendRequest> {
        self.schedule.note_sent(now);
        self.purge(unix_ms);
        let id = AttemptId { process: self.own.clone(), number: self.next_number };
        self.next_number += 1;
        let mut chunks: Vec<Vec<LoggedEntry>> = vec![Vec::new()];
        let mut bytes = 0;
        for (offset, entry) in self.entries.iter() {
            let logged = LoggedEntry { offset: *offset, entry: entry.clone() };
            let length = entry_bytes(&logged);
            if bytes > 0 && bytes + length > MAX_PART_BYTES {
                chunks.push(Vec::new());
                bytes = 0;
            }
            bytes += length;
            if let Some(chunk) = chunks.last_mut() {
                chunk.push(logged);
            }
        }
        let Ok(parts) = u32::try_from(chunks.len()) else { return Vec::new() };
        chunks
            .into_iter()
            .zip(0..)
            .filter_map(|(entries, part)| {
                let through = self.position;
                let part = SnapshotPart { id: id.clone(), through, part, parts, entries };
                ClaimRecord::Snapshot(part).to_append()
            })
            .collect()
    }

    /// Applies the record that follows the last one; `None` stands for a record that can't be
    /// decoded.
    fn apply_next(
        &mut self,
        offset: Offset,
        record: Option<ClaimRecord>,
        now: Timestamp,
        settlements: &mut Vec<Settlement>,
    ) {
        self.position = offset;
        match record {
            Some(ClaimRecord::Claim(claim)) => {
                let is_first = self.entries.insert_claim(offset, claim.clone());
                self.settle_own_claim(&claim, is_first, now, settlements);
            }
            Some(ClaimRecord::Outcome { key, attempt, outcome }) => {
                self.entries.set_outcome(&key, &attempt, outcome);
            }
            Some(ClaimRecord::Release { key, attempt }) => self.entries.release(&key, &attempt),
            Some(ClaimRecord::Snapshot(part)) => {
                if part.part + 1 == part.parts {
                    self.schedule.note_snapshot(now);
                }
                return;
            }
            None => {}
        }
        self.schedule.note_record();
    }

    /// Settles the own attempt that made this claim; `is_first` tells whether the claim created an
    /// entry.
    fn settle_own_claim(
        &mut self,
        claim: &Claim,
        is_first: bool,
        now: Timestamp,
        settlements: &mut Vec<Settlement>,
    ) {
        if claim.attempt.process != self.own {
            return;
        }
        let number = claim.attempt.number;
        let Some(deadline) = self.pending.get(&number).copied() else {
            // A claim that created no entry may be a duplicate of one whose call ran.
            settlements.extend(if is_first { release_late_claim(claim) } else { None });
            return;
        };
        if now >= deadline {
            settlements.push(self.expire_attempt(number));
            settlements.extend(if is_first { release_late_claim(claim) } else { None });
            return;
        }
        self.pending.remove(&number);
        let result = match self.entries.get(&claim.key) {
            Some(entry) if entry.claim.attempt != claim.attempt => {
                SettlementResult::Lost(prior_outcome(entry, claim.fingerprint))
            }
            _ => {
                self.running.insert(number, claim.key.clone());
                SettlementResult::Run
            }
        };
        settlements.push(Settlement { attempt: claim.attempt.clone(), result });
    }

    fn expire_attempt(&mut self, number: u64) -> Settlement {
        self.pending.remove(&number);
        let attempt = AttemptId { process: self.own.clone(), number };
        Settlement { attempt, result: SettlementResult::Unsettled }
    }

    /// Buffers a record until the earlier ones have arrived, and installs a snapshot once all its
    /// parts are present.
    fn buffer(&mut self, offset: Offset, record: Option<ClaimRecord>) {
        if let Some(ClaimRecord::Snapshot(part)) = &record
            && part.through < offset
        {
            self.add_snapshot_part(part);
        }
        if offset <= self.position {
            return;
        }
        match self.buffered.binary_search_by(|buffered| buffered.offset.cmp(&offset)) {
            Ok(_) => {}
            Err(at) => self.buffered.insert(at, BufferedRecord { offset, record }),
        }
        if self.buffered.len() > MAX_BUFFERED_RECORDS {
            self.buffered.pop_front();
        }
    }

    fn add_snapshot_part(&mut self, part: &SnapshotPart) {
        if part.through <= self.position {
            return;
        }
        self.snapshot_parts.retain(|other| other.id != part.id || other.part != part.part);
        self.snapshot_parts.push(part.clone());
        let collected: Vec<&SnapshotPart> =
            self.snapshot_parts.iter().filter(|other| other.id == part.id).collect();
        if u32::try_from(collected.len()) != Ok(part.parts) {
            return;
        }
        let mut logged: Vec<LoggedEntry> =
            collected.into_iter().flat_map(|part| part.entries.iter().cloned()).collect();
        logged.sort_by_key(|logged| logged.offset);
        self.entries = IdempotencyTable::restore(logged.into_iter());
        self.position = part.through;
        let position = self.position;
        self.snapshot_parts.retain(|other| other.through > position);
        self.buffered.retain(|buffered| buffered.offset > position);
    }

    fn drain_buffered(&mut self, now: Timestamp, settlements: &mut Vec<Settlement>) {
        while self.buffered.front().is_some_and(|buffered| buffered.offset <= self.position.next())
        {
            let Some(buffered) = self.buffered.pop_front() else { break };
            if buffered.offset > self.position {
                self.apply_next(buffered.offset, buffered.record, now, settlements);
            }
        }
        if self.buffered.is_empty() {
            self.snapshot_parts.clear();
        }
    }
}

fn prior_outcome(entry: &crate::IdempotencyEntry, fingerprint: Fingerprint) -> PriorOutcome {
    if entry.claim.fingerprint != fingerprint {
        return PriorOutcome::Mismatch;
    }
    match &entry.outcome {
        Some(outcome) => PriorOutcome::Ran(outcome.clone()),
        None => PriorOutcome::Unknown,
    }
}

fn entry_bytes(logged: &LoggedEntry) -> usize {
    let key = &logged.entry.claim.key;
    let outcome = logged.entry.outcome.as_ref().map_or(0, |outcome| {
        let headers: usize = outcome.headers.iter().map(|h| h.name.len() + h.value.len() + 8).sum();
        headers + outcome.body.as_ref().map_or(0, Vec::len)
    });
    ENTRY_OVERHEAD_BYTES + key.customer.len() + key.route.len() + outcome
}

/// Releases the key of a claim that was read after its attempt ended.
fn release_late_claim(claim: &Claim) -> Option<Settlement> {
    let (key, attempt) = (claim.key.clone(), claim.attempt.clone());
    let append = ClaimRecord::Release { key, attempt: attempt.clone() }.to_append()?;
    Some(Settlement { attempt, result: SettlementResult::Late(append) })
}
