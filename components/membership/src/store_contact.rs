//! Whether the store was away for all gateways, or turned only some of them away.

use std::time::Duration;

use base::Timestamp;

/// Time between the announcements of targets that a deployment has by default.
const DEFAULT_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Shortest time without a read that counts as an outage. While the first gateway by name is turned away,
/// the others read the list about once a second and report it within a few 100 ms.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// Reads of the target list by any gateway, and the last outage of the store that they show.
///
/// An entry expires after three announcement intervals without an announcement, so the store must be
/// away for two of them before it lacks the entry of a target that serves. A time of one and a half
/// without a read leaves room for the inaccuracy of reported times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreContact {
    announce_interval: Duration,
    /// Newest read by any gateway.
    read_at: Option<Timestamp>,
    /// First failed read since the last successful one of this gateway.
    failing_since: Option<Timestamp>,
    /// End of the last outage.
    recovered_at: Option<Timestamp>,
}

impl StoreContact {
    /// Contact with a store of which nothing is known.
    pub const fn new() -> Self {
        Self {
            announce_interval: DEFAULT_ANNOUNCE_INTERVAL,
            read_at: None,
            failing_since: None,
            recovered_at: None,
        }
    }

    /// Sets the time between two announcements of a target.
    pub const fn set_announce_interval(&mut self, interval: Duration) {
        self.announce_interval = interval;
    }

    /// Records that a read of this gateway failed.
    pub fn note_failure(&mut self, now: Timestamp) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns whether the last read of this gateway failed.
    pub const fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Records that this gateway read the list at `at`.
    pub fn note_read(&mut self, at: Timestamp) {
        let failing_since = self.failing_since.take();
        self.record_read(at, failing_since);
    }

    /// Records that another gateway read the list at `at`.
    pub fn note_peer_read(&mut self, at: Timestamp) {
        self.record_read(at, self.failing_since);
    }

    /// A time without any read is an outage, also if this process stood still meanwhile: what happened
    /// in that time is not known here.
    fn record_read(&mut self, at: Timestamp, failing_since: Option<Timestamp>) {
        if self.read_at.is_some_and(|known| at <= known) {
            return;
        }
        let shortest = (self.announce_interval * 3 / 2).max(MIN_OUTAGE);
        let away_since = self.read_at.or(failing_since);
        if away_since.is_some_and(|since| at.since(since) >= shortest) {
            self.recovered_at = self.recovered_at.max(Some(at));
        }
        self.read_at = Some(at);
    }

    /// Records that the store came back from an older copy.
    pub fn note_restored(&mut self, now: Timestamp) {
        self.recovered_at = self.recovered_at.max(Some(now));
    }

    /// Returns the time until `period` has passed since the end of the last outage; none if it has.
    pub fn remaining(&self, period: Duration, now: Timestamp) -> Option<Duration> {
        let left = (self.recovered_at? + period).since(now);
        (!left.is_zero()).then_some(left)
    }
}
