//! Evidence on prompt parts that end engines, in the state of a gateway and on the store.

use serde::{Deserialize, Serialize};

/// Evidence on one part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// Id of the part.
    pub part: u64,
    /// Crashes of engines that had begun to answer a request with it.
    pub crashes: Vec<CrashCopy>,
    /// Time since an engine last wrote output on it for the reporting gateway, in milliseconds.
    pub cleared_age_ms: Option<u32>,
    /// Its quarantine.
    pub hold: Option<HoldCopy>,
}

/// Evidence on a part in quarantine, as the store keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredPart {
    /// The evidence when it was stored.
    pub report: PartReport,
    /// Unix time of the writer then, in milliseconds.
    pub stored_unix_ms: u64,
}

impl StoredPart {
    /// The evidence with its ages at `unix_ms`.
    pub fn report_at(mut self, unix_ms: u64) -> PartReport {
        let elapsed_ms = unix_ms.saturating_sub(self.stored_unix_ms);
        let elapsed_ms = u32::try_from(elapsed_ms).unwrap_or(u32::MAX);
        for crash in &mut self.report.crashes {
            crash.age_ms = crash.age_ms.saturating_add(elapsed_ms);
        }
        if let Some(hold) = &mut self.report.hold {
            hold.age_ms = hold.age_ms.saturating_add(elapsed_ms);
            hold.remaining_ms = hold.remaining_ms.saturating_sub(elapsed_ms);
        }
        // Another process's outputs are not this one's.
        self.report.cleared_age_ms = None;
        self.report
    }
}

/// A crash of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashCopy {
    /// Short hash of the id of the engine's life.
    pub target: u32,
    /// Short hash of the prompt.
    pub prompt: u32,
    /// Time since it was seen, in milliseconds.
    pub age_ms: u32,
}

/// A quarantine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldCopy {
    /// Time since it began, in milliseconds.
    pub age_ms: u32,
    /// Time until a trial is allowed, in milliseconds.
    pub remaining_ms: u32,
    /// Trials that failed before.
    pub failed_trials: u32,
}
