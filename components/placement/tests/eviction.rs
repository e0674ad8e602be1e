//! Eviction of models and adapters, and the search for load permits.

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

/// Returns a ledger past its quarantine, for an empty engine of 1,000 MB.
fn ledger_past_quarantine() -> MemoryLedger {
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

fn complete(ledger: &mut MemoryLedger, order: Result<Order, OrderRefusal>, now: Timestamp) {
    let id = order.map(|order| order.id);
    assert!(id.is_ok_and(|id| ledger.apply_answer(id, OrderResult::Done, now)));
}

fn load(ledger: &mut MemoryLedger, name: &str, memory_mb: u64, millis: u64) {
    let order = ledger.begin_load(model(name), None, memory_mb, at(millis));
    complete(ledger, order, at(millis));
}

fn load_adapter(ledger: &mut MemoryLedger, name: &str, base: &str, millis: u64) {
    let base = Some(CompactString::from(base));
    let order = ledger.begin_load(adapter(name), base, 100, at(millis));
    complete(ledger, order, at(millis));
}

fn demand(item: &Item) -> u64 {
    if *item == model("busy") { 1_000 } else { 1 }
}

/// Guards against the eviction of a model with high demand or of one in use.
#[test]
fn model_with_least_demand_per_mb_is_evicted_first() {
    let mut ledger = ledger_past_quarantine();
    load(&mut ledger, "busy", 400, 20);
    load(&mut ledger, "calm", 400, 21);
    let decision =
        ledger.decide_eviction(&model("new"), 500, demand, |_| UnloadPermission::Allowed);
    assert_eq!(decision, EvictionDecision::Evict(model("calm")));
    ledger.acquire(&model("calm"), at(30));
    let decision =
        ledger.decide_eviction(&model("new"), 500, demand, |_| UnloadPermission::Allowed);
    assert_eq!(decision, EvictionDecision::Evict(model("busy")));
    ledger.acquire(&model("busy"), at(30));
    let decision =
        ledger.decide_eviction(&model("new"), 500, demand, |_| UnloadPermission::Allowed);
    assert_eq!(decision, EvictionDecision::Impossible);
    assert_eq!(ledger.begin_unload(&model("calm"), at(31)), Err(OrderRefusal::InUse));
}

/// Guards against the eviction of a model that needs a pin while another would free enough memory.
#[test]
fn model_that_needs_a_pin_is_evicted_last() {
    let mut ledger = ledger_past_quarantine();
    load(&mut ledger, "always", 500, 20);
    load(&mut ledger, "busy", 400, 21);
    let permission = |item: &Item| {
        if *item == model("always") {
            UnloadPermission::NeedsPin
        } else {
            UnloadPermission::Allowed
        }
    };
    let decision = ledger.decide_eviction(&model("new"), 300, demand, permission);
    assert_eq!(decision, EvictionDecision::Evict(model("busy")));
    let decision = ledger.decide_eviction(&model("new"), 600, demand, permission);
    assert_eq!(decision, EvictionDecision::RequestPin(model("always")), "both must be unloaded");
    let decision = ledger.decide_eviction(&model("new"), 2_000, demand, permission);
    assert_eq!(decision, EvictionDecision::Impossible, "nothing is unloaded without effect");
}

/// Guards against adapters that are evicted out of order or stay loaded longer than their base
/// model.
#[test]
fn least_recently_used_adapter_is_evicted_first_and_before_its_model() {
    let mut ledger = ledger_past_quarantine();
    load(&mut ledger, "base", 600, 20);
    load_adapter(&mut ledger, "old", "base", 21);
    load_adapter(&mut ledger, "used", "base", 22);
    ledger.acquire(&adapter("old"), at(30));
    ledger.release(&adapter("old"), at(31));
    let decision =
        ledger.decide_eviction(&adapter("new"), 250, demand, |_| UnloadPermission::Allowed);
    assert_eq!(decision, EvictionDecision::Evict(adapter("used")));
    let decision =
        ledger.decide_eviction(&model("new"), 900, demand, |_| UnloadPermission::Allowed);
    assert!(matches!(decision, EvictionDecision::Evict(Item::Adapter(_))), "{decision:?}");
    assert_eq!(ledger.idle_item(at(100), |_| UnloadPermission::Allowed), Some(adapter("used")));
    let missing = ledger.begin_load(adapter("lost"), Some("absent".into()), 10, at(40));
    assert_eq!(missing, Err(OrderRefusal::NotResident));
}

/// Guards against overcommitment if an engine reports less capacity than configured or memory used
/// by unknown items.
#[test]
fn unaccounted_engine_memory_counts_as_reserved() {
    let mut ledger = ledger_past_quarantine();
    let state = EngineState { capacity_mb: 800, used_mb: 300, ..EngineState::default() };
    ledger.observe(&state, at(20), at(20), |_| None);
    assert_eq!((ledger.capacity_mb(), ledger.used_mb(), ledger.free_mb()), (800, 300, 500));
    let order = ledger.begin_load(model("m"), None, 501, at(21));
    assert_eq!(order, Err(OrderRefusal::NoMemory { missing_mb: 1 }));
}

/// Guards against a search that contacts the same owner forever or too often.
#[test]
fn permit_search_tries_each_owner_and_then_backs_off() {
    let mut search = PermitSearch::new();
    assert_eq!(search.candidate(at(1)), None);
    search.set_candidates(vec!["a", "b", "c"]);
    for (owner, wait) in [("a", None), ("b", Some(Duration::from_millis(40))), ("c", None)] {
        assert_eq!(search.candidate(at(1)), Some(owner));
        search.refused(wait, at(1));
    }
    assert_eq!(search.candidate(at(40)), None, "the shortest wait has not elapsed");
    assert_eq!(search.candidate(at(41)), Some("a"));
    search.refused(None, at(41));
    search.granted();
    search.set_candidates(vec!["a", "b", "c"]);
    assert_eq!(search.candidate(at(42)), Some("b"), "the owner that granted last comes first");
}
