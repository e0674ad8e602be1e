//! The platform's list of VMs.

use std::net::SocketAddr;

use base::Role;
use compact_str::CompactString;
use serde::Deserialize;

use crate::StoreError;

/// State of a VM on the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The platform is about to remove the VM.
    Leaving,
    /// The VM is running.
    Live,
}

/// A VM on the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: CompactString,
    /// Peer address of the process on the VM.
    pub address: SocketAddr,
    /// Role of the process on the VM.
    pub role: Role,
    /// Region.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// State.
    pub state: VmState,
}

/// State of the list at one time; it may lag behind for added and for removed VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct VmSnapshot {
    /// Version of the list; never decreases on one server.
    pub version: u64,
    /// VMs.
    pub vms: Vec<VmEntry>,
}

/// Source of the VM list.
#[expect(async_fn_in_trait, reason = "every process is one current-thread runtime")]
pub trait VmListSource {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns the reason for a missing list. The last one remains valid within the limits of a
    /// lagging list.
    async fn list(&self) -> Result<VmSnapshot, StoreError>;
}
