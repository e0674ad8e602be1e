//! The stand-in engine's answers: a function of model, adapter, prompt and index.

use base::hash_bytes;

/// Text of one token of an answer.
pub fn token_text(model: &str, adapter: Option<&str>, prompt: &str, index: u64) -> String {
    let mut key = Vec::with_capacity(model.len() + prompt.len() + 32);
    for part in [model, adapter.unwrap_or_default(), prompt] {
        key.extend_from_slice(part.as_bytes());
        key.push(0);
    }
    key.extend_from_slice(&index.to_le_bytes());
    format!("w{} ", hash_bytes(&key) % 10_000)
}

/// Text of the first `tokens` tokens of an answer.
pub fn answer_text(model: &str, adapter: Option<&str>, prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(model, adapter, prompt, index)).collect()
}
