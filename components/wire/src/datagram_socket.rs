//! Socket for datagrams between gateways and agents.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use crate::{Datagram, decode, encode};

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Sends and receives datagrams. What can't be sent or read is logged and dropped: the next one makes up
/// for it.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Uses a bound socket.
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

    /// Waits for the next datagram that can be read; `space` is kept between calls.
    pub async fn receive(&self, space: &mut Vec<u8>) -> (Datagram, SocketAddr) {
        space.resize(MAX_DATAGRAM_BYTES, 0);
        loop {
            let (length, from) = match self.socket.recv_from(space).await {
                Ok(received) => received,
                Err(error) => {
                    // A process that is not there shows as an error of the socket.
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
