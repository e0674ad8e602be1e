//! Connection pool for targets.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::SortedMap;
use bytes::Bytes;
use calls::{ResponseWatch, WatchedBody, open_http};
use http::Request;
use http_body_util::Full;
use hyper::body::Body;
use hyper::client::conn::http1::SendRequest;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::app::App;
use crate::shared_bytes::SharedBytes;

/// Timeout for opening a connection: a handshake takes a few ms, a retransmission after packet loss
/// a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Idle time after which a connection isn't reused if the target announces no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of the target's keep-alive limit after which a connection isn't reused, so that a request
/// doesn't cross the target's close.
const IDLE_SHARE: f64 = 0.6;
/// Time in which a process that exits closes its sockets one after the other.
const EXIT_TIME: Duration = Duration::from_millis(20);
/// Most idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 64;
/// Idle time after which the kernel sends TCP keep-alive probes.
const PROBE_AFTER: Duration = Duration::from_millis(1_000);
/// Time between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Unanswered probes after which the connection counts as broken.
const MAX_PROBES: u32 = 2;
/// Time after which unacknowledged data breaks the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest time for which the rest of a request is written after its response was read. The target
/// has responded, so a reset that discards the rest changes nothing for the caller.
const MAX_REST_WRITE: Duration = Duration::from_millis(2_000);

/// Most bytes of such requests at all targets together: two bodies of the usual largest size, a
/// fifteenth of the memory of the smallest gateways, 120 MB.
const MAX_UNWRITTEN_BYTES: usize = 8 << 20;
/// Bytes that a connection counts besides the body, so that their number is bounded as well.
const CONNECTION_BYTES: usize = 16 << 10;

/// Why a request got no response from a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendFailure {
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent because nothing listens on the address.
    Refused,
    /// The request was sent at least in part, and no response arrived.
    NoResponse,
}

/// A connection to a target that carries one request at a time. Dropping it closes the connection,
/// which cancels the request at the target.
pub(crate) struct TargetConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Number of requests sent so far.
    sent: u64,
    /// Size of the last request's body.
    body_bytes: usize,
    io_task: ConnectionTask,
    watch: ResponseWatch,
}

/// Task that drives the connection's I/O; aborted on drop.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct IdleConnection {
    connection: TargetConnection,
    since: Instant,
    until: Instant,
}

/// Idle connections by target.
pub(crate) struct TargetPool {
    idle: RefCell<SortedMap<SocketAddr, Vec<IdleConnection>>>,
    /// Requests whose response was read before their body was written.
    unwritten: SharedBytes,
}

impl Default for TargetPool {
    fn default() -> Self {
        Self { idle: RefCell::default(), unwritten: SharedBytes::new(MAX_UNWRITTEN_BYTES) }
    }
}

impl TargetPool {
    /// Returns a connection to a target: the most recently used idle one if it was idle for at most
    /// `max_idle`, or a new one.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        max_idle: Duration,
        limit: Duration,
    ) -> Result<TargetConnection, SendFailure> {
        match self.take_idle(address, max_idle) {
            Some(connection) => Ok(connection),
            None => open_within(address, limit).await,
        }
    }

    /// Opens an idle connection to a target. A connection that is reset at once is opened again, since
    /// a target that is exiting may close its connections before its listening socket.
    pub(crate) async fn add_connection(&self, address: SocketAddr) -> Result<(), SendFailure> {
        let mut connection = open_within(address, CONNECT_TIMEOUT).await?;
        sleep(EXIT_TIME).await;
        if connection.sender.is_closed() {
            connection = open_within(address, CONNECT_TIMEOUT).await?;
        }
        self.keep(connection, None);
        Ok(())
    }

    fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<TargetConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| now < idle.until && idle.connection.sender.is_ready());
        let last = connections.last()?;
        if now - last.since > max_idle {
            return None;
        }
        connections.pop().map(|idle| idle.connection)
    }

    /// Puts a connection that can carry a request into the pool.
    pub(crate) fn keep(&self, connection: TargetConnection, keep_alive: Option<Duration>) {
        let now = Instant::now();
        let limit = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |limit| limit.mul_f64(IDLE_SHARE));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_or_insert_with(connection.address, Vec::new);
        connections.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(IdleConnection { connection, since: now, until: now + limit });
        }
    }

    /// Puts a connection whose response was read into the pool of `app` once its request is written.
    /// Returns at once; the connection is closed if that takes too long or too much waits for it.
    pub(crate) fn keep_when_written(
        app: &Rc<App>,
        mut connection: TargetConnection,
        keep_alive: Option<Duration>,
    ) {
        let address = connection.address;
        let bytes = connection.body_bytes.saturating_add(CONNECTION_BYTES);
        let Some(unwritten) = app.pool.unwritten.reserve(bytes) else {
            log::info!("event=request_not_written address={address} reason=too_many_bytes");
            return;
        };
        let app = Rc::clone(app);
        tokio::task::spawn_local(async move {
            match timeout(MAX_REST_WRITE, connection.is_reusable()).await {
                Ok(true) => app.pool.keep(connection, keep_alive),
                Ok(false) => {}
                Err(_) => {
                    log::info!("event=request_not_written address={address} reason=too_slow");
                }
            }
            drop(unwritten);
        });
    }

    /// Closes the idle connections to a removed target.
    pub(crate) fn remove(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}

async fn open_within(
    address: SocketAddr,
    limit: Duration,
) -> Result<TargetConnection, SendFailure> {
    match timeout(limit.min(CONNECT_TIMEOUT), open(address)).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Err(SendFailure::Refused),
        Ok(Err(_)) | Err(_) => Err(SendFailure::NotSent),
    }
}

async fn open(address: SocketAddr) -> Result<TargetConnection, std::io::Error> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let options = SockRef::from(&socket);
    // A cancelled request must not reach a suspended target when it resumes: a reset discards
    // buffered data, a graceful close would deliver it first.
    if let Err(error) = options.set_linger(Some(Duration::ZERO)) {
        log::debug!("event=socket_options_refused address={address} error=\"{error}\"");
    }
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    // Without these options an unresponsive target is detected only by the request's timeouts.
    if let Err(error) = options
        .set_tcp_keepalive(&probes)
        .and_then(|()| options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)))
    {
        log::debug!("event=socket_options_refused address={address} error=\"{error}\"");
    }
    let (sender, connection, watch) = open_http(socket).await.map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("event=target_connection_ended address={address} error=\"{error}\"");
        }
    });
    let io_task = ConnectionTask(task.abort_handle());
    Ok(TargetConnection { address, sender, sent: 0, body_bytes: 0, io_task, watch })
}

impl TargetConnection {
    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<http::Response<WatchedBody>, SendFailure> {
        self.sent += 1;
        self.watch.watch(&mut request);
        let body_bytes = request.body().size_hint().exact().unwrap_or_default();
        self.body_bytes = usize::try_from(body_bytes).unwrap_or(usize::MAX);
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(self.watch.watch_body(response)),
            // The request is returned only if none of it was written.
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendFailure::NotSent),
                None => Err(SendFailure::NoResponse),
            },
        }
    }

    /// Whether a response can only belong to the last request, since no other one was sent.
    pub(crate) const fn has_single_request(&self) -> bool {
        self.sent == 1
    }

    /// Waits until the request is written after its response was read; returns whether the connection
    /// can carry another request.
    async fn is_reusable(&mut self) -> bool {
        !self.io_task.0.is_finished() && self.sender.ready().await.is_ok()
    }
}
