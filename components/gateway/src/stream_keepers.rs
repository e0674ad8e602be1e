//! Agents that remember streams for the gateways, and what they are told while streams last.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use base::Timestamp;
use streams::{KeeperSet, group_messages};
use wire::{Datagram, DatagramBody, DatagramSocket, Echo, KnownStream, StreamOrigin};

use crate::app::App;

/// Agents that remember a stream, so that one of them may be lost.
const KEEPERS: usize = 2;
/// Agents that are asked for a stream: the keepers, and as many that may have moved down since machines
/// were added.
const ASKED_KEEPERS: usize = 4;
/// Further agents that are asked, of those that aren't told any more, as their targets leave or have left.
const ASKED_FORMER_KEEPERS: usize = 4;

/// A stream in the table of those that this gateway relays; dropping it removes the stream.
pub(crate) struct LiveStreamGuard {
    app: Rc<App>,
    number: u64,
}

impl Drop for LiveStreamGuard {
    fn drop(&mut self) {
        self.app.live_streams.borrow_mut().end(self.number);
    }
}

impl App {
    /// Updates the set of agents that are told of streams.
    pub(crate) fn update_keepers(&self, now: Timestamp) {
        let keepers = self.fleet.borrow().keepers(KEEPERS, now);
        self.keepers.borrow_mut().update(keepers);
    }

    /// Tells the keepers of a stream that it begins or goes on.
    pub(crate) fn begin_stream(
        self: &Rc<Self>,
        socket: &DatagramSocket,
        origin: StreamOrigin,
        now: Timestamp,
    ) -> LiveStreamGuard {
        self.streams.borrow_mut().record(&origin, now);
        if self.keepers.borrow().len() < KEEPERS {
            self.update_keepers(now);
        }
        let (number, keepers) =
            self.live_streams.borrow_mut().begin(origin.clone(), &self.keepers.borrow(), now);
        for keeper in keepers {
            self.send_to_agent(socket, keeper.ip, DatagramBody::StreamBegun(origin.clone()), now);
        }
        LiveStreamGuard { app: Rc::clone(self), number }
    }

    /// Tells agents of streams that they are keepers of now.
    pub(crate) fn tell_keepers(&self, socket: &DatagramSocket, now: Timestamp) {
        self.update_keepers(now);
        let messages = self.live_streams.borrow_mut().next_messages(&self.keepers.borrow(), now);
        if messages.is_empty() {
            return;
        }
        let streams = messages.len();
        let groups = group_messages(messages);
        log::info!("event=keepers_told streams={streams} datagrams={}", groups.len());
        for (keeper, streams) in groups {
            self.send_to_agent(socket, keeper.ip, DatagramBody::StreamsKnown(streams), now);
        }
    }

    /// Takes over the streams that an agent knows which stops.
    pub(crate) fn take_over_streams(&self, known: &[KnownStream], from: IpAddr, now: Timestamp) {
        let mut streams = self.streams.borrow_mut();
        let mut live_streams = self.live_streams.borrow_mut();
        let mut dropped = 0;
        for stream in known {
            streams.record_known(stream, now);
            dropped += usize::from(!live_streams.pass_on(stream.clone(), from, now));
        }
        log::info!(
            "event=streams_taken_over agent={from} streams={} dropped={dropped}",
            known.len()
        );
    }

    /// Returns the agents to ask for a stream.
    pub(crate) fn keepers_to_ask(&self, attempt: u64, now: Timestamp) -> Vec<SocketAddr> {
        let fleet = self.fleet.borrow();
        let present = fleet.keepers(KEEPERS, now);
        let former = KeeperSet::new(fleet.former_keepers(&present, now));
        let peer_port = self.settings().peer_port;
        KeeperSet::new(present)
            .keepers_of(attempt, None, ASKED_KEEPERS)
            .into_iter()
            .chain(former.keepers_of(attempt, None, ASKED_FORMER_KEEPERS))
            .map(|keeper| SocketAddr::new(keeper.ip, peer_port))
            .collect()
    }

    /// Sends a datagram to the agent on a machine.
    pub(crate) fn send_to_agent(
        &self,
        socket: &DatagramSocket,
        ip: IpAddr,
        body: DatagramBody,
        now: Timestamp,
    ) {
        let echo = Echo { sent_micros: now.micros, ..Echo::default() };
        let datagram = Datagram { from: self.process.clone(), echo, body };
        socket.send(&datagram, SocketAddr::new(ip, self.settings().peer_port));
    }
}
