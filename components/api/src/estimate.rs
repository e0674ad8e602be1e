//! Estimate of the number of prompt tokens, used until an engine reports the exact count.

/// Approximate number of bytes per token in common vocabularies.
const BYTES_PER_TOKEN: usize = 4;

/// Estimated number of tokens of a text; at least 1.
pub fn estimate_tokens(text: &str) -> u64 {
    let tokens = text.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u64::try_from(tokens).unwrap_or(u64::MAX)
}
