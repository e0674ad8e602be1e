//! Plans while engines of several versions of their software serve, and streams are bound to one.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use base::{ProcessId, ProcessName, Timestamp, WarmCopies, short_hash};
use compact_str::{CompactString, format_compact};
use placement::{
    BoundDemand, BoundDemandTable, FleetEngine, FleetModel, FleetMove, FleetPlanner, MoveReason,
    VersionDemand,
};
use wire::{BoundStreams, ModelChange};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// A model of 40 MB, with streams and waiting requests that are bound to v1.
fn model(name: &str, streams: u32, waiting: u32) -> FleetModel {
    let demand = BoundDemand { streams, waiting };
    FleetModel {
        name: name.into(),
        memory_mb: 40,
        load_ms: 4_000,
        host_load_ms: 600,
        disk_load_ms: 800,
        work_ms_per_s: 300.0,
        bound: vec![VersionDemand { software: "v1".into(), demand }],
        ..FleetModel::default()
    }
}

/// Engines of one version, each with memory for two models.
fn engines(software: &str, held: &[&[&str]]) -> Vec<FleetEngine> {
    let engine = |(at, models): (usize, &&[&str])| FleetEngine {
        id: format_compact!("{software}-{at}"),
        capacity_mb: 100,
        models: models.iter().map(|model| CompactString::new(model)).collect(),
        software: software.into(),
        accepts_orders: true,
        ..FleetEngine::default()
    };
    held.iter().enumerate().map(engine).collect()
}

fn plan(models: &[FleetModel], engines: &[FleetEngine]) -> Vec<FleetMove> {
    FleetPlanner::new().plan(models, engines, 100, at(0))
}

fn load_at<'a>(moves: &'a [FleetMove], model: &str, software: &str) -> Option<&'a FleetMove> {
    moves.iter().find(|planned| planned.load == model && planned.engine.starts_with(software))
}

/// Guards against streams that wait in vain for their model at their version, since engines of another
/// version have as many copies as the demand needs.
#[test]
fn a_model_that_bound_streams_wait_for_is_loaded_at_their_version() {
    let models = [model("a", 0, 3), model("b", 0, 0), model("c", 0, 0)];
    let mut engines =
        [engines("v1", &[&["b", "c"], &["b", "c"]]), engines("v2", &[&["a"], &["a"]])].concat();
    let on_disk = WarmCopies { on_disk: vec!["a".into()], ..WarmCopies::default() };
    engines[1].warm = on_disk;
    let moves = plan(&models, &engines);
    let planned = load_at(&moves, "a", "v1").unwrap();
    assert_eq!(planned.reason, MoveReason::Waiting);
    assert!(!planned.may_fetch, "the copy on the host's disk is used: {planned:?}");
}

/// Guards against take-ups without a place: the last engine of a version that has the model leaves while
/// streams of it run.
#[test]
fn a_copy_at_the_version_of_running_streams_is_replaced() {
    let models = [model("a", 5, 0), model("b", 0, 0)];
    let engines = [engines("v1", &[&["b"], &["b"]]), engines("v2", &[&["a"], &["a"]])].concat();
    let moves = plan(&models, &engines);
    assert_eq!(load_at(&moves, "a", "v1").unwrap().reason, MoveReason::BoundStreams);
}

/// Guards against one copy for many streams of a version: when they break at once, their prompts are read
/// one after the other.
#[test]
fn copies_follow_the_number_of_bound_streams() {
    let models = [model("a", 24, 0), model("b", 0, 0), model("c", 0, 0)];
    let engines =
        [engines("v1", &[&["a"], &["b"], &["c"], &[]]), engines("v2", &[&["a"], &["b", "c"]])]
            .concat();
    let planned = plan(&models, &engines);
    let added = planned.iter().filter(|p| p.load == "a" && p.engine.starts_with("v1")).count();
    assert_eq!(added, 1, "one more copy a round: {planned:?}");
    // The demand for all versions needs a single copy.
    let without = [model("a", 0, 0), model("b", 0, 0), model("c", 0, 0)];
    assert!(plan(&without, &engines).iter().all(|p| p.load != "a"));
}

/// Guards against copies that are loaded for a few streams in place of copies that the demand needs, and
/// loaded again when the streams have ended.
#[test]
fn running_streams_take_no_copy_that_the_demand_needs() {
    let hot = |name, work_ms_per_s| FleetModel { work_ms_per_s, ..model(name, 0, 0) };
    let models = [model("a", 1, 0), hot("b", 1_200.0), hot("c", 800.0)];
    let engines =
        [engines("v1", &[&["b", "c"], &["b", "c"]]), engines("v2", &[&["a", "b"]])].concat();
    let planned = plan(&models, &engines);
    assert!(planned.is_empty(), "{planned:?}");
}

/// Guards against the unload of a copy because another engine of the version is still loading one.
#[test]
fn a_copy_that_is_being_loaded_does_not_replace_one_that_streams_need() {
    let hot = FleetModel { work_ms_per_s: 1_600.0, waiting: 3, ..model("b", 0, 0) };
    let models = [model("a", 5, 0), hot];
    let mut engines = [engines("v1", &[&["a"], &[]]), engines("v2", &[&["a", "b"]])].concat();
    engines[0].capacity_mb = 40;
    engines[1].changing =
        Some(ModelChange { model: "a".into(), loading: true, remaining_ms: 4_000 });
    let planned = plan(&models, &engines);
    assert!(planned.iter().all(|planned| planned.unload != ["a"]), "{planned:?}");
}

/// Guards against a hot model without places while each of many versions keeps its copies of other models
/// for streams that could go on at no second engine anyway.
#[test]
fn streams_of_versions_with_one_engine_keep_no_places() {
    let versions: Vec<CompactString> = (0..6).map(|at| format_compact!("v{at}")).collect();
    let demand = BoundDemand { streams: 1, waiting: 0 };
    let bound: Vec<VersionDemand> = versions
        .iter()
        .map(|software| VersionDemand { software: software.clone(), demand })
        .collect();
    let cold =
        |name: &str| FleetModel { bound: bound.clone(), work_ms_per_s: 5.0, ..model(name, 0, 0) };
    let hot =
        FleetModel { work_ms_per_s: 1_600.0, waiting: 30, bound: Vec::new(), ..model("hot", 0, 0) };
    let models = [hot, cold("a"), cold("b")];
    let engines: Vec<FleetEngine> =
        versions.iter().flat_map(|software| engines(software, &[&["a", "b"]])).collect();
    let moves = plan(&models, &engines);
    assert!(moves.iter().filter(|planned| planned.load == "hot").count() > 1, "{moves:?}");
}

/// Guards against loads on an engine that has just ended.
#[test]
fn nothing_is_loaded_on_unresponsive_engines() {
    let models = [model("a", 0, 0)];
    let mut engines = engines("v1", &[&[], &[]]);
    engines[0].is_unresponsive = true;
    let moves = plan(&models, &engines);
    assert!(!moves.is_empty() && moves.iter().all(|planned| planned.engine == "v1-1"), "{moves:?}");
}

/// Guards against the unload of a model's last copy for room elsewhere that can't be used, since the
/// weight store allows no load now.
#[test]
fn a_last_copy_stays_if_it_could_not_be_loaded_elsewhere() {
    let models = [model("a", 0, 2), model("c", 0, 0), model("d", 0, 0)];
    let mut engines = [engines("v1", &[&["c", "d"]]), engines("v2", &[&["a"], &["a"]])].concat();
    engines[0].warm = WarmCopies { on_disk: vec!["a".into()], ..WarmCopies::default() };
    let unloads = |fetch_room| {
        let moves = FleetPlanner::new().plan(&models, &engines, fetch_room, at(0));
        moves.iter().any(|planned| planned.engine == "v1-0")
    };
    assert!(unloads(100));
    assert!(!unloads(0));
}

/// Guards against a copy that streams need at their version and that another model takes the place of,
/// since copies at another version are counted.
#[test]
fn the_last_copy_at_the_version_of_running_streams_is_not_unloaded() {
    let hot = FleetModel { work_ms_per_s: 1_200.0, ..model("b", 0, 0) };
    for (streams, is_kept) in [(0, false), (5, true)] {
        let models = [model("a", streams, 0), hot.clone(), model("c", 0, 0)];
        let mut engines =
            [engines("v1", &[&["a", "b"], &["b"]]), engines("v2", &[&["a", "b"], &["a", "b"]])]
                .concat();
        engines[1..].iter_mut().for_each(|engine| engine.accepts_orders = false);
        let moves = plan(&models, &engines);
        let unloaded =
            moves.iter().any(|planned| planned.engine == "v1-0" && planned.unload == ["a"]);
        assert_eq!(unloaded, !is_kept, "{moves:?}");
    }
}

/// Guards against requests that wait for the copy of an engine that has just ended: it is listed until
/// its silence has lasted.
#[test]
fn copies_of_unresponsive_engines_do_not_serve_waiting_streams() {
    let models = [model("a", 0, 2), model("b", 0, 0)];
    let mut engines = [engines("v1", &[&["a"], &["b"]]), engines("v2", &[&["a"]])].concat();
    assert!(load_at(&plan(&models, &engines), "a", "v1").is_none());
    engines[0].is_unresponsive = true;
    assert_eq!(load_at(&plan(&models, &engines), "a", "v1").unwrap().engine, "v1-1");
}

/// Guards against loads that are planned again and again for streams of two versions that compete for
/// the places of few engines.
#[test]
fn plans_for_bound_streams_come_to_an_end() {
    let both = |name: &str| {
        let demand = BoundDemand { streams: 3, waiting: 1 };
        let bound = ["v1", "v2"]
            .map(|software| VersionDemand { software: software.into(), demand })
            .to_vec();
        FleetModel { bound, ..model(name, 0, 0) }
    };
    let models = ["a", "b", "c", "d"].map(both);
    let mut engines = [engines("v1", &[&["a", "b"]]), engines("v2", &[&["c", "d"]])].concat();
    let mut planner = FleetPlanner::new();
    let mut loads = 0;
    for round in 0..50 {
        for planned in planner.plan(&models, &engines, 100, at(250 * round)) {
            loads += 1;
            let engine = engines.iter_mut().find(|engine| engine.id == planned.engine).unwrap();
            engine.models.retain(|held| !planned.unload.contains(held));
            engine.models.push(planned.load.clone());
            engine.models.sort();
        }
    }
    assert!(loads <= 4, "{loads} loads");
    for name in ["a", "b", "c", "d"] {
        assert!(engines.iter().any(|engine| engine.models.contains(&name.into())), "{engines:?}");
    }
}

fn gateway(name: &str) -> ProcessId {
    ProcessId { name: ProcessName::new(name), incarnation: base::Incarnation(1) }
}

/// Guards against streams of a gateway that ended, which are taken up at the others, without a copy at
/// their version.
#[test]
fn streams_of_a_silent_gateway_count_until_their_callers_have_come_back() {
    let mut table = BoundDemandTable::default();
    let [model, software] = ["a", "v1"].map(|name| short_hash(name.as_bytes()));
    let report = BoundStreams { model, software, streams: 4, waiting: 1 };
    table.update_peer(&gateway("north"), vec![report], at(0));
    assert_eq!(table.total("a", "v1", at(1_000)), BoundDemand { streams: 4, waiting: 1 });
    assert_eq!(table.total("a", "v1", at(9_999)), BoundDemand { streams: 4, waiting: 0 });
    assert_eq!(table.total("a", "v1", at(10_000)), BoundDemand::default());
    assert_eq!(table.total("a", "v2", at(1_000)), BoundDemand::default());
}

/// Guards against a broken stream that is forgotten before its caller takes it up.
#[test]
fn a_stream_counts_for_a_while_after_its_end() {
    let mut table = BoundDemandTable::default();
    table.record_begin("a", "v1");
    table.record_end("a", "v1", at(1_000));
    assert_eq!(table.total("a", "v1", at(3_999)), BoundDemand { streams: 1, waiting: 0 });
    assert_eq!(table.own_streams(at(3_999)).len(), 1);
    assert_eq!(table.total("a", "v1", at(4_000)), BoundDemand::default());
    assert!(table.own_streams(at(4_000)).is_empty());
}

/// Guards against an unload of the only copy that is left at a version, since the other engine that had
/// the model has just ended.
#[test]
fn a_copy_is_the_last_one_if_the_other_engine_has_ended() {
    let hot = FleetModel { work_ms_per_s: 1_200.0, ..model("b", 0, 0) };
    let models = [model("a", 4, 0), hot, model("c", 0, 0)];
    for is_unresponsive in [false, true] {
        let mut engines =
            [engines("v1", &[&["a", "b"], &["a", "b"]]), engines("v2", &[&["a", "b"]])].concat();
        engines[1].is_unresponsive = is_unresponsive;
        engines[1].accepts_orders = false;
        engines[2].accepts_orders = false;
        let moves = plan(&models, &engines);
        let unloaded = moves.iter().any(|planned| planned.unload == ["a"]);
        assert_eq!(unloaded, !is_unresponsive, "{moves:?}");
    }
}

/// Guards against streams that wait for an unload until all streams of another model have ended, while a
/// model without streams could be loaded elsewhere.
#[test]
fn a_model_without_streams_makes_room_for_waiting_streams() {
    let models = [model("a", 0, 2), model("b", 4, 0), model("c", 0, 0), model("d", 0, 0)];
    let engines =
        [engines("v1", &[&["b", "c"], &["b", "d"]]), engines("v2", &[&["a", "b"], &["a"], &["b"]])]
            .concat();
    let planned = plan(&models, &engines);
    let unload = &load_at(&planned, "a", "v1").unwrap().unload;
    assert!(*unload == ["c"] || *unload == ["d"], "{planned:?}");
    // Without room elsewhere the last copy of a model stays.
    let full: Vec<FleetEngine> = engines
        .into_iter()
        .map(|engine| match engine.models.len() {
            1 => FleetEngine { capacity_mb: 40, ..engine },
            _ => engine,
        })
        .collect();
    let planned = plan(&models, &full);
    assert_eq!(load_at(&planned, "a", "v1").unwrap().unload, ["b"], "{planned:?}");
}
