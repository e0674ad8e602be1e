//! Orders to engines that have no agent, divided among the gateways.
//!
//! An engine counts as unmanaged if it has been listed for a while, no state of an agent was
//! received for it, and the store has no record of an agent on its machine. The store assigns
//! partitions of the engines to gateways; a gateway sends orders under a fencing token that it
//! acquires after the assignment.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use base::{SortedMap, Timestamp, short_hash};
use compact_str::CompactString;
use config::FleetBounds;
use ingress::ShutdownStage;
use placement::{PartitionLease, PartitionLeaseSettings, UnansweredOrders};
use store::{Group, GroupCoordinator, KeyedLog, KeyedReader, Topic};
use telemetry::quote;
use tokio::task::AbortHandle;
use tokio::time::{MissedTickBehavior, interval};
use wire::{AgentAsk, OrderGiver};

use crate::app::App;
use crate::fleet_link::FleetLink;
use crate::remote_engine::RemoteEngine;

/// Time between two checks for unmanaged engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long an engine is listed without an agent before the agents' records are read; state from an
/// agent usually arrives within 100 ms.
const AGENT_LOOKUP_DELAY: Duration = Duration::from_millis(1_000);
/// How long an engine is listed without an agent before this gateway sends it orders; an agent that
/// starts together with its engine has written its record long before.
const TAKEOVER_DELAY: Duration = Duration::from_millis(3_000);
/// Time between two reads of the agents' records while engines have no agent.
const AGENT_RECORDS_INTERVAL: Duration = Duration::from_secs(10);
/// Most gateways that share the orders. Each membership causes billed store calls, and one gateway
/// can manage about 50 engines.
const MAX_ORDERING_GATEWAYS: usize = 6;
/// Time between two calls that renew the group membership, which lasts for three such intervals.
const JOIN_INTERVAL: Duration = Duration::from_millis(1_000);

/// An engine to which this gateway sends orders.
struct ManagedEngine {
    engine: Rc<RemoteEngine>,
    task: AbortHandle,
}

impl Drop for ManagedEngine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// This gateway's share of the orders to unmanaged engines.
pub(crate) struct EngineOrders {
    lease: RefCell<PartitionLease>,
    /// Fencing token, acquired after the last assignment of a new partition.
    fencing_number: Cell<Option<u64>>,
    managed: RefCell<SortedMap<CompactString, ManagedEngine>>,
    /// Orders without a response to engines that are no longer managed here, by target.
    unanswered: RefCell<SortedMap<CompactString, UnansweredOrders>>,
}

impl EngineOrders {
    /// No managed engines.
    pub(crate) fn new(bounds: &FleetBounds) -> Self {
        let settings = PartitionLeaseSettings {
            handover_gap: Duration::from_millis(bounds.lease_ms),
            ..PartitionLeaseSettings::default()
        };
        Self {
            lease: RefCell::new(PartitionLease::new(settings)),
            fencing_number: Cell::new(None),
            managed: RefCell::new(SortedMap::new()),
            unanswered: RefCell::new(SortedMap::new()),
        }
    }

    /// Whether this gateway may send orders for a partition now.
    pub(crate) fn may_send_orders(&self, partition: u32, now: Timestamp) -> bool {
        self.lease.borrow().may_act(partition, now)
    }

    /// Applies a gateway's request to an engine that is managed here.
    pub(crate) fn apply_request(&self, request: &AgentAsk, now: Timestamp) {
        let managed = self.managed.borrow();
        let Some(entry) = managed.get(&request.target) else { return };
        entry.engine.scheduler.borrow_mut().apply_request(request, now);
        entry.engine.wakeup.notify_one();
    }

    /// Gives up all partitions after the store has lost its groups, whose generations begin anew.
    pub(crate) fn reset(&self, now: Timestamp) {
        self.release_all(now);
        let settings = self.lease.borrow().settings();
        *self.lease.borrow_mut() = PartitionLease::new(settings);
    }

    /// Ends the management of the engines for which `stays` is false. An engine may come back under
    /// its id while orders to it may still be carried out, so these are kept.
    fn retain_managed(&self, now: Timestamp, stays: impl Fn(&CompactString) -> bool) {
        let mut unanswered = self.unanswered.borrow_mut();
        unanswered.retain(|_, orders| orders.is_any_late(now));
        self.managed.borrow_mut().retain(|target, managed| {
            let keeps = stays(target);
            if !keeps {
                let orders = managed.engine.scheduler.borrow().unanswered_orders(now);
                if orders.is_any_late(now) {
                    unanswered.insert(target.clone(), orders);
                }
            }
            keeps
        });
    }

    fn release_all(&self, now: Timestamp) {
        self.retain_managed(now, |_| false);
        self.lease.borrow_mut().release_all();
        self.fencing_number.set(None);
    }
}

/// Search for engines without an agent.
struct UnmanagedEngineSearch {
    reader: KeyedReader,
    read_at: Option<Timestamp>,
    /// Machines that have an agent.
    with_agent: Vec<IpAddr>,
    /// Since when each listed engine has had no agent.
    unmanaged_since: SortedMap<CompactString, Timestamp>,
    membership_renewed_at: Option<Timestamp>,
}

/// A listed engine for which no state of an agent was received.
#[derive(Clone, Debug)]
struct UnmanagedEngine {
    target: CompactString,
    started_unix_ms: Option<u64>,
    service: CompactString,
    address: SocketAddr,
    since: Timestamp,
}

/// Takes part in managing engines until the task is aborted.
pub(crate) async fn coordinate_engine_orders(app: Rc<App>, link: Rc<FleetLink>) {
    let mut search = UnmanagedEngineSearch {
        reader: KeyedReader::new(Topic::Agents),
        read_at: None,
        with_agent: Vec::new(),
        unmanaged_since: SortedMap::new(),
        membership_renewed_at: None,
    };
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let unmanaged = match *app.stage.borrow() {
            ShutdownStage::Serving
                if app.gateways.borrow().rank(app.clock.now()) < MAX_ORDERING_GATEWAYS =>
            {
                search.unmanaged(&app)
            }
            _ => Vec::new(),
        };
        let unmanaged = match unmanaged.is_empty() {
            true => unmanaged,
            false => search.without_agent(&app, unmanaged).await,
        };
        if unmanaged.is_empty() {
            search.leave(&app).await;
            continue;
        }
        search.renew_membership(&app).await;
        reconcile(&app, &link, &unmanaged);
    }
}

impl UnmanagedEngineSearch {
    /// Engines that have been listed for a while and never had an agent.
    fn unmanaged(&mut self, app: &App) -> Vec<UnmanagedEngine> {
        let now = app.clock.now();
        let Some(config) = app.config() else { return Vec::new() };
        let fleet = app.fleet.borrow();
        let is_engine = |service: &str| {
            config.service_id(service).is_some_and(|id| config.service(id).engine.is_some())
        };
        let mut unmanaged = Vec::new();
        let mut unmanaged_since = SortedMap::new();
        let listed = fleet.targets().filter(|target| target.accepts_work);
        for target in listed.filter(|t| !t.has_local_agent() && is_engine(&t.service)) {
            let since = self.unmanaged_since.get(&target.id).copied().unwrap_or(now);
            unmanaged_since.insert(target.id.clone(), since);
            if now.since(since) >= AGENT_LOOKUP_DELAY {
                unmanaged.push(UnmanagedEngine {
                    target: target.id.clone(),
                    started_unix_ms: target.started_unix_ms,
                    service: target.service.clone(),
                    address: target.address,
                    since,
                });
            }
        }
        self.unmanaged_since = unmanaged_since;
        unmanaged
    }

    /// Filters out engines with an agent recorded in the store; returns none until the records were
    /// read once.
    async fn without_agent(
        &mut self,
        app: &App,
        unmanaged: Vec<UnmanagedEngine>,
    ) -> Vec<UnmanagedEngine> {
        let now = app.clock.now();
        if self.read_at.is_none_or(|at| now.since(at) >= AGENT_RECORDS_INTERVAL) {
            match self.reader.read(&app.store, Duration::ZERO).await {
                Ok(read) => {
                    let records = read.page().records.iter().filter_map(|r| r.value.as_ref());
                    let engines = records
                        .filter_map(|value| wire::decode::<OrderGiver>(value).ok()?.engine)
                        .map(|engine| engine.ip());
                    self.with_agent.extend(engines);
                    self.with_agent.sort_unstable();
                    self.with_agent.dedup();
                    if !read.page().reaches_end() {
                        // The record of an agent may be among those that follow.
                        return Vec::new();
                    }
                    self.read_at = Some(now);
                }
                Err(error) => {
                    log::warn!("event=store_call_failed topic=agents error=\"{error}\"");
                    if self.read_at.is_none() {
                        return Vec::new();
                    }
                }
            }
        }
        let has_no_agent = |engine: &UnmanagedEngine| {
            let ip = engine.address.ip();
            self.with_agent.binary_search(&ip).is_err()
        };
        unmanaged.into_iter().filter(has_no_agent).collect()
    }

    /// Renews the group membership and acquires a fencing token after new partitions are assigned.
    async fn renew_membership(&mut self, app: &App) {
        let requested_at = app.clock.now();
        if self.membership_renewed_at.is_some_and(|at| requested_at.since(at) < JOIN_INTERVAL) {
            return;
        }
        self.membership_renewed_at = Some(requested_at);
        let orders = &app.engine_orders;
        let member = app.settings().name.clone();
        let (lifetime, generation) = {
            let lease = orders.lease.borrow();
            (lease.settings().lifetime, lease.generation())
        };
        let assignment = app.store.join(Group::EngineOrders, &member, lifetime, generation).await;
        let now = app.clock.now();
        app.record_answered_era(now);
        match assignment {
            Ok(assignment) => {
                let gained = orders.lease.borrow_mut().apply_assignment(
                    assignment.generation,
                    &assignment.parts,
                    requested_at,
                    now,
                );
                if assignment.generation != generation {
                    log::info!(
                        "event=order_parts_dealt generation={} parts={:?} gained={gained}",
                        assignment.generation,
                        assignment.parts
                    );
                }
                if gained {
                    orders.fencing_number.set(None);
                    orders.retain_managed(now, |_| false);
                }
            }
            Err(error) => log::warn!("event=store_call_failed call=join error=\"{error}\""),
        }
        if orders.fencing_number.get().is_none() && orders.lease.borrow().holds_any(app.clock.now())
        {
            acquire_fencing_number(app, &member).await;
        }
    }

    async fn leave(&mut self, app: &App) {
        if self.membership_renewed_at.take().is_none() {
            return;
        }
        app.engine_orders.release_all(app.clock.now());
        let member = app.settings().name.clone();
        if let Err(error) = app.store.leave(Group::EngineOrders, &member).await {
            log::warn!("event=store_call_failed call=leave error=\"{error}\"");
        }
    }
}

async fn acquire_fencing_number(app: &App, member: &CompactString) {
    let record = OrderGiver { process: app.process.clone(), engine: None };
    let Ok(value) = wire::encode(&record) else { return };
    match app.store.put(Topic::Agents, member, Some(&value)).await {
        Ok(offset) => {
            let fencing_number = offset.next().0;
            log::info!("event=fencing_number_taken number={fencing_number}");
            app.engine_orders.fencing_number.set(Some(fencing_number));
        }
        Err(error) => log::warn!("event=store_call_failed topic=agents error=\"{error}\""),
    }
}

/// Partition of an engine; it stays the same when the engine restarts.
fn partition_of(address: SocketAddr, partitions: u32) -> u32 {
    short_hash(address.to_string().as_bytes()) % partitions.max(1)
}

/// Starts and stops the management of engines to match the assigned partitions.
fn reconcile(app: &Rc<App>, link: &Rc<FleetLink>, unmanaged: &[UnmanagedEngine]) {
    let now = app.clock.now();
    let orders = &app.engine_orders;
    let Some(fencing_number) = orders.fencing_number.get() else { return };
    let Some(config) = app.config() else { return };
    let partitions = app.settings().store_parts;
    let due: Vec<(&UnmanagedEngine, u32)> = unmanaged
        .iter()
        .map(|engine| (engine, partition_of(engine.address, partitions)))
        .filter(|(engine, partition)| {
            now.since(engine.since) >= TAKEOVER_DELAY && orders.may_send_orders(*partition, now)
        })
        .collect();
    orders.retain_managed(now, |target| due.iter().any(|(engine, _)| engine.target == *target));
    let mut managed = orders.managed.borrow_mut();
    for (engine, partition) in due {
        let managed_engine = managed.get_or_insert_with(engine.target.clone(), || {
            log::info!(
                "event=engine_held target={} part={partition} fencing={fencing_number}",
                quote(&engine.target)
            );
            let engine = Rc::new(RemoteEngine::new(
                engine.target.clone(),
                partition,
                engine.address,
                fencing_number,
            ));
            if let Some(unanswered) = orders.unanswered.borrow_mut().remove(&engine.target) {
                engine.scheduler.borrow_mut().take_over(unanswered);
            }
            let task =
                tokio::task::spawn_local(Rc::clone(&engine).drive(Rc::clone(app), Rc::clone(link)));
            ManagedEngine { engine, task: task.abort_handle() }
        });
        let mut scheduler = managed_engine.engine.scheduler.borrow_mut();
        scheduler.set_limits(&config, &engine.service);
        let request = AgentAsk {
            wants_state: false,
            config: app.version(),
            store_era: app.store_era.get().known(),
            target: engine.target.clone(),
            born_ms: engine.started_unix_ms,
            used_adapters: Vec::new(),
            wanted_adapters: Vec::new(),
            plan: None,
        };
        scheduler.apply_request(&request, now);
        if scheduler.incarnation().1 != engine.started_unix_ms {
            drop(scheduler);
            managed_engine.engine.request_report();
        }
    }
}
