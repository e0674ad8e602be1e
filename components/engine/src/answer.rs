//! The answer to a generation, event by event.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why the engine stopped generating.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// Most output tokens reached.
    Length,
    /// The model ended its answer.
    Stop,
}

/// An event of an answer that was checked against its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerEvent {
    /// Generated text; indices follow each other without a gap.
    Token {
        /// Index of the first token of the event in the whole answer, from zero.
        index: u64,
        /// Number of tokens.
        count: u32,
        /// Text.
        text: String,
    },
    /// The answer is whole; no event follows.
    Finished {
        /// Why the engine stopped.
        reason: FinishReason,
        /// Prompt tokens.
        prompt_tokens: u64,
        /// Output tokens of the whole answer, those before a resume included.
        output_tokens: u64,
    },
}

/// Why an answer did not arrive whole. What was delivered before is valid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerError {
    /// Tokens are missing from the answer.
    Gap,
    /// An event was not in the protocol's form.
    Malformed,
    /// No event of this request arrived within the time limit.
    Timeout,
    /// The stream ended without `finished`.
    Truncated,
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Gap => "tokens are missing from the answer",
            Self::Malformed => "malformed event in the answer",
            Self::Timeout => "no event of the answer in time",
            Self::Truncated => "the answer ended without its last event",
        })
    }
}

impl std::error::Error for AnswerError {}

/// An answer in progress. Dropping it closes the connection, which cancels the request.
#[expect(async_fn_in_trait, reason = "every process is one current-thread runtime")]
pub trait Answer {
    /// The next event; `None` after `Finished`.
    ///
    /// Cancel safe: a call that is dropped loses no event.
    ///
    /// # Errors
    ///
    /// The answer is not whole; later calls return the same error.
    async fn next(&mut self) -> Result<Option<AnswerEvent>, AnswerError>;
}
