//! Server-sent events of a streamed answer.

use serde::Serialize;

use crate::{ApiError, CompletionFormat};

/// Last event of a whole answer.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Prompt tokens by the engine's count.
    pub prompt_tokens: u64,
    /// Output tokens.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}

impl Usage {
    /// Counts with their sum.
    pub const fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
    }
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

pub(crate) fn to_json<T: Serialize>(value: &T) -> String {
    match serde_json::to_string(value) {
        Ok(text) => text,
        // Structs of text and numbers always have a JSON form.
        Err(error) => unreachable!("event without JSON form: {error}"),
    }
}

fn event<'a>(
    format: CompletionFormat,
    id: &'a str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    usage: Option<Usage>,
) -> String {
    let object = match format {
        CompletionFormat::Chat => "chat.completion.chunk",
        CompletionFormat::Text => "text_completion",
    };
    let chunk = Chunk { id, object, created, model, choices, usage };
    format!("data: {}\n\n", to_json(&chunk))
}

/// Event that opens a chat; plain text needs none. `created` is in seconds since 1970.
pub fn first_event(
    format: CompletionFormat,
    id: &str,
    created: u64,
    model: &str,
) -> Option<String> {
    match format {
        CompletionFormat::Text => None,
        CompletionFormat::Chat => {
            let delta = Some(Delta { role: Some("assistant"), content: Some("") });
            let choice = Choice { index: 0, delta, text: None, finish_reason: None };
            Some(event(format, id, created, model, vec![choice], None))
        }
    }
}

/// Event with generated text. `created` is in seconds since 1970.
pub fn delta_event(
    format: CompletionFormat,
    id: &str,
    created: u64,
    model: &str,
    text: &str,
) -> String {
    let (delta, text) = match format {
        CompletionFormat::Chat => (Some(Delta { role: None, content: Some(text) }), None),
        CompletionFormat::Text => (None, Some(text)),
    };
    let choice = Choice { index: 0, delta, text, finish_reason: None };
    event(format, id, created, model, vec![choice], None)
}

/// Event with the reason for which the answer ended. `created` is in seconds since 1970.
pub fn finish_event(
    format: CompletionFormat,
    id: &str,
    created: u64,
    model: &str,
    reason: &str,
) -> String {
    let (delta, text) = match format {
        CompletionFormat::Chat => (Some(Delta { role: None, content: None }), None),
        CompletionFormat::Text => (None, Some("")),
    };
    let choice = Choice { index: 0, delta, text, finish_reason: Some(reason) };
    event(format, id, created, model, vec![choice], None)
}

/// Event with token counts, if the caller asked for it. `created` is in seconds since 1970.
pub fn usage_event(
    format: CompletionFormat,
    id: &str,
    created: u64,
    model: &str,
    usage: Usage,
) -> String {
    event(format, id, created, model, Vec::new(), Some(usage))
}

/// Event that ends a broken stream; `[DONE]` never follows it.
pub fn error_event(error: &ApiError, request_id: &str) -> String {
    format!("event: error\ndata: {}\n\n", error.to_json(request_id))
}
