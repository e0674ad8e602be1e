//! Completions that are not streamed.

use serde::Serialize;

use crate::sse::to_json;
use crate::{CompletionFormat, Usage};

/// Content of a complete, non-streamed completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Completion<'a> {
    /// Id of the completion.
    pub id: &'a str,
    /// Creation time in Unix seconds.
    pub created: u64,
    /// Model or adapter as named in the request.
    pub model: &'a str,
    /// Generated text.
    pub text: &'a str,
    /// Why the generation ended.
    pub finish_reason: &'a str,
    /// Token counts.
    pub usage: Usage,
}

#[derive(Serialize)]
struct Body<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

/// The body of a non-streamed completion as JSON.
pub fn completion_body(format: CompletionFormat, completion: &Completion<'_>) -> String {
    let (object, message, text) = match format {
        CompletionFormat::Chat => {
            ("chat.completion", Some(Message { role: "assistant", content: completion.text }), None)
        }
        CompletionFormat::Text => ("text_completion", None, Some(completion.text)),
    };
    to_json(&Body {
        id: completion.id,
        object,
        created: completion.created,
        model: completion.model,
        choices: [Choice { index: 0, message, text, finish_reason: completion.finish_reason }],
        usage: completion.usage,
    })
}
