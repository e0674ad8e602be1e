//! Parts of targets that speak HTTP on raw sockets.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform::header_names::{REQUEST_ID, RESPONSE_SIGNATURE};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Reads the head of a request, in lower case; none if the connection ends before.
pub async fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|part| part == b"\r\n\r\n") {
        let mut part = [0; 4_096];
        match socket.read(&mut part).await {
            Ok(length) if length > 0 => bytes.extend_from_slice(&part[..length]),
            Ok(_) | Err(_) => return None,
        }
    }
    Some(String::from_utf8_lossy(&bytes).to_lowercase())
}

/// Value of a header in a head.
pub fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| Some(line.strip_prefix(name)?.strip_prefix(':')?.trim()))
}

/// Header line with the id of the request that has this head; empty if it has none.
pub fn id_line(head: &str) -> String {
    let id = header_value(head, REQUEST_ID.as_str());
    id.map_or_else(String::new, |id| format!("{REQUEST_ID}: {id}\r\n"))
}

/// Starts a target that handles each connection with `serve`.
pub async fn start_target<F>(serve: impl Fn(TcpStream) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (socket, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(socket));
        }
    });
    address
}

/// Starts a target that answers each request with 200.
pub async fn echo_target() -> SocketAddr {
    CountingTarget::start(false).await.address
}

/// A target that keeps the times at which requests reach it.
pub struct CountingTarget {
    /// Where it listens.
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl CountingTarget {
    /// Starts a target that answers each request with 200 or, if it `fails`, closes the connection.
    pub async fn start(fails: bool) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let target = Self { address: listener.local_addr().unwrap(), arrivals: Arc::default() };
        let arrivals = Arc::clone(&target.arrivals);
        tokio::spawn(async move {
            loop {
                let (socket, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(socket, fails, Arc::clone(&arrivals)));
            }
        });
        target
    }

    /// Number of requests that have reached it.
    pub fn count(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }

    /// Most requests that have reached it in any `window` that began after `from`.
    pub fn peak(&self, from: Instant, window: Duration) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
        let in_window = |(first, at): (usize, &Instant)| {
            counted[first..].iter().filter(|later| later.duration_since(*at) < window).count()
        };
        counted.iter().enumerate().map(in_window).max().unwrap_or_default()
    }
}

async fn serve(mut socket: TcpStream, fails: bool, arrivals: Arc<Mutex<Vec<Instant>>>) {
    while let Some(head) = read_head(&mut socket).await {
        arrivals.lock().unwrap().push(Instant::now());
        if fails {
            return;
        }
        let response = format!(
            "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{}content-length: 2\r\n\r\nok",
            id_line(&head)
        );
        if socket.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}
