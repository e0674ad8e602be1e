//! State shared by the tasks of a gateway.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::{Offset, ProcessId, ServiceId, Timestamp};
use calls::HttpClient;
use clock::BootClock;
use config::{FleetConfig, GatewaySettings};
use ingress::{CallerBudgetSettings, SharedCallerBudget, ShutdownStage};
use membership::{Authority, Evacuations, GatewayTable, StoreEra, TargetDirectory};
use placement::{BoundDemandTable, FleetPlanner, ModelDemandTable};
use platform::{Configuration, StoreClient};
use quarantine::Quarantine;
use rates::GatewayCount;
use routing::DirectFleet;
use streams::{KeeperSet, LiveStreams, SoftwareRegister, StreamOrigins, VersionView};
use telemetry::Metrics;
use tokio::sync::{Notify, watch};
use wire::{StoredDocument, Subject};

use crate::engine_orders::EngineOrders;
use crate::rate_limits::RateLimits;
use crate::shared_bytes::SharedBytes;
use crate::stream_lookups::StreamLookups;
use crate::target_pool::TargetPool;

/// Share of the key revocation deadline for which freshness evidence is valid. The rest covers the
/// time from the caller to this process and the resolution of the clocks.
const EVIDENCE_SHARE: f64 = 0.9;
/// Number of gateways up to which the retry delay for store calls isn't scaled; the live
/// deployments have five and six.
const UNSCALED_GATEWAYS: f64 = 6.0;
/// Longest time after the start for which readiness waits for state from all known gateways.
const MAX_WARM_UP: Duration = Duration::from_millis(1_500);

/// State shared by all tasks. They run on a single thread and hold no `RefCell` borrow across an
/// await point.
pub(crate) struct App {
    /// Settings; replaced when the settings file changes.
    pub settings: RefCell<Rc<GatewaySettings>>,
    /// Name and incarnation of this process.
    pub process: ProcessId,
    /// Clock.
    pub clock: BootClock,
    /// Store.
    pub store: StoreClient,
    /// Metrics.
    pub metrics: Metrics,
    /// Progress of a graceful shutdown.
    pub stage: watch::Sender<ShutdownStage>,
    /// When unanswered requests are aborted; set while the process drains.
    pub abort_at: Cell<Option<Timestamp>>,
    /// Configuration in force.
    pub config: RefCell<Option<Arc<FleetConfig>>>,
    /// Stored form of the configuration in force, served to other gateways and to agents.
    pub document: RefCell<Option<StoredDocument>>,
    /// HTTP client for calls to other gateways.
    pub peer_client: HttpClient,
    /// Era of the store.
    pub store_era: Cell<StoreEra>,
    /// Notified when the store came back from an older copy.
    pub store_restored: Notify,
    /// Evidence that no withdrawal of a key was missed.
    pub authority: RefCell<Authority>,
    /// Targets listed in the store.
    pub directory: RefCell<TargetDirectory>,
    /// Data centres that are being evacuated.
    pub evacuations: RefCell<Evacuations>,
    /// State of the targets, for load balancing.
    pub fleet: RefCell<DirectFleet>,
    /// Other gateways and their state.
    pub gateways: RefCell<GatewayTable>,
    /// Rate limits of the customers and retry budgets of the services.
    pub rates: RefCell<RateLimits>,
    /// Requests and prompt parts that end targets.
    pub quarantine: RefCell<Quarantine>,
    /// Notified when a quarantine begins.
    pub quarantine_begun: Notify,
    /// Quarantines that have changed and are not stored yet.
    pub changed_quarantines: RefCell<Vec<Subject>>,
    /// Notified when there is one.
    pub stored_quarantines_changed: Notify,
    /// Demand for each model.
    pub demand: RefCell<ModelDemandTable>,
    /// Streams that are bound to a version of the targets' software.
    pub bound_demand: RefCell<BoundDemandTable>,
    /// Placement planner; used only while this gateway leads the planning.
    pub planner: RefCell<FleetPlanner>,
    /// Orders to engines that have no agent.
    pub engine_orders: EngineOrders,
    /// Memory of events that are incomplete and large.
    pub large_events: SharedBytes,
    /// Connection pool for targets.
    pub pool: TargetPool,
    /// When the settings in force were applied.
    pub settings_applied_at: Cell<Timestamp>,
    /// When the configuration in force was applied.
    pub config_applied_at: Cell<Option<Timestamp>>,
    /// Number of requests in progress.
    pub in_flight: Rc<Cell<usize>>,
    /// Memory and connections for callers.
    pub budget: Rc<SharedCallerBudget>,
    /// Number of open connections from callers.
    pub connections: Rc<Cell<usize>>,
    /// Start of the last successful read of the store.
    pub store_read_at: Cell<Option<Timestamp>>,
    /// Start of the last successful read of the target list.
    pub targets_read_at: Cell<Option<Timestamp>>,
    /// Time as of which the target list must be known, whatever other gateways read.
    pub targets_wanted_at: Cell<Option<Timestamp>>,
    /// Whether the gateway registry was read since the start.
    pub registry_read: Cell<bool>,
    /// Notified when the state of an engine has changed.
    pub engines_changed: Notify,
    /// Versions of software that the store has, as of the last read.
    pub software_register: RefCell<SoftwareRegister>,
    /// Digest of the target list when this gateway last reported it.
    pub targets_digest: Cell<u32>,
    /// When this gateway learned of the versions in service.
    pub version_view: Cell<VersionView>,
    /// Versions that began the streams of this gateway.
    pub streams: RefCell<StreamOrigins>,
    /// Streams that this gateway relays or passes on, for the agents that remember them.
    pub live_streams: RefCell<LiveStreams>,
    /// Agents that are told of streams.
    pub keepers: RefCell<KeeperSet>,
    /// Searches for the versions that began other streams.
    pub stream_lookups: RefCell<StreamLookups>,
    /// Notified when an agent has answered in such a search.
    pub stream_answered: Notify,
    /// Notified when a target is found to stand still.
    pub target_silent: Notify,
}

impl App {
    /// Settings in force.
    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<FleetConfig>> {
        self.config.borrow().clone()
    }

    /// Version of the configuration in force.
    pub(crate) fn version(&self) -> Offset {
        self.config.borrow().as_ref().map_or(Offset::default(), |config| config.version)
    }

    /// Sizes of the budget for callers.
    pub(crate) fn budget_settings(settings: &GatewaySettings) -> CallerBudgetSettings {
        CallerBudgetSettings::for_machine(settings.memory_mb, settings.file_descriptors)
    }

    /// How long freshness evidence is valid.
    pub(crate) fn evidence_limit(settings: &GatewaySettings) -> Duration {
        Duration::from_millis(settings.bounds.revocation_ms).mul_f64(EVIDENCE_SHARE)
    }

    /// Age of the newest evidence that no withdrawal of a key was missed, if it is still valid.
    pub(crate) fn evidence_age(&self, now: Timestamp) -> Option<Duration> {
        let limit = Self::evidence_limit(&self.settings());
        let grant = self.authority.borrow().grant(self.version(), now)?;
        Some(limit.saturating_sub(grant.until.since(now)))
    }

    /// Applies a configuration unless one of the same or a newer version is in force.
    pub(crate) fn apply_configuration(
        &self,
        configuration: Configuration,
        source: &str,
        now: Timestamp,
    ) {
        let Configuration { operators_version, offset, document, config } = configuration;
        if config.version <= self.version() {
            return;
        }
        {
            let mut fleet = self.fleet.borrow_mut();
            fleet.set_services(config.services.iter().map(|service| service.name.as_str()));
            for (id, service) in (0..).map(ServiceId).zip(&config.services) {
                if let Some(engine) = service.engine {
                    fleet.set_cache_tokens(&service.name, engine.cache_tokens);
                    let gap_ms = config.shortest_gap_objective_ms(id).unwrap_or_default();
                    fleet.set_gap_objective(&service.name, Duration::from_millis(gap_ms));
                }
            }
        }
        self.rates.borrow_mut().apply_configuration(&config, now);
        self.metrics
            .admit_customers(config.customers.iter().map(|customer| customer.name.as_str()));
        *self.config.borrow_mut() = Some(Arc::new(config));
        self.update_cold_rules(now);
        self.config_applied_at.set(Some(now));
        *self.document.borrow_mut() = Some(StoredDocument { offset, bytes: document });
        log::info!(
            "event=configuration_in_force config={} offset={} operators_version={operators_version} source={source}",
            self.version().0,
            offset.0
        );
    }

    /// Updates the metrics for the age of settings and configuration, for gateways that are behind
    /// and for requests in flight.
    pub(crate) fn update_freshness_metrics(&self) {
        let now = self.clock.now();
        let behind = self.gateways.borrow().count_behind(self.version(), now);
        self.metrics.set_freshness(
            now.since(self.settings_applied_at.get()),
            self.config_applied_at.get().map(|at| now.since(at)),
            self.version().0,
            behind as u64,
        );
        self.metrics.set_in_flight(self.in_flight.get() as u64);
        let (parts, requests): (Vec<Subject>, Vec<Subject>) = self
            .quarantine
            .borrow()
            .held_subjects()
            .partition(|subject| matches!(subject, Subject::Part(_)));
        self.metrics.set_quarantined(parts.len() as u64, requests.len() as u64);
        let fleet = self.fleet.borrow();
        let in_use = || fleet.targets().filter(|target| target.accepts_work);
        let slow = in_use().filter(|target| target.speed.is_slow(now)).count();
        let limited = in_use().filter(|target| target.speed.concurrency_limit(now).is_some());
        self.metrics.set_uneven_targets(slow as u64, limited.count() as u64);
    }

    /// Delay before a failed store call is retried: `usual`, scaled by the number of gateways. The
    /// first gateway that reaches the store again informs the others, so during an outage a large
    /// fleet needs no more calls in total than a small one.
    pub(crate) fn retry_delay(&self, usual: Duration) -> Duration {
        let known = self.gateway_count(self.clock.now()).known;
        usual.mul_f64((f64::from(known) / UNSCALED_GATEWAYS).max(1.0))
    }

    /// Number of gateways that share rate limits and retry budgets, including this one.
    pub(crate) fn gateway_count(&self, now: Timestamp) -> GatewayCount {
        let (known, reachable) = self.gateways.borrow().counts(now);
        let count = |others: usize| u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1);
        GatewayCount { known: count(known), reporting: count(reachable) }
    }

    /// Whether the registry and the target list were read and state from all known gateways has
    /// been received.
    pub(crate) fn has_complete_view(&self, now: Timestamp) -> bool {
        let (known, reachable) = self.gateways.borrow().counts(now);
        self.registry_read.get() && self.targets_read_at.get().is_some() && reachable >= known
    }

    /// Why the readiness check fails, or `None` if the gateway is ready.
    pub(crate) fn not_ready_reason(&self) -> Option<&'static str> {
        let now = self.clock.now();
        if *self.stage.borrow() > ShutdownStage::Serving {
            return Some("shutting down");
        }
        if self.config().is_none() {
            return Some("no configuration in force");
        }
        if self.evidence_age(now).is_none() {
            return Some("no news of withdrawn keys");
        }
        if !self.has_complete_view(now) && now.since(Timestamp::default()) < MAX_WARM_UP {
            return Some("not all gateways and targets are known yet");
        }
        None
    }
}
