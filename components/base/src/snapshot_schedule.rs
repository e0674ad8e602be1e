//! Schedule of snapshots of a log stream.

use std::time::Duration;

use crate::Timestamp;

/// Delay after startup before a snapshot of unknown age is replaced.
const UNKNOWN_AGE_DELAY: Duration = Duration::from_secs(60);
/// Shortest time between two snapshot appends.
const RESEND_INTERVAL: Duration = Duration::from_secs(30);

/// Decides when a stream needs a new snapshot record, so that its state outlives the log retention.
///
/// Records carry no timestamp. A snapshot read during catch-up can have any age and is therefore
/// replaced soon after startup. The age of a snapshot that arrives later is the time since its
/// arrival.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotSchedule {
    retention: Duration,
    max_records: u64,
    end_reached_at: Option<Timestamp>,
    snapshot_seen_at: Option<Timestamp>,
    records_since: u64,
    sent_at: Option<Timestamp>,
}

impl SnapshotSchedule {
    /// Creates a schedule for a log that keeps records for `retention`.
    ///
    /// A snapshot is also due once more than `max_records` records follow the last one, which
    /// bounds the replay at startup.
    pub const fn new(retention: Duration, max_records: u64) -> Self {
        Self {
            retention,
            max_records,
            end_reached_at: None,
            snapshot_seen_at: None,
            records_since: 0,
            sent_at: None,
        }
    }

    /// Records that the log was read to its end.
    pub fn note_end(&mut self, now: Timestamp) {
        self.end_reached_at.get_or_insert(now);
    }

    /// Counts a record that is not a snapshot.
    pub fn note_record(&mut self) {
        self.records_since += 1;
    }

    /// Records the arrival of a snapshot.
    pub fn note_snapshot(&mut self, now: Timestamp) {
        self.records_since = 0;
        if self.end_reached_at.is_some() {
            self.snapshot_seen_at = Some(now);
        }
    }

    /// Records that a snapshot append was sent, which suppresses further ones while it is in
    /// flight.
    pub fn note_sent(&mut self, now: Timestamp) {
        self.sent_at = Some(now);
    }

    /// Whether a snapshot should be written now; false until the log was read to its end.
    pub fn is_due(&self, now: Timestamp) -> bool {
        let Some(end_reached_at) = self.end_reached_at else { return false };
        if self.sent_at.is_some_and(|sent_at| now.since(sent_at) < RESEND_INTERVAL) {
            return false;
        }
        let is_old = match self.snapshot_seen_at {
            Some(seen_at) => now.since(seen_at) >= self.retention / 2,
            None => now.since(end_reached_at) >= UNKNOWN_AGE_DELAY.min(self.retention / 4),
        };
        is_old || self.records_since > self.max_records
    }
}
