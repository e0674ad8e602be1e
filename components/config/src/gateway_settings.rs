//! Settings of a gateway process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use base::SortedMap;
use compact_str::CompactString;

use crate::FleetBounds;

/// Settings of a gateway process: identity, location and addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Unique name of the VM.
    pub name: CompactString,
    /// Region.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Regions of the data centres, as far as they are known.
    pub data_centre_regions: SortedMap<CompactString, CompactString>,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the readiness check.
    pub ready_address: SocketAddr,
    /// Port for messages between the processes of the fleet; the same on all VMs.
    pub peer_port: u16,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Partitions of a topic on the store; work is distributed over them.
    pub store_parts: u32,
    /// Whether the fleet starts for the first time, with no requests admitted earlier.
    pub first_start: bool,
    /// File descriptors of the process.
    pub file_descriptors: u64,
    /// Memory of the VM, in MB.
    pub memory_mb: u64,
    /// Bounds of the fleet.
    pub bounds: FleetBounds,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: CompactString::default(),
            region: CompactString::default(),
            data_centre: CompactString::default(),
            data_centre_regions: SortedMap::new(),
            ip: any_port.ip(),
            caller_address: any_port,
            ready_address: any_port,
            peer_port: 0,
            store_address: any_port,
            store_parts: 8,
            first_start: false,
            file_descriptors: 1_024,
            memory_mb: 512,
            bounds: FleetBounds::default(),
        }
    }
}
