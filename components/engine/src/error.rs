//! Errors of calls to an engine.

use std::fmt;

/// Why a call to an engine failed, by what is known about its effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineError {
    /// The engine can't take the request now (503); it did not run.
    Busy,
    /// The answer was not in the protocol's form; the call may have taken effect.
    Malformed,
    /// The answer belongs to another request; the call may have taken effect.
    Mismatched,
    /// Model, adapter or request is not there (404); the call did not run.
    NotResident,
    /// The request was sent, but no complete answer came back in time.
    OutcomeUnknown,
    /// The engine refused the call; it did not run.
    Rejected {
        /// HTTP status.
        status: u16,
    },
    /// No connection could be opened; nothing was sent.
    Unreachable,
}

impl EngineError {
    /// Whether the failed call may have taken effect all the same.
    pub const fn may_have_taken_effect(self) -> bool {
        matches!(self, Self::Malformed | Self::Mismatched | Self::OutcomeUnknown)
    }
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => f.write_str("the engine can't take the request now"),
            Self::Malformed => f.write_str("malformed answer from the engine"),
            Self::Mismatched => f.write_str("answer belongs to another request"),
            Self::NotResident => f.write_str("not resident at the engine"),
            Self::OutcomeUnknown => f.write_str("no complete answer, outcome unknown"),
            Self::Rejected { status } => write!(f, "refused with status {status}"),
            Self::Unreachable => f.write_str("no connection to the engine"),
        }
    }
}

impl std::error::Error for EngineError {}
