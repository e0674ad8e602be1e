//! A generation as the engine is asked for it.

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
    /// Most output tokens of the whole answer, those before a resume included.
    pub max_tokens: u64,
    /// Priority; larger is sooner.
    pub priority: u8,
    /// Sampling parameters, a JSON object.
    pub parameters: Value,
    /// Where to go on, for an answer that broke off elsewhere.
    pub resume: Option<ResumeFrom>,
}

/// How much of an answer was already delivered.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ResumeFrom {
    /// Tokens delivered.
    pub tokens: u64,
    /// Text delivered.
    pub text: String,
}
