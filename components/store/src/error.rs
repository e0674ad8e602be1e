//! Errors of calls to the platform.

use std::fmt;

use calls::{CallError, CallResponse};
use http::StatusCode;

/// Error of a call to the platform, by what is known about its effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The append budget of this process is exhausted; nothing was sent.
    BudgetExceeded {
        /// Time until the next append is allowed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The response does not follow the protocol. An append may have been stored.
    Malformed,
    /// The request was sent, but no complete response was received. An append may have been stored.
    OutcomeUnknown,
    /// The rate limit of the service rejected the request; nothing was stored.
    RateLimited,
    /// The service rejected the request; nothing was stored.
    Rejected {
        /// HTTP status.
        status: u16,
    },
    /// The service responded that it is unavailable; nothing was stored.
    Unavailable,
    /// No connection could be opened; nothing was sent.
    Unreachable,
}

impl StoreError {
    /// Whether a failed append may have been stored nevertheless.
    pub const fn may_have_taken_effect(self) -> bool {
        matches!(self, Self::Malformed | Self::OutcomeUnknown)
    }
}

/// A call is invalid only if its path is not a valid URI.
impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Invalid => Self::Rejected { status: 400 },
            CallError::NoResponse => Self::OutcomeUnknown,
            // No response of the protocol is larger than the limit of its call.
            CallError::TooLarge => Self::Malformed,
            CallError::Unreachable => Self::Unreachable,
        }
    }
}

/// Returns a response with status 200.
///
/// # Errors
///
/// Another status is mapped to the error that describes the effect of the call.
pub fn require_success(answer: CallResponse) -> Result<CallResponse, StoreError> {
    match answer.status {
        StatusCode::OK => Ok(answer),
        StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
        status if status.is_client_error() => Err(StoreError::Rejected { status: status.as_u16() }),
        _ => Err(StoreError::OutcomeUnknown),
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BudgetExceeded { retry_after_ms } => {
                write!(f, "append budget used up, next append in {retry_after_ms} ms")
            }
            Self::Malformed => f.write_str("malformed answer from the platform"),
            Self::OutcomeUnknown => f.write_str("no complete answer, outcome unknown"),
            Self::RateLimited => f.write_str("refused by the service's rate limit"),
            Self::Rejected { status } => write!(f, "refused with status {status}"),
            Self::Unavailable => f.write_str("the service answered that it is unavailable"),
            Self::Unreachable => f.write_str("no connection to the service"),
        }
    }
}

impl std::error::Error for StoreError {}
