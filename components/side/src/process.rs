//! Side process: listeners, event loop and graceful shutdown.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::{Incarnation, ProcessId, ProcessName, Role, SortedMap, Timestamp};
use config::{FleetConfig, ServiceKind, SideSettings};
use engine::{EngineLimits, HttpEngine};
use queue::Ticket;
use store::{HttpLog, HttpLogOptions, HttpVmList};
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use wire::{
    FleetSecret, Heartbeat, Incoming, PeerIdentity, PeerPool, RefuseReason, serve_connection_until,
};

use crate::claim_replica::ClaimReplica;
use crate::clock::Clock;
use crate::config_source::follow_config;
use crate::config_source_state::ConfigSourceState;
use crate::core::Core;
use crate::error::SideError;
use crate::event::Event;
use crate::heartbeats::{read_vm_list, send_heartbeats};
use crate::operators::serve_operators;
use crate::probe::{probe_engine, probe_plain};
use crate::recent_request_ids::RecentRequestIds;
use crate::request_task::{Decision, signalled};

/// Capacity of the queue from peer connections to the event loop.
const INCOMING_QUEUE_MESSAGES: usize = 1_024;
/// Longest sleep of the event loop, so that states that only time changes, such as the retry delay
/// of a permit, are updated.
const MAX_LOOP_WAIT: Duration = Duration::from_millis(50);
/// Time after the last work, or after the drain limit, in which calls are still refused and last frames are
/// written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time before that limit for peers to read the last frames; the window of a connection, 4 MB,
/// takes 3.4 s at 10 Mbit/s.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// State shared by the event loop and the tasks around it.
pub(crate) struct Shared {
    pub settings: Rc<SideSettings>,
    pub identity: PeerIdentity,
    pub address: SocketAddr,
    pub clock: Clock,
    pub core: Rc<RefCell<Core>>,
    pub events: mpsc::UnboundedSender<Event>,
    pub pool: PeerPool,
    pub engine: HttpEngine,
    pub log: HttpLog,
    pub metrics: Rc<Metrics>,
    pub decisions: RefCell<SortedMap<Ticket, oneshot::Sender<Decision>>>,
    pub recent_ids: Rc<RefCell<RecentRequestIds>>,
    pub claims: Rc<ClaimReplica>,
    pub tasks: RefCell<JoinSet<()>>,
    pub source: Cell<ConfigSourceState>,
    pub next_start: Cell<u32>,
    pub handover: watch::Sender<bool>,
    pub probe_now: Rc<Notify>,
    pub read_config_now: Rc<Notify>,
    probing: Cell<bool>,
}

impl Shared {
    /// Runs `work` on the core and executes the resulting actions.
    pub fn with_core<T>(&self, work: impl FnOnce(&mut Core, Timestamp) -> T) -> T {
        let result = work(&mut self.core.borrow_mut(), self.clock.now());
        self.execute_actions();
        result
    }

    /// Executes the core's actions until none are left.
    pub fn execute_actions(&self) {
        loop {
            let actions = self.core.borrow_mut().take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute(action);
            }
        }
    }

    /// Builds the heartbeat that is sent to peers and returned to them.
    pub fn heartbeat(&self) -> Heartbeat {
        let now = self.clock.now();
        self.core.borrow().heartbeat(self.address, &self.source.get(), now)
    }

    /// Starts probing the target once the configuration defines its kind.
    pub fn start_probes(&self) {
        let kind = self.core.borrow().target_config.as_ref().map(|target| target.kind);
        let Some(kind) = kind else { return };
        if self.probing.replace(true) {
            return;
        }
        let interval = Duration::from_millis(self.settings.probe_ms);
        let events = self.events.clone();
        match kind {
            ServiceKind::Engine => spawn_local(probe_engine(
                self.engine.clone(),
                interval,
                self.clock,
                self.probe_now.clone(),
                self.core.clone(),
                events,
            )),
            ServiceKind::Plain => {
                spawn_local(self.claims.clone().follow());
                spawn_local(self.claims.clone().write_snapshots());
                spawn_local(probe_plain(self.settings.target_address, interval, events))
            }
        };
    }
}

/// Handle that passes a configuration to a side process directly, without entry processes or log.
#[derive(Clone)]
pub struct SideHandle {
    events: mpsc::UnboundedSender<Event>,
}

impl SideHandle {
    /// Activates a configuration.
    pub fn configure(&self, config: Arc<FleetConfig>) {
        // The process may have exited already.
        let _sent = self.events.send(Event::Configured(config));
    }
}

/// A side process that has bound its addresses and is ready to run.
pub struct SideProcess {
    settings: Rc<SideSettings>,
    identity: PeerIdentity,
    clock: Clock,
    metrics: Rc<Metrics>,
    peer_listener: TcpListener,
    operator_listener: TcpListener,
    peer_address: SocketAddr,
    operator_address: SocketAddr,
    events: mpsc::UnboundedSender<Event>,
    event_queue: mpsc::UnboundedReceiver<Event>,
    follow_log: bool,
}

impl SideProcess {
    /// Binds the addresses. The peer address stays bound until the process exits, so a later
    /// incarnation that can bind it is certain that this one has ended.
    ///
    /// # Errors
    ///
    /// `Bind` if an address is in use, `Metrics` if the metrics registry can't be created.
    pub async fn bind(settings: SideSettings, incarnation: Incarnation) -> Result<Self, SideError> {
        let bind = async |address: SocketAddr| {
            TcpListener::bind(address).await.map_err(|error| SideError::Bind { address, error })
        };
        let peer_listener = bind(settings.process.peer_address).await?;
        let operator_listener = bind(settings.process.operator_address).await?;
        let local = |listener: &TcpListener, address| {
            listener.local_addr().map_err(|error| SideError::Bind { address, error })
        };
        let peer_address = local(&peer_listener, settings.process.peer_address)?;
        let operator_address = local(&operator_listener, settings.process.operator_address)?;
        let process = ProcessId { name: ProcessName(settings.process.name.clone()), incarnation };
        let (events, event_queue) = mpsc::unbounded_channel();
        Ok(Self {
            settings: Rc::new(settings),
            identity: PeerIdentity { process, role: Some(Role::Side) },
            clock: Clock::start(),
            metrics: Rc::new(Metrics::new().map_err(|_| SideError::Metrics)?),
            peer_listener,
            operator_listener,
            peer_address,
            operator_address,
            events,
            event_queue,
            follow_log: true,
        })
    }

    /// Bound address for peers.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Bound address of the operator endpoints.
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Disables reading the configuration from entry processes and the log; only the returned
    /// handle sets it.
    pub fn detach(&mut self) -> SideHandle {
        self.follow_log = false;
        SideHandle { events: self.events.clone() }
    }

    /// Runs until `stop` completes, then drains and returns.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        LocalSet::new().run_until(self.serve(stop)).await;
    }

    async fn serve(mut self, stop: impl Future<Output = ()>) {
        let secret = FleetSecret::new(self.settings.process.fleet_secret.as_bytes());
        let shared = Rc::new(self.share(&secret));
        let announce = Rc::new(Notify::new());
        let (incoming, mut arrivals) = mpsc::channel(INCOMING_QUEUE_MESSAGES);
        let closing = watch::Sender::new(false);
        let accepting = closing.subscribe();
        let identity = self.identity.clone();
        spawn_local(accept_peers(self.peer_listener, identity, secret, incoming, accepting));
        spawn_local(serve_operators(
            self.operator_listener,
            shared.core.clone(),
            self.metrics.clone(),
        ));
        let interval = Duration::from_millis(self.settings.membership.vm_list_poll_ms);
        let timeout_ms = Duration::from_millis(self.settings.platform.request_timeout_ms);
        let list = HttpVmList::new(self.settings.platform.vm_list_address, timeout_ms);
        spawn_local(read_vm_list(list, interval, self.events.clone()));
        spawn_local(send_heartbeats(shared.clone(), announce.clone()));
        if self.follow_log {
            spawn_local(follow_config(shared.clone()));
        }
        log::info!(
            "event=started process={} peer_address={} operator_address={} target={}",
            self.identity.process,
            self.peer_address,
            self.operator_address,
            self.settings.target
        );
        shared.run_loop(&mut arrivals, &mut self.event_queue, stop).await;
        shared.with_core(|core, now| core.start_drain(now));
        announce.notify_one();
        log::info!("event=draining process={}", self.identity.process);
        let limit = Duration::from_millis(self.settings.process.drain_limit_ms);
        let margin = Duration::from_millis(self.settings.handover_margin_ms);
        let end = Instant::now() + limit;
        let finished = shared.clone();
        let all_done = async {
            loop {
                while finished.tasks.borrow_mut().try_join_next().is_some() {}
                if finished.tasks.borrow().is_empty() {
                    return;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        let hand_over = async {
            sleep(limit.saturating_sub(margin)).await;
            shared.handover.send_replace(true);
            sleep_until(end).await;
        };
        let drained = async {
            tokio::select! {
                () = all_done => {}
                () = hand_over => {
                    log::warn!("event=drain_limit process={}", self.identity.process);
                }
            }
        };
        shared.run_loop(&mut arrivals, &mut self.event_queue, drained).await;
        // Entry processes that have not heard of the drain get refusals, which say that nothing ran.
        shared.run_loop(&mut arrivals, &mut self.event_queue, sleep(FLUSH_TIMEOUT)).await;
        closing.send_replace(true);
        let now = Instant::now();
        let close_end = end.min(now + CLOSE_TIMEOUT);
        let closed = async {
            if timeout_at(close_end, closing.closed()).await.is_err() {
                log::warn!("event=peers_not_closed process={}", self.identity.process);
            }
        };
        shared.run_loop(&mut arrivals, &mut self.event_queue, closed).await;
        log::info!("event=stopped process={}", self.identity.process);
    }

    fn share(&self, secret: &FleetSecret) -> Shared {
        let settings = &self.settings;
        let call_limit = Duration::from_millis(settings.membership.call_timeout_ms);
        let limits = EngineLimits {
            event: Duration::from_millis(settings.token_timeout_ms),
            ..EngineLimits::default()
        };
        let options = HttpLogOptions {
            request_timeout_ms: settings.platform.request_timeout_ms,
            appends_per_s: settings.platform.appends_per_s,
        };
        let now = self.clock.now();
        let address = settings.process.advertised_address.unwrap_or(self.peer_address);
        let core = Core::new(settings.clone(), self.identity.process.clone(), address, now);
        let log = HttpLog::new(settings.platform.log_address, options);
        let own = self.identity.process.clone();
        let claims = ClaimReplica::new(settings, own, log.clone(), self.clock);
        Shared {
            settings: settings.clone(),
            identity: self.identity.clone(),
            address,
            clock: self.clock,
            core: Rc::new(RefCell::new(core)),
            events: self.events.clone(),
            pool: PeerPool::new(self.identity.clone(), secret.clone(), call_limit),
            engine: HttpEngine::new(settings.target_address, limits),
            log,
            metrics: self.metrics.clone(),
            decisions: RefCell::default(),
            recent_ids: Rc::default(),
            claims,
            tasks: RefCell::default(),
            source: Cell::default(),
            next_start: Cell::new(0),
            handover: watch::Sender::new(false),
            probe_now: Rc::default(),
            read_config_now: Rc::default(),
            probing: Cell::new(false),
        }
    }
}

impl Shared {
    /// Handles messages, events and timers until `until` completes.
    async fn run_loop(
        self: &Rc<Self>,
        arrivals: &mut mpsc::Receiver<Incoming>,
        events: &mut mpsc::UnboundedReceiver<Event>,
        until: impl Future<Output = ()>,
    ) {
        tokio::pin!(until);
        loop {
            let wake = self
                .core
                .borrow()
                .next_wake()
                .map_or(MAX_LOOP_WAIT, |wake| wake.since(self.clock.now()).min(MAX_LOOP_WAIT));
            tokio::select! {
                () = &mut until => return,
                Some(incoming) = arrivals.recv() => self.handle_incoming(incoming),
                Some(event) = events.recv() => self.handle_event(event),
                () = sleep(wake) => self.with_core(|core, now| core.drive(now)),
            }
            self.claims.expire_claims();
            let in_flight = self.core.borrow().requests.len();
            self.metrics.set_in_flight(u64::try_from(in_flight).unwrap_or(u64::MAX));
            while self.tasks.borrow_mut().try_join_next().is_some() {}
        }
    }
}

impl Core {
    /// Stops admission and refuses the queued requests.
    fn start_drain(&mut self, now: Timestamp) {
        self.draining = true;
        self.refuse_queued(RefuseReason::Draining);
        self.drive(now);
    }
}

/// Accepts peers until the process closes its connections; each connection holds a receiver of `closing`.
async fn accept_peers(
    listener: TcpListener,
    identity: PeerIdentity,
    secret: FleetSecret,
    incoming: mpsc::Sender<Incoming>,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = signalled(&mut closing) => return,
        };
        match accepted {
            Ok((stream, from)) => {
                let (identity, secret, incoming) =
                    (identity.clone(), secret.clone(), incoming.clone());
                let mut closing = closing.clone();
                tokio::spawn(async move {
                    let closed = signalled(&mut closing);
                    if let Err(error) =
                        serve_connection_until(stream, &identity, &secret, incoming, closed).await
                    {
                        log::warn!("event=peer_connection_closed from={from} error=\"{error}\"");
                    }
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
}
