//! Connections to targets, kept for further requests.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use base::SortedMap;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// Longest time to open a connection: a handshake takes a few ms, its repeat after a lost packet a
/// second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Idle time after which a connection is not used again where the target names no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Part of the target's own limit after which a connection is not used again, so that the request does
/// not cross the target's close.
const IDLE_SHARE: f64 = 0.6;
/// Most idle connections to one target.
const MAX_IDLE: usize = 64;
/// Idle time after which the kernel probes whether the other end is there.
const PROBE_AFTER: Duration = Duration::from_millis(1_000);
/// Time between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Probes without an answer after which the connection is broken.
const PROBES: u32 = 2;
/// Time after which unacknowledged bytes break the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Why a request could not be handed to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendFailure {
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent, since nothing listens at the address.
    Refused,
    /// It was sent, at least in part, and no answer came.
    NoResponse,
}

/// A connection to a target that carries one request. Dropping it closes the connection, which makes
/// the target give up the request.
pub(crate) struct TargetConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: ConnectionTask,
}

/// Task that moves the bytes; ends with the connection.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Idle {
    connection: TargetConnection,
    since: Instant,
    until: Instant,
}

/// Idle connections by target.
#[derive(Default)]
pub(crate) struct TargetPool {
    idle: RefCell<SortedMap<SocketAddr, Vec<Idle>>>,
}

impl TargetPool {
    /// A connection to a target: the one that was used last among those that were idle for at most
    /// `max_idle`, or a new one.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        max_idle: Duration,
        limit: Duration,
    ) -> Result<TargetConnection, SendFailure> {
        if let Some(connection) = self.take_idle(address, max_idle) {
            return Ok(connection);
        }
        match timeout(limit.min(CONNECT_TIMEOUT), open(address)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                Err(SendFailure::Refused)
            }
            Ok(Err(_)) | Err(_) => Err(SendFailure::NotSent),
        }
    }

    fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<TargetConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|idle| now < idle.until && idle.connection.sender.is_ready());
        let last = kept.last()?;
        if now - last.since > max_idle {
            return None;
        }
        kept.pop().map(|idle| idle.connection)
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(&self, connection: TargetConnection, keep_alive: Option<Duration>) {
        let now = Instant::now();
        let limit = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |limit| limit.mul_f64(IDLE_SHARE));
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_or_insert_with(connection.address, Vec::new);
        kept.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        if kept.len() < MAX_IDLE {
            kept.push(Idle { connection, since: now, until: now + limit });
        }
    }

    /// Closes the idle connections to a target that is gone.
    pub(crate) fn remove(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}

async fn open(address: SocketAddr) -> Result<TargetConnection, std::io::Error> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let options = SockRef::from(&socket);
    // A request that is given up must not reach a target that stands still when it wakes: a reset discards
    // what is under way, an orderly close delivers it first.
    if let Err(error) = options.set_linger(Some(Duration::ZERO)) {
        log::debug!("event=socket_options_refused address={address} error=\"{error}\"");
    }
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    // Without these options a silent target is noticed by the limits of the request alone.
    if let Err(error) = options
        .set_tcp_keepalive(&probes)
        .and_then(|()| options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)))
    {
        log::debug!("event=socket_options_refused address={address} error=\"{error}\"");
    }
    let (sender, connection) =
        handshake(TokioIo::new(socket)).await.map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("event=target_connection_ended address={address} error=\"{error}\"");
        }
    });
    Ok(TargetConnection { address, sender, driver: ConnectionTask(task.abort_handle()) })
}

impl TargetConnection {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, SendFailure> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            // The request comes back only if none of it was written.
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendFailure::NotSent),
                None => Err(SendFailure::NoResponse),
            },
        }
    }

    /// Whether the connection can carry another request after the answer was read.
    pub(crate) async fn is_reusable(&mut self) -> bool {
        !self.driver.0.is_finished() && self.sender.ready().await.is_ok()
    }
}
