//! Messages of a generation: entry to side, and the stream of frames back.

use base::ExecutionState;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::RequestId;

/// A generation that an entry process asks a side process for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateRequest {
    /// The caller's request.
    pub request_id: RequestId,
    /// Number of the attempt, from zero; an answer to another attempt is dropped.
    pub attempt: u32,
    /// Customer that the request runs for; the key itself never leaves the entry process.
    pub customer: CompactString,
    /// Base model.
    pub model: CompactString,
    /// Adapter on the base model.
    pub adapter: Option<CompactString>,
    /// Priority inside the customer; larger is sooner.
    pub priority: u8,
    /// Time left in milliseconds.
    pub deadline_ms: u32,
    /// Estimate of prompt tokens.
    pub prompt_tokens: u64,
    /// Most output tokens.
    pub max_output_tokens: u64,
    /// Prompt text, made from the messages of a chat.
    pub prompt: String,
    /// Sampling parameters as a JSON object, without metadata and user fields.
    pub parameters_json: String,
    /// Where to go on, for a stream that broke at another target.
    pub resume: Option<ResumePoint>,
}

/// How much of an answer the caller already has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResumePoint {
    /// Tokens delivered.
    pub delivered_tokens: u64,
    /// Text delivered.
    pub delivered_text: String,
}

/// A frame of an answer, with the identity that it must match.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateEvent {
    /// The caller's request.
    pub request_id: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Content.
    pub frame: GenerateFrame,
}

/// Content of a frame of an answer. The last one is `Finished`, `Refused` or `Failed`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GenerateFrame {
    /// The request left the queue and was sent to the engine.
    Started {
        /// Time in the side's queue in milliseconds.
        queue_wait_ms: u32,
    },
    /// Generated text.
    Token {
        /// Index of the first token of this frame in the whole answer, from zero.
        index: u64,
        /// Number of tokens in this frame.
        count: u32,
        /// Text.
        text: String,
    },
    /// The answer is whole.
    Finished {
        /// Why the engine stopped.
        reason: FinishReason,
        /// Prompt tokens by the engine's count.
        prompt_tokens: u64,
        /// Output tokens of the whole answer, those before a resume included.
        output_tokens: u64,
    },
    /// The request was not run.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// When to try again, in milliseconds.
        retry_after_ms: Option<u32>,
    },
    /// The answer broke off.
    Failed {
        /// What is known about the execution.
        ran: ExecutionState,
    },
}

/// Why an engine stopped generating.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// Most output tokens reached.
    Length,
    /// The model ended its answer.
    Stop,
}

/// Why a side process did not run a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RefuseReason {
    /// A claim under this idempotency key could not be settled in time.
    ClaimUnsettled,
    /// The deadline passes before the request could run.
    DeadlineTooShort,
    /// The side process is draining.
    Draining,
    /// Another body was sent under the same idempotency key.
    IdempotencyMismatch,
    /// The log is unavailable, so that a claim can't be recorded.
    LogUnavailable,
    /// The model can't be loaded here now.
    NoCapacity,
    /// The target does not answer its probes.
    TargetUnhealthy,
    /// The customer's queue is full.
    QueueFull,
    /// The model, adapter, route or customer is unknown in the configuration in force here.
    Unknown,
}
