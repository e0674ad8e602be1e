//! Crash of a target as evidence against what its requests have in common.

use std::time::Duration;

use base::Timestamp;

/// Crash of a target while it ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Short hash of the id of the target's life.
    pub target: u32,
    /// Short hash of the target's service.
    pub service: u32,
    /// Short hash of the whole prompt.
    pub prompt: u32,
    /// Short hash of the name of the gateway that saw it. Times from one gateway are exact.
    pub reporter: u32,
    /// Whether the target had sent the head of a response to the request.
    pub has_head: bool,
    /// When it was seen.
    pub at: Timestamp,
}

impl Crash {
    /// Whether both are the same crash during the same request, seen by the same gateway.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        (self.target, self.prompt, self.reporter) == (other.target, other.prompt, other.reporter)
    }

    /// Time between two crashes.
    pub(crate) fn distance(&self, other: &Self) -> Duration {
        self.at.since(other.at).max(other.at.since(self.at))
    }
}
