//! Settings that every process has.

use std::net::{Ipv4Addr, SocketAddr};

use compact_str::CompactString;
use serde::Deserialize;

/// Identity, place and addresses of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ProcessSettings {
    /// Unique name in the fleet, stable across restarts.
    pub name: CompactString,
    /// Name of the VM on the platform's list.
    pub vm: CompactString,
    /// Region; also the site whose overlay applies.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Address for other processes of the fleet; bound exclusively.
    pub peer_address: SocketAddr,
    /// Address that others are told, if it differs (port mapping).
    pub advertised_address: Option<SocketAddr>,
    /// Address for health, readiness and metrics.
    pub operator_address: SocketAddr,
    /// Secret shared by the fleet; at least 16 characters.
    pub fleet_secret: CompactString,
    /// Longest time for a graceful stop, in milliseconds.
    pub drain_limit_ms: u64,
}

impl Default for ProcessSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: CompactString::default(),
            vm: CompactString::default(),
            region: CompactString::default(),
            data_centre: CompactString::default(),
            peer_address: any_port,
            advertised_address: None,
            operator_address: any_port,
            fleet_secret: CompactString::default(),
            drain_limit_ms: 30_000,
        }
    }
}

/// Timing of heartbeats and of the judgement of silence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Silence after which a process gets no new work if another can take it, in milliseconds.
    pub suspect_after_ms: u64,
    /// Silence after which a process counts as unreachable, in milliseconds.
    pub silent_after_ms: u64,
    /// Time between reads of the VM list, in milliseconds.
    pub vm_list_poll_ms: u64,
    /// Longest wait for a reply from a peer, in milliseconds.
    pub call_timeout_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 250,
            suspect_after_ms: 750,
            silent_after_ms: 1_500,
            vm_list_poll_ms: 1_000,
            call_timeout_ms: 500,
        }
    }
}
