//! A server that answers with raw bytes.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Response to health checks, whatever other requests get.
const HEALTHY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// A server that answers the first request of each connection with raw bytes, complete or not, and then
/// closes the connection. Dropping it stops the server.
#[derive(Debug)]
pub struct RawServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl RawServer {
    /// Starts the server on an ephemeral loopback port, as tasks of the current runtime. `respond` returns
    /// the response to a request with this head, whose body has a length.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(
        respond: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let respond = Arc::new(respond);
        let task = tokio::spawn(async move {
            while let Ok((mut socket, _)) = listener.accept().await {
                let respond = Arc::clone(&respond);
                tokio::spawn(async move {
                    let Ok(head) = read_request(&mut socket).await else { return };
                    let bytes = match head.starts_with("GET /healthz") {
                        true => HEALTHY.to_vec(),
                        false => respond(&head),
                    };
                    // The client may have gone.
                    let _written = socket.write_all(&bytes).await;
                });
            }
        });
        Ok(Self { address, task })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads a request with its body, so that closing the connection doesn't reset it, and returns the head.
async fn read_request(socket: &mut TcpStream) -> io::Result<String> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            if bytes.len() >= end + 4 + body_bytes(&head) {
                return Ok(head);
            }
        }
        if socket.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn body_bytes(head: &str) -> usize {
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    length.unwrap_or_default()
}
