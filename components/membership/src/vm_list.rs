//! The platform's list of VMs.

use std::net::SocketAddr;

use base::Role;
use compact_str::CompactString;

/// One version of the list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmList {
    /// Version; never decreases on one server.
    pub version: u64,
    /// VMs.
    pub vms: Vec<Vm>,
}

/// One VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// Name.
    pub name: CompactString,
    /// Peer address of the process on it.
    pub address: SocketAddr,
    /// Role of the process on it.
    pub role: Role,
    /// Region.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}
