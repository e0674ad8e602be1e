//! Codes of errors to callers.

use base::ExecutionState;
use http::StatusCode;

/// Why a call was refused or failed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ErrorCode {
    /// Request body larger than the limit.
    BodyTooLarge,
    /// The claim of an idempotency key could not be settled.
    ClaimUnsettled,
    /// The time allowed ran out.
    DeadlineExceeded,
    /// The process or the target is shutting down.
    Draining,
    /// The request needs more tokens than the customer's burst.
    ExceedsBurst,
    /// Request head larger than the limit.
    HeadersTooLarge,
    /// Another body was sent under the same idempotency key.
    IdempotencyMismatch,
    /// The presented key is unknown.
    InvalidKey,
    /// The request is malformed.
    InvalidRequest,
    /// The key was withdrawn while the request was in progress.
    KeyWithdrawn,
    /// The log can't record a claim.
    LogUnavailable,
    /// The method does not suit the path.
    MethodNotAllowed,
    /// No key was presented.
    MissingKey,
    /// No model or adapter has this name.
    ModelNotFound,
    /// The process has no recent news of withdrawn keys.
    NoAuthority,
    /// No target can take the request.
    NoCapacity,
    /// The customer may not use the model, adapter or route.
    NotAllowed,
    /// The call may have run; its answer is lost.
    OutcomeUnknown,
    /// A part of the prompt ends engines; it is not sent for a while.
    PromptQuarantined,
    /// The customer's queue is full.
    QueueFull,
    /// The customer's tokens are used up.
    RateExceeded,
    /// The same request ends targets; it is not sent for a while.
    RequestQuarantined,
    /// The request did not arrive in time.
    RequestTimeout,
    /// No route has a prefix of the path.
    RouteNotFound,
    /// The target failed.
    UpstreamFailed,
}

impl ErrorCode {
    /// The code in an error object and in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "body_too_large",
            Self::ClaimUnsettled => "claim_unsettled",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Draining => "draining",
            Self::ExceedsBurst => "exceeds_burst",
            Self::HeadersTooLarge => "headers_too_large",
            Self::IdempotencyMismatch => "idempotency_mismatch",
            Self::InvalidKey => "invalid_key",
            Self::InvalidRequest => "invalid_request",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::LogUnavailable => "log_unavailable",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::MissingKey => "missing_key",
            Self::ModelNotFound => "model_not_found",
            Self::NoAuthority => "no_authority",
            Self::NoCapacity => "no_capacity",
            Self::NotAllowed => "not_allowed",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::PromptQuarantined => "prompt_quarantined",
            Self::QueueFull => "queue_full",
            Self::RateExceeded => "rate_exceeded",
            Self::RequestQuarantined => "request_quarantined",
            Self::RequestTimeout => "request_timeout",
            Self::RouteNotFound => "route_not_found",
            Self::UpstreamFailed => "upstream_failed",
        }
    }

    /// The HTTP status.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::ExceedsBurst | Self::InvalidRequest => StatusCode::BAD_REQUEST,
            Self::InvalidKey | Self::KeyWithdrawn | Self::MissingKey => StatusCode::UNAUTHORIZED,
            Self::NotAllowed => StatusCode::FORBIDDEN,
            Self::ModelNotFound | Self::RouteNotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::OutcomeUnknown => StatusCode::CONFLICT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::IdempotencyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::ClaimUnsettled
            | Self::Draining
            | Self::LogUnavailable
            | Self::NoAuthority
            | Self::NoCapacity
            | Self::PromptQuarantined
            | Self::QueueFull
            | Self::RequestQuarantined => StatusCode::SERVICE_UNAVAILABLE,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The `type` of an error object: the family that client libraries branch on.
    pub const fn kind(self) -> &'static str {
        match self {
            Self::BodyTooLarge
            | Self::ExceedsBurst
            | Self::HeadersTooLarge
            | Self::IdempotencyMismatch
            | Self::InvalidRequest
            | Self::MethodNotAllowed
            | Self::RequestTimeout => "invalid_request_error",
            Self::InvalidKey | Self::KeyWithdrawn | Self::MissingKey => "authentication_error",
            Self::NotAllowed => "permission_error",
            Self::ModelNotFound | Self::RouteNotFound => "not_found_error",
            Self::OutcomeUnknown => "conflict_error",
            Self::RateExceeded => "rate_limit_error",
            Self::ClaimUnsettled
            | Self::DeadlineExceeded
            | Self::Draining
            | Self::LogUnavailable
            | Self::NoAuthority
            | Self::NoCapacity
            | Self::PromptQuarantined
            | Self::QueueFull
            | Self::RequestQuarantined
            | Self::UpstreamFailed => "server_error",
        }
    }

    /// What is known of the execution when nothing more specific is.
    pub const fn default_ran(self) -> ExecutionState {
        match self {
            Self::OutcomeUnknown | Self::UpstreamFailed => ExecutionState::Unknown,
            _ => ExecutionState::NotRun,
        }
    }
}
