//! State shared by the tasks of an agent.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use base::{Incarnation, Offset, ProcessId, ProcessName, SortedMap, Timestamp};
use calls::HttpClient;
use clock::BootClock;
use config::AgentSettings;
use placement::EngineOrderScheduler;
use platform::{EngineClient, StoreClient};
use streams::StreamOrigins;
use tokio::sync::Notify;
use wire::DatagramSocket;

/// A gateway that sent a query recently.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveGateway {
    /// Source address of its datagrams.
    pub address: SocketAddr,
    /// Incarnation of the gateway.
    pub incarnation: Incarnation,
    /// The gateway's clock in its newest datagram, in microseconds.
    pub sent_micros: u64,
    /// When the newest query arrived.
    pub queried_at: Timestamp,
    /// Whether the gateway wants to receive state changes.
    pub wants_state: bool,
    /// Version of the configuration that the gateway can provide.
    pub config: Offset,
}

/// State shared by all tasks. They run on a single thread and hold no `RefCell` borrow across an
/// await point.
pub(crate) struct App {
    /// Settings.
    pub settings: AgentSettings,
    /// Name and incarnation of this process.
    pub process: ProcessId,
    /// Clock.
    pub clock: BootClock,
    /// Store.
    pub store: StoreClient,
    /// Engine.
    pub engine: EngineClient,
    /// Whether the engine answered the last report requests.
    pub engine_reachable: Cell<bool>,
    /// Pending orders and the last report of the engine.
    pub scheduler: RefCell<EngineOrderScheduler>,
    /// Fencing token of this run, once the store has assigned it.
    pub fencing_number: Cell<Option<u64>>,
    /// Newest era of the store that a gateway has named.
    pub store_era: Cell<u64>,
    /// Notified when a gateway has named a newer era.
    pub store_restored: Notify,
    /// Notified when a new fencing token is needed, so that the engine refuses late orders.
    pub fence_wanted: Notify,
    /// Socket for datagrams.
    pub socket: DatagramSocket,
    /// Gateways that sent a query recently.
    pub active_gateways: RefCell<SortedMap<ProcessName, ActiveGateway>>,
    /// Notified when an order may be due.
    pub order_wakeup: Notify,
    /// HTTP client for calls to gateways.
    pub gateway_client: HttpClient,
    /// Versions that began streams, for the gateways that callers ask to go on with them.
    pub streams: RefCell<StreamOrigins>,
    /// Notified when a query of a gateway arrives.
    pub query_received: Notify,
}
