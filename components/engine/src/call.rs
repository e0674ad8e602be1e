//! Request for a generation.

use compact_str::CompactString;
use serde::Serialize;
use serde_json::Value;

/// Body of `POST /generate`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GenerateCall {
    /// Id of this attempt; every event must carry it.
    pub id: CompactString,
    /// Base model.
    pub model: CompactString,
    /// Adapter on the base model.
    pub adapter: Option<CompactString>,
    /// Prompt text.
    pub prompt: String,
    /// Maximum output tokens of the complete response, including those before a resume.
    pub max_tokens: u64,
    /// Priority; larger values run first.
    pub priority: u8,
    /// Sampling parameters, a JSON object.
    pub parameters: Value,
    /// Position to resume from, for a response that was interrupted at another engine.
    pub resume: Option<ResumeFrom>,
}

/// Part of a response that was already delivered.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ResumeFrom {
    /// Tokens delivered.
    pub tokens: u64,
    /// Text delivered.
    pub text: String,
}
