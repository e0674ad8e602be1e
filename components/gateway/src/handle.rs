//! Start and stop of a gateway.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{ProcessId, ProcessName};
use calls::HttpClient;
use clock::{BootClock, new_incarnation};
use config::{FleetBounds, GatewaySettings};
use ingress::{SharedCallerBudget, ShutdownStage};
use membership::{Authority, Evacuations, GatewayTable, StoreEra, TargetDirectory};
use placement::{BoundDemandTable, FleetPlanner, ModelDemandTable};
use platform::StoreClient;
use quarantine::{Quarantine, QuarantineSettings};
use routing::DirectFleet;
use telemetry::Metrics;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use wire::DatagramSocket;

use crate::app::App;
use crate::callers::{accept_callers, report_budget};
use crate::configuration_watch::watch_configuration;
use crate::engine_orders::{EngineOrders, coordinate_engine_orders};
use crate::error::GatewayError;
use crate::fleet_link::{FleetLink, broadcast_state};
use crate::fleet_receiver::receive_datagrams;
use crate::operators::serve_operators;
use crate::peer_configuration::serve_peers;
use crate::planning::plan_placement;
use crate::rate_limits::RateLimits;
use crate::registry::maintain_registration;
use crate::relay::MAX_LARGE_EVENT_BYTES;
use crate::shared_bytes::SharedBytes;
use crate::shutdown::drain;
use crate::software_register::maintain_software_register;
use crate::stored_quarantines::maintain_stored_quarantines;
use crate::target_pool::TargetPool;
use crate::target_watch::watch_targets;

/// Timeout for a connection to another gateway.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A running gateway.
pub struct GatewayHandle {
    app: Rc<App>,
    // Aborts the tasks when the handle is dropped.
    _tasks: JoinSet<()>,
}

/// Starts a gateway as tasks of the current `LocalSet`; metrics are served on `metrics_port`.
///
/// # Errors
///
/// If an address can't be bound or the metrics can't be set up.
pub async fn start(
    settings: GatewaySettings,
    metrics_port: u16,
) -> Result<GatewayHandle, GatewayError> {
    let callers = listen(settings.caller_address).await?;
    let ready = listen(settings.ready_address).await?;
    let metrics = listen(SocketAddr::new(settings.ip, metrics_port)).await?;
    let peer_address = SocketAddr::new(settings.ip, settings.peer_port);
    let peers = listen(peer_address).await?;
    let socket = UdpSocket::bind(peer_address)
        .await
        .map_err(|error| GatewayError::Bind { address: peer_address, error })?;
    let app = Rc::new(new_app(settings)?);
    let link = Rc::new(FleetLink::new(DatagramSocket::new(socket)));
    log::info!(
        "event=gateway_started process={} callers={} data_centre={}",
        app.process,
        app.settings().caller_address,
        app.settings().data_centre
    );
    let mut tasks = JoinSet::new();
    tasks.spawn_local(watch_configuration(Rc::clone(&app)));
    tasks.spawn_local(watch_targets(Rc::clone(&app), Rc::clone(&link)));
    tasks.spawn_local(maintain_registration(Rc::clone(&app)));
    tasks.spawn_local(maintain_stored_quarantines(Rc::clone(&app)));
    tasks.spawn_local(maintain_software_register(Rc::clone(&app)));
    tasks.spawn_local(broadcast_state(Rc::clone(&app), Rc::clone(&link)));
    tasks.spawn_local(plan_placement(Rc::clone(&app), Rc::clone(&link)));
    tasks.spawn_local(coordinate_engine_orders(Rc::clone(&app), Rc::clone(&link)));
    tasks.spawn_local(receive_datagrams(Rc::clone(&app), Rc::clone(&link)));
    tasks.spawn_local(serve_peers(Rc::clone(&app), peers));
    tasks.spawn_local(accept_callers(Rc::clone(&app), link, callers));
    tasks.spawn_local(report_budget(Rc::clone(&app)));
    tasks.spawn_local(serve_operators(Rc::clone(&app), ready));
    tasks.spawn_local(serve_operators(Rc::clone(&app), metrics));
    Ok(GatewayHandle { app, _tasks: tasks })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|error| GatewayError::Bind { address, error })
}

fn new_app(settings: GatewaySettings) -> Result<App, GatewayError> {
    let process =
        ProcessId { name: ProcessName::new(&settings.name), incarnation: new_incarnation() };
    let limit = App::evidence_limit(&settings);
    let quarantine = Quarantine::new(QuarantineSettings::default(), &settings.name);
    Ok(App {
        clock: BootClock::start(),
        store: StoreClient::new(settings.store_address),
        metrics: Metrics::new().map_err(GatewayError::Metrics)?,
        stage: watch::Sender::new(ShutdownStage::Serving),
        abort_at: Cell::new(None),
        config: RefCell::new(None),
        store_era: Cell::new(StoreEra::default()),
        store_restored: Notify::new(),
        authority: RefCell::new(Authority::new(limit)),
        directory: RefCell::new(target_directory(&settings.bounds)),
        evacuations: RefCell::new(Evacuations::default()),
        fleet: RefCell::new(DirectFleet::new(&settings.data_centre)),
        gateways: RefCell::new(GatewayTable::new(process.clone(), &settings.data_centre)),
        rates: RefCell::new(RateLimits::new(settings.first_start, settings.bounds)),
        quarantine: RefCell::new(quarantine),
        quarantine_begun: Notify::new(),
        changed_quarantines: RefCell::default(),
        stored_quarantines_changed: Notify::new(),
        demand: RefCell::new(ModelDemandTable::new()),
        bound_demand: RefCell::new(BoundDemandTable::default()),
        planner: RefCell::new(FleetPlanner::new()),
        engine_orders: EngineOrders::new(&settings.bounds),
        large_events: SharedBytes::new(MAX_LARGE_EVENT_BYTES),
        pool: TargetPool::default(),
        settings_applied_at: Cell::default(),
        config_applied_at: Cell::default(),
        in_flight: Rc::default(),
        connections: Rc::default(),
        budget: SharedCallerBudget::new(App::budget_settings(&settings)),
        store_read_at: Cell::new(None),
        targets_read_at: Cell::new(None),
        targets_wanted_at: Cell::new(None),
        document: RefCell::new(None),
        peer_client: HttpClient::new(PEER_CONNECT_TIMEOUT),
        registry_read: Cell::new(false),
        engines_changed: Notify::new(),
        software_register: RefCell::default(),
        targets_digest: Cell::default(),
        version_view: Cell::default(),
        streams: RefCell::default(),
        live_streams: RefCell::default(),
        keepers: RefCell::default(),
        stream_lookups: RefCell::default(),
        stream_answered: Notify::new(),
        target_silent: Notify::new(),
        process,
        settings: RefCell::new(Rc::new(settings)),
    })
}

fn target_directory(bounds: &FleetBounds) -> TargetDirectory {
    let mut directory = TargetDirectory::new();
    directory.set_announce_interval(Duration::from_millis(bounds.announce_ms));
    directory
}

impl GatewayHandle {
    /// Applies changed settings. The addresses on which the process listens don't change.
    pub fn reload(&self, settings: GatewaySettings) {
        log::info!("event=settings_reloaded store={}", settings.store_address);
        self.app.metrics.record_settings_read("taken");
        self.app.settings_applied_at.set(self.app.clock.now());
        self.app.store.set_address(settings.store_address);
        self.app.rates.borrow_mut().set_bounds(settings.bounds);
        let announce_interval = Duration::from_millis(settings.bounds.announce_ms);
        self.app.directory.borrow_mut().set_announce_interval(announce_interval);
        self.app.budget.set_settings(App::budget_settings(&settings));
        self.app.authority.borrow_mut().set_limit(App::evidence_limit(&settings));
        *self.app.settings.borrow_mut() = Rc::new(settings);
        self.app.update_cold_rules(self.app.clock.now());
        if let Some(config) = self.app.config() {
            self.app.rates.borrow_mut().apply_configuration(&config, self.app.clock.now());
        }
    }

    /// Counts a change of the settings file that was not applied; `outcome` is a metric label from
    /// a fixed set.
    pub fn record_settings_not_applied(&self, outcome: &'static str) {
        self.app.metrics.record_settings_read(outcome);
    }

    /// Starts a graceful shutdown.
    pub fn stop(&self) {
        self.app.stage.send_if_modified(|stage| {
            let starts = *stage < ShutdownStage::NotReady;
            if starts {
                *stage = ShutdownStage::NotReady;
            }
            starts
        });
    }

    /// Waits until the process may exit; completes only after [`GatewayHandle::stop`].
    pub async fn finished(&self) {
        drain(&self.app).await;
    }
}
