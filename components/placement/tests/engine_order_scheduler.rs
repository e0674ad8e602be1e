//! Orders to one engine when replies are lost or late and orders are refused.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use base::{LoadedModel, Timestamp, WarmCopies};
use config::{EngineLimits, FleetConfig, Model, Service, ServiceKind};
use placement::{DueOrder, EngineOrder, EngineOrderScheduler, EngineReport, OrderAnswer};
use wire::{AdapterName, AgentAsk, EnginePlan, PlannedCopy};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Returns a scheduler for an engine of 100 MB with two adapter slots; models take 40 MB and load
/// in 2 s, adapters take 5 MB.
fn scheduler() -> EngineOrderScheduler {
    let mut scheduler = EngineOrderScheduler::new();
    scheduler.set_limits(&configuration(100, 2), "engines");
    scheduler.apply_request(&request(), at(0));
    scheduler
}

/// Returns a configuration with engines of `weights_mb`.
fn configuration(weights_mb: u64, version: u64) -> FleetConfig {
    let models = ["a", "b", "c"].map(|name| Model {
        name: name.into(),
        memory_mb: 40,
        adapter_mb: 5,
        load_ms: 2_000,
        ..Model::default()
    });
    let limits = EngineLimits { weights_mb, adapter_slots: 2, ..EngineLimits::default() };
    let service = Service {
        name: "engines".into(),
        kind: ServiceKind::Engine,
        engine: Some(limits),
        ..Service::default()
    };
    FleetConfig {
        version: base::Offset(version),
        models: models.to_vec(),
        services: vec![service],
        ..FleetConfig::default()
    }
}

/// Guards against an agent that fetches the configuration from a gateway that is behind and plans
/// with the former limits of its engine.
#[test]
fn limits_of_an_older_configuration_have_no_effect() {
    let mut scheduler = scheduler();
    scheduler.set_limits(&configuration(200, 1), "engines");
    scheduler.apply_report(report(&[("a", &[]), ("b", &[])], 2), at(10));
    scheduler.apply_request(&plan(&["a", "b", "c"], &[]), at(10));
    assert_eq!(next_order(&scheduler, 20), None, "100 MB hold two models of 40 MB");
    scheduler.set_limits(&configuration(200, 3), "engines");
    assert!(next_order(&scheduler, 30).is_some());
}

fn request() -> AgentAsk {
    AgentAsk {
        store_era: None,
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
    AgentAsk { plan: Some(plan), ..request() }
}

fn next_order(scheduler: &EngineOrderScheduler, ms: u64) -> Option<DueOrder> {
    scheduler.next_order(at(ms))
}

/// Guards against an order that is executed twice because its reply was lost: it is repeated with
/// the same expected count until the engine's count has increased, and not afterwards.
#[test]
fn order_without_a_reply_is_repeated_until_the_engines_count_increases() {
    let mut scheduler = scheduler();
    scheduler.apply_report(report(&[("a", &[])], 4), at(10));
    scheduler.apply_request(&plan(&["a", "b"], &[]), at(10));
    let first = next_order(&scheduler, 20).unwrap();
    assert_eq!((&first.order, first.expected), (&EngineOrder::LoadModel("b".into()), 4));
    scheduler.apply_answer(&first, OrderAnswer::Unknown, at(30));
    assert_eq!(
        next_order(&scheduler, 40),
        None,
        "the engine's state is unknown until its next report"
    );
    scheduler.apply_report(report(&[("a", &[])], 4), at(50));
    assert_eq!(next_order(&scheduler, 60).as_ref(), Some(&first));
    // The delayed order has been accepted.
    let busy = EngineReport { busy: true, ..report(&[("a", &[])], 5) };
    scheduler.apply_report(busy, at(70));
    assert_eq!(next_order(&scheduler, 80), None);
    assert!(scheduler.change(at(80)).unwrap().loading);
    assert_eq!(scheduler.fetch_ages(at(80)).count(), 1, "the load counts against the weight store");
}

/// Guards against memory that is reserved twice while a load is in progress.
#[test]
fn memory_of_a_load_in_progress_counts() {
    let mut scheduler = scheduler();
    scheduler.apply_report(report(&[("a", &[])], 0), at(10));
    scheduler.apply_request(&plan(&["a", "b", "c"], &[]), at(10));
    let load = next_order(&scheduler, 20).unwrap();
    scheduler.apply_answer(&load, OrderAnswer::Accepted, at(20));
    // The engine's report predates the load.
    scheduler.apply_report(report(&[("a", &[])], 0), at(30));
    assert_eq!(next_order(&scheduler, 40), None, "c would be the third model in memory for two");
    scheduler.apply_report(report(&[("a", &[]), ("b", &[])], 1), at(3_000));
    scheduler.apply_request(&plan(&["a", "b", "c"], &[]), at(3_000));
    assert_eq!(
        next_order(&scheduler, 3_010),
        None,
        "100 MB hold two models of 40 MB, and none is surplus"
    );
}

/// Guards against requests that arrive at an engine for a model which it has just unloaded: the
/// unload is announced to the gateways 120 ms before.
#[test]
fn unload_is_announced_before_it_is_ordered() {
    let mut scheduler = scheduler();
    scheduler.apply_report(report(&[("a", &[]), ("b", &[])], 0), at(10));
    scheduler.apply_request(&plan(&["a", "c"], &["b"]), at(10));
    assert_eq!(next_order(&scheduler, 20), None);
    assert!(scheduler.select_unload(at(20)));
    let change = scheduler.change(at(20)).unwrap();
    assert_eq!((change.model.as_str(), change.loading), ("b", false));
    assert_eq!(next_order(&scheduler, 139), None);
    assert_eq!(next_order(&scheduler, 140).unwrap().order, EngineOrder::UnloadModel("b".into()));
}

/// Guards against the eviction of an adapter that a running request uses, and against loads beyond
/// the number of slots.
#[test]
fn adapter_in_use_is_not_unloaded_for_another() {
    let mut scheduler = scheduler();
    scheduler.apply_report(report(&[("a", &["x", "y"])], 0), at(10));
    let both = AgentAsk {
        used_adapters: vec![adapter("a", "x"), adapter("a", "y")],
        wanted_adapters: vec![adapter("a", "z")],
        ..request()
    };
    scheduler.apply_request(&both, at(10));
    assert_eq!(next_order(&scheduler, 20), None);
    // The use of y was last reported 900 ms ago.
    let one = AgentAsk {
        used_adapters: vec![adapter("a", "x")],
        wanted_adapters: vec![adapter("a", "z")],
        ..request()
    };
    scheduler.apply_request(&one, at(500));
    assert_eq!(next_order(&scheduler, 909), None);
    scheduler.apply_request(&one, at(910));
    let due = next_order(&scheduler, 910).unwrap();
    assert_eq!(due.order, EngineOrder::UnloadAdapter(adapter("a", "y")));
    scheduler.apply_answer(&due, OrderAnswer::Accepted, at(911));
    scheduler.apply_report(report(&[("a", &["x", "y"])], 1), at(915));
    assert_eq!(next_order(&scheduler, 916), None, "y is still loaded because a request uses it");
    scheduler.apply_report(report(&[("a", &["x"])], 1), at(920));
    scheduler.apply_request(&one, at(921));
    assert_eq!(
        next_order(&scheduler, 921).unwrap().order,
        EngineOrder::LoadAdapter(adapter("a", "z"))
    );
}

/// Guards against orders for an old incarnation of an engine that are sent to its new one.
#[test]
fn new_incarnation_receives_no_orders_until_its_id_is_known() {
    let mut scheduler = scheduler();
    scheduler.apply_report(report(&[("a", &[])], 3), at(10));
    scheduler.apply_request(&plan(&["a", "b"], &[]), at(10));
    assert!(next_order(&scheduler, 20).is_some());
    let restarted = EngineReport { started_unix_ms: Some(2), ..report(&[], 0) };
    scheduler.apply_report(restarted.clone(), at(30));
    assert_eq!(next_order(&scheduler, 40), None);
    // A request from a gateway that has not received the new incarnation yet.
    scheduler.apply_request(&plan(&["a", "b"], &[]), at(50));
    assert_eq!(next_order(&scheduler, 60), None);
    let known = AgentAsk { target: "engine-2".into(), born_ms: Some(2), ..request() };
    scheduler.apply_request(&known, at(70));
    scheduler.apply_report(restarted, at(80));
    assert_eq!(next_order(&scheduler, 90), None, "the plan was for the old incarnation");
}

/// Guards against a stale plan: a plan expires if its planner was frozen or disconnected for 3 s.
#[test]
fn plan_expires_three_seconds_after_its_last_update() {
    let mut scheduler = scheduler();
    scheduler.apply_request(&plan(&["a"], &[]), at(0));
    scheduler.apply_report(report(&[], 0), at(2_990));
    assert!(next_order(&scheduler, 2_999).is_some());
    assert_eq!(next_order(&scheduler, 3_000), None);
}

/// Guards against loads beyond the weight store's limit: a copy that may not be fetched is loaded
/// only from the host's memory or disk.
#[test]
fn only_warm_copies_are_loaded_without_permission_to_fetch() {
    let mut scheduler = scheduler();
    let mut request = plan(&["b"], &[]);
    request.plan.as_mut().unwrap().models[0].may_fetch = false;
    scheduler.apply_request(&request, at(10));
    scheduler.apply_report(report(&[], 0), at(10));
    assert_eq!(next_order(&scheduler, 20), None);
    let warm = WarmCopies { on_disk: vec!["b".into()], ..WarmCopies::default() };
    scheduler.apply_report(EngineReport { warm, ..report(&[], 0) }, at(30));
    assert_eq!(next_order(&scheduler, 40).unwrap().order, EngineOrder::LoadModel("b".into()));
}

/// Adapters requested while a model loads: the engine refuses adapter orders during a load, so none
/// is sent. In run teyrnged-live-grown quiet-1 one agent sent 20 in four seconds.
#[test]
fn no_adapter_is_ordered_while_a_model_is_loaded() {
    let mut scheduler = scheduler();
    scheduler.apply_report(report(&[("a", &[])], 0), at(10));
    scheduler.apply_request(&plan(&["a", "b"], &[]), at(10));
    let load = next_order(&scheduler, 20).unwrap();
    assert_eq!(load.order, EngineOrder::LoadModel("b".into()));
    scheduler.apply_answer(&load, OrderAnswer::Accepted, at(20));
    let busy = EngineReport { busy: true, ..report(&[("a", &[])], 1) };
    scheduler.apply_report(busy, at(30));
    scheduler
        .apply_request(&AgentAsk { wanted_adapters: vec![adapter("a", "x")], ..request() }, at(40));
    assert_eq!(next_order(&scheduler, 50), None);
    scheduler.apply_report(report(&[("a", &[]), ("b", &[])], 1), at(400));
    let due = next_order(&scheduler, 410).unwrap();
    assert_eq!(due.order, EngineOrder::LoadAdapter(adapter("a", "x")));
}
