//! Orders to one engine when answers are lost, late or refused.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use base::{LoadedModel, Timestamp, WarmCopies};
use config::{EngineLimits, Model, Service, ServiceKind, Town};
use placement::{DueOrder, EngineOrder, EngineOrderScheduler, EngineReport, OrderAnswer};
use wire::{AdapterName, AgentAsk, EnginePlan, PlannedCopy};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Engines of 100 MB with two adapter slots; models of 40 MB that load in 2 s, adapters of 5 MB.
fn scheduler() -> EngineOrderScheduler {
    let models = ["a", "b", "c"].map(|name| Model {
        name: name.into(),
        memory_mb: 40,
        adapter_mb: 5,
        load_ms: 2_000,
        ..Model::default()
    });
    let limits = EngineLimits { weights_mb: 100, adapter_slots: 2, ..EngineLimits::default() };
    let service = Service {
        name: "engines".into(),
        kind: ServiceKind::Engine,
        engine: Some(limits),
        ..Service::default()
    };
    let town = Town { models: models.to_vec(), services: vec![service], ..Town::default() };
    let mut scheduler = EngineOrderScheduler::new();
    scheduler.set_limits(&town, "engines");
    scheduler.apply_request(&ask(), at(0));
    scheduler
}

fn ask() -> AgentAsk {
    AgentAsk {
        wants_state: true,
        config: base::Offset(1),
        target: "engine-1".into(),
        born_ms: Some(1),
        used_adapters: Vec::new(),
        wanted_adapters: Vec::new(),
        plan: None,
    }
}

fn adapter(model: &str, adapter: &str) -> AdapterName {
    AdapterName { model: model.into(), adapter: adapter.into() }
}

fn report(models: &[(&str, &[&str])], orders_accepted: u64) -> EngineReport {
    let models = models.iter().map(|(model, adapters)| LoadedModel {
        model: (*model).into(),
        version: 1,
        adapters: adapters.iter().map(|name| (*name).into()).collect(),
    });
    EngineReport {
        started_unix_ms: Some(1),
        models: models.collect(),
        orders_accepted,
        ..EngineReport::default()
    }
}

fn plan(models: &[&str], surplus: &[&str]) -> AgentAsk {
    let copy =
        |model: &&str| PlannedCopy { model: (*model).into(), memory_mb: 40, may_fetch: true };
    let plan = EnginePlan {
        target: "engine-1".into(),
        models: models.iter().map(copy).collect(),
        surplus: surplus.iter().map(|model| (*model).into()).collect(),
    };
    AgentAsk { plan: Some(plan), ..ask() }
}

fn order(scheduler: &EngineOrderScheduler, ms: u64) -> Option<DueOrder> {
    scheduler.next_order(at(ms))
}

/// Guards against an order that is given twice because its answer was lost: it is repeated with the same
/// expected count until the engine's count has moved, and not after.
#[test]
fn an_order_without_an_answer_is_repeated_until_the_engines_count_moves() {
    let mut scheduler = scheduler();
    scheduler.apply_report(report(&[("a", &[])], 4), at(10));
    scheduler.apply_request(&plan(&["a", "b"], &[]), at(10));
    let first = order(&scheduler, 20).unwrap();
    assert_eq!((&first.order, first.expected), (&EngineOrder::LoadModel("b".into()), 4));
    scheduler.apply_answer(&first, OrderAnswer::Unknown, at(30));
    assert_eq!(order(&scheduler, 40), None, "nothing is known of the engine until its next report");
    scheduler.apply_report(report(&[("a", &[])], 4), at(50));
    assert_eq!(order(&scheduler, 60).as_ref(), Some(&first));
    // The late order was accepted after all.
    let busy = EngineReport { busy: true, ..report(&[("a", &[])], 5) };
    scheduler.apply_report(busy, at(70));
    assert_eq!(order(&scheduler, 80), None);
    assert!(scheduler.change(at(80)).unwrap().loading);
    assert_eq!(scheduler.fetch_ages(at(80)).count(), 1, "the load counts against the weight store");
}

/// Guards against memory that is promised twice while a load is under way.
#[test]
fn memory_of_a_load_under_way_counts() {
    let mut scheduler = scheduler();
    scheduler.apply_report(report(&[("a", &[])], 0), at(10));
    scheduler.apply_request(&plan(&["a", "b", "c"], &[]), at(10));
    let load = order(&scheduler, 20).unwrap();
    scheduler.apply_answer(&load, OrderAnswer::Accepted, at(20));
    // The engine's report is from before it began.
    scheduler.apply_report(report(&[("a", &[])], 0), at(30));
    assert_eq!(order(&scheduler, 40), None, "c would be third in memory for two");
    scheduler.apply_report(report(&[("a", &[]), ("b", &[])], 1), at(3_000));
    scheduler.apply_request(&plan(&["a", "b", "c"], &[]), at(3_000));
    assert_eq!(
        order(&scheduler, 3_010),
        None,
        "100 MB hold two models of 40 MB, and none is surplus"
    );
}

/// Guards against requests that arrive at an engine for a model which it has just dropped: gateways are
/// told 120 ms before.
#[test]
fn a_model_is_announced_as_leaving_before_it_is_unloaded() {
    let mut scheduler = scheduler();
    scheduler.apply_report(report(&[("a", &[]), ("b", &[])], 0), at(10));
    scheduler.apply_request(&plan(&["a", "c"], &["b"]), at(10));
    assert_eq!(order(&scheduler, 20), None);
    assert!(scheduler.select_unload(at(20)));
    let change = scheduler.change(at(20)).unwrap();
    assert_eq!((change.model.as_str(), change.loading), ("b", false));
    assert_eq!(order(&scheduler, 139), None);
    assert_eq!(order(&scheduler, 140).unwrap().order, EngineOrder::UnloadModel("b".into()));
}

/// Guards against the eviction of an adapter that a request runs on, and against slots beyond the limit.
#[test]
fn an_adapter_in_use_is_not_unloaded_for_another() {
    let mut scheduler = scheduler();
    scheduler.apply_report(report(&[("a", &["x", "y"])], 0), at(10));
    let both = AgentAsk {
        used_adapters: vec![adapter("a", "x"), adapter("a", "y")],
        wanted_adapters: vec![adapter("a", "z")],
        ..ask()
    };
    scheduler.apply_request(&both, at(10));
    assert_eq!(order(&scheduler, 20), None);
    // The use of y was last told 900 ms ago.
    let one = AgentAsk {
        used_adapters: vec![adapter("a", "x")],
        wanted_adapters: vec![adapter("a", "z")],
        ..ask()
    };
    scheduler.apply_request(&one, at(500));
    assert_eq!(order(&scheduler, 909), None);
    scheduler.apply_request(&one, at(910));
    let due = order(&scheduler, 910).unwrap();
    assert_eq!(due.order, EngineOrder::UnloadAdapter(adapter("a", "y")));
    scheduler.apply_answer(&due, OrderAnswer::Accepted, at(911));
    scheduler.apply_report(report(&[("a", &["x", "y"])], 1), at(915));
    assert_eq!(order(&scheduler, 916), None, "y is still there, since a request uses it after all");
    scheduler.apply_report(report(&[("a", &["x"])], 1), at(920));
    scheduler.apply_request(&one, at(921));
    assert_eq!(order(&scheduler, 921).unwrap().order, EngineOrder::LoadAdapter(adapter("a", "z")));
}

/// Guards against orders to the next life of an engine that were meant for the last one.
#[test]
fn a_new_life_of_the_engine_gets_no_orders_until_its_id_is_known() {
    let mut scheduler = scheduler();
    scheduler.apply_report(report(&[("a", &[])], 3), at(10));
    scheduler.apply_request(&plan(&["a", "b"], &[]), at(10));
    assert!(order(&scheduler, 20).is_some());
    let reborn = EngineReport { started_unix_ms: Some(2), ..report(&[], 0) };
    scheduler.apply_report(reborn.clone(), at(30));
    assert_eq!(order(&scheduler, 40), None);
    // A gateway that has not heard of the new life yet.
    scheduler.apply_request(&plan(&["a", "b"], &[]), at(50));
    assert_eq!(order(&scheduler, 60), None);
    let known = AgentAsk { target: "engine-2".into(), born_ms: Some(2), ..ask() };
    scheduler.apply_request(&known, at(70));
    scheduler.apply_report(reborn, at(80));
    assert_eq!(order(&scheduler, 90), None, "the plan was for the last life");
}

/// Guards against a plan that outlives its planner: one that was frozen or cut off for 3 s has no say.
#[test]
fn a_plan_ends_three_seconds_after_its_last_word() {
    let mut scheduler = scheduler();
    scheduler.apply_request(&plan(&["a"], &[]), at(0));
    scheduler.apply_report(report(&[], 0), at(2_990));
    assert!(order(&scheduler, 2_999).is_some());
    assert_eq!(order(&scheduler, 3_000), None);
}

/// Guards against loads beyond the weight store's limit: a copy that may not be fetched is loaded only
/// from the host.
#[test]
fn without_leave_to_fetch_only_warm_copies_are_loaded() {
    let mut scheduler = scheduler();
    let mut ask = plan(&["b"], &[]);
    ask.plan.as_mut().unwrap().models[0].may_fetch = false;
    scheduler.apply_request(&ask, at(10));
    scheduler.apply_report(report(&[], 0), at(10));
    assert_eq!(order(&scheduler, 20), None);
    let warm = WarmCopies { on_disk: vec!["b".into()], ..WarmCopies::default() };
    scheduler.apply_report(EngineReport { warm, ..report(&[], 0) }, at(30));
    assert_eq!(order(&scheduler, 40).unwrap().order, EngineOrder::LoadModel("b".into()));
}

/// The pattern "adapters wanted while a model loads": the engine refuses orders for adapters meanwhile, so
/// none is given; on teyrnged-live-grown quiet-1 one agent gave 20 in four seconds.
#[test]
fn no_adapter_is_ordered_while_a_model_is_loaded() {
    let mut scheduler = scheduler();
    scheduler.apply_report(report(&[("a", &[])], 0), at(10));
    scheduler.apply_request(&plan(&["a", "b"], &[]), at(10));
    let load = order(&scheduler, 20).unwrap();
    assert_eq!(load.order, EngineOrder::LoadModel("b".into()));
    scheduler.apply_answer(&load, OrderAnswer::Accepted, at(20));
    let busy = EngineReport { busy: true, ..report(&[("a", &[])], 1) };
    scheduler.apply_report(busy, at(30));
    scheduler
        .apply_request(&AgentAsk { wanted_adapters: vec![adapter("a", "x")], ..ask() }, at(40));
    assert_eq!(order(&scheduler, 50), None);
    scheduler.apply_report(report(&[("a", &[]), ("b", &[])], 1), at(400));
    let due = order(&scheduler, 410).unwrap();
    assert_eq!(due.order, EngineOrder::LoadAdapter(adapter("a", "x")));
}
