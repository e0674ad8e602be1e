//! Prompt parts that requests share, and the hash chain over them.

use base::hash_bytes;

/// A part of a prompt, identified by the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifier of the part; equal identifiers mean equal text.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: u32,
}

/// Element of the hash chain: identifies a part together with all parts before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixLink {
    /// Short hash of the model, the adapter and all parts up to this one.
    pub hash: u32,
    /// Number of tokens in this part alone.
    pub tokens: u32,
}

/// Returns the hash chain of a prompt for a model and adapter. Prompts with an equal link share all
/// text up to and including it.
pub fn prefix_links(model: &str, adapter: Option<&str>, parts: &[PromptPart]) -> Vec<PrefixLink> {
    let first = hash_bytes(model.as_bytes()) ^ adapter.map_or(0, |a| hash_bytes(a.as_bytes()));
    parts
        .iter()
        .scan(first, |before, part| {
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&before.to_le_bytes());
            bytes[8..].copy_from_slice(&part.id.to_le_bytes());
            *before = hash_bytes(&bytes);
            Some(PrefixLink { hash: (*before >> 32) as u32, tokens: part.tokens })
        })
        .collect()
}
