//! HTTP server for operators and other processes.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use ingress::serve_operator_endpoints;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// More than half of the connections that the server allows.
const ENDED_CONNECTIONS: usize = 80;
/// Longer than a new connection has for its first head before it may be closed for others.
const PAST_HEAD_GRACE: Duration = Duration::from_millis(400);

async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(serve_operator_endpoints(
        listener,
        HEAD_TIMEOUT,
        &["/ready"],
        || None,
        || Ok(String::new()),
    ));
    address
}

/// Asks for the readiness; returns the status line, which is empty if the connection was closed.
async fn ask(socket: &mut TcpStream, connection: &str) -> String {
    let request =
        format!("GET /ready HTTP/1.1\r\nhost: test.example\r\nconnection: {connection}\r\n\r\n");
    if socket.write_all(request.as_bytes()).await.is_err() {
        return String::new();
    }
    let mut received = Vec::new();
    let mut buffer = [0; 1_024];
    while !received.ends_with(b"ready\n") {
        match socket.read(&mut buffer).await {
            Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
            Ok(_) | Err(_) => break,
        }
    }
    String::from_utf8(received).unwrap().lines().next().unwrap_or_default().to_owned()
}

/// Guards against connections that have ended and still count: a kept one is then closed for a new
/// one, and the descriptors of the ended ones stay open.
#[test]
fn ended_connections_do_not_displace_a_kept_one() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let address = start().await;
        let mut kept = TcpStream::connect(address).await.unwrap();
        assert_eq!(ask(&mut kept, "keep-alive").await, "HTTP/1.1 200 OK");
        for _ in 0..ENDED_CONNECTIONS {
            let mut socket = TcpStream::connect(address).await.unwrap();
            assert_eq!(ask(&mut socket, "close").await, "HTTP/1.1 200 OK");
            // The server closes its end of a connection with this request.
            assert_eq!(socket.read(&mut [0; 1]).await.unwrap(), 0);
        }
        sleep(PAST_HEAD_GRACE).await;
        let mut new = TcpStream::connect(address).await.unwrap();
        assert_eq!(ask(&mut new, "keep-alive").await, "HTTP/1.1 200 OK");
        assert_eq!(ask(&mut kept, "keep-alive").await, "HTTP/1.1 200 OK");
    });
}
