//! Schedule of heartbeats.

use std::net::SocketAddr;
use std::time::Duration;

use base::Timestamp;
use config::MembershipSettings;

/// Maximum number of peers with which each round covers all of them; larger fleets are covered in
/// turns.
pub const MAX_FULL_ROUND_PEERS: usize = 16;
/// Number of peers in each round of a larger fleet.
///
/// It bounds the cost of heartbeats regardless of the size of the fleet.
pub const PARTIAL_ROUND_PEERS: usize = 8;
/// Maximum time for which an urgent peer gets a heartbeat at each interval while it does not
/// answer.
const URGENT_DURATION: Duration = Duration::from_secs(10);
/// Time between rounds of a larger fleet.
const PARTIAL_ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Size and interval of heartbeat rounds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Round {
    /// Number of peers in one round.
    pub peers: usize,
    /// Time between rounds.
    pub interval: Duration,
}

impl Round {
    /// Returns the rounds of a process with `peers` peers.
    pub fn new(peers: usize, settings: &MembershipSettings) -> Self {
        if peers <= MAX_FULL_ROUND_PEERS {
            let interval = Duration::from_millis(settings.heartbeat_ms);
            return Self { peers, interval };
        }
        Self { peers: PARTIAL_ROUND_PEERS, interval: PARTIAL_ROUND_INTERVAL }
    }
}

/// Returns the time between two heartbeats to the same one of `peers` peers.
pub fn contact_interval(peers: usize, settings: &MembershipSettings) -> Duration {
    let round = Round::new(peers, settings);
    let rounds = peers.div_ceil(round.peers.max(1)).max(1);
    round.interval * u32::try_from(rounds).unwrap_or(u32::MAX)
}

/// Heartbeat rounds and urgent heartbeats.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    next_round: Timestamp,
    cursor: usize,
    /// Peers that get a heartbeat at each interval until they answer.
    urgent: Vec<Urgent>,
    /// Time of the next heartbeats to urgent peers.
    next_urgent: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Urgent {
    address: SocketAddr,
    until: Timestamp,
}

impl Schedule {
    /// Returns the addresses, out of `peers` (sorted), to which a heartbeat must be sent now.
    pub(crate) fn due(
        &mut self,
        peers: &[SocketAddr],
        settings: &MembershipSettings,
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        let interval = Duration::from_millis(settings.heartbeat_ms);
        self.urgent.retain(|u| now < u.until && peers.binary_search(&u.address).is_ok());
        if !self.urgent.is_empty() && now >= self.next_urgent {
            due.extend(self.urgent.iter().map(|u| u.address));
            self.next_urgent = now + interval;
        }
        if now >= self.next_round {
            let is_full = peers.len() <= MAX_FULL_ROUND_PEERS;
            let count = if is_full { peers.len() } else { PARTIAL_ROUND_PEERS };
            self.next_round = now + if is_full { interval } else { PARTIAL_ROUND_INTERVAL };
            let turn = peers.iter().cycle().skip(self.cursor % peers.len().max(1)).take(count);
            due.extend(turn.copied());
            self.cursor = (self.cursor + count) % peers.len().max(1);
        }
        due.sort_unstable();
        due.dedup();
        due
    }

    /// Sends a heartbeat to the peers at once, and again at each interval until they answer.
    pub(crate) fn mark_urgent(&mut self, peers: &[SocketAddr], now: Timestamp) {
        let before = self.urgent.len();
        for address in peers {
            if !self.urgent.iter().any(|u| u.address == *address) {
                self.urgent.push(Urgent { address: *address, until: now + URGENT_DURATION });
            }
        }
        if before == 0 {
            self.next_urgent = now;
        }
    }

    /// Announces a change to all peers at once, including those that are already urgent for another
    /// reason.
    pub(crate) fn announce(&mut self, peers: &[SocketAddr], now: Timestamp) {
        self.urgent.clear();
        self.mark_urgent(peers, now);
    }

    /// Records that a peer answered.
    pub(crate) fn answered(&mut self, address: SocketAddr) {
        self.urgent.retain(|u| u.address != address);
    }

    /// Time at which [`Schedule::due`] has the next peers.
    pub(crate) fn next_at(&self) -> Timestamp {
        if self.urgent.is_empty() { self.next_round } else { self.next_round.min(self.next_urgent) }
    }
}
