//! Start of an entry process.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{ProcessId, ProcessName, Role, Timestamp};
use changes::ConfigLog;
use clock::new_incarnation;
use config::EntrySettings;
use ingress::{CallerBudgetSettings, SharedCallerBudget, ShutdownStage};
use membership::{Authority, LocalProcess, Membership};
use placement::{Planner, PlannerSettings};
use store::{HttpLog, HttpLogOptions, HttpVmList, Log};
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, JoinSet};
use wire::{FLEET_STREAM, FleetSecret, PeerIdentity, PeerPool, StartRecord};

use crate::EntryError;
use crate::app::App;
use crate::callers::{accept_callers, report_budget};
use crate::clock::Clock;
use crate::config_reader::{ConfigFollower, FleetFollower};
use crate::fleet::Fleet;
use crate::heartbeats::{send_heartbeats, watch_authority, watch_vm_list};
use crate::log_reader::follow;
use crate::operators::serve_operators;
use crate::peer_server::accept_peers;
use crate::planning::plan_placement;
use crate::shutdown::drain;
use crate::slots::{SlotFollower, Slots, plan_slots};

/// Pause between attempts to write the start record.
const START_RECORD_PAUSE: Duration = Duration::from_millis(500);
/// Longest time to settle one attempt to write the start record.
const START_RECORD_LIMIT: Duration = Duration::from_secs(5);

/// A running entry process.
pub struct EntryHandle {
    app: Rc<App>,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    finished: JoinHandle<()>,
}

impl EntryHandle {
    /// Where callers connect.
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where operators connect.
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Where peers connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.app.address
    }

    /// Whether the process would pass its readiness check.
    pub fn is_ready(&self) -> bool {
        self.app.not_ready_reason().is_none()
    }

    /// Whether every bucket slot has a live owner.
    pub fn all_slots_owned(&self) -> bool {
        self.app.all_slots_owned()
    }

    /// Number of bucket slots that this process owns.
    pub fn slots_owned(&self) -> usize {
        self.app.slots.borrow().owner.open_slots().count()
    }

    /// Whether the target takes requests and orders.
    pub fn is_target_available(&self, target: &str) -> bool {
        self.app.is_target_available(target)
    }

    /// Whether every bucket slot has a live owner and every target takes requests and orders.
    pub fn is_fleet_available(&self) -> bool {
        self.app.all_slots_owned() && self.app.are_all_targets_available()
    }

    /// Starts a graceful stop; a second call changes nothing.
    pub fn stop(&self) {
        self.app.stage.send_if_modified(|stage| {
            let serving = *stage == ShutdownStage::Serving;
            if serving {
                *stage = ShutdownStage::NotReady;
            }
            serving
        });
    }

    /// Waits until the process has stopped.
    pub async fn finished(self) {
        // An error means that the task was cancelled with its runtime.
        let _joined = self.finished.await;
    }
}

async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), EntryError> {
    let listener =
        TcpListener::bind(address).await.map_err(|error| EntryError::Bind { address, error })?;
    let bound = listener.local_addr().map_err(|error| EntryError::Bind { address, error })?;
    Ok((listener, bound))
}

/// Starts an entry process on the current `LocalSet`.
///
/// # Errors
///
/// If an address can't be bound or metrics can't be set up.
pub async fn start(settings: EntrySettings) -> Result<EntryHandle, EntryError> {
    // Bound first and held to the end: no other run of this process can live beside this one.
    let (peer_listener, peer_address) = bind(settings.process.peer_address).await?;
    let (caller_listener, caller_address) = bind(settings.caller_address).await?;
    let (operator_listener, operator_address) = bind(settings.process.operator_address).await?;
    let clock = Clock::start();
    let process_id = ProcessId {
        name: ProcessName(settings.process.name.clone()),
        incarnation: new_incarnation(),
    };
    let address = settings.process.advertised_address.unwrap_or(peer_address);
    let secret = FleetSecret::new(settings.process.fleet_secret.as_bytes());
    let app = Rc::new(make_app(settings, process_id, address, clock, secret.clone())?);
    log::info!(
        "event=entry_started process={} callers={caller_address} peers={peer_address} \
         operators={operator_address}",
        app.process_id
    );
    let peer_listener = Rc::new(peer_listener);
    let mut tasks = JoinSet::new();
    tasks.spawn_local(accept_peers(Rc::clone(&app), Rc::clone(&peer_listener), secret));
    tasks.spawn_local(serve_operators(Rc::clone(&app), operator_listener));
    tasks.spawn_local(accept_callers(Rc::clone(&app), caller_listener));
    tasks.spawn_local(report_budget(Rc::clone(&app)));
    tasks.spawn_local(follow(Rc::clone(&app), ConfigFollower::default()));
    tasks.spawn_local(follow(Rc::clone(&app), SlotFollower));
    tasks.spawn_local(follow(Rc::clone(&app), FleetFollower::default()));
    tasks.spawn_local(plan_slots(Rc::clone(&app)));
    tasks.spawn_local(send_heartbeats(Rc::clone(&app)));
    tasks.spawn_local(watch_vm_list(Rc::clone(&app)));
    tasks.spawn_local(watch_authority(Rc::clone(&app)));
    let planner = Planner::new(PlannerSettings::default());
    tasks.spawn_local(plan_placement(Rc::clone(&app), planner));
    tasks.spawn_local(write_start_record(Rc::clone(&app)));
    let finished = tokio::task::spawn_local({
        let app = Rc::clone(&app);
        async move {
            drain(&app).await;
            tasks.shutdown().await;
            drop(peer_listener);
            log::info!("event=entry_stopped process={}", app.process_id);
        }
    });
    Ok(EntryHandle { app, caller_address, operator_address, finished })
}

fn make_app(
    settings: EntrySettings,
    process_id: ProcessId,
    address: SocketAddr,
    clock: Clock,
    secret: FleetSecret,
) -> Result<App, EntryError> {
    let process = &settings.process;
    let platform = settings.platform;
    let retention = Duration::from_secs(platform.log_retention_s);
    let local = LocalProcess {
        process: process_id.clone(),
        role: Role::Entry,
        region: process.region.clone(),
        data_centre: process.data_centre.clone(),
        address,
    };
    let identity = PeerIdentity { process: process_id.clone(), role: Some(Role::Entry) };
    let options = HttpLogOptions {
        request_timeout_ms: platform.request_timeout_ms,
        appends_per_s: platform.appends_per_s,
    };
    let request_timeout = Duration::from_millis(platform.request_timeout_ms);
    let call_timeout = Duration::from_millis(settings.membership.call_timeout_ms);
    let authority = Authority::new(Duration::from_millis(settings.authority_ms));
    let callers = settings.callers;
    let budget = CallerBudgetSettings::with_connections(callers.memory_mb, callers.connections);
    Ok(App {
        address,
        clock,
        pool: PeerPool::new(identity, secret, call_timeout),
        log: HttpLog::new(platform.log_address, options),
        vm_list: HttpVmList::new(platform.vm_list_address, request_timeout),
        metrics: Metrics::new().map_err(EntryError::Metrics)?,
        in_flight: Rc::default(),
        connections: Rc::default(),
        budget: SharedCallerBudget::new(budget),
        stage: watch::Sender::new(ShutdownStage::Serving),
        config: RefCell::new(ConfigLog::new(&process.region, retention)),
        slots: RefCell::new(Slots::new(process_id.clone(), retention)),
        membership: RefCell::new(Membership::new(local, settings.membership, clock.now())),
        authority: RefCell::new(authority),
        fleet: RefCell::new(Fleet::new(&settings, rand::random(), clock.now())),
        authority_expires_at: Cell::new(Timestamp::default()),
        warmed_up: Cell::new(false),
        catching_up: Cell::new(false),
        record_number: Cell::new(0),
        announced: Notify::new(),
        process_id,
        settings,
    })
}

/// Writes the start record, again until it is stored.
async fn write_start_record(app: Rc<App>) {
    let record = StartRecord { process: app.process_id.clone(), role: Role::Entry };
    let Ok(payload) = wire::encode(&record) else { return };
    let id = format!("{}/start", app.process_id);
    loop {
        let deadline = tokio::time::Instant::now() + START_RECORD_LIMIT;
        let from = base::Offset(1);
        match app.log.append_confirmed(FLEET_STREAM, &id, &payload, from, deadline).await {
            Ok(offset) => {
                log::info!("event=start_recorded offset={}", offset.0);
                return;
            }
            Err(error) => log::warn!("event=start_record_failed error=\"{error}\""),
        }
        tokio::time::sleep(START_RECORD_PAUSE).await;
    }
}
