//! Table of the other gateways, built from the register in the store and from their datagrams, and
//! the choice of relays between data centres.
//!
//! Within a data centre each gateway sends its state to all others. Between data centres only one
//! gateway of each, the first reachable one by name, exchanges states with its counterparts, so
//! that the traffic between data centres does not grow with the square of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Incarnation, Offset, ProcessId, ProcessName, SortedMap, Timestamp};
use compact_str::CompactString;
use wire::{Echo, GatewayRecord, GatewayState};

/// Time without a state after which a gateway is unreachable: several rounds of datagrams.
const SILENT_AFTER: Duration = Duration::from_millis(1_000);
/// Time without a state after which the next gateway becomes the relay of the data centre: a few
/// rounds.
const RELAY_SILENT_AFTER: Duration = Duration::from_millis(600);
/// Time without a state and without a renewed register entry after which a gateway is dropped. It
/// is longer than the time after which a gateway that can't renew its entry stops admitting
/// requests.
const EXPIRE_AFTER: Duration = Duration::from_secs(30);
/// Number of gateways that read the store for the others. The second one covers for a first one
/// that stalls.
const MAX_READERS: usize = 2;
/// Age of its last store read after which a gateway no longer counts as a reader.
const READER_STALE_AFTER: Duration = Duration::from_millis(1_500);

/// State of another gateway.
#[derive(Clone, Debug)]
pub struct GatewayPeer {
    /// Address that receives its datagrams.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Newest known incarnation.
    pub incarnation: Incarnation,
    /// When the last state of its newest incarnation was received, directly or through a relay.
    pub last_state_at: Option<Timestamp>,
    /// It reported that it accepts no new work.
    pub draining: bool,
    /// Version of its configuration in force.
    pub config: Offset,
    /// Upper bound on the time of its last read from the store.
    pub store_read_at: Option<Timestamp>,
    /// Upper bound on the time at which it read the list of targets.
    pub targets_read_at: Option<Timestamp>,
    /// Lower bound on that time, from a datagram of its own that answers one of this process.
    pub targets_known_at: Option<Timestamp>,
    /// Digest of its list of targets.
    pub targets_digest: u32,
    /// Sender clock in its newest state.
    state_sent_micros: u64,
    /// Sender clock in the newest datagram received from it directly.
    datagram_sent_micros: u64,
    /// When its register entry last changed or its last state was received.
    last_activity_at: Timestamp,
}

/// Gateways by name, without this one.
#[derive(Clone, Debug)]
pub struct GatewayTable {
    local: ProcessId,
    data_centre: CompactString,
    peers: SortedMap<ProcessName, GatewayPeer>,
}

impl GatewayTable {
    /// Creates an empty table.
    pub fn new(local: ProcessId, data_centre: &str) -> Self {
        Self { local, data_centre: CompactString::new(data_centre), peers: SortedMap::new() }
    }

    /// Applies an entry of the register.
    pub fn apply_registration(&mut self, record: &GatewayRecord, now: Timestamp) {
        let process = &record.process;
        if process.name == self.local.name {
            return;
        }
        let fresh = GatewayPeer {
            address: record.address,
            data_centre: record.data_centre.clone(),
            incarnation: process.incarnation,
            last_state_at: None,
            draining: false,
            config: Offset::default(),
            store_read_at: None,
            targets_read_at: None,
            targets_known_at: None,
            targets_digest: 0,
            state_sent_micros: 0,
            datagram_sent_micros: 0,
            last_activity_at: now,
        };
        match self.peers.get_mut(&process.name) {
            Some(peer) if peer.incarnation > process.incarnation => {}
            Some(peer) if peer.incarnation == process.incarnation => peer.last_activity_at = now,
            _ => {
                self.peers.insert(process.name.clone(), fresh);
            }
        }
    }

    /// Applies the removal of a register entry, which marks a graceful shutdown.
    pub fn apply_deregistration(&mut self, name: &str, now: Timestamp) {
        let name = ProcessName::new(name);
        if self.peers.get(&name).is_some_and(|peer| !is_reachable(peer, now)) {
            self.peers.remove(&name);
        }
    }

    /// Applies the state of a gateway, received directly or through a relay.
    ///
    /// # Errors
    ///
    /// The state is not newer than the last one applied, or it belongs to an older incarnation.
    pub fn apply_state(&mut self, state: &GatewayState, now: Timestamp) -> Result<(), StaleState> {
        let from = &state.from;
        if from.name == self.local.name {
            return Err(StaleState);
        }
        let known = self.peers.get(&from.name);
        if known.is_some_and(|p| {
            (from.incarnation, state.sent_micros) <= (p.incarnation, p.state_sent_micros)
        }) {
            return Err(StaleState);
        }
        let same_process = known.filter(|peer| peer.incarnation == from.incarnation);
        let datagram_sent_micros = same_process.map_or(0, |peer| peer.datagram_sent_micros);
        let targets_known_at = same_process.and_then(|peer| peer.targets_known_at);
        let at_age = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));
        let peer = GatewayPeer {
            address: state.address,
            data_centre: state.data_centre.clone(),
            incarnation: from.incarnation,
            last_state_at: Some(now),
            draining: state.draining,
            config: state.config,
            store_read_at: state.store_read_age_ms.map(at_age),
            targets_read_at: state.targets_read_age_ms.map(at_age),
            targets_known_at,
            targets_digest: state.targets_digest,
            state_sent_micros: state.sent_micros,
            datagram_sent_micros,
            last_activity_at: now,
        };
        self.peers.insert(from.name.clone(), peer);
        Ok(())
    }

    /// Applies the timestamps of a datagram received directly from a gateway.
    ///
    /// Returns when this process sent the datagram that the sender had last received, so that ages
    /// reported by the sender can be counted from that time. Returns `None` if it had received
    /// none.
    pub fn apply_echo(&mut self, from: &ProcessId, echo: Echo) -> Option<Timestamp> {
        let peer = self.peers.get_mut(&from.name)?;
        if peer.incarnation != from.incarnation {
            return None;
        }
        peer.datagram_sent_micros = peer.datagram_sent_micros.max(echo.sent_micros);
        let answers_own_run =
            echo.heard_micros > 0 && echo.heard_incarnation == self.local.incarnation.0;
        answers_own_run.then(|| Timestamp::from_micros(echo.heard_micros))
    }

    /// Records that a gateway read the list of targets `age` before it sent a datagram that answers one
    /// which this process sent at `echoed_at`.
    pub fn record_targets_read(&mut self, name: &ProcessName, age: Duration, echoed_at: Timestamp) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.targets_known_at = peer.targets_known_at.max(Some(echoed_at - age));
        }
    }

    /// Returns the time of the newest read of the list of targets by a gateway whose list has this digest.
    /// The gateway may have read it later.
    pub fn targets_known_at(&self, digest: u32) -> Option<Timestamp> {
        let peers = self.peers.values().filter(|peer| peer.targets_digest == digest);
        peers.filter_map(|peer| peer.targets_known_at).max()
    }

    /// Returns the timestamps for a datagram to a gateway.
    pub fn echo_for(&self, name: &ProcessName, now: Timestamp) -> Echo {
        let peer = self.peers.get(name);
        Echo {
            sent_micros: now.micros,
            heard_micros: peer.map_or(0, |peer| peer.datagram_sent_micros),
            heard_incarnation: peer.map_or(0, |peer| peer.incarnation.0),
        }
    }

    /// Drops gateways that shut down or are silent for too long; returns their names.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ProcessName> {
        let gone: Vec<ProcessName> = self
            .peers
            .iter()
            .filter(|(_, peer)| {
                let ended = peer.draining && !is_reachable(peer, now);
                ended || now.since(peer.last_activity_at) >= EXPIRE_AFTER
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.peers.remove(name);
        }
        gone
    }

    /// Returns the number of known and of reachable gateways, without this one.
    pub fn counts(&self, now: Timestamp) -> (usize, usize) {
        (self.peers.len(), self.peers.values().filter(|peer| is_reachable(peer, now)).count())
    }

    /// Whether a gateway is reachable.
    pub fn is_reachable(&self, name: &ProcessName, now: Timestamp) -> bool {
        self.peers.get(name).is_some_and(|peer| is_reachable(peer, now))
    }

    /// Iterates over the gateways by name.
    pub fn peers(&self) -> impl Iterator<Item = (&ProcessName, &GatewayPeer)> {
        self.peers.iter()
    }

    /// Whether this gateway is the first by name of the reachable ones that accept work.
    pub fn is_first(&self, now: Timestamp) -> bool {
        !self.peers.iter().any(|(name, peer)| {
            *name < self.local.name && is_reachable(peer, now) && !peer.draining
        })
    }

    /// Whether this gateway is the relay of its data centre.
    pub fn is_relay(&self, now: Timestamp) -> bool {
        !self.peers.iter().any(|(name, peer)| {
            *name < self.local.name && peer.data_centre == self.data_centre && can_relay(peer, now)
        })
    }

    /// Whether a gateway is in the same data centre as this one.
    pub fn is_same_data_centre(&self, peer: &GatewayPeer) -> bool {
        peer.data_centre == self.data_centre
    }

    /// Returns the relays of the other data centres. If no gateway of a data centre is reachable,
    /// all its known gateways are returned.
    pub fn remote_relays(&self, now: Timestamp) -> Vec<(ProcessName, SocketAddr)> {
        let mut relays: SortedMap<&CompactString, (&ProcessName, &GatewayPeer)> = SortedMap::new();
        let mut silent: Vec<(&ProcessName, &GatewayPeer)> = Vec::new();
        for (name, peer) in self.peers.iter().filter(|(_, peer)| !self.is_same_data_centre(peer)) {
            if !can_relay(peer, now) {
                silent.push((name, peer));
            } else if !relays.contains_key(&peer.data_centre) {
                relays.insert(&peer.data_centre, (name, peer));
            }
        }
        silent.retain(|(_, peer)| !relays.contains_key(&peer.data_centre));
        relays
            .values()
            .copied()
            .chain(silent)
            .map(|(name, peer)| (name.clone(), peer.address))
            .collect()
    }

    /// Whether a data centre has a reachable gateway, this one included.
    pub fn has_gateway(&self, data_centre: &str, now: Timestamp) -> bool {
        self.data_centre == data_centre
            || self
                .peers
                .values()
                .any(|peer| peer.data_centre == data_centre && can_relay(peer, now))
    }

    /// Whether this gateway is one of those that read the configuration from the store for the
    /// others.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        let reads = |peer: &GatewayPeer| {
            peer.store_read_at.is_some_and(|at| now.since(at) < READER_STALE_AFTER)
        };
        self.before(now).filter(|peer| reads(peer)).count() < MAX_READERS
    }

    /// Number of gateways before this one by name that can act as relays.
    pub fn rank(&self, now: Timestamp) -> usize {
        self.before(now).count()
    }

    fn before(&self, now: Timestamp) -> impl Iterator<Item = &GatewayPeer> {
        let before = self.peers.iter().filter(|(name, _)| **name < self.local.name);
        before.map(|(_, peer)| peer).filter(move |peer| can_relay(peer, now))
    }

    /// Returns the digest of targets of the gateway that read the list last, and the time of that
    /// read.
    pub fn freshest_targets(&self, now: Timestamp) -> Option<(u32, Timestamp)> {
        self.peers
            .values()
            .filter(|peer| is_reachable(peer, now))
            .filter_map(|peer| Some((peer.targets_digest, peer.targets_read_at?)))
            .max_by_key(|(_, at)| *at)
    }

    /// Number of reachable gateways, including this one with `config`, whose configuration is older
    /// than the newest known one.
    pub fn count_behind(&self, config: Offset, now: Timestamp) -> usize {
        let reachable =
            || self.peers.values().filter(|peer| is_reachable(peer, now)).map(|p| p.config);
        let newest = reachable().max().unwrap_or(config).max(config);
        reachable().chain(std::iter::once(config)).filter(|known| *known < newest).count()
    }

    /// Returns the newest version of the configuration that a reachable gateway has.
    pub fn newest_config(&self, now: Timestamp) -> Offset {
        let reachable = self.peers.values().filter(|peer| is_reachable(peer, now));
        reachable.map(|peer| peer.config).max().unwrap_or_default()
    }

    /// Returns the gateways with a newer configuration than `config`, those in the same data centre
    /// first. The flag tells whether the gateway is in the same data centre.
    pub fn peers_with_newer_config(
        &self,
        config: Offset,
        now: Timestamp,
    ) -> Vec<(SocketAddr, bool)> {
        let mut newer: Vec<(bool, SocketAddr)> = self
            .peers
            .values()
            .filter(|peer| peer.config > config && is_reachable(peer, now))
            .map(|peer| (!self.is_same_data_centre(peer), peer.address))
            .collect();
        newer.sort_unstable();
        newer.into_iter().map(|(is_remote, address)| (address, !is_remote)).collect()
    }
}

fn is_reachable(peer: &GatewayPeer, now: Timestamp) -> bool {
    peer.last_state_at.is_some_and(|at| now.since(at) < SILENT_AFTER)
}

/// Whether a gateway was seen recently enough to act as a relay.
fn can_relay(peer: &GatewayPeer, now: Timestamp) -> bool {
    !peer.draining && peer.last_state_at.is_some_and(|at| now.since(at) < RELAY_SILENT_AFTER)
}

/// The state is not newer than the one known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StaleState;
