//! Replica of the claims stream in one side process, and the attempts of that process.

use std::collections::VecDeque;
use std::time::Duration;

use base::{Offset, ProcessId, SnapshotSchedule, SortedMap, Timestamp};

use crate::idempotency_table::IdempotencyTable;
use crate::record::{AppendRequest, ClaimRecord, DecodedClaim, LoggedEntry, SnapshotPart};
use crate::{
    AttemptId, BeginResult, Claim, ClaimKey, Fingerprint, PriorOutcome, Settlement,
    SettlementResult, StoredOutcome,
};

/// Records since the last snapshot after which a new one is due.
const RECORDS_PER_SNAPSHOT: u64 = 20_000;
/// Records kept while the state before them is missing; more than between two snapshots.
const MAX_BUFFERED_RECORDS: usize = 64 * 1_024;
/// Bytes of entries in one part of a snapshot; far below the largest record.
const MAX_PART_BYTES: usize = 256 << 10;
/// Bytes of a entry besides its texts and bodies, for the size of parts.
const ENTRY_OVERHEAD_BYTES: usize = 256;
/// Difference of wall clocks between VMs that entries outlive their end by, in milliseconds.
const CLOCK_SKEW_MARGIN_MS: u64 = 600_000;

/// Limits for claims.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// How long a entry stands.
    pub window: Duration,
    /// Longest wait for a claim to be settled.
    pub claim_timeout: Duration,
    /// Largest body of a stored outcome in bytes.
    pub outcome_body_bytes: usize,
    /// How long the log keeps records.
    pub retention: Duration,
}

#[derive(Clone, Debug)]
struct BufferedRecord {
    offset: Offset,
    /// None if the record can't be decoded; it changes nothing.
    record: Option<ClaimRecord>,
}

/// Records before `through` that were missing at a time.
#[derive(Clone, Copy, Debug)]
struct Gap {
    through: Offset,
    since: Timestamp,
}

/// Decides which attempts may run a call, from the order of claims on the log.
///
/// An attempt may run only while it waits, and only when its own claim is read back as the first
/// under its key with no record missing before it. A call is therefore run by at most one attempt.
#[derive(Clone, Debug)]
pub struct ClaimLog {
    own: ProcessId,
    limits: ClaimLimits,
    next_number: u64,
    position: Offset,
    entries: IdempotencyTable,
    /// Deadlines of the attempts that wait; they rise with the number.
    pending: SortedMap<u64, Timestamp>,
    /// Own attempts that were told to run and have no outcome yet.
    running: SortedMap<u64, ClaimKey>,
    buffered: VecDeque<BufferedRecord>,
    snapshot_parts: Vec<SnapshotPart>,
    gap: Option<Gap>,
    newest: Offset,
    newer_rules: Option<u32>,
    schedule: SnapshotSchedule,
}

impl ClaimLog {
    /// An empty replica for one run of a side process.
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

    /// What is known about a call without a claim of its own; `None` if nothing is.
    pub fn look_up(
        &self,
        key: &ClaimKey,
        fingerprint: Fingerprint,
        unix_ms: u64,
    ) -> Option<PriorOutcome> {
        let entry = self.entries.get(key)?;
        (unix_ms < entry.claim.expires_unix_ms).then(|| prior_outcome(entry, fingerprint))
    }

    /// Starts an attempt for a call, unless its answer is known.
    pub fn begin(
        &mut self,
        key: ClaimKey,
        fingerprint: Fingerprint,
        now: Timestamp,
        unix_ms: u64,
    ) -> BeginResult {
        if let Some(answer) = self.look_up(&key, fingerprint, unix_ms) {
            return BeginResult::Known(answer);
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

    /// Gives up an attempt that waits: its caller went away, or the log refused the claim.
    ///
    /// The call is not run by it. Nothing happens if the attempt does not wait any more.
    pub fn abandon(&mut self, attempt: &AttemptId) {
        if attempt.process == self.own {
            self.pending.remove(&attempt.number);
        }
    }

    /// Ends the waits that lasted too long.
    pub fn expire_pending(&mut self, now: Timestamp) -> Vec<Settlement> {
        let late: Vec<u64> = self
            .pending
            .iter()
            .take_while(|(_, deadline)| now >= **deadline)
            .map(|(number, _)| *number)
            .collect();
        late.into_iter().map(|number| self.expire_attempt(number)).collect()
    }

    /// When [`ClaimLog::expire_pending`] has something to do next.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.pending.values().next().copied()
    }

    /// Stores the answer of a call that this process ran, and gives the record to append.
    ///
    /// A body above the limit is left out. `None` if the attempt was not told to run.
    pub fn finish(
        &mut self,
        attempt: &AttemptId,
        mut outcome: StoredOutcome,
    ) -> Option<AppendRequest> {
        let key = self.take_running(attempt)?;
        if outcome.body.as_ref().is_some_and(|body| body.len() > self.limits.outcome_body_bytes) {
            outcome.body = None;
        }
        // Known here at once: a repeat must get the answer even while the log is down.
        self.entries.set_outcome(&key, attempt, outcome.clone());
        ClaimRecord::Outcome { key, attempt: attempt.clone(), outcome }.to_append()
    }

    /// Ends an attempt that was told to run but sent nothing to the target, and gives the record to
    /// append that frees the caller's key.
    ///
    /// `None` if the attempt was not told to run.
    pub fn release(&mut self, attempt: &AttemptId) -> Option<AppendRequest> {
        let key = self.take_running(attempt)?;
        ClaimRecord::Release { key, attempt: attempt.clone() }.to_append()
    }

    /// Ends an attempt whose call was sent to the target without a complete answer.
    pub fn note_unknown_outcome(&mut self, attempt: &AttemptId) {
        let _key = self.take_running(attempt);
    }

    fn take_running(&mut self, attempt: &AttemptId) -> Option<ClaimKey> {
        if attempt.process == self.own { self.running.remove(&attempt.number) } else { None }
    }

    /// Feeds a record read from the log; one fed before is ignored.
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

    /// Notes that the log was read to its end, and from which offset it keeps records.
    ///
    /// If no snapshot closes a gap, the entries that the log dropped expire at the latest when the
    /// window has passed since they were written, at least the retention before the gap was seen.
    /// From then on the records that are left are judged from an empty state.
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

    /// Last record judged; 0 if none.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// Where to read on in a log that keeps records from `oldest`.
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

    /// Whether records are buffered back because those before them are missing.
    pub fn has_gap(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Rules of a record that this program does not know; no attempt is run any more.
    pub fn newer_rules(&self) -> Option<u32> {
        self.newer_rules
    }

    /// Number of entries buffered.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Forgets entries whose window passed some time ago.
    pub fn purge(&mut self, unix_ms: u64) {
        self.entries.purge(unix_ms.saturating_sub(CLOCK_SKEW_MARGIN_MS));
    }

    /// Whether the first live side should write a snapshot now.
    pub fn is_snapshot_due(&self, now: Timestamp) -> bool {
        let judging = self.newer_rules.is_none() && !self.has_gap();
        judging && self.position > Offset::default() && self.schedule.is_due(now)
    }

    /// Makes a snapshot of the entries that stand; the parts are appended in order.
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

    /// Judges the record after the last one; `None` for one that can't be decoded.
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
                let made = self.entries.insert_claim(offset, claim.clone());
                self.settle_own_claim(&claim, made, now, settlements);
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

    /// Settles the own attempt that made this claim; `made` tells whether it made the entry.
    fn settle_own_claim(
        &mut self,
        claim: &Claim,
        made: bool,
        now: Timestamp,
        settlements: &mut Vec<Settlement>,
    ) {
        if claim.attempt.process != self.own {
            return;
        }
        let number = claim.attempt.number;
        let Some(deadline) = self.pending.get(&number).copied() else {
            // A claim that made no entry may repeat one whose call ran.
            settlements.extend(if made { release_late_claim(claim) } else { None });
            return;
        };
        if now >= deadline {
            settlements.push(self.expire_attempt(number));
            settlements.extend(if made { release_late_claim(claim) } else { None });
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

    /// Keeps a record until those before it are there, and adopts a snapshot once it is whole.
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
        let whole: Vec<&SnapshotPart> =
            self.snapshot_parts.iter().filter(|other| other.id == part.id).collect();
        if u32::try_from(whole.len()) != Ok(part.parts) {
            return;
        }
        let mut logged: Vec<LoggedEntry> =
            whole.into_iter().flat_map(|part| part.entries.iter().cloned()).collect();
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

/// Frees the key of a claim that arrived after its attempt was given up.
fn release_late_claim(claim: &Claim) -> Option<Settlement> {
    let (key, attempt) = (claim.key.clone(), claim.attempt.clone());
    let append = ClaimRecord::Release { key, attempt: attempt.clone() }.to_append()?;
    Some(Settlement { attempt, result: SettlementResult::Late(append) })
}
