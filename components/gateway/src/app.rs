//! State of a gateway that its tasks share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::{Offset, ProcessId, Timestamp};
use calls::HttpClient;
use clock::BootClock;
use config::{GatewaySettings, Town};
use ingress::ShutdownStage;
use membership::{Authority, GatewayTable, TargetDirectory};
use placement::{FleetPlanner, ModelDemandTable};
use platform::{Configuration, StoreClient};
use rates::GatewayCount;
use routing::DirectFleet;
use telemetry::Metrics;
use tokio::sync::{Notify, watch};
use wire::StoredDocument;

use crate::engine_orders::EngineOrders;
use crate::rate_limits::RateLimits;
use crate::target_pool::TargetPool;

/// Part of the time until a withdrawn key must be dead for which evidence counts. The rest covers
/// the way from the caller and the resolution of the clocks.
const EVIDENCE_SHARE: f64 = 0.9;
/// Gateways that may call a failing store at their usual pace; the live deployments have five and six.
const UNSCALED_GATEWAYS: f64 = 6.0;
/// Longest time after the start for which readiness waits for peers that have not been heard.
const MAX_WARM_UP: Duration = Duration::from_millis(1_500);

/// Shared state. Everything runs on one thread, so that a borrow never outlives a step.
pub(crate) struct App {
    /// Settings; replaced when the file changes.
    pub settings: RefCell<Rc<GatewaySettings>>,
    /// This run.
    pub process: ProcessId,
    /// Clock.
    pub clock: BootClock,
    /// Store.
    pub store: StoreClient,
    /// Metrics.
    pub metrics: Metrics,
    /// Stage of life.
    pub stage: watch::Sender<ShutdownStage>,
    /// Configuration in force.
    pub config: RefCell<Option<Arc<Town>>>,
    /// The configuration in force as it was stored, for other gateways.
    pub document: RefCell<Option<StoredDocument>>,
    /// Calls to other gateways.
    pub peer_client: HttpClient,
    /// Evidence that no withdrawal is hidden.
    pub authority: RefCell<Authority>,
    /// Targets by the list.
    pub directory: RefCell<TargetDirectory>,
    /// Targets and the choice among them.
    pub fleet: RefCell<DirectFleet>,
    /// The other gateways.
    pub gateways: RefCell<GatewayTable>,
    /// Customers' rates and the budgets of further sends.
    pub rates: RefCell<RateLimits>,
    /// Demand for models.
    pub demand: RefCell<ModelDemandTable>,
    /// Moves of models, on the gateway that plans.
    pub planner: RefCell<FleetPlanner>,
    /// Orders to engines without an agent.
    pub engine_orders: EngineOrders,
    /// Connections to targets.
    pub pool: TargetPool,
    /// When the settings in force were taken.
    pub settings_applied_at: Cell<Timestamp>,
    /// When the configuration in force was taken.
    pub config_applied_at: Cell<Option<Timestamp>>,
    /// Requests in progress.
    pub in_flight: Rc<Cell<usize>>,
    /// Callers' connections.
    pub connections: Rc<Cell<usize>>,
    /// When the store was last read with success.
    pub store_read_at: Cell<Option<Timestamp>>,
    /// When the list of targets was last asked for with success.
    pub targets_read_at: Cell<Option<Timestamp>>,
    /// Whether the register of gateways was read since the start.
    pub registry_read: Cell<bool>,
    /// Rings when an agent's word on its engine has changed something.
    pub engines_changed: Notify,
}

impl App {
    /// Settings in force.
    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<Town>> {
        self.config.borrow().clone()
    }

    /// Version in force.
    pub(crate) fn version(&self) -> Offset {
        self.config.borrow().as_ref().map_or(Offset::default(), |config| config.version)
    }

    /// How long evidence counts.
    pub(crate) fn evidence_limit(settings: &GatewaySettings) -> Duration {
        Duration::from_millis(settings.bounds.revocation_ms).mul_f64(EVIDENCE_SHARE)
    }

    /// Age of the newest evidence that no withdrawal is hidden, if it still counts.
    pub(crate) fn evidence_age(&self, now: Timestamp) -> Option<Duration> {
        let limit = Self::evidence_limit(&self.settings());
        let grant = self.authority.borrow().grant(self.version(), now)?;
        Some(limit.saturating_sub(grant.until.since(now)))
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    pub(crate) fn apply_configuration(
        &self,
        configuration: Configuration,
        source: &str,
        now: Timestamp,
    ) {
        let Configuration { operators_version, offset, document, town: config } = configuration;
        if config.version <= self.version() {
            return;
        }
        {
            let mut fleet = self.fleet.borrow_mut();
            for service in &config.services {
                if let Some(engine) = service.engine {
                    fleet.set_cache_tokens(&service.name, engine.cache_tokens);
                }
            }
        }
        self.rates.borrow_mut().adopt(&config, now);
        self.metrics
            .admit_customers(config.customers.iter().map(|customer| customer.name.as_str()));
        *self.config.borrow_mut() = Some(Arc::new(config));
        self.config_applied_at.set(Some(now));
        *self.document.borrow_mut() = Some(StoredDocument { offset, bytes: document });
        log::info!(
            "event=configuration_in_force config={} offset={} operators_version={operators_version} source={source}",
            self.version().0,
            offset.0
        );
    }

    /// Sets the metrics on what this process runs on, and which gateways are behind.
    pub(crate) fn update_freshness_metrics(&self) {
        let now = self.clock.now();
        let behind = self.gateways.borrow().count_behind(self.version(), now);
        self.metrics.set_currency(
            now.since(self.settings_applied_at.get()),
            self.config_applied_at.get().map(|at| now.since(at)),
            self.version().0,
            behind as u64,
        );
        self.metrics.set_in_flight(self.in_flight.get() as u64);
    }

    /// Pause after a failed call to the store, `usual` for a few gateways. The first to reach the store
    /// again tells the others, so that in an outage all together call no more often than a few.
    pub(crate) fn retry_delay(&self, usual: Duration) -> Duration {
        let known = self.gateway_count(self.clock.now()).known;
        usual.mul_f64((f64::from(known) / UNSCALED_GATEWAYS).max(1.0))
    }

    /// The gateways that share rates and budgets, this one included.
    pub(crate) fn gateway_count(&self, now: Timestamp) -> GatewayCount {
        let (known, heard) = self.gateways.borrow().counts(now);
        let count = |others: usize| u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1);
        GatewayCount { known: count(known), reporting: count(heard) }
    }

    /// Whether the register and the list of targets were read and all gateways are heard.
    pub(crate) fn has_complete_view(&self, now: Timestamp) -> bool {
        let (known, heard) = self.gateways.borrow().counts(now);
        self.registry_read.get() && self.targets_read_at.get().is_some() && heard >= known
    }

    /// Why the load balancer should look elsewhere, if it should.
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
