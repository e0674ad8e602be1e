//! Authority to serve requests that carry a customer's key.
//!
//! A key may have been withdrawn on the log without this process knowing. It may serve such
//! requests only while it is sure that its configuration was current within the limit. A log that
//! answers "unavailable" is no evidence: a withdrawal may have been stored since the last read.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Offset, SortedMap, Timestamp};
use wire::LogView;

/// Why there is authority.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AuthorityBasis {
    /// The log was read to its end.
    OwnRead,
    /// A peer read the log to its end, and this process has what the peer has.
    PeerRead,
}

/// Authority with its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AuthorityGrant {
    /// Reason.
    pub basis: AuthorityBasis,
    /// First time at which it no longer holds.
    pub until: Timestamp,
}

/// A peer's contact with the log, in this process's time, never later than it was.
#[derive(Clone, Copy, Debug)]
struct PeerLog {
    requested_at: Timestamp,
    end_read_at: Option<Timestamp>,
    config_offset: Offset,
}

/// Facts on contact with the log.
#[derive(Clone, Debug)]
pub struct Authority {
    limit: Duration,
    end_read_at: Option<Timestamp>,
    peers: SortedMap<SocketAddr, PeerLog>,
}

impl Authority {
    /// No facts. `limit` is the setting `authority_ms`.
    pub const fn new(limit: Duration) -> Self {
        Self { limit, end_read_at: None, peers: SortedMap::new() }
    }

    /// Changes the time for which facts count.
    pub const fn set_limit(&mut self, limit: Duration) {
        self.limit = limit;
    }

    /// The log was read to its end, and all records were applied, by a call made at `requested_at`.
    pub fn note_end_read(&mut self, requested_at: Timestamp) {
        self.end_read_at = self.end_read_at.max(Some(requested_at));
    }

    /// A peer's reply to this process's own call, made at `requested_at`. Never pass a view that
    /// came any other way: it may have been under way for long.
    pub fn note_peer(
        &mut self,
        address: SocketAddr,
        view: LogView,
        config_offset: Offset,
        requested_at: Timestamp,
    ) {
        if self.peers.get(&address).is_some_and(|known| known.requested_at > requested_at) {
            return;
        }
        let before = |age_ms: u32| {
            let age_micros = u64::from(age_ms) * 1_000;
            // An age that reaches back before this process started is of no use.
            requested_at.micros.checked_sub(age_micros).map(Timestamp::from_micros)
        };
        let log = PeerLog {
            requested_at,
            end_read_at: view.end_read_age_ms.and_then(before),
            config_offset,
        };
        self.peers.insert(address, log);
        let limit = self.limit;
        self.peers.retain(|_, peer| requested_at.since(peer.requested_at) <= 2 * limit);
    }

    /// This process's own contact with the log, to tell others.
    pub fn view(&self, now: Timestamp) -> LogView {
        let age = |at: Option<Timestamp>| {
            // Rounded up, so that nobody takes the contact for newer than it is.
            at.map(|at| now.since(at).as_micros().div_ceil(1_000))
                .and_then(|ms| u32::try_from(ms).ok())
        };
        LogView { end_read_age_ms: age(self.end_read_at) }
    }

    /// The authority that lasts longest, or none. `config_offset` is the version in force here.
    pub fn grant(&self, config_offset: Offset, now: Timestamp) -> Option<AuthorityGrant> {
        let peer_read = self
            .peers
            .values()
            .filter(|peer| peer.config_offset <= config_offset)
            .filter_map(|peer| peer.end_read_at)
            .max();
        let grants =
            [(AuthorityBasis::OwnRead, self.end_read_at), (AuthorityBasis::PeerRead, peer_read)];
        grants
            .into_iter()
            .filter_map(|(basis, at)| Some(AuthorityGrant { basis, until: at? + self.limit }))
            .filter(|grant| now < grant.until)
            .max_by_key(|grant| (grant.until, std::cmp::Reverse(grant.basis)))
    }

    /// Whether a peer has a newer configuration that would have to be fetched before its contact
    /// with the log counts here.
    pub fn is_behind_peer(&self, config_offset: Offset) -> bool {
        self.peers.values().any(|peer| peer.config_offset > config_offset)
    }
}
