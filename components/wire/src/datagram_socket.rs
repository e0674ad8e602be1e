//! Socket for datagrams between gateways and agents.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use crate::{Datagram, decode, encode};

/// Size of the receive buffer.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Sends and receives datagrams. A datagram that can't be sent or decoded is logged and dropped; the
/// next one replaces it, since each carries the newest state.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Wraps a bound socket.
    pub const fn new(socket: UdpSocket) -> Self {
        Self { socket }
    }

    /// Sends a datagram without waiting.
    pub fn send(&self, datagram: &Datagram, to: SocketAddr) {
        let bytes = match encode(datagram) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("event=datagram_unsent to={to} error=\"{error}\"");
                return;
            }
        };
        if let Err(error) = self.socket.try_send_to(&bytes, to) {
            log::debug!("event=datagram_unsent to={to} error=\"{error}\"");
        }
    }

    /// Waits for the next datagram that decodes; `space` is a buffer reused between calls.
    pub async fn receive(&self, space: &mut Vec<u8>) -> (Datagram, SocketAddr) {
        space.resize(MAX_DATAGRAM_BYTES, 0);
        loop {
            let (length, from) = match self.socket.recv_from(space).await {
                Ok(received) => received,
                Err(error) => {
                    // The socket reports an unreachable receiver of an earlier send as a receive error.
                    log::debug!("event=datagram_error error=\"{error}\"");
                    continue;
                }
            };
            match decode(&space[..length]) {
                Ok(datagram) => return (datagram, from),
                Err(error) => log::warn!("event=datagram_rejected from={from} error=\"{error}\""),
            }
        }
    }
}
