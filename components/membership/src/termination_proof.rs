//! Proof that a run of a process has ended.

use base::{Incarnation, ProcessId};
use serde::{Deserialize, Serialize};

/// Why a run of a process has ended for certain. Silence alone is never proof.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TerminationProof {
    /// A newer run of the same process has started: the peer address is bound exclusively, so the
    /// older one had exited.
    NewerIncarnation(Incarnation),
    /// The VM was on the platform's list and is on none of at least two later ones, and the process
    /// is silent.
    VmRemoved {
        /// Last version of the list that had the VM.
        listed_version: u64,
        /// First later version that did not.
        absent_version: u64,
        /// Lists without the VM that were read since.
        absent_reads: u32,
        /// Milliseconds since the last heartbeat.
        silent_ms: u64,
    },
}

impl TerminationProof {
    /// Fewest lists without the VM.
    pub const MIN_ABSENT_READS: u32 = 2;

    /// Whether the statement proves the end of `process`; depends on nothing but its arguments, so
    /// that every reader of a record gives the same verdict.
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
