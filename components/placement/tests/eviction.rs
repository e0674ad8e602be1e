//! Making room, adapters, and the search for permits.

use std::time::Duration;

use base::{Offset, Timestamp};
use compact_str::CompactString;
use placement::{
    EngineState, EvictionDecision, Item, MemoryLedger, MemoryLedgerSettings, Order, OrderRefusal,
    OrderResult, PermitSearch, UnloadPermission,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn model(name: &str) -> Item {
    Item::Model(name.into())
}

fn adapter(name: &str) -> Item {
    Item::Adapter(name.into())
}

/// A ledger past its quarantine at an empty engine of 1,000 MB.
fn open_ledger() -> MemoryLedger {
    let lifetime = Duration::from_millis(10);
    let settings = MemoryLedgerSettings {
        capacity_mb: 1_000,
        order_lifetime: lifetime,
        ..MemoryLedgerSettings::default()
    };
    let mut ledger = MemoryLedger::new(settings, at(0));
    ledger.quarantine_mut().set_fencing(Offset(1));
    ledger.quarantine_mut().acknowledge_fence(Offset(1));
    let state = EngineState { capacity_mb: 1_000, ..EngineState::default() };
    for millis in [11, 12] {
        ledger.observe(&state, at(millis), at(millis), |_| None);
    }
    assert!(ledger.quarantine().is_over());
    ledger
}

fn done(ledger: &mut MemoryLedger, order: Result<Order, OrderRefusal>, now: Timestamp) {
    let id = order.map(|order| order.id);
    assert!(id.is_ok_and(|id| ledger.apply_answer(id, OrderResult::Done, now)));
}

fn load(ledger: &mut MemoryLedger, name: &str, memory_mb: u64, millis: u64) {
    let order = ledger.begin_load(model(name), None, memory_mb, at(millis));
    done(ledger, order, at(millis));
}

fn load_adapter(ledger: &mut MemoryLedger, name: &str, base: &str, millis: u64) {
    let base = Some(CompactString::from(base));
    let order = ledger.begin_load(adapter(name), base, 100, at(millis));
    done(ledger, order, at(millis));
}

fn demand(item: &Item) -> u64 {
    if *item == model("busy") { 1_000 } else { 1 }
}

/// Guards against an eviction that takes a model with much demand, or one in use.
#[test]
fn model_with_least_demand_per_mb_goes_first() {
    let mut ledger = open_ledger();
    load(&mut ledger, "busy", 400, 20);
    load(&mut ledger, "calm", 400, 21);
    let room = ledger.decide_eviction(&model("new"), 500, demand, |_| UnloadPermission::Allowed);
    assert_eq!(room, EvictionDecision::Evict(model("calm")));
    ledger.acquire(&model("calm"), at(30));
    let room = ledger.decide_eviction(&model("new"), 500, demand, |_| UnloadPermission::Allowed);
    assert_eq!(room, EvictionDecision::Evict(model("busy")));
    ledger.acquire(&model("busy"), at(30));
    let room = ledger.decide_eviction(&model("new"), 500, demand, |_| UnloadPermission::Allowed);
    assert_eq!(room, EvictionDecision::Impossible);
    assert_eq!(ledger.begin_unload(&model("calm"), at(31)), Err(OrderRefusal::InUse));
}

/// Guards against the eviction of a model that must stay while another would do.
#[test]
fn model_that_needs_a_pin_goes_last() {
    let mut ledger = open_ledger();
    load(&mut ledger, "always", 500, 20);
    load(&mut ledger, "busy", 400, 21);
    let unloading = |item: &Item| {
        if *item == model("always") {
            UnloadPermission::NeedsPin
        } else {
            UnloadPermission::Allowed
        }
    };
    let room = ledger.decide_eviction(&model("new"), 300, demand, unloading);
    assert_eq!(room, EvictionDecision::Evict(model("busy")));
    let room = ledger.decide_eviction(&model("new"), 600, demand, unloading);
    assert_eq!(room, EvictionDecision::RequestPin(model("always")), "both have to go");
    let room = ledger.decide_eviction(&model("new"), 2_000, demand, unloading);
    assert_eq!(room, EvictionDecision::Impossible, "nothing is unloaded in vain");
}

/// Guards against adapters that are evicted out of order, or that outlive their base model.
#[test]
fn least_recently_used_adapter_goes_first_and_before_its_model() {
    let mut ledger = open_ledger();
    load(&mut ledger, "base", 600, 20);
    load_adapter(&mut ledger, "old", "base", 21);
    load_adapter(&mut ledger, "used", "base", 22);
    ledger.acquire(&adapter("old"), at(30));
    ledger.release(&adapter("old"), at(31));
    let room = ledger.decide_eviction(&adapter("new"), 250, demand, |_| UnloadPermission::Allowed);
    assert_eq!(room, EvictionDecision::Evict(adapter("used")));
    let room = ledger.decide_eviction(&model("new"), 900, demand, |_| UnloadPermission::Allowed);
    assert!(matches!(room, EvictionDecision::Evict(Item::Adapter(_))), "{room:?}");
    assert_eq!(ledger.idle_item(at(100), |_| UnloadPermission::Allowed), Some(adapter("used")));
    let missing = ledger.begin_load(adapter("lost"), Some("absent".into()), 10, at(40));
    assert_eq!(missing, Err(OrderRefusal::NotResident));
}

/// Guards against an engine that says less memory than configured, or memory of unknown use.
#[test]
fn unknown_memory_of_the_engine_counts_as_reserved() {
    let mut ledger = open_ledger();
    let state = EngineState { capacity_mb: 800, used_mb: 300, ..EngineState::default() };
    ledger.observe(&state, at(20), at(20), |_| None);
    assert_eq!((ledger.capacity_mb(), ledger.used_mb(), ledger.free_mb()), (800, 300, 500));
    let order = ledger.begin_load(model("m"), None, 501, at(21));
    assert_eq!(order, Err(OrderRefusal::NoMemory { missing_mb: 1 }));
}

/// Guards against a search that asks the same owner for ever, or too often.
#[test]
fn permit_search_goes_round_and_then_waits() {
    let mut search = PermitSearch::new();
    assert_eq!(search.candidate(at(1)), None);
    search.set_candidates(vec!["a", "b", "c"]);
    for (owner, wait) in [("a", None), ("b", Some(Duration::from_millis(40))), ("c", None)] {
        assert_eq!(search.candidate(at(1)), Some(owner));
        search.refused(wait, at(1));
    }
    assert_eq!(search.candidate(at(40)), None, "the shortest wait has not passed");
    assert_eq!(search.candidate(at(41)), Some("a"));
    search.refused(None, at(41));
    search.granted();
    search.set_candidates(vec!["a", "b", "c"]);
    assert_eq!(search.candidate(at(42)), Some("b"), "the one that granted is asked first");
}
