//! Agents that remember streams, and their order for each stream.

use std::net::IpAddr;

use base::{Incarnation, rendezvous_score};
use compact_str::{CompactString, ToCompactString};

/// A run of the agent on a machine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Keeper {
    /// Address of the machine.
    pub ip: IpAddr,
    /// Run of its agent, which begins without knowledge; none if no state of the agent was received.
    pub incarnation: Option<Incarnation>,
}

/// Agents that can be keepers of streams.
#[derive(Clone, Debug, Default)]
pub struct KeeperSet {
    /// Sorted, with the addresses as text.
    members: Vec<(Keeper, CompactString)>,
    /// Number of changes.
    version: u64,
}

impl KeeperSet {
    /// Creates a set of these members, sorted by machine.
    pub fn new(keepers: Vec<Keeper>) -> Self {
        let mut set = Self::default();
        set.update(keepers);
        set
    }

    /// Replaces the members by these, sorted by machine.
    pub fn update(&mut self, keepers: Vec<Keeper>) {
        if keepers.iter().eq(self.members.iter().map(|(keeper, _)| keeper)) {
            return;
        }
        self.members =
            keepers.into_iter().map(|keeper| (keeper, keeper.ip.to_compact_string())).collect();
        self.version += 1;
    }

    /// Returns a number that increases with each change.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of members.
    pub const fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there is no member.
    pub const fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the keepers of an attempt's stream, the first ones first, in an order that depends on the
    /// attempt and the machines alone. The agent on the machine `except` is passed over.
    pub fn keepers_of(&self, attempt: u64, except: Option<IpAddr>, most: usize) -> Vec<Keeper> {
        let key = attempt.to_le_bytes();
        let mut ranked: Vec<(u64, Keeper)> = Vec::with_capacity(most + 1);
        for (keeper, name) in self.members.iter().filter(|(member, _)| Some(member.ip) != except) {
            let entry = (rendezvous_score(&key, name), *keeper);
            let at = ranked.partition_point(|known| *known > entry);
            if at < most {
                ranked.insert(at, entry);
                ranked.truncate(most);
            }
        }
        ranked.into_iter().map(|(_, keeper)| keeper).collect()
    }
}
