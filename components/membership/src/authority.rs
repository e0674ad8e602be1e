//! Authority of this process to serve requests that carry an API key.
//!
//! A key may have been withdrawn on the log without this process having read the record. The
//! process may therefore serve such requests only while its configuration is known to have been
//! current within the limit. An "unavailable" response from the log is no evidence, because a
//! withdrawal may have been stored since the last read.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Offset, SortedMap, Timestamp};
use wire::LogView;

/// Evidence on which an authority grant is based.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AuthorityBasis {
    /// This process read the log to its end.
    OwnRead,
    /// A peer read the log to its end, and the configuration of this process is not older than the
    /// peer's.
    PeerRead,
}

/// Authority with its expiry time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AuthorityGrant {
    /// Evidence on which it is based.
    pub basis: AuthorityBasis,
    /// Time at which it expires.
    pub until: Timestamp,
}

/// Last log read of a peer, in the time of this process; never later than the actual read.
#[derive(Clone, Copy, Debug)]
struct PeerLog {
    requested_at: Timestamp,
    end_read_at: Option<Timestamp>,
    config_offset: Offset,
}

/// Tracks when this process and its peers last read the log to its end.
#[derive(Clone, Debug)]
pub struct Authority {
    limit: Duration,
    end_read_at: Option<Timestamp>,
    peers: SortedMap<SocketAddr, PeerLog>,
}

impl Authority {
    /// Creates an instance without evidence. `limit` is the setting `authority_ms`.
    pub const fn new(limit: Duration) -> Self {
        Self { limit, end_read_at: None, peers: SortedMap::new() }
    }

    /// Changes the time for which evidence is valid.
    pub const fn set_limit(&mut self, limit: Duration) {
        self.limit = limit;
    }

    /// Records that a call made at `requested_at` read the log to its end and that all its records
    /// were applied.
    pub fn note_end_read(&mut self, requested_at: Timestamp) {
        self.end_read_at = self.end_read_at.max(Some(requested_at));
    }

    /// Records the log view in a peer's reply to a call that this process made at `requested_at`.
    ///
    /// Do not pass a view that was received in any other way: it may have been delayed for long.
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
        let read_time = |age_ms: u32| {
            let age_micros = u64::from(age_ms) * 1_000;
            // A read from before the start of this process is not usable.
            requested_at.micros.checked_sub(age_micros).map(Timestamp::from_micros)
        };
        let log = PeerLog {
            requested_at,
            end_read_at: view.end_read_age_ms.and_then(read_time),
            config_offset,
        };
        self.peers.insert(address, log);
        let limit = self.limit;
        self.peers.retain(|_, peer| requested_at.since(peer.requested_at) <= 2 * limit);
    }

    /// Returns the log view of this process for its peers.
    pub fn view(&self, now: Timestamp) -> LogView {
        let age = |at: Option<Timestamp>| {
            // Rounded up, so that no peer assumes a more recent read than there was.
            at.map(|at| now.since(at).as_micros().div_ceil(1_000))
                .and_then(|ms| u32::try_from(ms).ok())
        };
        LogView { end_read_age_ms: age(self.end_read_at) }
    }

    /// Returns the authority that expires last, if any. `config_offset` is the version in force in
    /// this process.
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

    /// Whether a peer has a newer configuration. Its log reads count for this process only after
    /// that configuration was fetched.
    pub fn is_behind_peer(&self, config_offset: Offset) -> bool {
        self.peers.values().any(|peer| peer.config_offset > config_offset)
    }
}
