//! Era of the store, which counts how often it came back from an older copy.
//!
//! After a restoration the operators and the targets write again what was lost. Until they have,
//! what the store has is no evidence of what it had.

use std::time::Duration;

use base::Timestamp;

/// Time after a restoration within which its writers have written again what was lost.
pub const REWRITE_PERIOD: Duration = Duration::from_secs(2);

/// The newest known era of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreEra {
    known: Option<u64>,
    /// When the era became known to this process.
    since: Timestamp,
    /// Whether another process has found the content complete in this era.
    is_settled: bool,
}

impl StoreEra {
    /// Records an era that the store or another process named; returns whether the store was
    /// restored since the last one. The first era of a process is no restoration.
    pub fn record(&mut self, era: u64, now: Timestamp) -> bool {
        match self.known {
            Some(known) if era <= known => false,
            known => {
                // A store in its first era has lost nothing.
                *self = Self { known: Some(era), since: now, is_settled: era == 0 };
                known.is_some()
            }
        }
    }

    /// Records that the content was complete in an era, as a process says that has seen it, or as is
    /// known at the first start of all processes.
    pub fn record_settled(&mut self, era: u64) {
        self.is_settled |= self.known == Some(era);
    }

    /// Returns the era, if one is known.
    pub const fn known(&self) -> Option<u64> {
        self.known
    }

    /// Whether the operators and the targets have written again what a restoration had lost.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        self.is_settled || (self.known.is_some() && now.since(self.since) >= REWRITE_PERIOD)
    }
}
