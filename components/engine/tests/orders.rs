//! Orders to the stand-in engine, one fault per test.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use engine::{
    Engine, EngineError, EngineLimits, EngineRole, HttpEngine, ModelState, Order, OrderKind,
    OrderResult,
};
use standin::{EngineServer, EngineSettings, OrderOutcome, WeightStoreServer, WeightStoreSettings};
use tokio::time::{sleep, timeout};

const LIMITS: EngineLimits = EngineLimits {
    connect: Duration::from_millis(300),
    call: Duration::from_millis(500),
    event: Duration::from_millis(500),
    kv_transfer: Duration::from_secs(1),
    order_margin: Duration::from_millis(200),
};

async fn start(settings: EngineSettings) -> (EngineServer, HttpEngine) {
    let server = EngineServer::start(settings).await.unwrap();
    let client = HttpEngine::new(server.address(), LIMITS);
    (server, client)
}

fn order(id: &str, kind: OrderKind) -> Order {
    Order { id: id.into(), fencing: 1, deadline: Duration::from_secs(2), kind }
}

fn load(id: &str, model: &str, memory_mb: u64, load_ms: u64) -> Order {
    let (model, version) = (model.into(), "1".into());
    order(id, OrderKind::LoadModel { model, version, memory_mb, load_ms })
}

fn unload(id: &str, model: &str) -> Order {
    order(id, OrderKind::UnloadModel { model: model.into() })
}

fn load_adapter(id: &str, memory_mb: u64) -> Order {
    let (adapter, model) = ("ad".into(), "m".into());
    order(id, OrderKind::LoadAdapter { adapter, model, memory_mb, load_ms: 5 })
}

async fn wait_until_resident(client: &HttpEngine, model: &str) {
    let resident = async {
        loop {
            let state = client.state().await.unwrap();
            if state.models.iter().any(|m| m.model == model && m.state == ModelState::Resident) {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(5), resident).await.expect("the model is not resident");
}

#[tokio::test]
async fn models_adapters_and_role_follow_their_orders() {
    let (server, client) = start(EngineSettings::default()).await;
    assert_eq!(client.order(&load("o1", "m", 900, 5)).await, Ok(OrderResult::Done));
    assert_eq!(client.order(&load_adapter("o2", 50)).await, Ok(OrderResult::Done));
    let role = order("o3", OrderKind::SetRole { role: EngineRole::Decode });
    assert_eq!(client.order(&role).await, Ok(OrderResult::Done));
    let state = client.state().await.unwrap();
    assert_eq!((state.used_mb, state.role), (950, EngineRole::Decode));
    assert_eq!((state.models[0].state, state.adapters.len()), (ModelState::Resident, 1));
    let unload_order = order("o4", OrderKind::UnloadAdapter { adapter: "ad".into() });
    assert_eq!(client.order(&unload_order).await, Ok(OrderResult::Done));
    assert_eq!(client.state().await.unwrap().used_mb, 900);
    assert_eq!(client.order(&unload("o5", "m")).await, Ok(OrderResult::Done));
    assert_eq!(client.state().await.unwrap().used_mb, 0);
    assert_eq!(server.journal().most_used_mb, 950);
}

/// Guards against two concurrent loads that overcommit the memory: a load counts from its start.
#[tokio::test]
async fn engine_refuses_to_overcommit_and_records_the_attempt() {
    let (server, client) = start(EngineSettings { capacity_mb: 1_000, ..Default::default() }).await;
    let (first, second) = (load("o1", "m", 600, 50), load("o2", "n", 600, 50));
    let (first, second) = tokio::join!(client.order(&first), client.order(&second));
    assert_eq!((first, second), (Ok(OrderResult::Done), Ok(OrderResult::NoMemory)));
    assert_eq!(client.order(&load_adapter("o3", 500)).await, Ok(OrderResult::NoMemory));
    let journal = server.journal();
    assert_eq!((journal.overcommit_attempts, journal.most_used_mb), (2, 600));
}

#[tokio::test]
async fn same_order_again_waits_for_the_same_result() {
    let (server, client) = start(EngineSettings::default()).await;
    let order = load("o1", "m", 600, 100);
    let (first, again) = tokio::join!(client.order(&order), client.order(&order));
    assert_eq!((first, again), (Ok(OrderResult::Done), Ok(OrderResult::Done)));
    assert_eq!(client.order(&order).await, Ok(OrderResult::Done));
    assert_eq!(server.journal().orders.len(), 1);
}

#[tokio::test]
async fn lost_order_is_unknown_and_never_executed() {
    for lost_hang in [false, true] {
        let (server, client) =
            start(EngineSettings { lose_orders: 1, lost_hang, ..Default::default() }).await;
        let short = Order { deadline: Duration::from_millis(100), ..load("o1", "m", 600, 5) };
        assert_eq!(client.order(&short).await, Err(EngineError::OutcomeUnknown));
        assert_eq!(client.state().await.unwrap().used_mb, 0);
        assert!(server.journal().orders.is_empty());
    }
}

/// Guards against an executed order reported as not executed: the ledger must count it.
#[tokio::test]
async fn lost_answer_is_unknown_though_executed() {
    for lost_hang in [false, true] {
        let (_server, client) =
            start(EngineSettings { lose_order_answers: 1, lost_hang, ..Default::default() }).await;
        let short = Order { deadline: Duration::from_millis(100), ..load("o1", "m", 600, 5) };
        assert_eq!(client.order(&short).await, Err(EngineError::OutcomeUnknown));
        wait_until_resident(&client, "m").await;
    }
}

#[tokio::test]
async fn order_in_progress_shows_with_its_memory() {
    let (_server, client) = start(EngineSettings::default()).await;
    let slow = load("o1", "m", 600, 300);
    let check = async {
        sleep(Duration::from_millis(100)).await;
        client.state().await.unwrap()
    };
    let (result, state) = tokio::join!(client.order(&slow), check);
    assert_eq!(result, Ok(OrderResult::Done));
    assert_eq!((state.used_mb, state.models[0].state), (600, ModelState::Loading));
    assert_eq!(state.orders_in_progress, ["o1"]);
}

#[tokio::test]
async fn fencing_is_honoured_or_ignored() {
    let (_server, client) = start(EngineSettings::default()).await;
    assert_eq!(client.fence(5).await, Ok(5));
    assert_eq!(client.fence(4).await, Ok(5));
    assert_eq!(client.order(&load("o1", "m", 600, 5)).await, Ok(OrderResult::Fenced));
    let newer = Order { fencing: 6, ..load("o2", "m", 600, 5) };
    assert_eq!(client.order(&newer).await, Ok(OrderResult::Done));

    let (_server, client) =
        start(EngineSettings { honours_fencing: false, ..Default::default() }).await;
    assert_eq!(client.fence(5).await, Ok(0));
    assert_eq!(client.order(&load("o1", "m", 600, 5)).await, Ok(OrderResult::Done));
}

/// Guards against an order of an ended process that is executed although the fence was raised while
/// it was in flight.
#[tokio::test]
async fn late_order_is_refused_by_the_fence_or_its_deadline() {
    let (server, client) =
        start(EngineSettings { order_delay_ms: 150, ..Default::default() }).await;
    let late = load("o1", "m", 600, 5);
    let fence = async {
        sleep(Duration::from_millis(50)).await;
        client.fence(9).await
    };
    let (result, fence) = tokio::join!(client.order(&late), fence);
    assert_eq!((result, fence), (Ok(OrderResult::Fenced), Ok(9)));
    let short = Order { fencing: 9, deadline: Duration::from_millis(100), ..load("o2", "m", 9, 5) };
    assert_eq!(client.order(&short).await, Ok(OrderResult::Expired));
    let results: Vec<_> = server.journal().orders.iter().map(|entry| entry.result).collect();
    assert_eq!(results, [OrderOutcome::Fenced, OrderOutcome::Expired]);
}

#[tokio::test]
async fn failing_order_takes_no_memory() {
    let (_server, client) = start(EngineSettings { fail_orders: 1, ..Default::default() }).await;
    assert_eq!(client.order(&load("o1", "m", 600, 5)).await, Ok(OrderResult::Failed));
    assert_eq!(client.state().await.unwrap().used_mb, 0);
}

#[tokio::test]
async fn engine_loads_from_the_weight_store_within_its_rate() {
    let settings = WeightStoreSettings {
        concurrent_loads: 1,
        loads_per_1000_s: 1,
        load_ms: 5,
        ..Default::default()
    };
    let store = WeightStoreServer::start(settings).await.unwrap();
    let (_server, client) =
        start(EngineSettings { weight_store: Some(store.address()), ..Default::default() }).await;
    assert_eq!(client.order(&load("o1", "m", 600, 5)).await, Ok(OrderResult::Done));
    assert_eq!(client.order(&load("o2", "n", 600, 5)).await, Ok(OrderResult::Failed));
    assert_eq!(client.state().await.unwrap().used_mb, 600);
    let counts = store.counts();
    assert_eq!((counts.started, counts.refused, counts.most_concurrent), (1, 1, 1));
}

/// Guards against an unload that aborts a running request.
#[tokio::test]
async fn unload_waits_for_running_requests() {
    let (server, client) = start(EngineSettings { token_us: 1_000, ..Default::default() }).await;
    assert_eq!(client.order(&load("o1", "m", 600, 5)).await, Ok(OrderResult::Done));
    let call = engine::GenerateCall {
        id: "r1".into(),
        model: "m".into(),
        max_tokens: 100,
        ..Default::default()
    };
    let mut answer = client.generate(&call).await.unwrap();
    let read = async {
        use engine::Answer;
        while answer.next().await.unwrap().is_some() {}
    };
    let unload_order = unload("o2", "m");
    let (result, ()) = tokio::join!(client.order(&unload_order), read);
    assert_eq!(result, Ok(OrderResult::Done));
    assert!(server.journal().runs[0].finished);
}

#[tokio::test]
async fn crash_during_an_order_leaves_no_effect() {
    let (mut server, client) = start(EngineSettings::default()).await;
    let slow = load("o1", "m", 600, 200);
    let crash = async {
        sleep(Duration::from_millis(50)).await;
        server.restart().await.unwrap();
    };
    let (result, ()) = tokio::join!(client.order(&slow), crash);
    assert_eq!(result, Err(EngineError::OutcomeUnknown));
    sleep(Duration::from_millis(250)).await;
    let state = client.state().await.unwrap();
    assert!(state.models.is_empty() && state.orders_in_progress.is_empty());
}
