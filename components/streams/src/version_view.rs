//! Whether a gateway can know all versions that were in service lately.

use std::time::Duration;

use base::Timestamp;

/// Bounds of a view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionViewSettings {
    /// Time for which a version counts after its last target left.
    pub retention: Duration,
}

impl Default for VersionViewSettings {
    fn default() -> Self {
        Self { retention: Duration::from_secs(60) }
    }
}

/// When a gateway learned of the versions in service.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionView {
    settings: VersionViewSettings,
    /// Time from which on no version can have been missed.
    watched_since: Timestamp,
    /// Whether the register of versions was read since then.
    register_read: bool,
}

impl VersionView {
    /// Creates the view of a gateway that starts now, at the zero of its clock.
    pub fn new(settings: VersionViewSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records a read of the whole register of versions.
    pub const fn record_register_read(&mut self) {
        self.register_read = true;
    }

    /// Returns whether no version that was in service lately can have been missed.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        self.register_read || now.since(self.watched_since) >= self.settings.retention
    }
}
