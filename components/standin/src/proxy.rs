//! Fault-injecting TCP proxy for one link.

use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep_until};

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Bytes of one direction held back before the proxy stops reading.
const HELD_BYTES: usize = 1 << 20;
/// Time between two writes at a limited rate.
const SLOW_TICK: Duration = Duration::from_millis(20);

/// Directions in which a link passes nothing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Blocked {
    /// Neither.
    #[default]
    None,
    /// Both.
    Both,
    /// Answers to the client.
    ToClient,
    /// Requests to the target.
    ToTarget,
}

/// Faults of a link, in force for connections old and new.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkFaults {
    /// Delay of the bytes in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Black hole: bytes are held back, connections stay open; they flow again when it ends.
    pub blocked: Blocked,
    /// Bytes a second in each direction; zero for no limit.
    pub bytes_per_s: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    faults: LinkFaults,
    /// Rises with each cut; connections of before are reset.
    cuts: u64,
    /// Rises with each half-open fault; connections of before lose their target.
    half_opens: u64,
}

/// Handle of a proxied link; dropping it closes the link.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    target: SocketAddr,
    state: watch::Sender<LinkState>,
    listening: Option<Listening>,
}

#[derive(Debug)]
struct Listening {
    task: JoinHandle<()>,
    /// Closes the port; connections go on.
    close_port: oneshot::Sender<oneshot::Sender<()>>,
}

impl Link {
    /// Starts a proxy on an ephemeral loopback port in front of `target`, as tasks of the current
    /// runtime.
    ///
    /// # Errors
    ///
    /// The port can't be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        Self::start_on(Ipv4Addr::LOCALHOST.into(), target).await
    }

    /// Starts a proxy on an ephemeral port of `ip` in front of `target`.
    ///
    /// # Errors
    ///
    /// The port can't be bound.
    pub async fn start_on(ip: IpAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState::default());
        let mut link = Self { address, target, state, listening: None };
        link.listen(listener);
        Ok(link)
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Puts faults in force; the default ends them.
    pub fn set(&self, faults: LinkFaults) {
        self.state.send_modify(|state| state.faults = faults);
    }

    /// Resets all connections; new ones are accepted.
    pub fn cut(&self) {
        self.state.send_modify(|state| state.cuts += 1);
    }

    /// Closes the target's end of all connections without telling the clients, as when a VM is
    /// taken away; new connections are accepted.
    pub fn half_open(&self) {
        self.state.send_modify(|state| state.half_opens += 1);
    }

    /// Refuses new connections and resets the old ones until `accept_again`.
    pub async fn refuse(&mut self) {
        self.cut();
        if let Some(listening) = self.listening.take() {
            let (closed, wait) = oneshot::channel();
            if listening.close_port.send(closed).is_ok() {
                // An error means that the task has ended, and with it the port.
                let _ended = wait.await;
            }
        }
    }

    /// Accepts connections again on the same port.
    ///
    /// # Errors
    ///
    /// The port can't be bound again.
    pub async fn accept_again(&mut self) -> io::Result<()> {
        if self.listening.is_none() {
            self.listen(TcpListener::bind(self.address).await?);
        }
        Ok(())
    }

    fn listen(&mut self, listener: TcpListener) {
        let (close_port, closing) = oneshot::channel();
        let task = tokio::spawn(accept(listener, self.target, self.state.subscribe(), closing));
        self.listening = Some(Listening { task, close_port });
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(listening) = &self.listening {
            listening.task.abort();
        }
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Receiver<LinkState>,
    mut closing: oneshot::Receiver<oneshot::Sender<()>>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((client, _)) = accepted {
                connections.spawn(connect(client, target, state.clone()));
            },
            closed = &mut closing => {
                drop(listener);
                if let Ok(closed) = closed {
                    // The receiver may have given up waiting.
                    let _told = closed.send(());
                }
                break;
            }
        }
        while connections.try_join_next().is_some() {}
    }
    while connections.join_next().await.is_some() {}
}

async fn connect(mut client: TcpStream, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let began = *state.borrow();
    let Ok(mut server) = TcpStream::connect(target).await else {
        reset(client);
        return;
    };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let end = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let up = pump(client_read, server_write, state.clone(), Blocked::ToTarget);
        let down = pump(server_read, client_write, state.clone(), Blocked::ToClient);
        tokio::select! {
            end = wait_for_fault(state.clone(), began) => end,
            result = async { tokio::try_join!(up, down) } => match result {
                Ok(_) => End::Closed,
                Err(_) => End::Reset,
            },
        }
    };
    match end {
        End::Closed => {}
        End::Reset => {
            reset(client);
            reset(server);
        }
        End::HalfOpen => {
            drop(server);
            // The client's end stays open and silent until the next cut.
            while state.borrow_and_update().cuts == began.cuts && state.changed().await.is_ok() {}
            reset(client);
        }
    }
}

/// How a connection ended.
#[derive(Clone, Copy)]
enum End {
    Closed,
    HalfOpen,
    Reset,
}

async fn wait_for_fault(mut state: watch::Receiver<LinkState>, began: LinkState) -> End {
    loop {
        let now = *state.borrow_and_update();
        if now.cuts != began.cuts {
            return End::Reset;
        }
        if now.half_opens != began.half_opens {
            return End::HalfOpen;
        }
        if state.changed().await.is_err() {
            return End::Reset;
        }
    }
}

fn reset(stream: TcpStream) {
    // Without it the connection only closes in order, which is a milder fault.
    let _unsupported = stream.set_zero_linger();
}

/// Moves the bytes of one direction, with the faults in force, until their end.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut state: watch::Receiver<LinkState>,
    direction: Blocked,
) -> io::Result<()> {
    let mut held: VecDeque<(Instant, Bytes)> = VecDeque::new();
    let (mut held_bytes, mut ended) = (0, false);
    let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
    let mut next_write = Instant::now();
    loop {
        let faults = state.borrow_and_update().faults;
        let blocked = faults.blocked == Blocked::Both || faults.blocked == direction;
        if ended && held.is_empty() && !blocked {
            return to.shutdown().await;
        }
        let due = held.front().filter(|_| !blocked).map(|(due, _)| next_write.max(*due));
        tokio::select! {
            read = from.read_buf(&mut buffer), if !ended && held_bytes < HELD_BYTES => {
                ended = read? == 0;
                if !ended {
                    held_bytes += buffer.len();
                    let due = Instant::now() + Duration::from_millis(faults.delay_ms);
                    held.push_back((due, buffer.split().freeze()));
                    buffer.reserve(CHUNK_BYTES);
                }
            }
            () = sleep_until(due.unwrap_or(next_write)), if due.is_some() => {
                if let Some((due, mut chunk)) = held.pop_front() {
                    let piece = chunk.split_to(piece_bytes(faults.bytes_per_s).min(chunk.len()));
                    if !chunk.is_empty() {
                        held.push_front((due, chunk));
                    }
                    held_bytes -= piece.len();
                    to.write_all(&piece).await?;
                    if faults.bytes_per_s > 0 {
                        next_write = Instant::now() + SLOW_TICK;
                    }
                }
            }
            changed = state.changed() => {
                changed.map_err(|_| io::Error::from(io::ErrorKind::ConnectionReset))?;
            }
        }
    }
}

/// Bytes in one write at a limited rate.
fn piece_bytes(bytes_per_s: u64) -> usize {
    if bytes_per_s == 0 {
        return usize::MAX;
    }
    let per_tick = u128::from(bytes_per_s) * SLOW_TICK.as_millis() / 1_000;
    usize::try_from(per_tick).unwrap_or(usize::MAX).max(1)
}
