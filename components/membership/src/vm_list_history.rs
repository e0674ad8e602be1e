//! Presence of each VM on the VM lists read so far.

use std::net::SocketAddr;

use base::{SortedMap, Timestamp};
use compact_str::CompactString;

use crate::{TerminationProof, Vm, VmList};

/// Maximum number of VMs kept after they left the list; the one that left first is evicted.
const MAX_ABSENT_VMS: usize = 1_024;

#[derive(Clone, Debug)]
struct VmObservation {
    vm: Vm,
    listed_version: u64,
    absence: Option<Absence>,
}

#[derive(Clone, Copy, Debug)]
struct Absence {
    version: u64,
    reads: u32,
    since: Timestamp,
}

/// History of the VM lists.
#[derive(Clone, Debug, Default)]
pub(crate) struct VmListHistory {
    version: u64,
    /// When the newest list was requested.
    requested_at: Option<Timestamp>,
    observations: SortedMap<CompactString, VmObservation>,
    /// Name of the VM at each address of the newest list.
    addresses: SortedMap<SocketAddr, CompactString>,
}

impl VmListHistory {
    /// Applies a list that was requested at `requested_at`; returns false for a list older than the
    /// last one, which is ignored.
    pub(crate) fn apply(&mut self, list: &VmList, requested_at: Timestamp, now: Timestamp) -> bool {
        let newest = self.requested_at.is_none_or(|last| requested_at >= last);
        if self.requested_at.is_some() && (list.version < self.version || !newest) {
            return false;
        }
        self.version = list.version;
        self.requested_at = Some(requested_at);
        self.addresses = list.vms.iter().map(|vm| (vm.address, vm.name.clone())).collect();
        let mut names: Vec<&CompactString> = list.vms.iter().map(|vm| &vm.name).collect();
        names.sort_unstable();
        for vm in &list.vms {
            let observation =
                VmObservation { vm: vm.clone(), listed_version: list.version, absence: None };
            self.observations.insert(vm.name.clone(), observation);
        }
        for (name, observation) in self.observations.iter_mut() {
            if names.binary_search(&name).is_ok() {
                continue;
            }
            match &mut observation.absence {
                Some(absence) => absence.reads = absence.reads.saturating_add(1),
                None => {
                    let absence = Absence { version: list.version, reads: 1, since: now };
                    observation.absence = Some(absence);
                }
            }
        }
        self.evict_oldest_absent();
        true
    }

    /// Iterates over the addresses of the VMs on the newest list that are not leaving.
    pub(crate) fn live_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.addresses.iter().filter_map(|(address, name)| {
            let observation = self.observations.get(name)?;
            (!observation.vm.leaving).then_some(*address)
        })
    }

    fn evict_oldest_absent(&mut self) {
        let absent = self.observations.values().filter(|o| o.absence.is_some()).count();
        if absent > MAX_ABSENT_VMS {
            let oldest = self
                .observations
                .iter()
                .filter_map(|(name, o)| o.absence.map(|a| (a.since, name.clone())))
                .min();
            if let Some((_, name)) = oldest {
                self.observations.remove(&name);
            }
        }
    }

    /// Returns when the newest list was requested.
    pub(crate) fn requested_at(&self) -> Option<Timestamp> {
        self.requested_at
    }

    /// Iterates over the VMs on the newest list.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Vm> {
        self.observations.values().filter(|o| o.absence.is_none()).map(|o| &o.vm)
    }

    /// Returns the VM at an address on the newest list.
    pub(crate) fn at_address(&self, address: SocketAddr) -> Option<&Vm> {
        let name = self.addresses.get(&address)?;
        self.observations.get(name).map(|o| &o.vm)
    }

    /// Returns when the VM was first missing, if it is.
    pub(crate) fn absent_since(&self, name: &str) -> Option<Timestamp> {
        self.observations.get(name).and_then(|o| o.absence).map(|a| a.since)
    }

    /// Returns the proof that the VM was removed: its name is not on the list, and its address is
    /// either absent too or known to be used by another process.
    pub(crate) fn removal_proof(
        &self,
        name: &str,
        address_taken: bool,
        silent_ms: u64,
    ) -> Option<TerminationProof> {
        let observation = self.observations.get(name)?;
        let absence = observation.absence?;
        if !address_taken && self.at_address(observation.vm.address).is_some() {
            return None;
        }
        (absence.reads >= TerminationProof::MIN_ABSENT_READS
            && absence.version > observation.listed_version)
            .then_some(TerminationProof::VmRemoved {
                listed_version: observation.listed_version,
                absent_version: absence.version,
                absent_reads: absence.reads,
                silent_ms,
            })
    }
}
