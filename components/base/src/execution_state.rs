//! What is known about the execution of a call.

use serde::{Deserialize, Serialize};

/// Whether a call reached its target, as told to the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionState {
    /// The target never received the call.
    NotRun,
    /// The target answered.
    Ran,
    /// The call may have run; no complete answer came back.
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
