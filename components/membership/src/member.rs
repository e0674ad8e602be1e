//! Another process as seen by this one.

use std::net::SocketAddr;

use base::{Offset, ProcessId, Role, Timestamp};
use compact_str::CompactString;

/// Liveness of a process by the time since its last heartbeat.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Liveness {
    /// A heartbeat was received recently.
    Live,
    /// Receives new work only if no live process can take it.
    Suspect,
    /// Considered unreachable.
    Silent,
}

/// A process from which a heartbeat was received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Newest incarnation from which a heartbeat was received.
    pub process: ProcessId,
    /// Role.
    pub role: Role,
    /// Region.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Address at which it accepts peer connections.
    pub address: SocketAddr,
    /// Newest configuration version that it reported as in force.
    pub config_offset: Offset,
    /// It reported that it accepts no new work; irrevocable for an incarnation.
    pub draining: bool,
    /// Its VM is marked as leaving on the VM list.
    pub leaving: bool,
    /// Time of its last heartbeat; for a reply, the time at which the call was made.
    pub last_contact_at: Timestamp,
    /// When a connection or call to it last failed, unless it has answered a call since.
    pub contact_failed_at: Option<Timestamp>,
    /// Name of its VM, taken from the VM list.
    pub(crate) vm: Option<CompactString>,
    /// When that VM was first found missing from the list, if it is.
    pub(crate) absent_since: Option<Timestamp>,
}

impl Member {
    /// Whether neither the process nor the platform has announced that it stops accepting work.
    pub const fn accepts_work(&self) -> bool {
        !self.draining && !self.leaving
    }
}
