//! Error objects.

use std::time::Duration;

use base::ExecutionState;
use serde::Serialize;

use crate::ErrorCode;

/// An error as told to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApiError {
    /// Code.
    pub code: ErrorCode,
    /// Text for people; never a key or a caller's text.
    pub message: String,
    /// Field or header that is at fault.
    pub param: Option<String>,
    /// What is known of the execution.
    pub ran: ExecutionState,
    /// When to try again, in milliseconds.
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
    /// An error without parameter or time to wait, with the usual knowledge of the execution.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            param: None,
            ran: code.default_ran(),
            retry_after_ms: None,
        }
    }

    /// The same error for a field or header.
    #[must_use]
    pub fn with_param(self, param: &str) -> Self {
        Self { param: Some(param.to_owned()), ..self }
    }

    /// The same error with a time to wait in milliseconds.
    #[must_use]
    pub fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self { retry_after_ms: Some(retry_after_ms), ..self }
    }

    /// The same error with a time to wait.
    #[must_use]
    pub fn with_retry_after(self, wait: Duration) -> Self {
        self.with_retry_after_ms(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
    }

    /// The same error with what is known of the execution.
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
            // Text and text-valued fields always have a JSON form.
            Err(error) => unreachable!("error object without JSON form: {error}"),
        }
    }
}
