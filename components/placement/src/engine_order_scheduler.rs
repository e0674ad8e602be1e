//! Scheduler of load and unload orders for one engine, within the engine's memory.
//!
//! A single scheduler, in the agent next to the engine, issues all orders to it. Each order carries
//! the number of orders that the engine must have accepted before it, so that an order which
//! arrives after another one was accepted has no effect. An order without a reply can therefore be
//! repeated until the count increases.

use std::net::SocketAddr;
use std::time::Duration;

use base::{LoadedModel, Offset, ProcessId, SortedMap, Timestamp};
use compact_str::CompactString;
use config::FleetConfig;
use wire::{AdapterName, AgentAsk, AgentState, EnginePlan, ModelChange, PlannedCopy};

use crate::due_order::{AcceptedChange, UnconfirmedOrder};
use crate::{DueOrder, EngineOrder, EngineReport, OrderAnswer, UnansweredOrders};

/// Maximum number of adapters that an engine loads at the same time.
const MAX_LOADING_ADAPTERS: usize = 4;
/// Time after a gateway's last request for which an adapter counts as in use; longer than the
/// interval between two requests.
const ADAPTER_USE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which a gateway's request for an adapter is valid.
const ADAPTER_REQUEST_LIFETIME: Duration = Duration::from_millis(600);
/// Age at which a plan expires.
pub(crate) const PLAN_LIFETIME: Duration = Duration::from_millis(3_000);
/// Backoff after an order that the engine refused.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);
/// Time between the announcement of an unload and the order, in which gateways stop sending
/// requests for the model.
const UNLOAD_NOTICE: Duration = Duration::from_millis(120);
/// Maximum time without orders while an engine waits for the requests that use an adapter to be
/// unloaded; it refuses all other orders in that time.
const ADAPTER_UNLOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which loads from the weight store are recorded.
const FETCH_HISTORY: Duration = Duration::from_secs(10);

/// Memory sizes and load times of a model and its adapters.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct ModelSize {
    model_mb: u64,
    adapter_mb: u64,
    load_ms: u64,
    host_load_ms: u64,
    disk_load_ms: u64,
}

/// Incarnation of the engine that orders are addressed to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct EngineIncarnation {
    id: CompactString,
    started_unix_ms: Option<u64>,
}

/// Scheduler of the orders for one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineOrderScheduler {
    /// Version of the configuration that the limits are from.
    limits_version: Offset,
    weights_mb: u64,
    adapter_slots: usize,
    sizes: SortedMap<CompactString, ModelSize>,
    incarnation: EngineIncarnation,
    report: EngineReport,
    report_is_current: bool,
    adapter_uses: SortedMap<AdapterName, Timestamp>,
    adapter_requests: SortedMap<AdapterName, Timestamp>,
    plan: Option<(EnginePlan, Timestamp)>,
    unconfirmed: Option<UnconfirmedOrder>,
    change: Option<AcceptedChange>,
    /// Adapter whose unload was accepted but which is still loaded because a request uses it.
    unloading_adapter: Option<(AdapterName, Timestamp)>,
    /// Model to be unloaded, and the time of the announcement to the gateways.
    announced_unload: Option<(CompactString, Timestamp)>,
    backoff_until: Timestamp,
    fetches: Vec<Timestamp>,
    /// Whether reports may predate the last order.
    reports_may_lag: bool,
    /// Minimum number of orders that the engine has accepted; a report of fewer is stale.
    accepted_at_least: u64,
    unanswered: UnansweredOrders,
    /// Order that was sent and whose outcome is not known yet.
    in_flight: Option<DueOrder>,
}

impl EngineOrderScheduler {
    /// Creates a scheduler without an engine report.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a scheduler for a remote engine, whose reports may predate the last order. It
    /// assumes the effect of accepted adapter orders instead of waiting for a report.
    pub fn remote() -> Self {
        Self { reports_may_lag: true, ..Self::default() }
    }

    /// Sets the limits of the engines of `service` and the sizes of models; an older configuration
    /// than the last one has no effect.
    pub fn set_limits(&mut self, config: &FleetConfig, service: &str) {
        if config.version < self.limits_version {
            return;
        }
        let Some(limits) = config.service_id(service).and_then(|id| config.service(id).engine)
        else {
            return;
        };
        self.limits_version = config.version;
        self.weights_mb = limits.weights_mb;
        self.adapter_slots = usize::try_from(limits.adapter_slots).unwrap_or(usize::MAX);
        self.sizes = config
            .models
            .iter()
            .map(|model| {
                let size = ModelSize {
                    model_mb: model.memory_mb,
                    adapter_mb: model.adapter_mb,
                    load_ms: model.load_ms,
                    host_load_ms: model.host_load_ms,
                    disk_load_ms: model.disk_load_ms,
                };
                (model.name.clone(), size)
            })
            .collect();
    }

    /// Applies a request from a gateway.
    pub fn apply_request(&mut self, request: &AgentAsk, now: Timestamp) {
        self.unanswered.record_observation(now);
        let is_newer = self.incarnation.started_unix_ms.is_none()
            || request.born_ms >= self.incarnation.started_unix_ms;
        // The engine's own report is authoritative for its current incarnation.
        if self.report.started_unix_ms.is_some() && request.born_ms != self.report.started_unix_ms {
            return;
        }
        if !request.target.is_empty() && is_newer && self.incarnation.id != request.target {
            self.replace_incarnation(EngineIncarnation {
                id: request.target.clone(),
                started_unix_ms: request.born_ms,
            });
        } else if is_newer && request.born_ms != self.incarnation.started_unix_ms {
            let id = self.incarnation.id.clone();
            self.replace_incarnation(EngineIncarnation { id, started_unix_ms: request.born_ms });
        }
        for name in &request.used_adapters {
            self.adapter_uses.insert(name.clone(), now);
        }
        for name in &request.wanted_adapters {
            self.adapter_uses.insert(name.clone(), now);
            self.adapter_requests.insert(name.clone(), now);
        }
        if let Some(plan) = &request.plan
            && plan.target == self.incarnation.id
        {
            self.plan = Some((plan.clone(), now));
        }
        self.adapter_requests
            .retain(|_, requested| now.since(*requested) < ADAPTER_REQUEST_LIFETIME);
    }

    fn replace_incarnation(&mut self, incarnation: EngineIncarnation) {
        if self.incarnation.started_unix_ms.is_some() {
            self.unanswered.record_restart();
        }
        self.incarnation = incarnation;
        self.report_is_current = false;
        self.unconfirmed = None;
        self.change = None;
        self.announced_unload = None;
        self.unloading_adapter = None;
        self.plan = None;
        self.accepted_at_least = 0;
        self.adapter_uses = SortedMap::new();
    }

    /// Applies a report that was requested after the reply to the last order.
    pub fn apply_report(&mut self, report: EngineReport, now: Timestamp) {
        self.unanswered.record_observation(now);
        let same_incarnation = self.incarnation.started_unix_ms.is_none()
            || report.started_unix_ms.is_none()
            || report.started_unix_ms == self.incarnation.started_unix_ms;
        if !same_incarnation {
            // No order may be sent until a gateway reports the id of the new incarnation.
            self.replace_incarnation(EngineIncarnation::default());
            self.report = report;
            return;
        }
        if report.orders_accepted < self.accepted_at_least {
            return;
        }
        if let Some(unconfirmed) = &self.unconfirmed
            && report.orders_accepted > unconfirmed.expected
        {
            let unconfirmed = unconfirmed.clone();
            self.unconfirmed = None;
            self.record_accepted(&unconfirmed.order, unconfirmed.expected, now);
        }
        if let Some(change) = &self.change {
            let is_loaded = report.models.iter().any(|loaded| loaded.model == change.model);
            let is_counted = report.orders_accepted > change.expected;
            if is_counted
                && !report.busy
                && (is_loaded == change.loading || now >= change.expected_end)
            {
                self.change = None;
            }
        }
        self.report = report;
        self.report_is_current = true;
        if let Some((name, since)) = &self.unloading_adapter {
            let is_loaded = self.adapters().any(|loaded| loaded == *name);
            if !is_loaded || now.since(*since) >= ADAPTER_UNLOAD_TIMEOUT {
                self.unloading_adapter = None;
            }
        }
        self.fetches.retain(|at| now.since(*at) < FETCH_HISTORY);
    }

    /// Returns the last applied report.
    pub const fn report(&self) -> &EngineReport {
        &self.report
    }

    /// Returns whether orders are withheld because late ones of an earlier run of the engine may be
    /// carried out, and a new fencing token would end that where the engine checks it.
    pub fn needs_fence(&self, now: Timestamp) -> bool {
        !self.incarnation.id.is_empty() && self.unanswered.needs_fence(&self.incarnation.id, now)
    }

    /// Records that orders carry a fencing token acquired after [`Self::needs_fence`] returned true
    /// for the engine's run that started at `started_unix_ms`, and that the engine checks it.
    pub fn record_fence(&mut self, started_unix_ms: Option<u64>) {
        if self.incarnation.started_unix_ms == started_unix_ms {
            self.unanswered.record_fence();
        }
    }

    /// Records that an order is about to be sent.
    pub fn record_sent(&mut self, due: &DueOrder) {
        self.in_flight = Some(due.clone());
    }

    /// Returns the orders without a response, with the one in flight, for the next scheduler of the
    /// engine.
    pub fn unanswered_orders(&self, now: Timestamp) -> UnansweredOrders {
        let mut unanswered = self.unanswered.clone();
        if let Some(due) = &self.in_flight {
            unanswered.record_order(&due.target, due.run, due.expected, now);
        }
        unanswered
    }

    /// Takes over the orders without a response of an earlier scheduler of the engine in the same
    /// process. The engine may have restarted since.
    pub fn take_over(&mut self, mut unanswered: UnansweredOrders) {
        unanswered.record_restart();
        self.unanswered = unanswered;
    }

    /// Returns whether the report includes the last order.
    pub const fn is_report_current(&self) -> bool {
        self.report_is_current
    }

    /// Returns the id of the engine's incarnation, empty while unknown, and the Unix time of its
    /// start in milliseconds.
    pub const fn incarnation(&self) -> (&CompactString, Option<u64>) {
        (&self.incarnation.id, self.incarnation.started_unix_ms)
    }

    /// Returns whether an order, load or unload is pending that a report may resolve.
    pub const fn awaits_report(&self) -> bool {
        self.unconfirmed.is_some()
            || self.change.is_some()
            || self.unloading_adapter.is_some()
            || !self.report.loading_adapters.is_empty()
    }

    /// Returns the ages of the loads from the weight store that this scheduler ordered, most recent
    /// last.
    pub fn fetch_ages(&self, now: Timestamp) -> impl Iterator<Item = Duration> {
        self.fetches.iter().map(move |at| now.since(*at))
    }

    /// Returns the model load or unload in progress, or the announced unload.
    pub fn change(&self, now: Timestamp) -> Option<ModelChange> {
        let Some(change) = &self.change else {
            let (model, _) = self.announced_unload.as_ref()?;
            return Some(ModelChange { model: model.clone(), loading: false, remaining_ms: 0 });
        };
        let remaining = change.expected_end.since(now).as_millis();
        Some(ModelChange {
            model: change.model.clone(),
            loading: change.loading,
            remaining_ms: u32::try_from(remaining).unwrap_or(u32::MAX),
        })
    }

    /// Returns the engine state to report to gateways; none while the engine's incarnation is
    /// unknown.
    pub fn state(
        &self,
        from: ProcessId,
        answers: bool,
        asked_at: Option<SocketAddr>,
        now: Timestamp,
    ) -> Option<AgentState> {
        let (target, born_ms) = self.incarnation();
        if target.is_empty() {
            return None;
        }
        let report = &self.report;
        Some(AgentState {
            from,
            sent_micros: now.micros,
            waited_ms: 0,
            target: target.clone(),
            born_ms,
            answers,
            orders_accepted: report.orders_accepted,
            models: report.models.clone(),
            changing: self.change(now),
            free_adapter_slots: u32::try_from(self.free_adapter_slots(now)).unwrap_or(u32::MAX),
            running: report.running,
            waiting: report.waiting,
            cache_used_tokens: report.cache_used_tokens,
            warm: report.warm.clone(),
            fetch_ages_ms: self
                .fetch_ages(now)
                .map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
                .collect(),
            asked_at,
        })
    }

    /// Returns the number of adapter slots that are free or hold an idle adapter.
    pub fn free_adapter_slots(&self, now: Timestamp) -> usize {
        let used = self
            .adapters()
            .filter(|name| self.is_used(name, now) || self.report.loading_adapters.contains(name))
            .count();
        self.adapter_slots.saturating_sub(used)
    }

    /// Selects the model to unload next, so that the unload can be announced to the gateways; true
    /// if the selection is new.
    pub fn select_unload(&mut self, now: Timestamp) -> bool {
        let victim = self.eviction_victim(now);
        if self.announced_unload.as_ref().map(|(model, _)| model) == victim.as_ref() {
            return false;
        }
        self.announced_unload = victim.map(|model| (model, now));
        self.announced_unload.is_some()
    }

    /// Returns the order to send now, if any.
    pub fn next_order(&self, now: Timestamp) -> Option<DueOrder> {
        if !self.report_is_current
            || self.incarnation.id.is_empty()
            || now < self.backoff_until
            || self.unanswered.may_take_effect(&self.incarnation.id, now)
        {
            return None;
        }
        let order = match &self.unconfirmed {
            Some(unconfirmed) => {
                return Some(self.due(unconfirmed.order.clone(), unconfirmed.expected));
            }
            None if self.unloading_adapter.is_some() => return None,
            None => self.adapter_order(now).or_else(|| self.model_order(now))?,
        };
        Some(self.due(order, self.report.orders_accepted))
    }

    fn due(&self, order: EngineOrder, expected: u64) -> DueOrder {
        let run = self.unanswered.run();
        DueOrder { order, expected, target: self.incarnation.id.clone(), run }
    }

    /// Applies the outcome of an order.
    pub fn apply_answer(&mut self, due: &DueOrder, answer: OrderAnswer, now: Timestamp) {
        self.in_flight = None;
        if answer == OrderAnswer::Unknown {
            self.unanswered.record_order(&due.target, due.run, due.expected, now);
        }
        if due.target != self.incarnation.id || due.run != self.unanswered.run() {
            return;
        }
        match answer {
            OrderAnswer::Accepted => {
                self.unconfirmed = None;
                self.record_accepted(&due.order, due.expected, now);
                if self.reports_may_lag {
                    self.assume_effect(due);
                    return;
                }
            }
            // Engines unload an adapter at once and reply as if it had not been loaded; the order
            // counts as accepted.
            OrderAnswer::AlreadyHolds
                if self.reports_may_lag && matches!(due.order, EngineOrder::UnloadAdapter(_)) =>
            {
                self.unconfirmed = None;
                self.assume_effect(due);
                return;
            }
            OrderAnswer::Unknown => {
                self.unconfirmed =
                    Some(UnconfirmedOrder { order: due.order.clone(), expected: due.expected });
            }
            // If an earlier attempt was accepted, the count in the next report shows it.
            OrderAnswer::Conflict if self.unconfirmed.is_some() => {
                self.accepted_at_least = 0;
                self.backoff_until = now + REFUSAL_BACKOFF;
            }
            OrderAnswer::AlreadyHolds
            | OrderAnswer::Conflict
            | OrderAnswer::Fenced
            | OrderAnswer::OtherEngine
            | OrderAnswer::Rejected => {
                self.unconfirmed = None;
                self.accepted_at_least = 0;
                if answer != OrderAnswer::AlreadyHolds {
                    self.backoff_until = now + REFUSAL_BACKOFF;
                }
            }
        }
        // Only the next report gives the count that the next order must carry.
        self.report_is_current = false;
    }

    /// Adds an accepted order to the report's count, and its effect if that is immediate.
    fn assume_effect(&mut self, due: &DueOrder) {
        self.accepted_at_least = due.expected + 1;
        self.report.orders_accepted = self.accepted_at_least;
        let (name, loads) = match &due.order {
            EngineOrder::LoadAdapter(name) => (name, true),
            EngineOrder::UnloadAdapter(name) => (name, false),
            EngineOrder::LoadModel(_) | EngineOrder::UnloadModel(_) => return,
        };
        self.unloading_adapter = None;
        let Some(loaded) = self.report.models.iter_mut().find(|m| m.model == name.model) else {
            return;
        };
        match (loaded.adapters.binary_search(&name.adapter), loads) {
            (Err(at), true) => loaded.adapters.insert(at, name.adapter.clone()),
            (Ok(at), false) => {
                loaded.adapters.remove(at);
            }
            (Ok(_), true) | (Err(_), false) => {}
        }
    }

    fn record_accepted(&mut self, order: &EngineOrder, expected: u64, now: Timestamp) {
        let (model, loading) = match order {
            EngineOrder::LoadModel(model) => (model, true),
            EngineOrder::UnloadModel(model) => (model, false),
            EngineOrder::UnloadAdapter(name) => {
                self.unloading_adapter = Some((name.clone(), now));
                return;
            }
            EngineOrder::LoadAdapter(_) => return,
        };
        let size = self.size(model);
        let warm = &self.report.warm;
        let duration_ms = match loading {
            false => 0,
            true if warm.in_memory.binary_search(model).is_ok() => size.host_load_ms,
            true if warm.on_disk.binary_search(model).is_ok() => size.disk_load_ms,
            true => {
                self.fetches.push(now);
                size.load_ms
            }
        };
        self.announced_unload = None;
        self.change = Some(AcceptedChange {
            model: model.clone(),
            loading,
            accepted_at: now,
            expected_end: now + Duration::from_millis(duration_ms),
            expected,
        });
    }

    /// Returns when the load or unload in progress was accepted.
    pub fn change_accepted_at(&self) -> Option<Timestamp> {
        self.change.as_ref().map(|change| change.accepted_at)
    }

    fn size(&self, model: &str) -> ModelSize {
        self.sizes.get(model).copied().unwrap_or_default()
    }

    fn loaded_model(&self, model: &str) -> Option<&LoadedModel> {
        self.report.models.iter().find(|loaded| loaded.model == model)
    }

    /// Returns the loaded adapters.
    fn adapters(&self) -> impl Iterator<Item = AdapterName> + '_ {
        self.report.models.iter().flat_map(|loaded| {
            loaded.adapters.iter().map(|adapter| AdapterName {
                model: loaded.model.clone(),
                adapter: adapter.clone(),
            })
        })
    }

    fn is_used(&self, name: &AdapterName, now: Timestamp) -> bool {
        self.adapter_uses.get(name).is_some_and(|at| now.since(*at) < ADAPTER_USE_TIMEOUT)
    }

    /// Returns the memory used by loaded models and adapters and by loads in progress.
    fn used_mb(&self) -> u64 {
        let models: u64 =
            self.report.models.iter().map(|loaded| self.size(&loaded.model).model_mb).sum();
        let adapters: u64 = self.adapters().map(|name| self.size(&name.model).adapter_mb).sum();
        let loading_adapters: u64 =
            self.report.loading_adapters.iter().map(|name| self.size(&name.model).adapter_mb).sum();
        let loading_model = self
            .change
            .as_ref()
            .filter(|change| change.loading && self.loaded_model(&change.model).is_none())
            .map_or(0, |change| self.size(&change.model).model_mb);
        models + adapters + loading_adapters + loading_model
    }

    fn adapter_order(&self, now: Timestamp) -> Option<EngineOrder> {
        // Engines refuse adapter orders while they load or unload a model.
        let is_changing = self.report.busy || self.change.is_some();
        if is_changing || self.report.loading_adapters.len() >= MAX_LOADING_ADAPTERS {
            return None;
        }
        let wanted = self
            .adapter_requests
            .iter()
            .filter(|(name, at)| {
                now.since(**at) < ADAPTER_REQUEST_LIFETIME
                    && !self.report.loading_adapters.contains(name)
                    && self
                        .loaded_model(&name.model)
                        .is_some_and(|loaded| loaded.adapters.binary_search(&name.adapter).is_err())
            })
            // Picks the adapter whose latest request is the oldest, as it has waited longest.
            .min_by_key(|(_, at)| **at)
            .map(|(name, _)| name.clone())?;
        let used_slots = self.adapters().count() + self.report.loading_adapters.len();
        let needed_mb = self.size(&wanted.model).adapter_mb;
        if used_slots < self.adapter_slots && self.used_mb() + needed_mb <= self.weights_mb {
            return Some(EngineOrder::LoadAdapter(wanted));
        }
        self.idle_adapter(now).map(EngineOrder::UnloadAdapter)
    }

    /// Returns the least recently used adapter that no request uses.
    fn idle_adapter(&self, now: Timestamp) -> Option<AdapterName> {
        self.adapters()
            .filter(|name| !self.is_used(name, now))
            .min_by_key(|name| self.adapter_uses.get(name).copied().unwrap_or_default())
    }

    /// Returns the next model that the plan requires and that is not loaded.
    fn next_missing_copy(&self, now: Timestamp) -> Option<&PlannedCopy> {
        let (plan, at) = self.plan.as_ref()?;
        if self.report.busy || self.change.is_some() || now.since(*at) >= PLAN_LIFETIME {
            return None;
        }
        plan.models.iter().find(|copy| {
            self.loaded_model(&copy.model).is_none()
                && (copy.may_fetch || self.report.warm.has(&copy.model))
        })
    }

    /// Returns the model to unload so that the next planned model fits.
    fn eviction_victim(&self, now: Timestamp) -> Option<CompactString> {
        let missing = self.next_missing_copy(now)?;
        if self.used_mb() + missing.memory_mb <= self.weights_mb {
            return None;
        }
        let (plan, _) = self.plan.as_ref()?;
        plan.surplus.iter().find(|model| self.loaded_model(model).is_some()).cloned()
    }

    fn model_order(&self, now: Timestamp) -> Option<EngineOrder> {
        let missing = self.next_missing_copy(now)?;
        if self.used_mb() + missing.memory_mb <= self.weights_mb {
            return Some(EngineOrder::LoadModel(missing.model.clone()));
        }
        let (model, since) = self.announced_unload.as_ref()?;
        let notice_passed = now.since(*since) >= UNLOAD_NOTICE;
        (notice_passed && self.eviction_victim(now).as_ref() == Some(model))
            .then(|| EngineOrder::UnloadModel(model.clone()))
    }
}
