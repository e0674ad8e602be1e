//! When heartbeats go to whom.

use std::net::SocketAddr;
use std::time::Duration;

use base::Timestamp;
use config::MembershipSettings;

/// Most peers to which every heartbeat goes; larger fleets take turns.
pub const MAX_FULL_ROUND_PEERS: usize = 16;
/// Peers in each round of a larger fleet.
///
/// Bounds the cost of heartbeats, whatever the size of the fleet.
pub const PARTIAL_ROUND_PEERS: usize = 8;
/// How long a peer is told or asked at each heartbeat until it answers.
const URGENT_DURATION: Duration = Duration::from_secs(10);
/// Time between rounds of a larger fleet.
const PARTIAL_ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// How many of a number of peers get a heartbeat in one round, and how often rounds come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Round {
    /// Peers in one round.
    pub peers: usize,
    /// Time between rounds.
    pub interval: Duration,
}

impl Round {
    /// The rounds of a process that has `peers` to tell.
    pub fn new(peers: usize, settings: &MembershipSettings) -> Self {
        if peers <= MAX_FULL_ROUND_PEERS {
            let interval = Duration::from_millis(settings.heartbeat_ms);
            return Self { peers, interval };
        }
        Self { peers: PARTIAL_ROUND_PEERS, interval: PARTIAL_ROUND_INTERVAL }
    }
}

/// Time between two heartbeats to the same one of `peers` peers.
pub fn contact_interval(peers: usize, settings: &MembershipSettings) -> Duration {
    let round = Round::new(peers, settings);
    let rounds = peers.div_ceil(round.peers.max(1)).max(1);
    round.interval * u32::try_from(rounds).unwrap_or(u32::MAX)
}

/// Rounds of heartbeats.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    next_round: Timestamp,
    cursor: usize,
    /// Peers that must be told of a change, or asked whether they are alive, at each heartbeat.
    urgent: Vec<Urgent>,
    /// When the urgent ones are told again, unless they answer.
    next_urgent: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Urgent {
    address: SocketAddr,
    until: Timestamp,
}

impl Schedule {
    /// Addresses to send a heartbeat to now, out of `peers` (sorted).
    pub(crate) fn due(
        &mut self,
        peers: &[SocketAddr],
        settings: &MembershipSettings,
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        let beat = Duration::from_millis(settings.heartbeat_ms);
        self.urgent.retain(|u| now < u.until && peers.binary_search(&u.address).is_ok());
        if !self.urgent.is_empty() && now >= self.next_urgent {
            due.extend(self.urgent.iter().map(|u| u.address));
            self.next_urgent = now + beat;
        }
        if now >= self.next_round {
            let small = peers.len() <= MAX_FULL_ROUND_PEERS;
            let count = if small { peers.len() } else { PARTIAL_ROUND_PEERS };
            self.next_round = now + if small { beat } else { PARTIAL_ROUND_INTERVAL };
            let turn = peers.iter().cycle().skip(self.cursor % peers.len().max(1)).take(count);
            due.extend(turn.copied());
            self.cursor = (self.cursor + count) % peers.len().max(1);
        }
        due.sort_unstable();
        due.dedup();
        due
    }

    /// Adds peers to be told or asked at once, and again at each heartbeat until they answer.
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

    /// Tells every peer at once of a change, also those that were just asked something else.
    pub(crate) fn announce(&mut self, peers: &[SocketAddr], now: Timestamp) {
        self.urgent.clear();
        self.mark_urgent(peers, now);
    }

    /// A peer answered.
    pub(crate) fn answered(&mut self, address: SocketAddr) {
        self.urgent.retain(|u| u.address != address);
    }

    /// When [`Schedule::due`] has something next.
    pub(crate) fn next_at(&self) -> Timestamp {
        if self.urgent.is_empty() { self.next_round } else { self.next_round.min(self.next_urgent) }
    }
}
