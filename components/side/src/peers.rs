//! Known processes of the fleet, from heartbeats and the VM list.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ProcessId, ProcessName, Role, SortedMap, Timestamp};
use store::VmSnapshot;
use wire::Heartbeat;

/// Time without a heartbeat after which a process that is not on the VM list is dropped; running
/// entry and side processes send many heartbeats within it.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Number of newer lists without a VM after which it counts as removed.
const ABSENT_LISTS_FOR_REMOVAL: u32 = 2;

#[derive(Clone, Debug)]
struct Peer {
    process: ProcessId,
    role: Role,
    address: SocketAddr,
    heard: Timestamp,
    /// Consecutive lists without its VM, after one that contained it.
    absent_lists: Option<u32>,
}

/// Change of a peer that may have requested pins.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum PeerChange {
    /// Its VM was removed.
    Removed(ProcessName),
    /// This incarnation reports that it is not in quarantine.
    NotQuarantined(ProcessId),
}

/// Peers that sent heartbeats, and the newest VM list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    peers: SortedMap<ProcessName, Peer>,
    listed: Vec<(SocketAddr, Role)>,
    list_version: u64,
}

impl Peers {
    /// Applies a heartbeat; one of an older incarnation is ignored.
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

    /// Applies a VM list and returns the removed peers.
    ///
    /// The list lags, so a VM counts as removed only if it was listed, is absent from two later
    /// lists, and its process has sent no heartbeat for `silent_after`.
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

    /// Sorted addresses of processes with a role, from the list and from heartbeats.
    pub fn addresses(&self, role: Role) -> Vec<SocketAddr> {
        let heard = self.peers.values().filter(|p| p.role == role).map(|p| p.address);
        let listed = self.listed.iter().filter(|(_, r)| *r == role).map(|(address, _)| *address);
        let mut addresses: Vec<SocketAddr> = heard.chain(listed).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Addresses of processes with a role that sent a heartbeat within `silent_after`; if there are
    /// none, all known addresses.
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

    /// Address of a process that sent a heartbeat.
    pub fn address_of(&self, name: &ProcessName) -> Option<SocketAddr> {
        self.peers.get(name).map(|peer| peer.address)
    }

    /// Whether a newer incarnation of this process is known.
    pub fn superseded(&self, process: &ProcessId) -> bool {
        self.peers
            .get(&process.name)
            .is_some_and(|peer| peer.process.incarnation > process.incarnation)
    }

    /// Sorted names of the processes that sent a heartbeat within `silent_after`.
    pub fn live(&self, silent_after: Duration, now: Timestamp) -> Vec<ProcessName> {
        self.peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard) < silent_after)
            .map(|(name, _)| name.clone())
            .collect()
    }
}
