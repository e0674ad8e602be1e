//! Completion that is not streamed.

use serde::Serialize;

use crate::sse::to_json;
use crate::{CompletionFormat, Usage};

/// Content of a whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Completion<'a> {
    /// Id of the answer.
    pub id: &'a str,
    /// Time in seconds since 1970.
    pub created: u64,
    /// Model or adapter by the caller's name.
    pub model: &'a str,
    /// Generated text.
    pub text: &'a str,
    /// Why it ended.
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

/// The body of a whole answer as JSON.
pub fn completion_body(format: CompletionFormat, answer: &Completion<'_>) -> String {
    let (object, message, text) = match format {
        CompletionFormat::Chat => {
            ("chat.completion", Some(Message { role: "assistant", content: answer.text }), None)
        }
        CompletionFormat::Text => ("text_completion", None, Some(answer.text)),
    };
    to_json(&Body {
        id: answer.id,
        object,
        created: answer.created,
        model: answer.model,
        choices: [Choice { index: 0, message, text, finish_reason: answer.finish_reason }],
        usage: answer.usage,
    })
}
