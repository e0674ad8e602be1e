//! Parsing of a generation request.

use compact_str::CompactString;
use serde_json::{Map, Value};

use crate::key_removal::remove_key;
use crate::{CompletionFormat, estimate_tokens};

/// Sampling parameters that engines understand; everything else stays here.
const FORWARDED_PARAMETERS: [&str; 11] = [
    "frequency_penalty",
    "logit_bias",
    "min_p",
    "presence_penalty",
    "repetition_penalty",
    "response_format",
    "seed",
    "stop",
    "temperature",
    "top_k",
    "top_p",
];
/// Most messages of one chat.
const MAX_MESSAGES: usize = 4_096;

/// A request for generated text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GenerationRequest {
    /// Form of the answer.
    pub format: CompletionFormat,
    /// Name of a model or of an adapter.
    pub model: CompactString,
    /// Prompt text, made from the messages of a chat.
    pub prompt: String,
    /// Estimate of prompt tokens.
    pub prompt_tokens: u64,
    /// Most output tokens, if the caller gives a limit.
    pub max_output_tokens: Option<u64>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a stream ends with a usage event.
    pub include_usage: bool,
    /// Priority inside the customer; larger is sooner.
    pub priority: u8,
    /// Sampling parameters as a JSON object.
    pub parameters_json: String,
}

/// What is wrong with a request body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GenerationRequestError {
    /// Text for people.
    pub message: &'static str,
    /// Field at fault.
    pub param: Option<&'static str>,
}

impl GenerationRequestError {
    const fn of(param: &'static str, message: &'static str) -> Self {
        Self { message, param: Some(param) }
    }
}

impl GenerationRequest {
    /// Parses a body; fields whose value equals `presented_key` are removed first.
    ///
    /// # Errors
    ///
    /// What is wrong with the body, without any text of the caller.
    pub fn parse(
        format: CompletionFormat,
        body: &[u8],
        presented_key: &str,
    ) -> Result<Self, GenerationRequestError> {
        let mut value: Value = serde_json::from_slice(body).map_err(|_| {
            GenerationRequestError { message: "the body is not valid JSON", param: None }
        })?;
        remove_key(&mut value, presented_key);
        let Value::Object(fields) = value else {
            return Err(GenerationRequestError {
                message: "the body is not a JSON object",
                param: None,
            });
        };
        let model = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => CompactString::new(model),
            _ => return Err(GenerationRequestError::of("model", "model must be a non-empty text")),
        };
        let prompt = match format {
            CompletionFormat::Chat => chat_prompt(fields.get("messages"))?,
            CompletionFormat::Text => text_prompt(fields.get("prompt"))?,
        };
        if fields.get("n").is_some_and(|n| !n.is_null() && n.as_u64() != Some(1)) {
            return Err(GenerationRequestError::of("n", "n must be 1"));
        }
        let limit = match format {
            CompletionFormat::Chat => {
                fields.get("max_completion_tokens").or(fields.get("max_tokens"))
            }
            CompletionFormat::Text => fields.get("max_tokens"),
        };
        let include_usage = match fields.get("stream_options") {
            Some(Value::Object(options)) => flag(options, "include_usage")?,
            None | Some(Value::Null) => false,
            Some(_) => {
                return Err(GenerationRequestError::of(
                    "stream_options",
                    "stream_options must be an object",
                ));
            }
        };
        Ok(Self {
            format,
            model,
            prompt_tokens: estimate_tokens(&prompt),
            prompt,
            max_output_tokens: output_limit(limit)?,
            stream: flag(&fields, "stream")?,
            include_usage,
            priority: priority(fields.get("priority"))?,
            parameters_json: parameters(&fields),
        })
    }
}

fn flag(fields: &Map<String, Value>, name: &'static str) -> Result<bool, GenerationRequestError> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(set)) => Ok(*set),
        Some(_) => Err(GenerationRequestError::of(name, "must be true or false")),
    }
}

fn output_limit(value: Option<&Value>) -> Result<Option<u64>, GenerationRequestError> {
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(limit) => match limit.as_u64() {
            Some(limit) if limit > 0 => Ok(Some(limit)),
            _ => Err(GenerationRequestError::of(
                "max_tokens",
                "max_tokens must be a whole number above 0",
            )),
        },
    }
}

fn priority(value: Option<&Value>) -> Result<u8, GenerationRequestError> {
    match value {
        None | Some(Value::Null) => Ok(0),
        Some(value) => value.as_u64().and_then(|number| u8::try_from(number).ok()).ok_or(
            GenerationRequestError::of("priority", "priority must be a whole number from 0 to 255"),
        ),
    }
}

fn text_prompt(value: Option<&Value>) -> Result<String, GenerationRequestError> {
    match value {
        Some(Value::String(prompt)) => Ok(prompt.clone()),
        Some(Value::Array(parts)) if parts.len() == 1 => text_prompt(parts.first()),
        _ => Err(GenerationRequestError::of("prompt", "prompt must be one text")),
    }
}

fn chat_prompt(value: Option<&Value>) -> Result<String, GenerationRequestError> {
    let Some(Value::Array(messages)) = value else {
        return Err(GenerationRequestError::of("messages", "messages must be a list"));
    };
    if messages.is_empty() || messages.len() > MAX_MESSAGES {
        return Err(GenerationRequestError::of(
            "messages",
            "messages must have between 1 and 4096 entries",
        ));
    }
    let mut prompt = String::new();
    for message in messages {
        let (Some(role), Some(content)) =
            (message.get("role").and_then(Value::as_str), message.get("content"))
        else {
            return Err(GenerationRequestError::of(
                "messages",
                "each message needs role and content",
            ));
        };
        prompt.push_str(role);
        prompt.push_str(": ");
        append_content(&mut prompt, content)?;
        prompt.push('\n');
    }
    Ok(prompt)
}

fn append_content(prompt: &mut String, content: &Value) -> Result<(), GenerationRequestError> {
    const FAULT: GenerationRequestError =
        GenerationRequestError::of("messages", "content must be text or text parts");
    match content {
        Value::String(text) => prompt.push_str(text),
        Value::Array(parts) => {
            for part in parts {
                prompt.push_str(part.get("text").and_then(Value::as_str).ok_or(FAULT)?);
            }
        }
        _ => return Err(FAULT),
    }
    Ok(())
}

fn parameters(fields: &Map<String, Value>) -> String {
    let chosen: Map<String, Value> = FORWARDED_PARAMETERS
        .iter()
        .filter_map(|name| Some(((*name).to_owned(), fields.get(*name)?.clone())))
        .collect();
    Value::Object(chosen).to_string()
}
