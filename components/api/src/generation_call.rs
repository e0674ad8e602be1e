//! Parsing of a generation request.

use compact_str::CompactString;
use serde_json::{Map, Value};

use crate::scrub::remove_key;
use crate::{Dialect, estimate_tokens};

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
pub struct GenerationCall {
    /// Form of the answer.
    pub dialect: Dialect,
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
pub struct CallFault {
    /// Text for people.
    pub message: &'static str,
    /// Field at fault.
    pub param: Option<&'static str>,
}

impl CallFault {
    const fn of(param: &'static str, message: &'static str) -> Self {
        Self { message, param: Some(param) }
    }
}

impl GenerationCall {
    /// Parses a body; fields whose value equals `presented_key` are removed first.
    ///
    /// # Errors
    ///
    /// What is wrong with the body, without any text of the caller.
    pub fn parse(dialect: Dialect, body: &[u8], presented_key: &str) -> Result<Self, CallFault> {
        let mut value: Value = serde_json::from_slice(body)
            .map_err(|_| CallFault { message: "the body is not valid JSON", param: None })?;
        remove_key(&mut value, presented_key);
        let Value::Object(fields) = value else {
            return Err(CallFault { message: "the body is not a JSON object", param: None });
        };
        let model = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => CompactString::new(model),
            _ => return Err(CallFault::of("model", "model must be a non-empty text")),
        };
        let prompt = match dialect {
            Dialect::Chat => chat_prompt(fields.get("messages"))?,
            Dialect::Text => text_prompt(fields.get("prompt"))?,
        };
        if fields.get("n").is_some_and(|n| !n.is_null() && n.as_u64() != Some(1)) {
            return Err(CallFault::of("n", "n must be 1"));
        }
        let limit = match dialect {
            Dialect::Chat => fields.get("max_completion_tokens").or(fields.get("max_tokens")),
            Dialect::Text => fields.get("max_tokens"),
        };
        let include_usage = match fields.get("stream_options") {
            Some(Value::Object(options)) => flag(options, "include_usage")?,
            None | Some(Value::Null) => false,
            Some(_) => {
                return Err(CallFault::of("stream_options", "stream_options must be an object"));
            }
        };
        Ok(Self {
            dialect,
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

fn flag(fields: &Map<String, Value>, name: &'static str) -> Result<bool, CallFault> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(set)) => Ok(*set),
        Some(_) => Err(CallFault::of(name, "must be true or false")),
    }
}

fn output_limit(value: Option<&Value>) -> Result<Option<u64>, CallFault> {
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(limit) => match limit.as_u64() {
            Some(limit) if limit > 0 => Ok(Some(limit)),
            _ => Err(CallFault::of("max_tokens", "max_tokens must be a whole number above 0")),
        },
    }
}

fn priority(value: Option<&Value>) -> Result<u8, CallFault> {
    match value {
        None | Some(Value::Null) => Ok(0),
        Some(value) => value
            .as_u64()
            .and_then(|number| u8::try_from(number).ok())
            .ok_or(CallFault::of("priority", "priority must be a whole number from 0 to 255")),
    }
}

fn text_prompt(value: Option<&Value>) -> Result<String, CallFault> {
    match value {
        Some(Value::String(prompt)) => Ok(prompt.clone()),
        Some(Value::Array(parts)) if parts.len() == 1 => text_prompt(parts.first()),
        _ => Err(CallFault::of("prompt", "prompt must be one text")),
    }
}

fn chat_prompt(value: Option<&Value>) -> Result<String, CallFault> {
    let Some(Value::Array(messages)) = value else {
        return Err(CallFault::of("messages", "messages must be a list"));
    };
    if messages.is_empty() || messages.len() > MAX_MESSAGES {
        return Err(CallFault::of("messages", "messages must have between 1 and 4096 entries"));
    }
    let mut prompt = String::new();
    for message in messages {
        let (Some(role), Some(content)) =
            (message.get("role").and_then(Value::as_str), message.get("content"))
        else {
            return Err(CallFault::of("messages", "each message needs role and content"));
        };
        prompt.push_str(role);
        prompt.push_str(": ");
        append_content(&mut prompt, content)?;
        prompt.push('\n');
    }
    Ok(prompt)
}

fn append_content(prompt: &mut String, content: &Value) -> Result<(), CallFault> {
    const FAULT: CallFault = CallFault::of("messages", "content must be text or text parts");
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
