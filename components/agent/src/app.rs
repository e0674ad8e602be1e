//! State of an agent that its tasks share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use base::{Incarnation, Offset, ProcessId, ProcessName, SortedMap, Timestamp};
use calls::HttpClient;
use clock::BootClock;
use config::AgentSettings;
use placement::EngineOrderScheduler;
use platform::{EngineClient, StoreClient};
use tokio::sync::Notify;
use wire::DatagramSocket;

/// A gateway that asked lately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveGateway {
    /// Where its datagrams come from.
    pub address: SocketAddr,
    /// Run of it.
    pub incarnation: Incarnation,
    /// Its clock in its newest datagram, in microseconds.
    pub sent_micros: u64,
    /// When it asked.
    pub at: Timestamp,
    /// Whether it wants to be told of changes.
    pub wants_state: bool,
    /// Version of the configuration that it can pass on.
    pub config: Offset,
}

/// Shared state. Everything runs on one thread, so that a borrow never outlives a step.
pub(crate) struct App {
    /// Settings.
    pub settings: AgentSettings,
    /// This run.
    pub process: ProcessId,
    /// Clock.
    pub clock: BootClock,
    /// Store.
    pub store: StoreClient,
    /// Engine.
    pub engine: EngineClient,
    /// Whether the engine answered the last calls for its report.
    pub engine_reachable: Cell<bool>,
    /// Orders.
    pub scheduler: RefCell<EngineOrderScheduler>,
    /// Fencing number of this run; none until the store has given one.
    pub fencing_token: Cell<Option<u64>>,
    /// Datagrams.
    pub socket: DatagramSocket,
    /// Gateways that asked lately.
    pub active_gateways: RefCell<SortedMap<ProcessName, ActiveGateway>>,
    /// Rings when there may be an order to give.
    pub order_wakeup: Notify,
    /// Calls to gateways.
    pub gateway_client: HttpClient,
    /// Rings when a gateway has asked for something.
    pub query_received: Notify,
}
