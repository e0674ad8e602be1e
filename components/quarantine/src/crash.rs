//! Crash of an engine as evidence against a part.

use base::Timestamp;

/// Crash of an engine while it began to answer a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Short hash of the id of the engine's life.
    pub target: u32,
    /// Short hash of the whole prompt.
    pub prompt: u32,
    /// When it was seen.
    pub at: Timestamp,
}
