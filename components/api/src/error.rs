//! Error objects in responses to callers.

use std::time::Duration;

use base::ExecutionState;
use serde::Serialize;

use crate::ErrorCode;

/// An error that is returned to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApiError {
    /// Code.
    pub code: ErrorCode,
    /// Human-readable text; never contains a key or text from the caller.
    pub message: String,
    /// Field or header that caused the error.
    pub param: Option<String>,
    /// Whether the request was executed, as far as known.
    pub ran: ExecutionState,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: Object<'a>,
}

#[derive(Serialize)]
struct Object<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    code: &'static str,
    param: Option<&'a str>,
    ran: &'static str,
    request_id: &'a str,
}

impl ApiError {
    /// Creates an error without `param` and retry time, with the default execution state of its code.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            param: None,
            ran: code.default_ran(),
            retry_after_ms: None,
        }
    }

    /// Sets the field or header that caused the error.
    #[must_use]
    pub fn with_param(self, param: &str) -> Self {
        Self { param: Some(param.to_owned()), ..self }
    }

    /// Sets the time after which the caller may retry, in milliseconds.
    #[must_use]
    pub fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self { retry_after_ms: Some(retry_after_ms), ..self }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(self, wait: Duration) -> Self {
        self.with_retry_after_ms(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
    }

    /// Sets the execution state.
    #[must_use]
    pub fn with_ran(self, ran: ExecutionState) -> Self {
        Self { ran, ..self }
    }

    /// Value of `Retry-After` in whole seconds, at least 1.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1_000).max(1))
    }

    /// The body as JSON.
    pub fn to_json(&self, request_id: &str) -> String {
        let envelope = Envelope {
            error: Object {
                message: &self.message,
                kind: self.code.kind(),
                code: self.code.as_str(),
                param: self.param.as_deref(),
                ran: self.ran.as_str(),
                request_id,
            },
        };
        match serde_json::to_string(&envelope) {
            Ok(text) => text,
            // Structs that consist of strings can always be serialized.
            Err(error) => unreachable!("error object without JSON form: {error}"),
        }
    }
}
