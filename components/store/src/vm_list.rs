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
    /// The platform will take the VM away.
    Leaving,
    /// The VM runs.
    Live,
}

/// A VM on the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: CompactString,
    /// Peer address of the process on the VM.
    pub address: SocketAddr,
    /// Job of the process on the VM.
    pub role: Role,
    /// Region.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// State.
    pub state: VmState,
}

/// The list at one time; it lags in both directions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct VmSnapshot {
    /// Version of the list; never falls at one server.
    pub version: u64,
    /// VMs.
    pub vms: Vec<VmEntry>,
}

/// Source of VM lists.
#[expect(async_fn_in_trait, reason = "every process is one current-thread runtime")]
pub trait VmListSource {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Why there is no list; the last one read stays valid as far as a lagging list is.
    async fn list(&self) -> Result<VmSnapshot, StoreError>;
}
