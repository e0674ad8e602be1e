//! State of the configuration source.

use base::Timestamp;

use crate::clock::to_millis;

/// When the log was last read to its end, and problems found since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConfigSourceState {
    pub end_read: Option<Timestamp>,
    /// Neither an entry process nor the log could be read.
    pub log_unreachable: bool,
    pub newer_rules: bool,
}

impl ConfigSourceState {
    pub fn end_read_age_ms(&self, now: Timestamp) -> Option<u32> {
        self.end_read.map(|at| to_millis(now.since(at)))
    }
}
