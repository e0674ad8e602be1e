//! The other gateways, by the register on the store and by their datagrams; who speaks for whom.
//!
//! Within a data centre each gateway tells all others. Between data centres only one gateway of
//! each, the first by name that is heard, exchanges states with those of the others, so that the
//! bytes between data centres don't grow with the square of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Incarnation, Offset, ProcessId, ProcessName, SortedMap, Timestamp};
use compact_str::CompactString;
use wire::{Echo, GatewayRecord, GatewayState};

/// Silence after which a gateway is not heard any more: several rounds of datagrams.
const SILENT_AFTER: Duration = Duration::from_millis(1_000);
/// Silence after which another gateway speaks for the data centre: a few rounds.
const RELAY_SILENT_AFTER: Duration = Duration::from_millis(600);
/// Time without a word and without a new entry in the register after which a gateway is gone.
/// Longer than the time after which a gateway that can't renew its entry stops admitting.
const EXPIRE_AFTER: Duration = Duration::from_secs(30);
/// Gateways that read the store for the others; the second one makes up for a first one that
/// stalls.
const MAX_READERS: usize = 2;
/// Age of a read after which its gateway no longer counts as a reader.
const READER_STALE_AFTER: Duration = Duration::from_millis(1_500);

/// What is known of another gateway.
#[derive(Clone, Debug)]
pub struct GatewayPeer {
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Newest run that is known.
    pub incarnation: Incarnation,
    /// When its newest run was last heard, by itself or through others.
    pub last_state_at: Option<Timestamp>,
    /// It said that it takes no new work.
    pub draining: bool,
    /// Version of the configuration in force there.
    pub config: Offset,
    /// When it last read anything on the store, at the latest.
    pub store_read_at: Option<Timestamp>,
    /// When it read the list of targets, at the latest.
    pub targets_read_at: Option<Timestamp>,
    /// Digest of the targets that it knows.
    pub targets_digest: u32,
    /// Its clock in its newest state.
    state_sent_micros: u64,
    /// Its clock in its newest own datagram.
    datagram_sent_micros: u64,
    /// When its register entry was last seen to change, or it was heard.
    last_activity_at: Timestamp,
}

/// Gateways by name, this one excluded.
#[derive(Clone, Debug)]
pub struct GatewayTable {
    local: ProcessId,
    data_centre: CompactString,
    peers: SortedMap<ProcessName, GatewayPeer>,
}

impl GatewayTable {
    /// A table of a process that knows nobody.
    pub fn new(local: ProcessId, data_centre: &str) -> Self {
        Self { local, data_centre: CompactString::new(data_centre), peers: SortedMap::new() }
    }

    /// Takes an entry of the register.
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

    /// Takes notice that a gateway took its entry out of the register: it ended in order.
    pub fn apply_deregistration(&mut self, name: &str, now: Timestamp) {
        let name = ProcessName::new(name);
        if self.peers.get(&name).is_some_and(|peer| !is_reachable(peer, now)) {
            self.peers.remove(&name);
        }
    }

    /// Takes the state of a gateway, from itself or passed on.
    ///
    /// # Errors
    ///
    /// It is not newer than another one that was taken, or of an older run.
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
        let datagram_sent_micros = known
            .filter(|peer| peer.incarnation == from.incarnation)
            .map_or(0, |peer| peer.datagram_sent_micros);
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
            targets_digest: state.targets_digest,
            state_sent_micros: state.sent_micros,
            datagram_sent_micros,
            last_activity_at: now,
        };
        self.peers.insert(from.name.clone(), peer);
        Ok(())
    }

    /// Takes the times of a datagram that a gateway sent itself. Returns the time of this process's
    /// own datagram that the sender had when it sent this one, so that what it says of the past can
    /// be at_age; none if it had none.
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

    /// Times for a datagram to a gateway.
    pub fn echo_for(&self, name: &ProcessName, now: Timestamp) -> Echo {
        let peer = self.peers.get(name);
        Echo {
            sent_micros: now.micros,
            heard_micros: peer.map_or(0, |peer| peer.datagram_sent_micros),
            heard_incarnation: peer.map_or(0, |peer| peer.incarnation.0),
        }
    }

    /// Drops gateways that are gone; returns their names.
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

    /// Gateways that may be alive, and those that are heard; both without this one.
    pub fn counts(&self, now: Timestamp) -> (usize, usize) {
        (self.peers.len(), self.peers.values().filter(|peer| is_reachable(peer, now)).count())
    }

    /// Whether a gateway is heard.
    pub fn is_reachable(&self, name: &ProcessName, now: Timestamp) -> bool {
        self.peers.get(name).is_some_and(|peer| is_reachable(peer, now))
    }

    /// Gateways by name.
    pub fn peers(&self) -> impl Iterator<Item = (&ProcessName, &GatewayPeer)> {
        self.peers.iter()
    }

    /// Whether this gateway is the first by name of those that are heard and take work.
    pub fn is_first(&self, now: Timestamp) -> bool {
        !self.peers.iter().any(|(name, peer)| {
            *name < self.local.name && is_reachable(peer, now) && !peer.draining
        })
    }

    /// Whether this gateway speaks for its data centre.
    pub fn is_relay(&self, now: Timestamp) -> bool {
        !self.peers.iter().any(|(name, peer)| {
            *name < self.local.name && peer.data_centre == self.data_centre && can_relay(peer, now)
        })
    }

    /// Whether a gateway is in the data centre of this one.
    pub fn is_same_data_centre(&self, peer: &GatewayPeer) -> bool {
        peer.data_centre == self.data_centre
    }

    /// Gateways of other data centres that this one exchanges states with: those that speak for
    /// them. Of a data centre where none is heard, all that may be alive.
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

    /// Whether a data centre has a gateway that is heard, this one included.
    pub fn has_gateway(&self, data_centre: &str, now: Timestamp) -> bool {
        self.data_centre == data_centre
            || self
                .peers
                .values()
                .any(|peer| peer.data_centre == data_centre && can_relay(peer, now))
    }

    /// Whether this gateway is one of those that follow the configuration on the store for all.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        let reads = |peer: &GatewayPeer| {
            peer.store_read_at.is_some_and(|at| now.since(at) < READER_STALE_AFTER)
        };
        self.before(now).filter(|peer| reads(peer)).count() < MAX_READERS
    }

    /// Number of gateways before this one by name that are heard well.
    pub fn rank(&self, now: Timestamp) -> usize {
        self.before(now).count()
    }

    fn before(&self, now: Timestamp) -> impl Iterator<Item = &GatewayPeer> {
        let before = self.peers.iter().filter(|(name, _)| **name < self.local.name);
        before.map(|(_, peer)| peer).filter(move |peer| can_relay(peer, now))
    }

    /// Digest of the targets at the gateway that has read the list last, and when it did.
    pub fn freshest_targets(&self, now: Timestamp) -> Option<(u32, Timestamp)> {
        self.peers
            .values()
            .filter(|peer| is_reachable(peer, now))
            .filter_map(|peer| Some((peer.targets_digest, peer.targets_read_at?)))
            .max_by_key(|(_, at)| *at)
    }

    /// Number of gateways that are heard with an older configuration than the newest one known,
    /// this process with `config` included.
    pub fn count_behind(&self, config: Offset, now: Timestamp) -> usize {
        let heard = || self.peers.values().filter(|peer| is_reachable(peer, now)).map(|p| p.config);
        let newest = heard().max().unwrap_or(config).max(config);
        heard().chain(std::iter::once(config)).filter(|known| *known < newest).count()
    }

    /// Gateways that have a newer configuration than `config`, near ones first.
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
        newer.into_iter().map(|(far, address)| (address, !far)).collect()
    }
}

fn is_reachable(peer: &GatewayPeer, now: Timestamp) -> bool {
    peer.last_state_at.is_some_and(|at| now.since(at) < SILENT_AFTER)
}

/// Whether a gateway is heard well enough to speak for others.
fn can_relay(peer: &GatewayPeer, now: Timestamp) -> bool {
    !peer.draining && peer.last_state_at.is_some_and(|at| now.since(at) < RELAY_SILENT_AFTER)
}

/// A state that says nothing new.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StaleState;
