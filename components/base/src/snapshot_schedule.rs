//! When a snapshot of a log stream is due.

use std::time::Duration;

use crate::Timestamp;

/// Wait after the start before a snapshot whose age is unknown is replaced.
const UNKNOWN_AGE_DELAY: Duration = Duration::from_secs(60);
/// Wait after a snapshot was sent before another one is sent.
const RESEND_INTERVAL: Duration = Duration::from_secs(30);

/// Decides when a stream needs a new snapshot record, so that it outlives the log's retention.
///
/// Records carry no time. A snapshot found while catching up may be of any age, so it is replaced
/// soon after the start; one that arrives later is as old as the time since it arrived.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotSchedule {
    retention: Duration,
    max_records: u64,
    end_reached_at: Option<Timestamp>,
    snapshot_seen_at: Option<Timestamp>,
    records_since: u64,
    sent: Option<Timestamp>,
}

impl SnapshotSchedule {
    /// A schedule for a log that keeps records for `retention`; more than `max_records` since the
    /// last snapshot also make one due, which bounds the replay at a start.
    pub const fn new(retention: Duration, max_records: u64) -> Self {
        Self {
            retention,
            max_records,
            end_reached_at: None,
            snapshot_seen_at: None,
            records_since: 0,
            sent: None,
        }
    }

    /// Notes that the log was read to its end.
    pub fn note_end(&mut self, now: Timestamp) {
        self.end_reached_at.get_or_insert(now);
    }

    /// Notes a record that is no snapshot.
    pub fn note_record(&mut self) {
        self.records_since += 1;
    }

    /// Notes a snapshot record.
    pub fn note_snapshot(&mut self, now: Timestamp) {
        self.records_since = 0;
        if self.end_reached_at.is_some() {
            self.snapshot_seen_at = Some(now);
        }
    }

    /// Notes that a snapshot was sent to the log, so that no other is sent while it is on its way.
    pub fn note_sent(&mut self, now: Timestamp) {
        self.sent = Some(now);
    }

    /// Whether a snapshot should be written now; never before the log was read to its end.
    pub fn is_due(&self, now: Timestamp) -> bool {
        let Some(end_reached_at) = self.end_reached_at else { return false };
        if self.sent.is_some_and(|sent| now.since(sent) < RESEND_INTERVAL) {
            return false;
        }
        let aged = match self.snapshot_seen_at {
            Some(seen) => now.since(seen) >= self.retention / 2,
            None => now.since(end_reached_at) >= UNKNOWN_AGE_DELAY.min(self.retention / 4),
        };
        aged || self.records_since > self.max_records
    }
}
