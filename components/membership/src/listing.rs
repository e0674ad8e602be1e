//! What the VM lists read so far say about each VM.

use std::net::SocketAddr;

use base::{SortedMap, Timestamp};
use compact_str::CompactString;

use crate::{DeathProof, Vm, VmList};

/// VMs that left the list and are remembered; the one that left first is forgotten first.
const MAX_ABSENT: usize = 1_024;

#[derive(Clone, Debug)]
struct Sighting {
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

/// Memory of the VM lists.
#[derive(Clone, Debug, Default)]
pub(crate) struct Listing {
    version: u64,
    /// Time before the newest list was asked for.
    asked_at: Option<Timestamp>,
    sightings: SortedMap<CompactString, Sighting>,
    /// Name of the VM at each address of the newest list.
    addresses: SortedMap<SocketAddr, CompactString>,
}

impl Listing {
    /// Takes a list that was asked for at `asked_at`; an older version than the last is ignored.
    pub(crate) fn take(&mut self, list: &VmList, asked_at: Timestamp, now: Timestamp) -> bool {
        let newest = self.asked_at.is_none_or(|last| asked_at >= last);
        if self.asked_at.is_some() && (list.version < self.version || !newest) {
            return false;
        }
        self.version = list.version;
        self.asked_at = Some(asked_at);
        self.addresses = list.vms.iter().map(|vm| (vm.address, vm.name.clone())).collect();
        let mut names: Vec<&CompactString> = list.vms.iter().map(|vm| &vm.name).collect();
        names.sort_unstable();
        for vm in &list.vms {
            let sighting = Sighting { vm: vm.clone(), listed_version: list.version, absence: None };
            self.sightings.insert(vm.name.clone(), sighting);
        }
        for (name, sighting) in self.sightings.iter_mut() {
            if names.binary_search(&name).is_ok() {
                continue;
            }
            match &mut sighting.absence {
                Some(absence) => absence.reads = absence.reads.saturating_add(1),
                None => {
                    let absence = Absence { version: list.version, reads: 1, since: now };
                    sighting.absence = Some(absence);
                }
            }
        }
        self.forget();
        true
    }

    /// Addresses of the VMs on the newest list that are not leaving.
    pub(crate) fn live_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.addresses.iter().filter_map(|(address, name)| {
            let sighting = self.sightings.get(name)?;
            (!sighting.vm.leaving).then_some(*address)
        })
    }

    fn forget(&mut self) {
        let absent = self.sightings.values().filter(|s| s.absence.is_some()).count();
        if absent > MAX_ABSENT {
            let oldest = self
                .sightings
                .iter()
                .filter_map(|(name, s)| s.absence.map(|a| (a.since, name.clone())))
                .min();
            if let Some((_, name)) = oldest {
                self.sightings.remove(&name);
            }
        }
    }

    /// Time before the newest list was asked for.
    pub(crate) fn asked_at(&self) -> Option<Timestamp> {
        self.asked_at
    }

    /// VMs on the newest list.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Vm> {
        self.sightings.values().filter(|s| s.absence.is_none()).map(|s| &s.vm)
    }

    /// The VM at an address on the newest list.
    pub(crate) fn at_address(&self, address: SocketAddr) -> Option<&Vm> {
        let name = self.addresses.get(&address)?;
        self.sightings.get(name).map(|s| &s.vm)
    }

    /// When the VM was first missing, if it is.
    pub(crate) fn absent_since(&self, name: &str) -> Option<Timestamp> {
        self.sightings.get(name).and_then(|s| s.absence).map(|a| a.since)
    }

    /// Proof that the VM was removed, if its name is not on the list, nor its address unless that is
    /// known to be taken by another process.
    pub(crate) fn removal(
        &self,
        name: &str,
        address_taken: bool,
        silent_ms: u64,
    ) -> Option<DeathProof> {
        let sighting = self.sightings.get(name)?;
        let absence = sighting.absence?;
        if !address_taken && self.at_address(sighting.vm.address).is_some() {
            return None;
        }
        (absence.reads >= DeathProof::MIN_ABSENT_READS && absence.version > sighting.listed_version)
            .then_some(DeathProof::VmRemoved {
                listed_version: sighting.listed_version,
                absent_version: absence.version,
                absent_reads: absence.reads,
                silent_ms,
            })
    }
}
