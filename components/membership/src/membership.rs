//! Members of the fleet as seen by this process.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Incarnation, ProcessId, ProcessName, Role, SortedMap, Timestamp};
use compact_str::CompactString;
use config::MembershipSettings;
use wire::Heartbeat;

use crate::schedule::{Schedule, contact_interval};
use crate::vm_list_history::VmListHistory;
use crate::{Liveness, Member, TerminationProof, VmList};

/// Silence after which a process is removed from the table.
const EXPIRE_AFTER: Duration = Duration::from_secs(3_600);
/// Maximum number of process names whose newest incarnation is kept.
const MAX_INCARNATIONS: usize = 8_192;
/// Number of missed heartbeat intervals after which a process is suspect.
const SUSPECT_CONTACTS: u32 = 3;
/// Number of missed heartbeat intervals after which a process is silent.
const SILENT_CONTACTS: u32 = 6;

/// This process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocalProcess {
    /// Name and incarnation.
    pub process: ProcessId,
    /// Role.
    pub role: Role,
    /// Region.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Address advertised to other processes.
    pub address: SocketAddr,
}

/// Result of applying a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The process was unknown, or this is a newer incarnation of a known one.
    New {
        /// Incarnation that it replaces.
        former: Option<ProcessId>,
    },
    /// The incarnation was already known; its state was updated.
    Known,
    /// Refused: a newer incarnation is known, or the sender uses the name of this process.
    Refused,
}

/// Members, VM lists and the heartbeat schedule.
#[derive(Clone, Debug)]
pub struct Membership {
    local: LocalProcess,
    settings: MembershipSettings,
    started_at: Timestamp,
    members: SortedMap<ProcessName, Member>,
    /// Newest known incarnation of each process.
    started: SortedMap<ProcessName, Incarnation>,
    vm_lists: VmListHistory,
    schedule: Schedule,
    /// Number of known entries in each region, without this process; cached because every liveness
    /// check of a member needs it.
    entries_by_region: SortedMap<CompactString, usize>,
}

impl Membership {
    /// Creates a membership without members.
    pub fn new(local: LocalProcess, settings: MembershipSettings, now: Timestamp) -> Self {
        Self {
            local,
            settings,
            started_at: now,
            members: SortedMap::new(),
            started: SortedMap::new(),
            vm_lists: VmListHistory::default(),
            schedule: Schedule::default(),
            entries_by_region: SortedMap::new(),
        }
    }

    /// This process.
    pub const fn local(&self) -> &LocalProcess {
        &self.local
    }

    /// Applies a heartbeat received as a call.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: Timestamp) -> HeartbeatOutcome {
        self.apply(heartbeat, now)
    }

    /// Applies a heartbeat received as the reply to a call made at `requested_at`.
    pub fn apply_reply(
        &mut self,
        heartbeat: &Heartbeat,
        requested_at: Timestamp,
    ) -> HeartbeatOutcome {
        self.schedule.answered(heartbeat.address);
        let outcome = self.apply(heartbeat, requested_at);
        if outcome != HeartbeatOutcome::Refused
            && let Some(member) = self.members.get_mut(&heartbeat.from.name)
            && member.contact_failed_at.is_some_and(|failed| failed <= requested_at)
        {
            member.contact_failed_at = None;
        }
        outcome
    }

    fn apply(&mut self, heartbeat: &Heartbeat, last_contact_at: Timestamp) -> HeartbeatOutcome {
        let from = &heartbeat.from;
        if from.name == self.local.process.name || !self.is_current(from) {
            return HeartbeatOutcome::Refused;
        }
        self.note_start(from);
        let vm = self.vm_lists.at_address(heartbeat.address);
        let (vm_name, leaving) = (vm.map(|vm| vm.name.clone()), vm.is_some_and(|vm| vm.leaving));
        let known = self.members.get_mut(&from.name);
        if let Some(member) = known
            && member.process == *from
        {
            member.region.clone_from(&heartbeat.region);
            member.data_centre.clone_from(&heartbeat.data_centre);
            member.config_offset = member.config_offset.max(heartbeat.config_offset);
            member.draining |= heartbeat.draining;
            member.leaving |= leaving;
            if last_contact_at >= member.last_contact_at {
                member.last_contact_at = last_contact_at;
            }
            if member.vm.is_none() {
                member.vm = vm_name;
            }
            return HeartbeatOutcome::Known;
        }
        let member = Member {
            process: from.clone(),
            role: heartbeat.role,
            region: heartbeat.region.clone(),
            data_centre: heartbeat.data_centre.clone(),
            address: heartbeat.address,
            config_offset: heartbeat.config_offset,
            draining: heartbeat.draining,
            leaving,
            last_contact_at,
            contact_failed_at: None,
            vm: vm_name,
            absent_since: None,
        };
        let former = self.members.insert(from.name.clone(), member).map(|m| m.process);
        self.count_entries();
        HeartbeatOutcome::New { former }
    }

    /// Records that an incarnation has started, learned from a start record on the log stream
    /// `fleet` or from any message.
    pub fn note_start(&mut self, process: &ProcessId) {
        if let Some(known) = self.started.get_mut(&process.name) {
            *known = (*known).max(process.incarnation);
            return;
        }
        if self.started.len() >= MAX_INCARNATIONS {
            let oldest = self.started.iter().min_by_key(|(_, i)| **i).map(|(n, _)| n.clone());
            if let Some(name) = oldest {
                self.started.remove(&name);
            }
        }
        self.started.insert(process.name.clone(), process.incarnation);
    }

    /// Whether no newer incarnation of the process is known. Messages of an older one must be
    /// refused.
    pub fn is_current(&self, process: &ProcessId) -> bool {
        self.started.get(&process.name).is_none_or(|newest| *newest <= process.incarnation)
    }

    /// Applies a VM list that was requested at `requested_at`. A list older than the last one is
    /// ignored.
    pub fn apply_vm_list(&mut self, list: &VmList, requested_at: Timestamp, now: Timestamp) {
        if !self.vm_lists.apply(list, requested_at, now) {
            return;
        }
        for member in self.members.values_mut() {
            if let Some(vm) = self.vm_lists.at_address(member.address) {
                member.leaving |= vm.leaving;
                member.vm.get_or_insert_with(|| vm.name.clone());
            }
            member.absent_since =
                member.vm.as_deref().and_then(|vm| self.vm_lists.absent_since(vm));
        }
        self.probe_absent(now);
    }

    /// Sends a heartbeat to entries that left the list at each interval. In the rounds of a large
    /// fleet their turn would come too late for their slots to be taken over soon.
    fn probe_absent(&mut self, now: Timestamp) {
        let absent: Vec<SocketAddr> = self
            .members
            .values()
            .filter(|m| m.role == Role::Entry && m.absent_since.is_some())
            .filter(|m| self.liveness(m, now) != Liveness::Silent)
            .map(|m| m.address)
            .collect();
        if self.local.role == Role::Entry {
            self.schedule.mark_urgent(&absent, now);
        }
    }

    /// Records a failed connection or call to the process. The process is suspect until it answers
    /// a later call, or until the silence limit has passed.
    ///
    /// Its own heartbeats don't clear this, because they only show that the opposite direction
    /// works.
    pub fn note_failure(&mut self, process: &ProcessId, now: Timestamp) {
        if let Some(member) = self.members.get_mut(&process.name)
            && member.process == *process
        {
            member.contact_failed_at = Some(now);
        }
    }

    /// Removes processes that have been silent for more than an hour.
    pub fn expire(&mut self, now: Timestamp) {
        self.members.retain(|_, member| now.since(member.last_contact_at) < EXPIRE_AFTER);
        self.count_entries();
    }

    /// Returns a member by name.
    pub fn member(&self, name: &ProcessName) -> Option<&Member> {
        self.members.get(name)
    }

    /// Iterates over all members by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the liveness of a member.
    pub fn liveness(&self, member: &Member, now: Timestamp) -> Liveness {
        let interval = self.interval_of(member);
        let silence = now.since(member.last_contact_at);
        let after = |setting_ms: u64, contacts: u32| {
            Duration::from_millis(setting_ms).max(interval.saturating_mul(contacts))
        };
        let failure_counts = Duration::from_millis(self.settings.silent_after_ms);
        if silence >= after(self.settings.silent_after_ms, SILENT_CONTACTS) {
            Liveness::Silent
        } else if member.contact_failed_at.is_some_and(|at| now.since(at) < failure_counts)
            || member.absent_since.is_some_and(|absent| member.last_contact_at < absent)
            || silence >= after(self.settings.suspect_after_ms, SUSPECT_CONTACTS)
        {
            Liveness::Suspect
        } else {
            Liveness::Live
        }
    }

    /// Whether this incarnation of a process is known and not silent.
    pub fn is_reachable(&self, process: &ProcessId, now: Timestamp) -> bool {
        self.members
            .get(&process.name)
            .is_some_and(|m| m.process == *process && self.liveness(m, now) != Liveness::Silent)
    }

    /// Iterates by name over the members of a role that accept new work and are not silent.
    pub fn candidates(&self, role: Role, now: Timestamp) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |m| {
            m.role == role && m.accepts_work() && self.liveness(m, now) != Liveness::Silent
        })
    }

    /// Whether this process is the first live entry by name, which is the one that plans and writes
    /// snapshots.
    pub fn is_first_entry(&self, now: Timestamp) -> bool {
        self.local.role == Role::Entry
            && self.candidates(Role::Entry, now).all(|m| m.process.name > self.local.process.name)
    }

    /// Whether a heartbeat was received from every process on a VM of the list that is not leaving;
    /// false before the first list.
    pub fn has_contacted_all_listed(&self) -> bool {
        let mut known: Vec<SocketAddr> = self.members.values().map(|m| m.address).collect();
        known.sort_unstable();
        self.vm_lists.requested_at().is_some()
            && self.vm_lists.live_addresses().all(|address| {
                address == self.local.address || known.binary_search(&address).is_ok()
            })
    }

    /// Whether the process at an address is the first live entry by name.
    pub fn is_first_entry_at(&self, address: SocketAddr, now: Timestamp) -> bool {
        let first = self.candidates(Role::Entry, now).min_by_key(|member| &member.process.name);
        first.is_some_and(|member| member.address == address)
    }

    /// Returns the proof that an incarnation of a process has terminated, if there is one.
    pub fn termination_proof(
        &self,
        process: &ProcessId,
        now: Timestamp,
    ) -> Option<TerminationProof> {
        if *process == self.local.process {
            return None;
        }
        if process.name == self.local.process.name {
            let newer = self.local.process.incarnation;
            return (newer > process.incarnation)
                .then_some(TerminationProof::NewerIncarnation(newer));
        }
        if let Some(newest) = self.started.get(&process.name)
            && *newest > process.incarnation
        {
            return Some(TerminationProof::NewerIncarnation(*newest));
        }
        let member = self.members.get(&process.name).filter(|m| m.process == *process)?;
        // An entry sends heartbeats at each interval to another that left the list, in a large
        // fleet too.
        let is_probed = self.local.role == Role::Entry && member.role == Role::Entry;
        let silent_after = Duration::from_millis(self.settings.silent_after_ms);
        let no_answer = is_probed
            && member.absent_since.is_some_and(|absent| {
                now.since(member.last_contact_at.max(absent)) >= silent_after
            });
        if !no_answer && self.liveness(member, now) != Liveness::Silent {
            return None;
        }
        // The peer address is bound exclusively: a later heartbeat of another process from this
        // address means that this process no longer holds it, although the address is on the list
        // again.
        let address_taken = self.members.values().any(|other| {
            other.address == member.address
                && other.process.name != process.name
                && other.last_contact_at > member.last_contact_at
        });
        let silence = now.since(member.last_contact_at.max(self.started_at));
        let silent_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
        self.vm_lists.removal_proof(member.vm.as_deref()?, address_taken, silent_ms)
    }

    /// Returns the addresses to which a heartbeat must be sent now.
    pub fn due(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let peers = self.heartbeat_peers();
        self.schedule.due(&peers, &self.settings, now)
    }

    /// Time of the next call of [`Membership::due`].
    pub fn next_due(&self) -> Timestamp {
        self.schedule.next_at()
    }

    /// Sends a heartbeat that announces a change, such as draining, to every peer at once, and
    /// repeats it until each has answered.
    pub fn announce(&mut self, now: Timestamp) {
        let peers = self.heartbeat_peers();
        self.schedule.announce(&peers, now);
    }

    /// Returns the heartbeat peers of this process, sorted. For an entry these are all other
    /// entries; for a side, the entries of its region, or all entries if none is known there.
    fn heartbeat_peers(&self) -> Vec<SocketAddr> {
        let peers_in = |region: Option<&str>| {
            let fits = |r: &str| region.is_none_or(|wanted| wanted == r);
            let listed = self
                .vm_lists
                .listed()
                .filter(|vm| vm.role == Role::Entry && fits(&vm.region))
                .map(|vm| vm.address);
            let known = self
                .members
                .values()
                .filter(|m| m.role == Role::Entry && fits(&m.region))
                .map(|m| m.address);
            let mut peers: Vec<SocketAddr> =
                listed.chain(known).filter(|a| *a != self.local.address).collect();
            peers.sort_unstable();
            peers.dedup();
            peers
        };
        match self.local.role {
            Role::Entry => peers_in(None),
            Role::Side => {
                let near = peers_in(Some(&self.local.region));
                if near.is_empty() { peers_in(None) } else { near }
            }
        }
    }

    /// Time between heartbeats from a member, computed from the number of peers that it or this
    /// process has.
    fn interval_of(&self, member: &Member) -> Duration {
        let in_region = |region: &str| self.entries_by_region.get(region).copied().unwrap_or(0);
        let peers = match (self.local.role, member.role) {
            (Role::Entry, Role::Entry) => self.entries_by_region.values().sum(),
            (Role::Entry, Role::Side) => match in_region(&member.region) {
                // The side has no entry in its region, or only this one.
                0 => self.entries_by_region.values().sum::<usize>() + 1,
                entries => entries + 1,
            },
            (Role::Side, _) => in_region(&self.local.region),
        };
        contact_interval(peers, &self.settings)
    }

    fn count_entries(&mut self) {
        let mut counts: SortedMap<CompactString, usize> = SortedMap::new();
        for member in self.members.values().filter(|m| m.role == Role::Entry) {
            *counts.get_or_insert_with(member.region.clone(), || 0) += 1;
        }
        self.entries_by_region = counts;
    }
}
