//! Response to a generation, as a sequence of events.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why the engine stopped generating.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The maximum number of output tokens was reached.
    Length,
    /// The model ended its output.
    Stop,
}

/// Event of a response, checked against its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerEvent {
    /// Generated text; token indices are consecutive.
    Token {
        /// Index of the event's first token in the complete response, from zero.
        index: u64,
        /// Number of tokens.
        count: u32,
        /// Text.
        text: String,
    },
    /// The response is complete; no event follows.
    Finished {
        /// Reason for the end.
        reason: FinishReason,
        /// Prompt tokens.
        prompt_tokens: u64,
        /// Output tokens of the complete response, including those before a resume.
        output_tokens: u64,
    },
}

/// Reason for which a response is incomplete. Events returned before the error are valid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerError {
    /// Tokens are missing from the response.
    Gap,
    /// An event does not conform to the protocol.
    Malformed,
    /// No event of this request arrived within the time limit.
    Timeout,
    /// The stream ended without `finished`.
    Truncated,
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Gap => "tokens are missing from the response",
            Self::Malformed => "malformed event in the response",
            Self::Timeout => "timed out waiting for the next event of the response",
            Self::Truncated => "the response ended without its last event",
        })
    }
}

impl std::error::Error for AnswerError {}

/// A response in progress. Dropping it closes the connection, which cancels the request.
#[expect(async_fn_in_trait, reason = "every process is one current-thread runtime")]
pub trait Answer {
    /// Returns the next event; `None` after `Finished`.
    ///
    /// Cancel safe: dropping the future loses no event.
    ///
    /// # Errors
    ///
    /// The response is incomplete; later calls return the same error.
    async fn next(&mut self) -> Result<Option<AnswerEvent>, AnswerError>;
}
