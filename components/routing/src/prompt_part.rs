//! Parts of a prompt that requests share.

use base::hash_bytes;

/// A part of a prompt, as its caller names it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Name of the part; equal names mean equal text.
    pub id: u64,
    /// Tokens of the part.
    pub tokens: u32,
}

/// A part together with all parts before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixLink {
    /// Short hash of the model, the adapter and all parts up to this one.
    pub hash: u32,
    /// Tokens of this part alone.
    pub tokens: u32,
}

/// Links of a prompt on a model; prompts with an equal link share all text up to it.
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
