//! Authority to serve requests that carry a key.
//!
//! An entry that is cut off from the log can't know of a withdrawal. It goes on serving only while
//! it has fresh proof that it knows every withdrawal, or that none can be published.

use std::time::Duration;

use base::{Offset, ProcessName, SortedMap, Timestamp};

/// Contact with the log, on the clock of the process that holds this value.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogContact {
    /// Latest time up to which every record on stream `config` is known to have been read.
    pub end_read_at: Option<Timestamp>,
    /// Latest time at which the log itself answered that it is unavailable.
    pub unavailable_at: Option<Timestamp>,
}

/// What another entry said last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerContact {
    /// When it was heard from. For the answer to a call this is the time of the call, since the
    /// answer may have been on its way for any part of the time since.
    pub heard_at: Timestamp,
    /// Its contact with the log, on the clock of the holder.
    pub contact: LogContact,
    /// Configuration version in force there.
    pub config_offset: Offset,
}

/// Limits of the decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AuthorityLimits {
    /// How long one proof lasts.
    pub authority: Duration,
    /// Oldest VM list that counts as evidence.
    pub list_max_age: Duration,
}

/// Evidence for the authority to serve keyed requests.
#[derive(Clone, Debug)]
pub struct Authority {
    limits: AuthorityLimits,
    own: LogContact,
    peers: SortedMap<ProcessName, PeerContact>,
    listed: Vec<ProcessName>,
    listed_at: Option<Timestamp>,
}

impl Authority {
    /// No evidence yet.
    pub const fn new(limits: AuthorityLimits) -> Self {
        Self {
            limits,
            own: LogContact { end_read_at: None, unavailable_at: None },
            peers: SortedMap::new(),
            listed: Vec::new(),
            listed_at: None,
        }
    }

    /// Own contact with the log.
    pub const fn own(&self) -> &LogContact {
        &self.own
    }

    /// Records a read of the log that was asked for at `asked_at` and reached the end.
    pub fn record_end_read(&mut self, asked_at: Timestamp) {
        self.own.end_read_at = self.own.end_read_at.max(Some(asked_at));
    }

    /// Records that the log itself said at a request made at `asked_at` that it is unavailable.
    pub fn record_unavailable(&mut self, asked_at: Timestamp) {
        self.own.unavailable_at = self.own.unavailable_at.max(Some(asked_at));
    }

    /// Records what another entry said.
    pub fn record_peer(&mut self, name: ProcessName, contact: PeerContact) {
        let known = self.peers.get_or_insert_with(name, || contact);
        if contact.heard_at >= known.heard_at {
            *known = contact;
        }
    }

    /// Records the other entries on the VM list, asked for at `asked_at`; an entry that left the
    /// list counts on only if it is heard from later.
    pub fn record_vm_list(&mut self, mut entries: Vec<ProcessName>, asked_at: Timestamp) {
        entries.sort_unstable();
        self.peers.retain(|name, contact| {
            entries.binary_search(name).is_ok() || contact.heard_at >= asked_at
        });
        self.listed = entries;
        self.listed_at = Some(asked_at);
    }

    /// Whether keyed requests may be served at `now` under configuration version `version`.
    pub fn holds(&self, version: Offset, now: Timestamp) -> bool {
        self.is_fresh(self.own.end_read_at, now)
            || self.is_fresh(self.own.unavailable_at, now)
            || self.peers.values().any(|peer| {
                peer.config_offset <= version && self.is_fresh(peer.contact.end_read_at, now)
            })
            || self.outage_seen_by_all(now)
    }

    fn is_fresh(&self, at: Option<Timestamp>, now: Timestamp) -> bool {
        at.is_some_and(|at| now.since(at) < self.limits.authority)
    }

    fn outage_seen_by_all(&self, now: Timestamp) -> bool {
        let list_counts =
            self.listed_at.is_some_and(|at| now.since(at) <= self.limits.list_max_age);
        list_counts
            && !self.peers.is_empty()
            && self.listed.iter().all(|name| self.peers.contains_key(name))
            && self.peers.values().all(|peer| {
                self.is_fresh(Some(peer.heard_at), now)
                    && !self.is_fresh(peer.contact.end_read_at, now)
            })
    }
}
