//! Replica of the claims stream, and the at-most-once claims of this process on it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::{Offset, ProcessId, SortedMap, hash_bytes};
use config::SideSettings;
use once::{
    AppendRequest, AttemptId, BeginResult, CLAIMS_STREAM, ClaimKey, ClaimLimits, ClaimLog,
    Fingerprint, PriorOutcome, Settlement, SettlementResult, StoredOutcome,
};
use store::{HttpLog, Log};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};

use crate::clock::Clock;

/// Maximum number of records per read.
const PAGE_RECORDS: u32 = 500;
/// Time between reads while no claim is pending; keeps the replica within the log's retention.
const IDLE_INTERVAL: Duration = Duration::from_secs(30);
/// Pause after a failed read or append.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time limit for appending an outcome, a release or a snapshot part.
const BACKGROUND_APPEND_TIMEOUT: Duration = Duration::from_secs(60);
/// Range of the snapshot delays of the side processes, so that the first snapshot makes the others
/// unnecessary.
const SNAPSHOT_SPREAD: Duration = Duration::from_secs(20);

/// Result of an attempt to claim a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ClaimResult {
    /// The call is claimed and may run now.
    Run(AttemptId),
    /// The call must not run; contains its known outcome.
    Known(PriorOutcome),
    /// The claim could not be appended to the log.
    LogUnavailable,
    /// The claim was not settled in time.
    Unsettled,
}

/// Replica of the claims stream, and the calls whose claims are pending.
pub(crate) struct ClaimReplica {
    claims: RefCell<ClaimLog>,
    waiting: RefCell<SortedMap<AttemptId, oneshot::Sender<SettlementResult>>>,
    read_now: Notify,
    log: HttpLog,
    clock: Clock,
    claim_timeout: Duration,
    outcome_body_bytes: usize,
    poll: Duration,
    snapshot_delay: Duration,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl ClaimReplica {
    pub fn new(settings: &SideSettings, own: ProcessId, log: HttpLog, clock: Clock) -> Rc<Self> {
        let limits = ClaimLimits {
            window: Duration::from_secs(settings.idempotency_window_h * 3_600),
            claim_timeout: Duration::from_millis(settings.claim_timeout_ms),
            outcome_body_bytes: settings.outcome_body_bytes,
            retention: Duration::from_secs(settings.platform.log_retention_s),
        };
        let spread = u64::try_from(SNAPSHOT_SPREAD.as_millis()).unwrap_or(u64::MAX);
        let share = hash_bytes(own.name.as_str().as_bytes()) % spread;
        Rc::new(Self {
            claims: RefCell::new(ClaimLog::new(own, limits)),
            waiting: RefCell::default(),
            read_now: Notify::new(),
            log,
            clock,
            claim_timeout: limits.claim_timeout,
            outcome_body_bytes: limits.outcome_body_bytes,
            poll: Duration::from_millis(settings.platform.log_poll_ms),
            snapshot_delay: Duration::from_millis(share),
        })
    }

    /// Maximum size of a stored response body in bytes.
    pub const fn outcome_body_bytes(&self) -> usize {
        self.outcome_body_bytes
    }

    /// Returns the known outcome of a call, if any, without a claim.
    pub fn look_up(&self, key: &ClaimKey, fingerprint: Fingerprint) -> Option<PriorOutcome> {
        self.claims.borrow().look_up(key, fingerprint, unix_ms())
    }

    /// Claims a call on the log. Dropping the future abandons the attempt.
    pub async fn claim(self: &Rc<Self>, key: ClaimKey, fingerprint: Fingerprint) -> ClaimResult {
        let begun = self.claims.borrow_mut().begin(key, fingerprint, self.clock.now(), unix_ms());
        let (attempt, claim) = match begun {
            BeginResult::Append { attempt, claim } => (attempt, claim),
            BeginResult::Known(answer) => return ClaimResult::Known(answer),
            BeginResult::NotReady => return ClaimResult::LogUnavailable,
        };
        let (settle, mut settled) = oneshot::channel();
        self.waiting.borrow_mut().insert(attempt.clone(), settle);
        let mut guard = AttemptGuard { replica: self.clone(), attempt: Some(attempt.clone()) };
        self.read_now.notify_one();
        let from = self.claims.borrow().position().next();
        let deadline = Instant::now() + self.claim_timeout;
        let append =
            self.log.append_confirmed(CLAIMS_STREAM, &claim.id, &claim.payload, from, deadline);
        tokio::pin!(append);
        let mut appending = true;
        loop {
            tokio::select! {
                result = &mut settled => {
                    guard.attempt = None;
                    return match result {
                        Ok(SettlementResult::Run) => ClaimResult::Run(attempt),
                        Ok(SettlementResult::Lost(answer)) => ClaimResult::Known(answer),
                        Ok(SettlementResult::Unsettled | SettlementResult::Late(_)) | Err(_) => {
                            ClaimResult::Unsettled
                        }
                    };
                }
                appended = &mut append, if appending => match appended {
                    Ok(_) => appending = false,
                    Err(error) => {
                        log::warn!("event=claim_append_failed error=\"{error}\"");
                        if !error.may_have_taken_effect() {
                            return ClaimResult::LogUnavailable;
                        }
                        appending = false;
                    }
                },
            }
        }
    }

    /// Stores the outcome of a call that ran: immediately in the replica, then on the log.
    pub fn finish(self: &Rc<Self>, attempt: &AttemptId, outcome: StoredOutcome) {
        let append = self.claims.borrow_mut().finish(attempt, outcome);
        self.append_in_background(append);
    }

    /// Releases the key of a claimed call that was not sent.
    pub fn release(self: &Rc<Self>, attempt: &AttemptId) {
        let append = self.claims.borrow_mut().release(attempt);
        self.append_in_background(append);
    }

    /// Records that a claimed call was sent but its complete response did not arrive.
    pub fn mark_outcome_unknown(&self, attempt: &AttemptId) {
        self.claims.borrow_mut().note_unknown_outcome(attempt);
    }

    fn append_in_background(self: &Rc<Self>, append: Option<AppendRequest>) {
        let Some(append) = append else { return };
        let replica = self.clone();
        tokio::task::spawn_local(async move {
            let deadline = Instant::now() + BACKGROUND_APPEND_TIMEOUT;
            let from = replica.claims.borrow().position().next();
            let (id, payload) = (&append.id, &append.payload);
            while Instant::now() < deadline {
                match replica.log.append_confirmed(CLAIMS_STREAM, id, payload, from, deadline).await
                {
                    Ok(_) => return,
                    Err(error) => {
                        log::warn!("event=mark_append_failed record={id} error=\"{error}\"");
                    }
                }
                sleep(RETRY_PAUSE).await;
            }
        });
    }

    /// Expires the claims that were not settled in time.
    pub fn expire_claims(self: &Rc<Self>) {
        let late = self.claims.borrow_mut().expire_pending(self.clock.now());
        self.settle(late);
    }

    fn settle(self: &Rc<Self>, settlements: Vec<Settlement>) {
        for Settlement { attempt, result } in settlements {
            if let SettlementResult::Late(append) = result {
                self.append_in_background(Some(append));
                continue;
            }
            let waiting = self.waiting.borrow_mut().remove(&attempt);
            let run = result == SettlementResult::Run;
            let taken = waiting.is_some_and(|settle| settle.send(result).is_ok());
            if run && !taken {
                self.release(&attempt);
            }
        }
    }

    /// Reads the stream: continuously while claims are pending, every [`IDLE_INTERVAL`] otherwise.
    pub async fn follow(self: Rc<Self>) {
        let mut oldest = Offset(1);
        loop {
            let waiting = !self.waiting.borrow().is_empty();
            let next = self.claims.borrow().next_offset(oldest);
            let wait = if waiting { self.poll } else { Duration::ZERO };
            let page = match self.log.read(CLAIMS_STREAM, next, PAGE_RECORDS, wait).await {
                Ok(page) => page,
                Err(error) => {
                    log::debug!("event=claims_read_failed error=\"{error}\"");
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            };
            oldest = page.oldest;
            for record in &page.records {
                let now = self.clock.now();
                let settlements =
                    self.claims.borrow_mut().apply(record.offset, &record.payload, now);
                self.settle(settlements);
            }
            if !page.reaches_end(next) {
                continue;
            }
            let settlements = self.claims.borrow_mut().note_end(oldest, self.clock.now());
            self.settle(settlements);
            self.claims.borrow_mut().purge(unix_ms());
            if !waiting {
                // Woken or timed out, the next read is due.
                let _woken = timeout(IDLE_INTERVAL, self.read_now.notified()).await;
            }
        }
    }

    /// Writes snapshots when they are due.
    pub async fn write_snapshots(self: Rc<Self>) {
        loop {
            sleep(IDLE_INTERVAL).await;
            if !self.claims.borrow().is_snapshot_due(self.clock.now()) {
                continue;
            }
            sleep(self.snapshot_delay).await;
            let now = self.clock.now();
            if self.claims.borrow().is_snapshot_due(now) {
                let parts = self.claims.borrow_mut().take_snapshot(now, unix_ms());
                for part in parts {
                    self.append_in_background(Some(part));
                }
            }
        }
    }
}

/// Abandons an attempt when its call is dropped before the claim is settled.
struct AttemptGuard {
    replica: Rc<ClaimReplica>,
    attempt: Option<AttemptId>,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let Some(attempt) = self.attempt.take() else { return };
        self.replica.waiting.borrow_mut().remove(&attempt);
        self.replica.claims.borrow_mut().abandon(&attempt);
        // The claim may have been settled at the same time; nothing was sent to the target.
        self.replica.release(&attempt);
    }
}
