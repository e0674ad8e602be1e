//! Proof that an incarnation of a process has terminated.

use base::{Incarnation, ProcessId};
use serde::{Deserialize, Serialize};

/// Proof that an incarnation of a process has terminated. Silence alone is never proof.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TerminationProof {
    /// A newer incarnation of the process has started. The peer address is bound exclusively, so
    /// the older one must have exited.
    NewerIncarnation(Incarnation),
    /// The VM was on the platform's list and is missing from at least two later versions, and the
    /// process is silent.
    VmRemoved {
        /// Last version of the list that contains the VM.
        listed_version: u64,
        /// First later version that does not contain it.
        absent_version: u64,
        /// Number of lists without the VM that were read since.
        absent_reads: u32,
        /// Milliseconds since the last heartbeat.
        silent_ms: u64,
    },
}

impl TerminationProof {
    /// Minimum number of lists without the VM.
    pub const MIN_ABSENT_READS: u32 = 2;

    /// Whether this proves the termination of `process`.
    ///
    /// The result depends only on the arguments, so that all readers of a record reach the same
    /// verdict.
    pub fn holds_for(&self, process: &ProcessId) -> bool {
        match self {
            Self::NewerIncarnation(newer) => *newer > process.incarnation,
            Self::VmRemoved { listed_version, absent_version, absent_reads, silent_ms } => {
                absent_version > listed_version
                    && *absent_reads >= Self::MIN_ABSENT_READS
                    && *silent_ms > 0
            }
        }
    }
}
