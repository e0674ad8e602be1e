//! Start of an agent.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{ProcessId, ProcessName, SortedMap};
use calls::HttpClient;
use clock::{BootClock, new_incarnation};
use config::AgentSettings;
use placement::EngineOrderScheduler;
use platform::{EngineClient, StoreClient};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use wire::DatagramSocket;

use crate::app::App;
use crate::configuration_watch::watch_configuration;
use crate::engine_driver::drive_engine;
use crate::error::AgentError;
use crate::gateway_link::{hand_over_streams, receive_datagrams};
use crate::start_record::write_start_record;

/// Timeout for a connection to a gateway, which is usually in the same data centre.
const GATEWAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A running agent; its tasks are aborted when it is dropped.
pub struct AgentHandle {
    app: Rc<App>,
    _tasks: JoinSet<()>,
}

/// Starts an agent as tasks of the current `LocalSet`.
///
/// # Errors
///
/// If the datagram address can't be bound.
pub async fn start(settings: AgentSettings) -> Result<AgentHandle, AgentError> {
    let address = SocketAddr::new(settings.ip, settings.peer_port);
    let socket =
        UdpSocket::bind(address).await.map_err(|error| AgentError::Bind { address, error })?;
    let process =
        ProcessId { name: ProcessName::new(&settings.name), incarnation: new_incarnation() };
    log::info!(
        "event=agent_started process={process} engine={} data_centre={}",
        settings.engine_address,
        settings.data_centre
    );
    let app = Rc::new(App {
        clock: BootClock::start(),
        store: StoreClient::new(settings.store_address),
        engine: EngineClient::new(settings.engine_address),
        engine_reachable: Cell::new(true),
        scheduler: RefCell::new(EngineOrderScheduler::new()),
        fencing_number: Cell::new(None),
        store_era: Cell::new(0),
        store_restored: Notify::new(),
        fence_wanted: Notify::new(),
        active_gateways: RefCell::new(SortedMap::new()),
        order_wakeup: Notify::new(),
        gateway_client: HttpClient::new(GATEWAY_CONNECT_TIMEOUT),
        query_received: Notify::new(),
        streams: RefCell::default(),
        socket: DatagramSocket::new(socket),
        process,
        settings,
    });
    let mut tasks = JoinSet::new();
    tasks.spawn_local(watch_configuration(Rc::clone(&app)));
    tasks.spawn_local(write_start_record(Rc::clone(&app)));
    tasks.spawn_local(receive_datagrams(Rc::clone(&app)));
    tasks.spawn_local(drive_engine(Rc::clone(&app)));
    Ok(AgentHandle { app, _tasks: tasks })
}

impl AgentHandle {
    /// Hands the streams that this agent knows to gateways, before the process ends.
    pub fn stop(&self) {
        hand_over_streams(&self.app);
    }

    /// Applies changed settings; only the address of the store can change at run time.
    pub fn reload(&self, settings: &AgentSettings) {
        log::info!("event=settings_reloaded store={}", settings.store_address);
        self.app.store.set_address(settings.store_address);
    }
}
