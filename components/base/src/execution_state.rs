//! Execution state of a call.

use serde::{Deserialize, Serialize};

/// Whether a call was executed, as reported to the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionState {
    /// The target did not receive the call.
    NotRun,
    /// The target answered.
    Ran,
    /// The call may have run, but no complete response was received.
    Unknown,
}

impl ExecutionState {
    /// The value of the `ran` field in an error body.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}
