//! Settings of an agent process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use compact_str::CompactString;

use crate::FleetBounds;

/// Settings of an agent process: identity, location and addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// Unique name of the VM.
    pub name: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Address of the engine that the agent manages.
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
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: CompactString::default(),
            data_centre: CompactString::default(),
            ip: any_port.ip(),
            engine_address: any_port,
            service: CompactString::default(),
            peer_port: 0,
            store_address: any_port,
            bounds: FleetBounds::default(),
        }
    }
}
