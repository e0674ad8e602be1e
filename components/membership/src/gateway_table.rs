//! The other gateways, by the register on the store and by their datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Incarnation, ProcessId, ProcessName, SortedMap, Timestamp};
use wire::Echo;

/// Silence after which a gateway is not heard any more: several rounds of datagrams.
const SILENT_AFTER: Duration = Duration::from_millis(1_000);
/// Time without a word and without a new entry in the register after which a gateway is gone. Longer
/// than the time after which a gateway that can't renew its entry stops admitting.
const GONE_AFTER: Duration = Duration::from_secs(30);

/// What is known of another gateway.
#[derive(Clone, Debug)]
pub struct GatewayPeer {
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Newest run that is known.
    pub incarnation: Incarnation,
    /// When its newest run was last heard.
    pub heard_at: Option<Timestamp>,
    /// It said that it takes no new work.
    pub draining: bool,
    /// Its clock in its newest datagram.
    sent_micros: u64,
    /// When its register entry was last seen to change, or it was heard.
    alive_at: Timestamp,
}

/// Gateways by name, this one excluded.
#[derive(Clone, Debug)]
pub struct GatewayTable {
    me: ProcessId,
    peers: SortedMap<ProcessName, GatewayPeer>,
}

impl GatewayTable {
    /// A table of a process that knows nobody.
    pub const fn new(me: ProcessId) -> Self {
        Self { me, peers: SortedMap::new() }
    }

    /// Takes an entry of the register.
    pub fn registered(&mut self, process: &ProcessId, address: SocketAddr, now: Timestamp) {
        if process.name == self.me.name {
            return;
        }
        match self.peers.get_mut(&process.name) {
            Some(peer) if peer.incarnation > process.incarnation => {}
            Some(peer) => {
                if peer.incarnation < process.incarnation {
                    peer.heard_at = None;
                    peer.sent_micros = 0;
                    peer.draining = false;
                }
                peer.incarnation = process.incarnation;
                peer.address = address;
                peer.alive_at = now;
            }
            None => {
                let peer = GatewayPeer {
                    address,
                    incarnation: process.incarnation,
                    heard_at: None,
                    draining: false,
                    sent_micros: 0,
                    alive_at: now,
                };
                self.peers.insert(process.name.clone(), peer);
            }
        }
    }

    /// Takes notice that a gateway took its entry out of the register: it ended in order.
    pub fn deregistered(&mut self, name: &str, now: Timestamp) {
        let silent = self.peers.get(&ProcessName::new(name)).is_some_and(|p| !is_heard(p, now));
        if silent {
            self.peers.remove(&ProcessName::new(name));
        }
    }

    /// Takes a datagram. Returns the time of this process's own datagram that the sender had when it
    /// sent this one, so that what it says of the past can be dated; none if it had none.
    ///
    /// # Errors
    ///
    /// The datagram is older than another one that was taken, or of an older run.
    pub fn heard(
        &mut self,
        from: &ProcessId,
        address: SocketAddr,
        echo: Echo,
        draining: bool,
        now: Timestamp,
    ) -> Result<Option<Timestamp>, StaleDatagram> {
        if from.name == self.me.name {
            return Err(StaleDatagram);
        }
        let known = self.peers.get(&from.name).map(|p| (p.incarnation, p.sent_micros));
        if known.is_some_and(|known| (from.incarnation, echo.sent_micros) <= known) {
            return Err(StaleDatagram);
        }
        let peer = GatewayPeer {
            address,
            incarnation: from.incarnation,
            heard_at: Some(now),
            draining,
            sent_micros: echo.sent_micros,
            alive_at: now,
        };
        self.peers.insert(from.name.clone(), peer);
        let dated = echo.heard_micros > 0 && echo.heard_incarnation == self.me.incarnation.0;
        Ok(dated.then(|| Timestamp::from_micros(echo.heard_micros)))
    }

    /// Times for a datagram to a gateway.
    pub fn echo_for(&self, name: &ProcessName, now: Timestamp) -> Echo {
        let peer = self.peers.get(name);
        Echo {
            sent_micros: now.micros,
            heard_micros: peer.map_or(0, |peer| peer.sent_micros),
            heard_incarnation: peer.map_or(0, |peer| peer.incarnation.0),
        }
    }

    /// Drops gateways that are gone; returns their names.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ProcessName> {
        let gone: Vec<ProcessName> = self
            .peers
            .iter()
            .filter(|(_, peer)| {
                let ended = peer.draining && !is_heard(peer, now);
                ended || now.since(peer.alive_at) >= GONE_AFTER
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
        (self.peers.len(), self.peers.values().filter(|peer| is_heard(peer, now)).count())
    }

    /// Whether a gateway is heard.
    pub fn is_heard(&self, name: &ProcessName, now: Timestamp) -> bool {
        self.peers.get(name).is_some_and(|peer| is_heard(peer, now))
    }

    /// Gateways by name.
    pub fn peers(&self) -> impl Iterator<Item = (&ProcessName, &GatewayPeer)> {
        self.peers.iter()
    }

    /// Whether this gateway is the first by name of those that are heard and take work.
    pub fn is_first(&self, now: Timestamp) -> bool {
        !self
            .peers
            .iter()
            .any(|(name, peer)| *name < self.me.name && is_heard(peer, now) && !peer.draining)
    }
}

fn is_heard(peer: &GatewayPeer, now: Timestamp) -> bool {
    peer.heard_at.is_some_and(|at| now.since(at) < SILENT_AFTER)
}

/// A datagram that says nothing new.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StaleDatagram;
