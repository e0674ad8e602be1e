//! Whether a gateway can know all versions that were in service lately.

use std::time::Duration;

use base::Timestamp;

/// Bounds of a view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionViewSettings {
    /// Age of the newest read of the target list up to which the view is fresh: two intervals between
    /// reads, and the way of the news through the relays of two data centres.
    pub max_age: Duration,
    /// Time for which a version counts after its last target left.
    pub retention: Duration,
}

impl Default for VersionViewSettings {
    fn default() -> Self {
        Self { max_age: Duration::from_millis(1_500), retention: Duration::from_secs(60) }
    }
}

/// When a gateway learned of the versions in service.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionView {
    settings: VersionViewSettings,
    /// Newest read of the target list that this gateway made, or was told of together with its result.
    read_at: Option<Timestamp>,
    /// First read of those that follow each other without a gap in which a version can have come and gone.
    watched_since: Timestamp,
    /// Start of the newest read of the whole register of versions.
    register_read_at: Option<Timestamp>,
}

impl VersionView {
    /// Creates the view of a gateway that starts now, at the zero of its clock.
    pub fn new(settings: VersionViewSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that the known list is at least as new as a read at `read_at`.
    pub fn record_list_read(&mut self, read_at: Timestamp) {
        if self.read_at.is_some_and(|known| read_at <= known) {
            return;
        }
        let follows = |known: Timestamp| read_at.since(known) <= self.settings.max_age;
        if !self.read_at.is_some_and(follows) {
            self.watched_since = read_at;
        }
        self.read_at = Some(read_at);
    }

    /// Records a read of the whole register of versions that began at `requested_at`.
    pub const fn record_register_read(&mut self, requested_at: Timestamp) {
        self.register_read_at = Some(requested_at);
    }

    /// Returns the age of the known list; none if it was never read.
    pub fn list_age(&self, now: Timestamp) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Returns whether the known list is recent.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.list_age(now).is_some_and(|age| age <= self.settings.max_age)
    }

    /// Returns whether no version that was in service lately, up to the newest read of the list, can have
    /// been missed.
    pub fn has_history(&self, now: Timestamp) -> bool {
        // At a start, the register may be read just before the list.
        let needed_at = self.watched_since - self.settings.max_age;
        self.register_read_at.is_some_and(|at| at >= needed_at)
            || now.since(self.watched_since) >= self.settings.retention
    }

    /// Returns whether all versions are known that were in service lately.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        self.is_fresh(now) && self.has_history(now)
    }

    /// Returns whether all versions are known that were in service lately, up to `as_of`.
    ///
    /// A fresh view doesn't show this: a version may have joined, and begun a stream, since the read.
    pub fn is_complete_as_of(&self, as_of: Timestamp, now: Timestamp) -> bool {
        self.read_at.is_some_and(|at| at >= as_of) && self.is_complete(now)
    }
}
