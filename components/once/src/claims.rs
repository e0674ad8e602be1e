//! Replica of the claims stream in one side process, and the attempts of that process.

use std::collections::VecDeque;
use std::time::Duration;

use base::{Offset, ProcessId, SnapshotSchedule, SortedMap, Timestamp};

use crate::marks::Marks;
use crate::record::{Append, ClaimRecord, DecodedClaim, PlacedMark, SnapshotPart};
use crate::{
    Answer, AttemptId, Begin, Claim, ClaimKey, Fingerprint, Settlement, SettlementResult,
    StoredOutcome,
};

/// Records since the last snapshot after which a new one is due.
const RECORDS_PER_SNAPSHOT: u64 = 20_000;
/// Records kept while the state before them is missing; more than between two snapshots.
const MAX_HELD: usize = 64 * 1_024;
/// Bytes of marks in one part of a snapshot; far below the largest record.
const PART_BYTES: usize = 256 << 10;
/// Bytes of a mark besides its texts and bodies, for the size of parts.
const MARK_BYTES: usize = 256;
/// Difference of wall clocks between VMs that marks outlive their end by, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 600_000;

/// Limits for claims.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// How long a mark stands.
    pub window: Duration,
    /// Longest wait for a claim to be settled.
    pub claim_timeout: Duration,
    /// Largest body of a stored outcome in bytes.
    pub outcome_body_bytes: usize,
    /// How long the log keeps records.
    pub retention: Duration,
}

#[derive(Clone, Debug)]
struct HeldRecord {
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
pub struct Claims {
    own: ProcessId,
    limits: ClaimLimits,
    next_number: u64,
    position: Offset,
    marks: Marks,
    /// Deadlines of the attempts that wait; they rise with the number.
    pending: SortedMap<u64, Timestamp>,
    /// Own attempts that were told to run and have no outcome yet.
    running: SortedMap<u64, ClaimKey>,
    held: VecDeque<HeldRecord>,
    parts: Vec<SnapshotPart>,
    gap: Option<Gap>,
    newest: Offset,
    newer_rules: Option<u32>,
    schedule: SnapshotSchedule,
}

impl Claims {
    /// An empty replica for one run of a side process.
    pub fn new(own: ProcessId, limits: ClaimLimits) -> Self {
        Self {
            own,
            limits,
            next_number: 1,
            position: Offset::default(),
            marks: Marks::default(),
            pending: SortedMap::new(),
            running: SortedMap::new(),
            held: VecDeque::new(),
            parts: Vec::new(),
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
    ) -> Option<Answer> {
        let mark = self.marks.get(key)?;
        (unix_ms < mark.claim.expires_unix_ms).then(|| answer(mark, fingerprint))
    }

    /// Starts an attempt for a call, unless its answer is known.
    pub fn begin(
        &mut self,
        key: ClaimKey,
        fingerprint: Fingerprint,
        now: Timestamp,
        unix_ms: u64,
    ) -> Begin {
        if let Some(answer) = self.look_up(&key, fingerprint, unix_ms) {
            return Begin::Known(answer);
        }
        if self.newer_rules.is_some() || self.is_waiting() {
            return Begin::NotReady;
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
            return Begin::NotReady;
        };
        self.next_number += 1;
        self.pending.insert(number, now + self.limits.claim_timeout);
        Begin::Append { attempt, claim: append }
    }

    /// Gives up an attempt that waits: its caller went away, or the log refused the claim.
    ///
    /// The call is not run by it. Nothing happens if the attempt does not wait any more.
    pub fn give_up(&mut self, attempt: &AttemptId) {
        if attempt.process == self.own {
            self.pending.remove(&attempt.number);
        }
    }

    /// Ends the waits that lasted too long.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Settlement> {
        let late: Vec<u64> = self
            .pending
            .iter()
            .take_while(|(_, deadline)| now >= **deadline)
            .map(|(number, _)| *number)
            .collect();
        late.into_iter().map(|number| self.unsettle(number)).collect()
    }

    /// When [`Claims::tick`] has something to do next.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.pending.values().next().copied()
    }

    /// Stores the answer of a call that this process ran, and gives the record to append.
    ///
    /// A body above the limit is left out. `None` if the attempt was not told to run.
    pub fn finish(&mut self, attempt: &AttemptId, mut outcome: StoredOutcome) -> Option<Append> {
        let key = self.take_running(attempt)?;
        if outcome.body.as_ref().is_some_and(|body| body.len() > self.limits.outcome_body_bytes) {
            outcome.body = None;
        }
        // Known here at once: a repeat must get the answer even while the log is down.
        self.marks.settle(&key, attempt, outcome.clone());
        ClaimRecord::Outcome { key, attempt: attempt.clone(), outcome }.to_append()
    }

    /// Ends an attempt that was told to run but sent nothing to the target, and gives the record to
    /// append that frees the caller's key.
    ///
    /// `None` if the attempt was not told to run.
    pub fn release(&mut self, attempt: &AttemptId) -> Option<Append> {
        let key = self.take_running(attempt)?;
        ClaimRecord::Release { key, attempt: attempt.clone() }.to_append()
    }

    /// Ends an attempt whose call was sent to the target without a complete answer.
    pub fn lose_outcome(&mut self, attempt: &AttemptId) {
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
            DecodedClaim::OtherRules { rules } => {
                self.newer_rules = Some(rules);
                self.held.clear();
                self.parts.clear();
                return settlements;
            }
        };
        if offset == self.position.next() {
            self.step(offset, record, now, &mut settlements);
        } else {
            self.hold(offset, record);
        }
        self.drain_held(now, &mut settlements);
        settlements
    }

    /// Notes that the log was read to its end, and from which offset it keeps records.
    ///
    /// If no snapshot closes a gap, the marks that the log dropped expire at the latest when the
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
            if age >= self.limits.window + Duration::from_millis(CLOCK_MARGIN_MS) {
                self.marks = Marks::default();
                self.position = gap.through;
                self.gap = None;
                self.drain_held(now, &mut settlements);
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
        for held in &self.held {
            if held.offset == next {
                next = next.next();
            }
        }
        next
    }

    /// Whether records are held back because those before them are missing.
    pub fn is_waiting(&self) -> bool {
        !self.held.is_empty()
    }

    /// Rules of a record that this program does not know; no attempt is run any more.
    pub fn newer_rules(&self) -> Option<u32> {
        self.newer_rules
    }

    /// Number of marks held.
    pub fn mark_count(&self) -> usize {
        self.marks.len()
    }

    /// Forgets marks whose window passed some time ago.
    pub fn purge(&mut self, unix_ms: u64) {
        self.marks.purge(unix_ms.saturating_sub(CLOCK_MARGIN_MS));
    }

    /// Whether the first live side should write a snapshot now.
    pub fn is_snapshot_due(&self, now: Timestamp) -> bool {
        let judging = self.newer_rules.is_none() && !self.is_waiting();
        judging && self.position > Offset::default() && self.schedule.is_due(now)
    }

    /// Makes a snapshot of the marks that stand; the parts are appended in order.
    pub fn take_snapshot(&mut self, now: Timestamp, unix_ms: u64) -> Vec<Append> {
        self.schedule.note_sent(now);
        self.purge(unix_ms);
        let id = AttemptId { process: self.own.clone(), number: self.next_number };
        self.next_number += 1;
        let mut chunks: Vec<Vec<PlacedMark>> = vec![Vec::new()];
        let mut bytes = 0;
        for (offset, mark) in self.marks.iter() {
            let placed = PlacedMark { offset: *offset, mark: mark.clone() };
            let length = placed_bytes(&placed);
            if bytes > 0 && bytes + length > PART_BYTES {
                chunks.push(Vec::new());
                bytes = 0;
            }
            bytes += length;
            if let Some(chunk) = chunks.last_mut() {
                chunk.push(placed);
            }
        }
        let Ok(parts) = u32::try_from(chunks.len()) else { return Vec::new() };
        chunks
            .into_iter()
            .zip(0..)
            .filter_map(|(marks, part)| {
                let through = self.position;
                let part = SnapshotPart { id: id.clone(), through, part, parts, marks };
                ClaimRecord::Snapshot(part).to_append()
            })
            .collect()
    }

    /// Judges the record after the last one; `None` for one that can't be decoded.
    fn step(
        &mut self,
        offset: Offset,
        record: Option<ClaimRecord>,
        now: Timestamp,
        settlements: &mut Vec<Settlement>,
    ) {
        self.position = offset;
        match record {
            Some(ClaimRecord::Claim(claim)) => {
                let made = self.marks.claim(offset, claim.clone());
                self.settle_own(&claim, made, now, settlements);
            }
            Some(ClaimRecord::Outcome { key, attempt, outcome }) => {
                self.marks.settle(&key, &attempt, outcome);
            }
            Some(ClaimRecord::Release { key, attempt }) => self.marks.release(&key, &attempt),
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

    /// Settles the own attempt that made this claim; `made` tells whether it made the mark.
    fn settle_own(
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
            // A claim that made no mark may repeat one whose call ran.
            settlements.extend(if made { free_late(claim) } else { None });
            return;
        };
        if now >= deadline {
            settlements.push(self.unsettle(number));
            settlements.extend(if made { free_late(claim) } else { None });
            return;
        }
        self.pending.remove(&number);
        let result = match self.marks.get(&claim.key) {
            Some(mark) if mark.claim.attempt != claim.attempt => {
                SettlementResult::Lost(answer(mark, claim.fingerprint))
            }
            _ => {
                self.running.insert(number, claim.key.clone());
                SettlementResult::Run
            }
        };
        settlements.push(Settlement { attempt: claim.attempt.clone(), result });
    }

    fn unsettle(&mut self, number: u64) -> Settlement {
        self.pending.remove(&number);
        let attempt = AttemptId { process: self.own.clone(), number };
        Settlement { attempt, result: SettlementResult::Unsettled }
    }

    /// Keeps a record until those before it are there, and adopts a snapshot once it is whole.
    fn hold(&mut self, offset: Offset, record: Option<ClaimRecord>) {
        if let Some(ClaimRecord::Snapshot(part)) = &record
            && part.through < offset
        {
            self.collect(part);
        }
        if offset <= self.position {
            return;
        }
        match self.held.binary_search_by(|held| held.offset.cmp(&offset)) {
            Ok(_) => {}
            Err(at) => self.held.insert(at, HeldRecord { offset, record }),
        }
        if self.held.len() > MAX_HELD {
            self.held.pop_front();
        }
    }

    fn collect(&mut self, part: &SnapshotPart) {
        if part.through <= self.position {
            return;
        }
        self.parts.retain(|other| other.id != part.id || other.part != part.part);
        self.parts.push(part.clone());
        let whole: Vec<&SnapshotPart> =
            self.parts.iter().filter(|other| other.id == part.id).collect();
        if u32::try_from(whole.len()) != Ok(part.parts) {
            return;
        }
        let mut placed: Vec<PlacedMark> =
            whole.into_iter().flat_map(|part| part.marks.iter().cloned()).collect();
        placed.sort_by_key(|placed| placed.offset);
        self.marks = Marks::restore(placed.into_iter());
        self.position = part.through;
        let position = self.position;
        self.parts.retain(|other| other.through > position);
        self.held.retain(|held| held.offset > position);
    }

    fn drain_held(&mut self, now: Timestamp, settlements: &mut Vec<Settlement>) {
        while self.held.front().is_some_and(|held| held.offset <= self.position.next()) {
            let Some(held) = self.held.pop_front() else { break };
            if held.offset > self.position {
                self.step(held.offset, held.record, now, settlements);
            }
        }
        if self.held.is_empty() {
            self.parts.clear();
        }
    }
}

fn answer(mark: &crate::Mark, fingerprint: Fingerprint) -> Answer {
    if mark.claim.fingerprint != fingerprint {
        return Answer::Mismatch;
    }
    match &mark.outcome {
        Some(outcome) => Answer::Ran(outcome.clone()),
        None => Answer::Unknown,
    }
}

fn placed_bytes(placed: &PlacedMark) -> usize {
    let key = &placed.mark.claim.key;
    let outcome = placed.mark.outcome.as_ref().map_or(0, |outcome| {
        let headers: usize = outcome.headers.iter().map(|h| h.name.len() + h.value.len() + 8).sum();
        headers + outcome.body.as_ref().map_or(0, Vec::len)
    });
    MARK_BYTES + key.customer.len() + key.route.len() + outcome
}

/// Frees the key of a claim that arrived after its attempt was given up.
fn free_late(claim: &Claim) -> Option<Settlement> {
    let (key, attempt) = (claim.key.clone(), claim.attempt.clone());
    let append = ClaimRecord::Release { key, attempt: attempt.clone() }.to_append()?;
    Some(Settlement { attempt, result: SettlementResult::Late(append) })
}
