//! Other processes of the fleet, as far as this one needs them.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ProcessId, ProcessName, Role, SortedMap, Timestamp};
use store::VmSnapshot;
use wire::Heartbeat;

/// Silence after which a process that is not on the list is forgotten; entries and sides that still
/// run are heard from many times in it.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Lists after which an absent VM counts as gone.
const ABSENT_LISTS_FOR_REMOVAL: u32 = 2;

#[derive(Clone, Debug)]
struct Peer {
    process: ProcessId,
    role: Role,
    address: SocketAddr,
    heard: Timestamp,
    /// Successive lists that lack its VM, after one that had it.
    absent_lists: Option<u32>,
}

/// What happened to a peer that may have asked for pins.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum PeerChange {
    /// Its VM is gone.
    Removed(ProcessName),
    /// A newer incarnation finished its quarantine, or the same one still runs.
    NotQuarantined(ProcessId),
}

/// Peers heard from, and the newest VM list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    peers: SortedMap<ProcessName, Peer>,
    listed: Vec<(SocketAddr, Role)>,
    list_version: u64,
}

impl Peers {
    /// Takes a heartbeat; one of an older incarnation is refused with none.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: Timestamp) -> Option<PeerChange> {
        let known = self.peers.get(&heartbeat.from.name);
        if known.is_some_and(|peer| peer.process.incarnation > heartbeat.from.incarnation) {
            return None;
        }
        let absent_lists = known.and_then(|peer| peer.absent_lists);
        let quarantined = heartbeat.target.as_ref().is_some_and(|target| target.quarantined);
        self.peers.insert(
            heartbeat.from.name.clone(),
            Peer {
                process: heartbeat.from.clone(),
                role: heartbeat.role,
                address: heartbeat.address,
                heard: now,
                absent_lists,
            },
        );
        (!quarantined).then(|| PeerChange::NotQuarantined(heartbeat.from.clone()))
    }

    /// Takes a VM list and returns the peers that are gone by it.
    ///
    /// The list lags, so only a VM that was on it, is absent from two later lists, and whose process
    /// has been silent for `silent_after` is gone.
    pub fn apply_vm_list(
        &mut self,
        list: &VmSnapshot,
        silent_after: Duration,
        now: Timestamp,
    ) -> Vec<PeerChange> {
        if list.version < self.list_version {
            return Vec::new();
        }
        let newer = list.version > self.list_version;
        self.list_version = list.version;
        self.listed = list.vms.iter().map(|vm| (vm.address, vm.role)).collect();
        let mut removed = Vec::new();
        for peer in self.peers.values_mut() {
            let present = list.vms.iter().any(|vm| vm.address == peer.address);
            if present {
                peer.absent_lists = Some(0);
            } else if newer && let Some(lists) = &mut peer.absent_lists {
                *lists += 1;
            }
            let absent = peer.absent_lists.is_some_and(|lists| lists >= ABSENT_LISTS_FOR_REMOVAL);
            if absent && now.since(peer.heard) >= silent_after {
                removed.push(PeerChange::Removed(peer.process.name.clone()));
            }
        }
        let listed = &self.listed;
        self.peers.retain(|_, peer| {
            now.since(peer.heard) < FORGET_AFTER
                || listed.iter().any(|(address, _)| *address == peer.address)
        });
        removed
    }

    /// Addresses of processes with a role, from the list and from heartbeats; sorted.
    pub fn addresses(&self, role: Role) -> Vec<SocketAddr> {
        let heard = self.peers.values().filter(|p| p.role == role).map(|p| p.address);
        let listed = self.listed.iter().filter(|(_, r)| *r == role).map(|(address, _)| *address);
        let mut addresses: Vec<SocketAddr> = heard.chain(listed).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Addresses of processes with a role that were heard from within `silent_after`; those of the list
    /// if there is none.
    pub fn reachable(&self, role: Role, silent_after: Duration, now: Timestamp) -> Vec<SocketAddr> {
        let mut reachable: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|p| p.role == role && now.since(p.heard) < silent_after)
            .map(|p| p.address)
            .collect();
        if reachable.is_empty() {
            return self.addresses(role);
        }
        reachable.sort_unstable();
        reachable
    }

    /// Address of a process that was heard from.
    pub fn address_of(&self, name: &ProcessName) -> Option<SocketAddr> {
        self.peers.get(name).map(|peer| peer.address)
    }

    /// Whether a newer incarnation of this process is known.
    pub fn superseded(&self, process: &ProcessId) -> bool {
        self.peers
            .get(&process.name)
            .is_some_and(|peer| peer.process.incarnation > process.incarnation)
    }

    /// Names of the processes heard from within `silent_after`, sorted.
    pub fn live(&self, silent_after: Duration, now: Timestamp) -> Vec<ProcessName> {
        self.peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard) < silent_after)
            .map(|(name, _)| name.clone())
            .collect()
    }
}
