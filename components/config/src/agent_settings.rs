//! Settings of an agent process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use compact_str::CompactString;

use crate::FleetBounds;

/// What an agent process learns about its place when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// Unique name of the VM.
    pub name: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Address of the engine beside which the process runs.
    pub engine_address: SocketAddr,
    /// Service of the engine.
    pub service: CompactString,
    /// Port for messages between the processes of the fleet; the same on all VMs.
    pub peer_port: u16,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Bounds of the fleet.
    pub bounds: FleetBounds,
}

impl Default for AgentSettings {
    fn default() -> Self {
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: CompactString::default(),
            data_centre: CompactString::default(),
            ip: nowhere.ip(),
            engine_address: nowhere,
            service: CompactString::default(),
            peer_port: 0,
            store_address: nowhere,
            bounds: FleetBounds::default(),
        }
    }
}
