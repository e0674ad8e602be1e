//! Plans while engines are left out because their data centre is being evacuated.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use base::Timestamp;
use compact_str::CompactString;
use placement::{FleetEngine, FleetModel, FleetPlanner, MoveReason};

fn model(name: &str) -> FleetModel {
    FleetModel {
        name: name.into(),
        memory_mb: 40,
        load_ms: 2_000,
        work_ms_per_s: 300.0,
        ..FleetModel::default()
    }
}

fn engine(id: &str, models: &[&str]) -> FleetEngine {
    FleetEngine {
        id: id.into(),
        capacity_mb: 100,
        models: models.iter().map(|model| CompactString::new(model)).collect(),
        accepts_orders: true,
        ..FleetEngine::default()
    }
}

/// Guards against a model that has no copy where requests can reach it, a load that goes on being
/// ordered at an evacuated engine, and copies that are loaded again after the evacuation.
#[test]
fn copies_of_evacuated_engines_are_replaced_and_count_again() {
    let models = [model("a"), model("b"), model("c")];
    let mut planner = FleetPlanner::new();
    let near = engine("near", &["a"]);
    // A busy engine is given a load only if there is no other.
    let far = FleetEngine { requests: 50, ..engine("far", &["b"]) };
    let third = engine("third", &["b"]);
    let planned =
        planner.plan(&models, &[near.clone(), far.clone()], 100, Timestamp::from_millis(0));
    assert!(planned.iter().any(|planned| planned.load == "c"), "{planned:?}");
    let at_near = planned.iter().any(|planned| planned.engine == "near");
    assert!(at_near, "nothing is planned at the engine that is evacuated next: {planned:?}");

    let evacuated = [far.clone(), third.clone()];
    let planned = planner.plan(&models, &evacuated, 100, Timestamp::from_millis(250));
    assert!(planner.moves().all(|planned| planned.engine != "near"), "{planned:?}");
    let replaced = planner.moves().find(|planned| planned.load == "a").unwrap();
    assert_eq!(replaced.reason, MoveReason::NoCopy);

    // All copies are there again, with that of the engine that was evacuated.
    let engines =
        [engine("near", &["a", "c"]), engine("far", &["b"]), engine("third", &["b", "c"])];
    let mut planner = FleetPlanner::new();
    let planned = planner.plan(&models, &engines, 100, Timestamp::from_millis(10_000));
    assert!(planned.iter().all(|planned| planned.reason > MoveReason::NoCopy), "{planned:?}");
}
