//! Errors of calls to an engine.

use std::fmt;

/// Failure of a call to an engine, by what is known about its effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineError {
    /// The engine is at capacity (503); the request did not run.
    Busy,
    /// The response does not conform to the protocol; the call may have taken effect.
    Malformed,
    /// The response belongs to another request; the call may have taken effect.
    Mismatched,
    /// Model, adapter or request does not exist at the engine (404); the call did not run.
    NotResident,
    /// The request was sent, but no complete response arrived in time.
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
    /// Whether the call may have taken effect despite the error.
    pub const fn may_have_taken_effect(self) -> bool {
        matches!(self, Self::Malformed | Self::Mismatched | Self::OutcomeUnknown)
    }
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => f.write_str("the engine is at capacity"),
            Self::Malformed => f.write_str("malformed response from the engine"),
            Self::Mismatched => f.write_str("response belongs to another request"),
            Self::NotResident => f.write_str("not resident at the engine"),
            Self::OutcomeUnknown => f.write_str("no complete response; outcome unknown"),
            Self::Rejected { status } => write!(f, "refused with status {status}"),
            Self::Unreachable => f.write_str("no connection to the engine"),
        }
    }
}

impl std::error::Error for EngineError {}
