//! Planner that assigns models to the engines of a service.
//!
//! One gateway plans, and the agents execute the moves one at a time. A second planner, on the
//! other side of a network partition, only costs efficiency: no move removes the last copy of a
//! model in the planner's view, and each agent enforces the memory limit of its engine.

use std::time::Duration;

use base::{SortedMap, Timestamp, rendezvous_score};
use compact_str::CompactString;

use crate::engine_order_scheduler::PLAN_LIFETIME;
use crate::missing_copy::MissingCopy;
use crate::{BoundDemand, FleetEngine, FleetModel, FleetMove, MoveReason};

/// Target utilisation of an engine's time by the demand for its models. A higher value leaves no
/// headroom for the bursts of a few hundred ms in which requests arrive.
const TARGET_UTILISATION: f64 = 0.4;
/// Fraction of the space beyond one copy of each model that is allocated by the number of adapters
/// while there is no measured demand: models with many adapters are likely to be used.
const PRIOR_FRACTION: f64 = 0.5;
/// Demand, in engines, below which a model is not entitled to a copy if the models don't all fit:
/// about one short request in 10 s.
const IDLE_DEMAND_ENGINES: f64 = 0.01;
/// Share of the places beyond one copy of each model up to which the demand must fall before idle
/// models are entitled to a copy again; less than 1, so that copies don't move back and forth.
const IDLE_RETURN_SHARE: f64 = 0.5;
/// Time after which a move without an effect is abandoned.
const MOVE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which an agent carries out no plan that it is not reminded of any more, with the time that
/// the last reminder takes.
const LATEST_START: Duration = PLAN_LIFETIME.saturating_add(Duration::from_millis(500));
/// Window of the weight store's limit, unless it is set.
const DEFAULT_LOAD_WINDOW: Duration = Duration::from_secs(5);
/// Maximum fraction of the engines that replace one model by another at the same time; each has
/// less serving capacity in the meantime.
const MAX_SWAPPING_FRACTION: f64 = 0.35;
/// Cost per request at an engine that is added to a move onto that engine, in milliseconds.
const COST_PER_REQUEST_MS: f64 = 40.0;

/// Added to the number of copies of a model, so that the shortage of one without copies is finite.
const NO_COPIES_DIVISOR: f64 = 0.1;
/// Additional cost of unloading a desired copy, in milliseconds, compared with a superfluous one.
const DESIRED_COPY_COST_MS: f64 = 500.0;
/// Additional cost of unloading the last copy of a model, in milliseconds: it is loaded again elsewhere.
const LAST_COPY_COST_MS: f64 = 2_000.0;
/// Additional cost of unloading a copy while streams run at its version, in milliseconds: the unload
/// waits until they have ended.
const RUNNING_STREAMS_COST_MS: f64 = 4_000.0;
/// Maximum ratio of the demand per copy of a model that loses a copy to that of the model that
/// gains one, both after the move; less than 1, so that copies don't move back and forth.
const DEMAND_RATIO_LIMIT: f64 = 0.6;
/// The same ratio for a losing model with more copies than it needs. The estimates are noisy:
/// without this limit, copies of two hot models changed places every few seconds.
const SURPLUS_DEMAND_RATIO_LIMIT: f64 = 0.8;

/// Input of one search for a move.
#[derive(Clone, Copy, Debug)]
struct FleetView<'a> {
    models: &'a [FleetModel],
    engines: &'a [FleetEngine],
    statuses: &'a [ModelCopyStatus],
    /// Number of loads that the weight store allows now.
    fetch_room: usize,
    /// Whether a move may unload a model.
    may_swap: bool,
    /// Whether the demand needs the places of idle models.
    idle_yield: bool,
    /// Copies that bound streams need at versions of the software.
    missing_at_versions: &'a [(MissingCopy<'a>, BoundDemand)],
}

#[derive(Clone, Debug)]
struct PendingMove {
    planned: FleetMove,
    planned_at: Timestamp,
}

/// Copies of a model compared with its demand, in one planning round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelCopyStatus {
    /// Copies, including those being loaded or planned.
    pub copies: usize,
    /// Copies required by the demand: at least one, but zero for an idle model if the models don't
    /// all fit.
    pub needed: usize,
    /// Copies worth keeping; at least the needed ones.
    pub desired: usize,
    /// Demand, in engines at the target utilisation.
    pub demand: f64,
}

/// Plans moves and tracks those in progress.
#[derive(Clone, Debug)]
pub struct FleetPlanner {
    pending: SortedMap<CompactString, PendingMove>,
    /// Until when the loads from the weight store count that are planned no longer: their agents may
    /// still order them, and nothing reports a load of an engine that has left.
    dropped_fetches: Vec<Timestamp>,
    /// Window of the weight store's limit.
    load_window: Duration,
    /// Whether the demand needs the places of idle models.
    idle_yield: bool,
}

impl Default for FleetPlanner {
    fn default() -> Self {
        Self {
            pending: SortedMap::new(),
            dropped_fetches: Vec::new(),
            load_window: DEFAULT_LOAD_WINDOW,
            idle_yield: false,
        }
    }
}

impl FleetPlanner {
    /// Creates a planner without moves.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the window of the weight store's limit.
    pub const fn set_load_window(&mut self, window: Duration) {
        self.load_window = window;
    }

    /// Returns the moves in progress.
    pub fn moves(&self) -> impl Iterator<Item = &FleetMove> {
        self.pending.values().map(|pending| &pending.planned)
    }

    /// Returns the copies of each model and its demand, sorted by decreasing demand.
    pub fn busiest<'a>(
        &self,
        models: &'a [FleetModel],
        engines: &[FleetEngine],
    ) -> Vec<(&'a FleetModel, ModelCopyStatus)> {
        let mut statuses: Vec<_> = models.iter().zip(self.statuses(models, engines)).collect();
        statuses.sort_by(|a, b| b.1.demand.total_cmp(&a.1.demand));
        statuses
    }

    /// Runs a planning round and returns the new moves. `fetch_room` is the number of loads that
    /// the weight store allows now.
    pub fn plan(
        &mut self,
        models: &[FleetModel],
        engines: &[FleetEngine],
        fetch_room: usize,
        now: Timestamp,
    ) -> Vec<FleetMove> {
        self.drop_finished_moves(engines, now);
        self.update_idle_yield(models, engines);
        let mut statuses = self.statuses(models, engines);
        let reserved = self.planned_fetches(engines) + self.dropped_fetches.len();
        let mut remaining_fetches = fetch_room.saturating_sub(reserved);
        let max_swaps = ((engines.len() as f64 * MAX_SWAPPING_FRACTION).ceil() as usize).max(1);
        let mut missing_at_versions = self.missing_at_versions(models, engines);
        let mut planned = Vec::new();
        loop {
            let swaps = self.moves().filter(|planned| !planned.unload.is_empty()).count();
            let fleet = FleetView {
                models,
                engines,
                statuses: &statuses,
                fetch_room: remaining_fetches,
                may_swap: swaps < max_swaps,
                idle_yield: self.idle_yield,
                missing_at_versions: &missing_at_versions,
            };
            let Some(next) = self.next_move(fleet) else { break };
            let index = models.iter().position(|model| model.name == next.load);
            let Some(index) = index else { break };
            statuses[index].copies += 1;
            let engine = engines.iter().find(|engine| engine.id == next.engine);
            missing_at_versions.retain(|(missing, _)| {
                missing.model_index != index
                    || engine.is_none_or(|engine| missing.software != Some(&engine.software))
            });
            if let Some(unloaded) = next.unload.first()
                && let Some(at) = models.iter().position(|model| model.name == *unloaded)
            {
                statuses[at].copies = statuses[at].copies.saturating_sub(1);
            }
            if next.may_fetch {
                remaining_fetches = remaining_fetches.saturating_sub(1);
            }
            self.pending.insert(
                next.engine.clone(),
                PendingMove { planned: next.clone(), planned_at: now },
            );
            planned.push(next);
        }
        planned
    }

    /// Drops moves that are complete, have timed out or whose engine is gone.
    fn drop_finished_moves(&mut self, engines: &[FleetEngine], now: Timestamp) {
        let counts_until = now + LATEST_START + self.load_window;
        let dropped_fetches = &mut self.dropped_fetches;
        dropped_fetches.retain(|until| now < *until);
        self.pending.retain(|id, pending| {
            let engine = engines.iter().find(|engine| engine.id == *id);
            let done = engine.is_some_and(|engine| engine.models.contains(&pending.planned.load));
            let loading = engine
                .and_then(|engine| engine.changing.as_ref())
                .is_some_and(|change| change.loading);
            let waits = engine.is_some() && now.since(pending.planned_at) < MOVE_TIMEOUT;
            let kept = !done && (loading || waits);
            if !kept && !done && pending.planned.may_fetch {
                dropped_fetches.push(counts_until);
            }
            kept
        });
    }

    fn planned_fetches(&self, engines: &[FleetEngine]) -> usize {
        self.pending
            .values()
            .filter(|pending| {
                let has_started = engines
                    .iter()
                    .find(|engine| engine.id == pending.planned.engine)
                    .and_then(|engine| engine.changing.as_ref())
                    .is_some_and(|change| change.loading);
                pending.planned.may_fetch && !has_started
            })
            .count()
    }

    /// Decides whether idle models yield their places: the demand needs more copies than there are
    /// free places, and than there are places beyond one for each model.
    fn update_idle_yield(&mut self, models: &[FleetModel], engines: &[FleetEngine]) {
        let demand: f64 = models.iter().map(demand_in_engines).sum();
        if demand <= 0.0 {
            self.idle_yield = false;
            return;
        }
        // Memory that is too small for a typical copy can't be used.
        let typical_mb = models
            .iter()
            .map(|model| model.memory_mb as f64 * demand_in_engines(model) / demand)
            .sum::<f64>()
            .max(1.0);
        let places = |memory_mb: u64| (memory_mb as f64 / typical_mb).floor();
        let all: f64 = engines.iter().map(|engine| places(engine.capacity_mb)).sum();
        let free: f64 = engines
            .iter()
            .map(|engine| places(engine.capacity_mb.saturating_sub(used_mb(models, engine))))
            .sum();
        let lacking: f64 = models
            .iter()
            .filter(|model| demand_in_engines(model) >= IDLE_DEMAND_ENGINES)
            .map(|model| demand_in_engines(model).ceil() - self.copies(model, engines) as f64)
            .map(|copies| copies.max(0.0))
            .sum();
        let spare = (all - models.len() as f64).max(0.0);
        let share = if self.idle_yield { IDLE_RETURN_SHARE } else { 1.0 };
        let is_short = self.idle_yield || lacking > free;
        self.idle_yield = is_short && excess_demand(models) > share * spare;
    }

    /// Computes the status of each model. Copies being loaded or planned are included, those being
    /// unloaded are not.
    fn statuses(&self, models: &[FleetModel], engines: &[FleetEngine]) -> Vec<ModelCopyStatus> {
        let capacity_mb: u64 = engines.iter().map(|engine| engine.capacity_mb).sum();
        let all_mb: u64 = models.iter().map(|model| model.memory_mb).sum();
        let all_fit = all_mb <= capacity_mb && !self.idle_yield;
        let needs_copy = |model: &FleetModel| {
            all_fit || model.waiting > 0 || demand_in_engines(model) >= IDLE_DEMAND_ENGINES
        };
        let active = models.iter().filter(|model| needs_copy(model));
        let one_copy_each_mb: u64 = active.map(|model| model.memory_mb).sum();
        let average_mb = all_mb / (models.len() as u64).max(1);
        let spare_copies =
            capacity_mb.saturating_sub(one_copy_each_mb) as f64 / average_mb.max(1) as f64;
        let adapters: u32 = models.iter().map(|model| model.adapters).sum();
        let satisfiable = satisfiable_fraction(models, spare_copies);
        models
            .iter()
            .map(|model| {
                let demand = demand_in_engines(model);
                let prior = PRIOR_FRACTION * spare_copies * f64::from(model.adapters)
                    / f64::from(adapters.max(1));
                let needed = (1.0 + (demand - 1.0).max(0.0) * satisfiable).ceil() as usize;
                let needed = if needs_copy(model) { needed.min(engines.len().max(1)) } else { 0 };
                ModelCopyStatus {
                    copies: self.copies(model, engines),
                    needed,
                    desired: needed.max(1 + prior.round() as usize),
                    demand,
                }
            })
            .collect()
    }

    fn copies(&self, model: &FleetModel, engines: &[FleetEngine]) -> usize {
        engines.iter().filter(|engine| self.has_copy(model, engine)).count()
    }

    /// Whether the engine has a copy of the model, or is about to, that carries its part of the demand.
    pub(crate) fn has_copy(&self, model: &FleetModel, engine: &FleetEngine) -> bool {
        let change = engine.changing.as_ref();
        let unloading = change.is_some_and(|c| !c.loading && c.model == model.name);
        let loading = change.is_some_and(|c| c.loading && c.model == model.name);
        let pending = self.pending.get(&engine.id).map(|pending| &pending.planned);
        let planned = pending.is_some_and(|planned| planned.load == model.name);
        let planned_unload =
            pending.is_some_and(|planned| planned.unload.first() == Some(&model.name));
        let serves = engine.models.contains(&model.name) && !unloading && !planned_unload;
        !engine.is_throttled && (serves || loading || planned)
    }

    fn next_move(&self, fleet: FleetView<'_>) -> Option<FleetMove> {
        let mut candidates: Vec<(f64, MissingCopy<'_>)> = fleet
            .statuses
            .iter()
            .enumerate()
            .filter_map(|(at, status)| {
                // The requests that wait for a hot model may need as many copies of it at once as
                // the requests for all other models need of theirs; the shortage decides the order.
                let reason = if fleet.models[at].waiting > 0 && status.copies < status.needed {
                    MoveReason::Waiting
                } else if status.copies == 0 && status.needed > 0 {
                    MoveReason::NoCopy
                } else if status.copies < status.needed {
                    MoveReason::Demand
                } else if status.copies < status.desired {
                    MoveReason::Prior
                } else {
                    return None;
                };
                let waiting = f64::from(fleet.models[at].waiting);
                let shortage =
                    (status.demand + waiting) / (status.copies as f64 + NO_COPIES_DIVISOR);
                Some((shortage, MissingCopy { model_index: at, reason, software: None }))
            })
            .collect();
        candidates.extend(fleet.missing_at_versions.iter().map(|(missing, demand)| {
            (f64::from(demand.streams + demand.waiting) / NO_COPIES_DIVISOR, *missing)
        }));
        candidates.sort_by(|a, b| a.1.reason.cmp(&b.1.reason).then(b.0.total_cmp(&a.0)));
        candidates.into_iter().find_map(|(_, missing)| self.cheapest_move(missing, fleet))
    }

    /// Returns the move that places a copy on the engine with the lowest cost.
    fn cheapest_move(&self, missing: MissingCopy<'_>, fleet: FleetView<'_>) -> Option<FleetMove> {
        let model = &fleet.models[missing.model_index];
        let mut best: Option<(f64, FleetMove)> = None;
        for engine in fleet.engines {
            let is_busy = engine.changing.is_some() || self.pending.contains_key(&engine.id);
            let takes_loads =
                engine.accepts_orders && !engine.is_throttled && !engine.is_unresponsive;
            if is_busy || !takes_loads || engine.models.contains(&model.name) {
                continue;
            }
            if missing.software.is_some_and(|software| engine.software != software) {
                continue;
            }
            let (load_ms, may_fetch) = load_time(model, engine);
            if may_fetch && fleet.fetch_room == 0 {
                continue;
            }
            let Some((unload, unload_ms)) = self.make_room(missing, engine, fleet) else {
                continue;
            };
            if !unload.is_empty() && !fleet.may_swap {
                continue;
            }
            // Every planner breaks ties between engines of equal cost in the same way.
            let tie_break = rendezvous_score(model.name.as_bytes(), &engine.id) % 1_000;
            let cost = load_ms as f64
                + unload_ms
                + COST_PER_REQUEST_MS * f64::from(engine.requests)
                + tie_break as f64 / 1_000.0;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let planned = FleetMove {
                    engine: engine.id.clone(),
                    load: model.name.clone(),
                    memory_mb: model.memory_mb,
                    may_fetch,
                    unload,
                    reason: missing.reason,
                };
                best = Some((cost, planned));
            }
        }
        best.map(|(_, planned)| planned)
    }

    /// Returns the models to unload so that the missing one fits, empty if it fits already, and the cost
    /// in milliseconds.
    fn make_room(
        &self,
        missing: MissingCopy<'_>,
        engine: &FleetEngine,
        fleet: FleetView<'_>,
    ) -> Option<(Vec<CompactString>, f64)> {
        let model = &fleet.models[missing.model_index];
        let gaining = fleet.statuses[missing.model_index];
        let used_mb = used_mb(fleet.models, engine);
        if used_mb + model.memory_mb <= engine.capacity_mb {
            return Some((Vec::new(), 0.0));
        }
        let shortfall_mb = (used_mb + model.memory_mb).saturating_sub(engine.capacity_mb);
        engine
            .models
            .iter()
            .filter_map(|name| {
                let at = fleet.models.iter().position(|model| model.name == *name)?;
                let losing = &fleet.models[at];
                let status = fleet.statuses[at];
                let may_unload = match (missing.reason, missing.software) {
                    (MoveReason::Waiting, Some(_)) if status.copies <= 1 => {
                        losing.waiting == 0 && self.has_room_elsewhere(losing, engine, fleet)
                    }
                    (MoveReason::Waiting, Some(_)) => true,
                    (_, Some(_)) => status.copies > status.needed,
                    (reason, None) => may_unload(model, gaining, status, reason, fleet.idle_yield),
                };
                let is_unserved = gaining.copies == 0 && model.waiting > 0;
                let may_unload = may_unload
                    && (is_unserved || !self.is_needed_for_streams(losing, engine, fleet.engines));
                // A desired copy is unloaded only for a needed one.
                let copy_cost =
                    if status.copies > status.desired { 0.0 } else { DESIRED_COPY_COST_MS };
                let last_cost = if status.copies > 1 { 0.0 } else { LAST_COPY_COST_MS };
                let runs_cost = match losing.bound_at(&engine.software).streams {
                    0 => 0.0,
                    _ => RUNNING_STREAMS_COST_MS,
                };
                let load = status.demand / status.copies.max(1) as f64;
                let cost = copy_cost + last_cost + runs_cost + 1_000.0 * load;
                (may_unload && losing.memory_mb >= shortfall_mb).then(|| (name.clone(), cost))
            })
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(name, cost)| (vec![name], cost))
    }

    /// Whether another engine can load a model at once, beside the models that have no copy now.
    fn has_room_elsewhere(
        &self,
        model: &FleetModel,
        engine: &FleetEngine,
        fleet: FleetView<'_>,
    ) -> bool {
        let unserved =
            fleet.statuses.iter().filter(|status| status.copies == 0 && status.needed > 0).count();
        let with_room = fleet.engines.iter().filter(|other| {
            other.id != engine.id
                && other.accepts_orders
                && !other.is_throttled
                && !other.is_unresponsive
                && other.changing.is_none()
                && !self.pending.contains_key(&other.id)
                && used_mb(fleet.models, other) + model.memory_mb <= other.capacity_mb
                && (fleet.fetch_room > unserved || !load_time(model, other).1)
        });
        with_room.count() > unserved
    }
}

/// Returns the demand for a model, in engines at the target utilisation.
fn demand_in_engines(model: &FleetModel) -> f64 {
    model.work_ms_per_s / 1_000.0 / TARGET_UTILISATION
}

/// Returns the demand beyond one copy of each model, in engines at the target utilisation.
fn excess_demand(models: &[FleetModel]) -> f64 {
    models.iter().map(|model| (demand_in_engines(model) - 1.0).max(0.0)).sum()
}

/// Returns the fraction of the demand beyond one copy of each model that `spare_copies` further
/// copies can satisfy. If the demand exceeds the fleet, the shortage is spread evenly over all
/// models, so that none keeps its copies at the expense of others.
fn satisfiable_fraction(models: &[FleetModel], spare_copies: f64) -> f64 {
    let excess = excess_demand(models);
    if excess > spare_copies { spare_copies / excess } else { 1.0 }
}

/// Returns the time to load a model on an engine in milliseconds, and whether it comes from the
/// weight store.
fn load_time(model: &FleetModel, engine: &FleetEngine) -> (u64, bool) {
    if engine.warm.in_memory.binary_search(&model.name).is_ok() {
        (model.host_load_ms, false)
    } else if engine.warm.on_disk.binary_search(&model.name).is_ok() {
        (model.disk_load_ms, false)
    } else {
        (model.load_ms, true)
    }
}

/// Returns whether, after a copy has moved from `losing` to `gaining`, the demand per copy of
/// `losing` is below `max_ratio` times that of `gaining`. Needs are estimates, and fragmented
/// memory may hold fewer copies than needed in total; without this comparison, the model with the
/// highest demand per copy would stay short while the others have no more copies than they need.
fn may_transfer_copy(gaining: ModelCopyStatus, losing: ModelCopyStatus, max_ratio: f64) -> bool {
    let after_gain = gaining.demand / (gaining.copies as f64 + 1.0);
    let after_loss = losing.demand / (losing.copies as f64 - 1.0);
    losing.copies > 1 && after_loss < max_ratio * after_gain
}

/// Returns the memory that an engine's models and adapters use, in MB.
fn used_mb(models: &[FleetModel], engine: &FleetEngine) -> u64 {
    let size = |name: &CompactString| {
        models.iter().find(|model| model.name == *name).map_or(0, |model| model.memory_mb)
    };
    engine.models.iter().map(size).sum::<u64>() + engine.adapters_mb
}

/// Returns whether a copy with this status may be unloaded on an engine to load one of `gaining`.
fn may_unload(
    gaining_model: &FleetModel,
    gaining: ModelCopyStatus,
    losing: ModelCopyStatus,
    reason: MoveReason,
    idle_yield: bool,
) -> bool {
    match reason {
        // A needed copy is unloaded only for the first copy of a model that requests wait for. While
        // idle models yield, no model may have more copies than it needs.
        MoveReason::Waiting | MoveReason::NoCopy if gaining.copies == 0 => {
            losing.copies > losing.needed
                || ((gaining_model.waiting > 0 || idle_yield) && losing.copies > 1)
        }
        MoveReason::Waiting | MoveReason::NoCopy | MoveReason::Demand if losing.needed == 0 => true,
        MoveReason::Waiting | MoveReason::NoCopy | MoveReason::Demand => {
            let surplus = losing.copies > losing.needed;
            may_transfer_copy(
                gaining,
                losing,
                if surplus { SURPLUS_DEMAND_RATIO_LIMIT } else { DEMAND_RATIO_LIMIT },
            )
        }
        // The models loaded at the start predict the demand better than the number of adapters.
        MoveReason::BoundStreams | MoveReason::Prior => false,
    }
}
