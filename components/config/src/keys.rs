//! Keys added and withdrawn after the files were published.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A key added by a small edit instead of the base file.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AddedKey {
    /// Name of the key for logs and withdrawal; never the key.
    pub name: CompactString,
    /// Owner.
    pub customer: CompactString,
    /// SHA-256 of the key.
    pub sha256: [u8; 32],
}

/// A key that no longer works, whatever the files say.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WithdrawnKey {
    /// Name that it had.
    pub name: CompactString,
    /// SHA-256 of the key.
    pub sha256: [u8; 32],
}

/// Edits of keys since the files were published.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyEdits {
    /// Added keys, in the order of the edits.
    pub added: Vec<AddedKey>,
    /// Withdrawn keys, in the order of the edits.
    pub withdrawn: Vec<WithdrawnKey>,
}

impl KeyEdits {
    /// Whether the key with this hash was withdrawn.
    pub fn is_withdrawn(&self, sha256: &[u8; 32]) -> bool {
        self.withdrawn.iter().any(|key| key.sha256 == *sha256)
    }
}

/// Reads a SHA-256 hash written as 64 hexadecimal digits.
pub fn parse_sha256(text: &str) -> Option<[u8; 32]> {
    let digits = text.as_bytes();
    if digits.len() != 64 {
        return None;
    }
    let mut hash = [0; 32];
    for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        *byte = u8::try_from(high * 16 + low).ok()?;
    }
    Some(hash)
}

/// Writes a SHA-256 hash as 64 hexadecimal digits.
pub fn format_sha256(hash: &[u8; 32]) -> String {
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}
