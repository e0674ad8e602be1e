//! One other process as this one sees it.

use std::net::SocketAddr;

use base::{Offset, ProcessId, Role, Timestamp};
use compact_str::CompactString;

/// Judgement of a process by the time since it was heard.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Liveness {
    /// HeartbeatOutcome lately.
    Live,
    /// Gets no new work if another can take it.
    Suspect,
    /// Counts as unreachable.
    Silent,
}

/// A process that was heard from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Newest run heard.
    pub process: ProcessId,
    /// Job.
    pub role: Role,
    /// Region.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Where it accepts peers.
    pub address: SocketAddr,
    /// Newest configuration version that it said to have in force.
    pub config_offset: Offset,
    /// It said that it takes no new work; never taken back by the same run.
    pub draining: bool,
    /// The VM list says that its VM is leaving.
    pub leaving: bool,
    /// When it was last heard; for a reply, the time before the call.
    pub last_contact_at: Timestamp,
    /// When a connection or a call to it last failed, unless it has answered a call since.
    pub contact_failed_at: Option<Timestamp>,
    /// VM that it runs on, by the list.
    pub(crate) vm: Option<CompactString>,
    /// When that VM was first missing from the list, if it is.
    pub(crate) absent_since: Option<Timestamp>,
}

impl Member {
    /// Whether it may be given new work, as far as its own and the platform's announcements go.
    pub const fn accepts_work(&self) -> bool {
        !self.draining && !self.leaving
    }
}
