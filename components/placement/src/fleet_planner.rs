//! Which engine should load which model, over all engines of a service.
//!
//! One gateway plans; agents carry the moves out one at a time. A second planner, at the other end
//! of a partition, costs efficiency only: no move takes the last copy of a model as the planner
//! sees it, and each agent keeps its engine's memory.

use std::time::Duration;

use base::{SortedMap, Timestamp, WarmCopies, rendezvous_score};
use compact_str::CompactString;
use wire::ModelChange;

/// Part of an engine's time that the demand for its models should take: more leaves no room for the
/// bursts of a few hundred ms that requests arrive in.
const TARGET_UTILISATION: f64 = 0.4;
/// Part of the room beyond one copy of each model that is shared out by the number of adapters
/// while there is no demand to go by: adapters are made for models that are used.
const PRIOR_FRACTION: f64 = 0.5;
/// Demand, in engines, below which a model has no claim to a place where there are fewer places
/// than models: one short request in some 10 s.
const IDLE_DEMAND_ENGINES: f64 = 0.01;
/// Time after which a move without an effect is given up.
const MOVE_TIMEOUT: Duration = Duration::from_secs(8);
/// Most engines that unload one model for another at once, as a part of all; each serves less
/// meanwhile.
const MAX_SWAPPING_FRACTION: f64 = 0.35;
/// Longest queue of an engine from which a copy in use is taken.
const COST_PER_REQUEST_MS: f64 = 40.0;

/// Cost of unloading a copy that is worth having, in milliseconds, against one that is not.
const DESIRED_COPY_COST_MS: f64 = 500.0;
/// Demand a copy of a model that gives up a copy, as a part of that of the model that gains it,
/// both after the move; less than one, so that no copy moves back and forth.
const DEMAND_RATIO_LIMIT: f64 = 0.6;
/// The same of a model that has more copies than it needs. Needs are noisy: without it copies of
/// two hot models changed places every few seconds.
const SURPLUS_DEMAND_RATIO_LIMIT: f64 = 0.8;

/// A model as the planner sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetModel {
    /// Name.
    pub name: CompactString,
    /// Memory of a copy in MB.
    pub memory_mb: u64,
    /// Number of its adapters.
    pub adapters: u32,
    /// Time to load from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Time to load from the memory of the host, in milliseconds.
    pub host_load_ms: u64,
    /// Time to load from the disk of the host, in milliseconds.
    pub disk_load_ms: u64,
    /// Engine time that requests for it ask for in a second, in milliseconds.
    pub work_ms_per_s: f64,
    /// Requests that wait because no engine serves it.
    pub waiting: u32,
}

/// An engine as the planner sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetEngine {
    /// Id of its life.
    pub id: CompactString,
    /// Memory for weights and adapters in MB.
    pub capacity_mb: u64,
    /// Memory of its adapters in MB.
    pub adapters_mb: u64,
    /// Models that it serves, sorted.
    pub models: Vec<CompactString>,
    /// Change of a model under way.
    pub changing: Option<ModelChange>,
    /// Copies of weights near it.
    pub warm: WarmCopies,
    /// Requests at it.
    pub requests: u32,
    /// Whether its agent can give it orders.
    pub accepts_orders: bool,
}

/// A move: an engine should load a model, and may have to unload another one first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetMove {
    /// Engine.
    pub engine: CompactString,
    /// Model to load.
    pub load: CompactString,
    /// Memory of it in MB.
    pub memory_mb: u64,
    /// Whether it may come from the weight store.
    pub may_fetch: bool,
    /// Models that may make room, first choice first.
    pub unload: Vec<CompactString>,
    /// Why.
    pub reason: MoveReason,
}

/// Why a move is made; the first is the most urgent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MoveReason {
    /// Requests wait for a copy of the model.
    Waiting,
    /// No engine serves the model.
    NoCopy,
    /// The demand needs more copies.
    Demand,
    /// Room is left and the model will probably be asked for.
    Prior,
}

impl MoveReason {
    /// The reason as a value in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::NoCopy => "no_copy",
            Self::Demand => "demand",
            Self::Prior => "prior",
        }
    }
}

/// What one search for a move looks at.
#[derive(Clone, Copy, Debug)]
struct FleetView<'a> {
    models: &'a [FleetModel],
    engines: &'a [FleetEngine],
    statuses: &'a [ModelCopyStatus],
    /// Loads that the weight store allows now.
    fetch_room: usize,
    /// Whether a move may unload a model.
    may_swap: bool,
}

#[derive(Clone, Debug)]
struct PendingMove {
    planned: FleetMove,
    planned_at: Timestamp,
}

/// Copies of a model against its demand, in one round of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelCopyStatus {
    /// Copies, those being loaded and planned included.
    pub copies: usize,
    /// Copies that the demand needs: at least one, but none of an idle model if there is not room
    /// for all.
    pub needed: usize,
    /// Copies that are worth having.
    pub desired: usize,
    /// Demand, in engines at the utilisation aimed at.
    pub demand: f64,
}

/// Plans moves and remembers those under way.
#[derive(Clone, Debug, Default)]
pub struct FleetPlanner {
    pending: SortedMap<CompactString, PendingMove>,
}

impl FleetPlanner {
    /// A planner without moves.
    pub fn new() -> Self {
        Self::default()
    }

    /// Moves under way.
    pub fn moves(&self) -> impl Iterator<Item = &FleetMove> {
        self.pending.values().map(|pending| &pending.planned)
    }

    /// Copies of the models against their demand, the busiest first.
    pub fn busiest<'a>(
        &self,
        models: &'a [FleetModel],
        engines: &[FleetEngine],
    ) -> Vec<(&'a FleetModel, ModelCopyStatus)> {
        let mut statuses: Vec<_> = models.iter().zip(self.statuses(models, engines)).collect();
        statuses.sort_by(|a, b| b.1.demand.total_cmp(&a.1.demand));
        statuses
    }

    /// Plans; returns the new moves. `fetch_room` is the number of loads that the weight store
    /// allows now.
    pub fn plan(
        &mut self,
        models: &[FleetModel],
        engines: &[FleetEngine],
        fetch_room: usize,
        now: Timestamp,
    ) -> Vec<FleetMove> {
        self.drop_finished_moves(engines, now);
        let mut statuses = self.statuses(models, engines);
        let mut room = fetch_room.saturating_sub(self.planned_fetches(engines));
        let max_swaps = ((engines.len() as f64 * MAX_SWAPPING_FRACTION).ceil() as usize).max(1);
        let mut planned = Vec::new();
        loop {
            let swaps = self.moves().filter(|planned| !planned.unload.is_empty()).count();
            let fleet = FleetView {
                models,
                engines,
                statuses: &statuses,
                fetch_room: room,
                may_swap: swaps < max_swaps,
            };
            let Some(next) = self.next_move(fleet) else { break };
            let index = models.iter().position(|model| model.name == next.load);
            let Some(index) = index else { break };
            statuses[index].copies += 1;
            if let Some(unloaded) = next.unload.first()
                && let Some(at) = models.iter().position(|model| model.name == *unloaded)
            {
                statuses[at].copies = statuses[at].copies.saturating_sub(1);
            }
            if next.may_fetch {
                room = room.saturating_sub(1);
            }
            self.pending.insert(
                next.engine.clone(),
                PendingMove { planned: next.clone(), planned_at: now },
            );
            planned.push(next);
        }
        planned
    }

    /// Drops moves that are done or have no prospect.
    fn drop_finished_moves(&mut self, engines: &[FleetEngine], now: Timestamp) {
        self.pending.retain(|id, pending| {
            let Some(engine) = engines.iter().find(|engine| engine.id == *id) else {
                return false;
            };
            let done = engine.models.contains(&pending.planned.load);
            let loading = engine.changing.as_ref().is_some_and(|change| change.loading);
            !done && (loading || now.since(pending.planned_at) < MOVE_TIMEOUT)
        });
    }

    fn planned_fetches(&self, engines: &[FleetEngine]) -> usize {
        self.pending
            .values()
            .filter(|pending| {
                let begun = engines
                    .iter()
                    .find(|engine| engine.id == pending.planned.engine)
                    .and_then(|engine| engine.changing.as_ref())
                    .is_some_and(|change| change.loading);
                pending.planned.may_fetch && !begun
            })
            .count()
    }

    /// Copies of each model, those being loaded and planned included, those being unloaded not.
    fn statuses(&self, models: &[FleetModel], engines: &[FleetEngine]) -> Vec<ModelCopyStatus> {
        let capacity: u64 = engines.iter().map(|engine| engine.capacity_mb).sum();
        let all_mb: u64 = models.iter().map(|model| model.memory_mb).sum();
        let has_room_for_all = all_mb <= capacity;
        let needs_copy = |model: &FleetModel| {
            has_room_for_all || model.waiting > 0 || demand_in_engines(model) >= IDLE_DEMAND_ENGINES
        };
        let active = models.iter().filter(|model| needs_copy(model));
        let one_copy_each_mb: u64 = active.map(|model| model.memory_mb).sum();
        let average_mb = all_mb / (models.len() as u64).max(1);
        let spare = capacity.saturating_sub(one_copy_each_mb) as f64 / average_mb.max(1) as f64;
        let adapters: u32 = models.iter().map(|model| model.adapters).sum();
        let share = satisfiable_fraction(models, spare);
        models
            .iter()
            .map(|model| {
                let demand = demand_in_engines(model);
                let prior =
                    PRIOR_FRACTION * spare * f64::from(model.adapters) / f64::from(adapters.max(1));
                let needed = (1.0 + (demand - 1.0).max(0.0) * share).ceil() as usize;
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
        engines
            .iter()
            .filter(|engine| {
                let change = engine.changing.as_ref();
                let leaving = change.is_some_and(|c| !c.loading && c.model == model.name);
                let coming = change.is_some_and(|c| c.loading && c.model == model.name);
                let pending = self.pending.get(&engine.id).map(|pending| &pending.planned);
                let planned = pending.is_some_and(|planned| planned.load == model.name);
                let planned_unload =
                    pending.is_some_and(|planned| planned.unload.first() == Some(&model.name));
                let serves = engine.models.contains(&model.name) && !leaving && !planned_unload;
                serves || coming || planned
            })
            .count()
    }

    fn next_move(&self, fleet: FleetView<'_>) -> Option<FleetMove> {
        let mut short: Vec<(MoveReason, f64, usize)> = fleet
            .statuses
            .iter()
            .enumerate()
            .filter_map(|(at, status)| {
                // Requests that wait for a hot model need as many copies of it at once as those for
                // others together need copies of these; the shortage of each decides.
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
                let shortage = (status.demand + waiting) / (status.copies as f64 + 0.1);
                Some((reason, shortage, at))
            })
            .collect();
        short.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        short.into_iter().find_map(|(reason, _, at)| self.cheapest_move(at, reason, fleet))
    }

    /// The engine on which a copy costs least.
    fn cheapest_move(
        &self,
        model_index: usize,
        reason: MoveReason,
        fleet: FleetView<'_>,
    ) -> Option<FleetMove> {
        let model = &fleet.models[model_index];
        let mut best: Option<(f64, FleetMove)> = None;
        for engine in fleet.engines {
            let is_changing = engine.changing.is_some() || self.pending.contains_key(&engine.id);
            if is_changing || !engine.accepts_orders || engine.models.contains(&model.name) {
                continue;
            }
            let (load_ms, may_fetch) = load_time(model, engine);
            if may_fetch && fleet.fetch_room == 0 {
                continue;
            }
            let Some((unload, unload_ms)) = make_room(model_index, reason, engine, fleet) else {
                continue;
            };
            if !unload.is_empty() && !fleet.may_swap {
                continue;
            }
            // Engines that cost the same are told apart in the same way by every planner.
            let tie = rendezvous_score(model.name.as_bytes(), &engine.id) % 1_000;
            let cost = load_ms as f64
                + unload_ms
                + COST_PER_REQUEST_MS * f64::from(engine.requests)
                + tie as f64 / 1_000.0;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let planned = FleetMove {
                    engine: engine.id.clone(),
                    load: model.name.clone(),
                    memory_mb: model.memory_mb,
                    may_fetch,
                    unload,
                    reason,
                };
                best = Some((cost, planned));
            }
        }
        best.map(|(_, planned)| planned)
    }
}

/// Demand for a model, in engines at the utilisation aimed at.
fn demand_in_engines(model: &FleetModel) -> f64 {
    model.work_ms_per_s / 1_000.0 / TARGET_UTILISATION
}

/// Part of the demand beyond one copy of each model that the `spare` places can meet. Beyond it all
/// models are short alike, and none may keep what it has at the cost of others.
fn satisfiable_fraction(models: &[FleetModel], spare: f64) -> f64 {
    let excess: f64 = models.iter().map(|model| (demand_in_engines(model) - 1.0).max(0.0)).sum();
    if excess > spare { spare / excess } else { 1.0 }
}

/// Time to load a model on an engine, and whether it comes from the weight store.
fn load_time(model: &FleetModel, engine: &FleetEngine) -> (u64, bool) {
    if engine.warm.in_memory.binary_search(&model.name).is_ok() {
        (model.host_load_ms, false)
    } else if engine.warm.on_disk.binary_search(&model.name).is_ok() {
        (model.disk_load_ms, false)
    } else {
        (model.load_ms, true)
    }
}

/// Whether `losing` would have at most the part `most` of the demand a copy of `gaining` after a
/// copy has changed hands. Needs are estimates, and memory in pieces may hold less than they add up
/// to; then the model with the most demand a copy would stay short for as long as the others have
/// no more than they need.
fn may_transfer_copy(gaining: ModelCopyStatus, losing: ModelCopyStatus, max_ratio: f64) -> bool {
    let after_gain = gaining.demand / (gaining.copies as f64 + 1.0);
    let after_loss = losing.demand / (losing.copies as f64 - 1.0);
    losing.copies > 1 && after_loss < max_ratio * after_gain
}

/// Models to unload so that the one at `model_index` fits, none if it fits as it is, with the cost
/// in milliseconds.
fn make_room(
    model_index: usize,
    reason: MoveReason,
    engine: &FleetEngine,
    fleet: FleetView<'_>,
) -> Option<(Vec<CompactString>, f64)> {
    let model = &fleet.models[model_index];
    let gaining = fleet.statuses[model_index];
    let size = |name: &CompactString| {
        fleet.models.iter().find(|model| model.name == *name).map_or(0, |model| model.memory_mb)
    };
    let used: u64 = engine.models.iter().map(size).sum::<u64>() + engine.adapters_mb;
    if used + model.memory_mb <= engine.capacity_mb {
        return Some((Vec::new(), 0.0));
    }
    let short = (used + model.memory_mb).saturating_sub(engine.capacity_mb);
    engine
        .models
        .iter()
        .filter_map(|name| {
            let at = fleet.models.iter().position(|model| model.name == *name)?;
            let status = fleet.statuses[at];
            let spare = match reason {
                // A copy that is needed goes only for the first one of a model that requests wait
                // for now.
                MoveReason::Waiting | MoveReason::NoCopy if gaining.copies == 0 => {
                    status.copies > status.needed || (model.waiting > 0 && status.copies > 1)
                }
                MoveReason::Waiting | MoveReason::NoCopy | MoveReason::Demand
                    if status.needed == 0 =>
                {
                    true
                }
                MoveReason::Waiting | MoveReason::NoCopy | MoveReason::Demand => {
                    let surplus = status.copies > status.needed;
                    may_transfer_copy(
                        gaining,
                        status,
                        if surplus { SURPLUS_DEMAND_RATIO_LIMIT } else { DEMAND_RATIO_LIMIT },
                    )
                }
                // What engines hold at the start says more of the demand than the number of
                // adapters.
                MoveReason::Prior => false,
            };
            // A copy that is worth having goes only for one that is needed.
            let copy_cost = if status.copies > status.desired { 0.0 } else { DESIRED_COPY_COST_MS };
            let load = status.demand / status.copies.max(1) as f64;
            (spare && size(name) >= short).then(|| (name.clone(), copy_cost + 1_000.0 * load))
        })
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(name, cost)| (vec![name], cost))
}
