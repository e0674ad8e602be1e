//! Estimate of prompt tokens before an engine has counted them.

/// Bytes of text that make about one token in the usual vocabularies.
const BYTES_PER_TOKEN: usize = 4;

/// Estimated tokens of a text; at least 1.
pub fn estimate_tokens(text: &str) -> u64 {
    let tokens = text.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u64::try_from(tokens).unwrap_or(u64::MAX)
}
