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
