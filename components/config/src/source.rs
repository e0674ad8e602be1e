//! Text of a configuration or settings file.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A file by name and content; the name appears in problems.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SourceFile {
    /// Name as the operator gave it.
    pub name: CompactString,
    /// Content.
    pub text: String,
}

impl SourceFile {
    /// Makes a file.
    pub fn new(name: &str, text: &str) -> Self {
        Self { name: CompactString::new(name), text: text.to_owned() }
    }
}
