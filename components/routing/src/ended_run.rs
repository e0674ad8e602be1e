//! Whether the target of a response that ended, or broke off, with its connection still lives.

use std::time::Duration;

use base::Timestamp;

use crate::{DirectTarget, TargetPhase};

/// A response that ended or broke off with its connection, after which the target's address accepted
/// another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// When its request was sent.
    pub sent_at: Timestamp,
    /// Unix time of the start of the target that it was sent to, in milliseconds.
    pub born_ms: Option<u64>,
    /// When the address accepted the connection.
    pub connected_at: Timestamp,
    /// Shortest time from the end of a target to the start of another one at its address, or of the same
    /// one.
    pub replaced_after: Duration,
    /// Whether the target, if it is asked, says when it started.
    pub names_start: bool,
}

/// What is known of the target that began a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetLife {
    /// It lives, so that its response is complete.
    Alive,
    /// It has ended.
    Ended,
    /// It is in service as far as is known; a newer view of the target list tells.
    AwaitList,
    /// Only the target itself can tell.
    Ask,
}

impl EndedRun {
    /// Judges what is known of the target, with the target list as of `list_known_at`.
    ///
    /// The process that accepted the connection is the target if there was no time to replace it. Otherwise
    /// only its own word shows which life of which target it is. Where it doesn't name its start, it counts
    /// as the target if the list as of a later time still has that: a process at an address enters itself in
    /// the list when it starts. A target that is leaving, or that the list lacks, may still serve.
    pub fn judge(
        &self,
        target: &DirectTarget,
        list_known_at: Option<Timestamp>,
        now: Timestamp,
    ) -> TargetLife {
        if target.is_superseded || target.started_unix_ms != self.born_ms {
            return TargetLife::Ended;
        }
        if self.connected_at.since(self.sent_at) < self.replaced_after {
            return TargetLife::Alive;
        }
        match target.phase(now) {
            TargetPhase::Active if self.names_start => TargetLife::Ask,
            TargetPhase::Active if list_known_at > Some(self.connected_at) => TargetLife::Alive,
            TargetPhase::Active => TargetLife::AwaitList,
            TargetPhase::Ended | TargetPhase::Leaving | TargetPhase::Unheard => TargetLife::Ask,
        }
    }
}
