//! Placement of models: the first of the reachable gateways plans, agents execute the moves.

use std::rc::Rc;
use std::time::Duration;

use base::{ModelId, ServiceId, SortedMap, Timestamp, short_hash};
use compact_str::CompactString;
use config::{EngineLimits, FleetConfig};
use ingress::ShutdownStage;
use placement::{BoundDemand, FleetEngine, FleetModel, PlanningRounds, VersionDemand};
use telemetry::quote;
use tokio::time::{MissedTickBehavior, interval};

use crate::app::App;
use crate::fleet_link::{FleetLink, query_agent};

/// Time between two plans. An engine that has finished a load waits half of it on average for the
/// next one, and a load from its disk takes 600 ms.
const PLAN_INTERVAL: Duration = Duration::from_millis(125);
/// Shortest time after the start before a plan is made: agents must have been queried twice and
/// have answered.
const MIN_SETTLE_TIME: Duration = Duration::from_millis(250);
/// Time after the start from which plans are made even if state from some gateways is missing.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// Planning rounds between two log lines about the demand.
const DEMAND_LOG_ROUNDS: u64 = 16;
/// Most models logged in each of these rounds.
const MAX_LOGGED_MODELS: usize = 8;
/// Share of the loads allowed by the weight store in a window that is used, so that loads which
/// start late don't exceed the limit.
const FETCH_SHARE: f64 = 0.85;
/// Loads that the weight store allows in a window beyond its rate.
const FETCH_BURST: f64 = 3.0;

/// Plans placements until the task is aborted.
pub(crate) async fn plan_placement(app: Rc<App>, link: Rc<FleetLink>) {
    let mut ticks = interval(PLAN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut planning = false;
    let mut round: u64 = 0;
    let mut rounds = PlanningRounds::default();
    loop {
        ticks.tick().await;
        round += 1;
        let now = app.clock.now();
        let was_outdated = rounds.is_view_outdated(now);
        rounds.record(app.fleet.borrow().agents_heard_at(), now);
        if rounds.is_view_outdated(now) != was_outdated {
            log::info!("event=planner_view outdated={}", !was_outdated);
        }
        let leads = app.gateways.borrow().is_first(now)
            && !rounds.is_view_outdated(now)
            && *app.stage.borrow() == ShutdownStage::Serving
            && is_settled(&app, now);
        if leads != planning {
            log::info!("event=planner_changed leads={leads}");
            planning = leads;
            *app.planner.borrow_mut() = placement::FleetPlanner::new();
        }
        if leads && let Some(config) = app.config() {
            plan(&app, &link, &config, round.is_multiple_of(DEMAND_LOG_ROUNDS), now);
        }
    }
}

/// Whether enough of the fleet's state has been received since the start.
fn is_settled(app: &App, now: Timestamp) -> bool {
    let age = now.since(Timestamp::default());
    age >= MAX_SETTLE_TIME || (age >= MIN_SETTLE_TIME && app.has_complete_view(now))
}

fn plan(app: &App, link: &FleetLink, config: &FleetConfig, logs_demand: bool, now: Timestamp) {
    for (service_id, service) in (0..).map(ServiceId).zip(&config.services) {
        let Some(limits) = service.engine else { continue };
        let engines = engines(app, config, &service.name, limits, now);
        let versions = versions(&engines);
        // With a single version all engines are a choice, also for bound streams.
        let bound = match versions.len() {
            0 | 1 => SortedMap::new(),
            _ => app.bound_demand.borrow().totals(now),
        };
        let models: Vec<FleetModel> = (0..)
            .map(ModelId)
            .zip(&config.models)
            .filter(|(_, model)| model.service == service_id)
            .map(|(id, model)| {
                let adapters = config.adapters.iter().filter(|a| a.model == id).count();
                let (work_ms_per_s, waiting) = app.demand.borrow_mut().total(&model.name, now);
                let bound = version_demand(&bound, &versions, &model.name);
                FleetModel {
                    name: model.name.clone(),
                    memory_mb: model.memory_mb,
                    adapters: u32::try_from(adapters).unwrap_or(u32::MAX),
                    load_ms: model.load_ms,
                    host_load_ms: model.host_load_ms,
                    disk_load_ms: model.disk_load_ms,
                    work_ms_per_s,
                    waiting,
                    bound,
                }
            })
            .collect();
        let budget = fetch_budget(app, &service.name, limits, now);
        if logs_demand {
            log_demand(app, &models, &engines, budget);
        }
        let load_window = Duration::from_millis(app.settings().bounds.load_window_ms);
        app.planner.borrow_mut().set_load_window(load_window);
        let moves = app.planner.borrow_mut().plan(&models, &engines, budget, now);
        for planned in moves {
            log::info!(
                "event=move_planned target={} software={} load={} unload={} reason={} fetch={} fetch_room={budget}",
                quote(&planned.engine),
                quote(
                    engines
                        .iter()
                        .find(|engine| engine.id == planned.engine)
                        .map_or("-", |engine| engine.software.as_str())
                ),
                quote(&planned.load),
                planned.unload.first().map_or("-", |model| model.as_str()),
                planned.reason.as_str(),
                planned.may_fetch
            );
            let fleet = app.fleet.borrow();
            if let Some(key) = fleet.key_of(&planned.engine) {
                query_agent(app, link, fleet.target(key), true, now);
            }
        }
    }
}

/// Returns the versions of the engines' software, sorted.
fn versions(engines: &[FleetEngine]) -> Vec<CompactString> {
    let mut versions: Vec<CompactString> =
        engines.iter().map(|engine| engine.software.clone()).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

/// Returns the versions at which streams of a model are bound, with their demand.
fn version_demand(
    bound: &SortedMap<(u32, u32), BoundDemand>,
    versions: &[CompactString],
    model: &str,
) -> Vec<VersionDemand> {
    let model = short_hash(model.as_bytes());
    let demand = |software: &CompactString| {
        let demand = *bound.get(&(model, short_hash(software.as_bytes())))?;
        Some(VersionDemand { software: software.clone(), demand })
    };
    versions.iter().filter_map(demand).collect()
}

fn log_demand(app: &App, models: &[FleetModel], engines: &[FleetEngine], fetch_budget: usize) {
    let busiest = app.planner.borrow().busiest(models, engines);
    for (model, status) in busiest.iter().take(MAX_LOGGED_MODELS).filter(|b| b.1.demand > 0.0) {
        log::info!(
            "event=model_demand model={} engines={:.2} copies={} needed={} wished={} fetch_room={fetch_budget}",
            quote(&model.name),
            status.demand,
            status.copies,
            status.needed,
            status.desired
        );
    }
}

fn engines(
    app: &App,
    config: &FleetConfig,
    service: &str,
    limits: EngineLimits,
    now: Timestamp,
) -> Vec<FleetEngine> {
    let fleet = app.fleet.borrow();
    fleet
        .targets()
        .filter(|target| target.service == service && target.accepts_work && !target.is_lost(now))
        // Copies in an evacuated data centre serve nothing, and nothing is loaded there.
        .filter(|target| !fleet.is_evacuated(target))
        .map(|target| {
            let adapters_mb = target
                .models()
                .iter()
                .map(|loaded| {
                    let size =
                        config.model_id(&loaded.model).map_or(0, |id| config.model(id).adapter_mb);
                    size * loaded.adapters.len() as u64
                })
                .sum();
            let work = target.work.total(now);
            FleetEngine {
                id: target.id.clone(),
                capacity_mb: limits.weights_mb,
                adapters_mb,
                models: target.models().iter().map(|loaded| loaded.model.clone()).collect(),
                changing: target.model_change().cloned(),
                warm: target.warm_copies().clone(),
                requests: work.running + work.waiting,
                software: target.software.clone(),
                accepts_orders: target.has_recent_agent_state(now),
                is_unresponsive: !target.responds(now),
                is_throttled: target.is_throttled(),
            }
        })
        .collect()
}

/// Number of loads from the weight store that may start now.
fn fetch_budget(app: &App, service: &str, limits: EngineLimits, now: Timestamp) -> usize {
    let settings = app.settings();
    let window = Duration::from_millis(settings.bounds.load_window_ms);
    let per_s = limits.loads_per_1000_s as f64 / 1_000.0;
    let age = now.since(Timestamp::default());
    let allowed = if settings.first_start || age >= window {
        per_s * window.as_secs_f64() * settings.bounds.load_overage + FETCH_BURST
    } else {
        // Loads before the start of this process are unknown; the whole allowance may be spent.
        per_s * age.as_secs_f64()
    };
    let started: usize = app
        .fleet
        .borrow()
        .targets()
        .filter(|target| target.service == service)
        .map(|target| target.weight_loads_within(window, now))
        .sum();
    ((allowed * FETCH_SHARE).floor() as usize).saturating_sub(started)
}
