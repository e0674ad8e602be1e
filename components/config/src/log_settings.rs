//! What is logged and where.

use compact_str::CompactString;
use serde::Deserialize;

/// Logging of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: CompactString,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: CompactString::const_new("info") }
    }
}
