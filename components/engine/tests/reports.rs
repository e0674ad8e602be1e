//! Load reports, cache events and KV transfers with the stand-in engine.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use base::prefix_blocks;
use bytes::Bytes;
use engine::{Answer, CacheEventKind, Engine, EngineError, EngineLimits, GenerateCall, HttpEngine};
use standin::{EngineServer, EngineSettings, PreloadedModel};
use tokio::time::sleep;

fn settings() -> EngineSettings {
    let model = PreloadedModel { model: "m".into(), version: "1".into(), memory_mb: 1_000 };
    EngineSettings { models: vec![model], token_us: 500, ..Default::default() }
}

async fn start(settings: EngineSettings) -> (EngineServer, HttpEngine) {
    let server = EngineServer::start(settings).await.unwrap();
    let client = HttpEngine::new(server.address(), EngineLimits::default());
    (server, client)
}

async fn run(client: &HttpEngine, id: &str, prompt: &str) {
    let call = GenerateCall {
        id: id.into(),
        model: "m".into(),
        prompt: prompt.to_owned(),
        max_tokens: 2,
        ..Default::default()
    };
    let mut answer = client.generate(&call).await.unwrap();
    while answer.next().await.unwrap().is_some() {}
}

#[tokio::test]
async fn load_report_lags_and_states_its_age() {
    let (_server, client) = start(EngineSettings { load_report_lag_ms: 400, ..settings() }).await;
    sleep(Duration::from_millis(50)).await;
    let call = GenerateCall {
        id: "r1".into(),
        model: "m".into(),
        max_tokens: 100_000,
        ..Default::default()
    };
    let _answer = client.generate(&call).await.unwrap();
    let early = client.load().await.unwrap();
    assert_eq!(early.running, 0);
    assert!(early.sample_age_ms >= 40);
    sleep(Duration::from_millis(500)).await;
    let late = client.load().await.unwrap();
    assert_eq!(late.running, 1);
    assert!(late.kv_used_blocks > 0 && late.sample_age_ms <= 450);
}

#[tokio::test]
async fn cache_events_name_the_blocks_of_the_prompt_late() {
    let (_server, client) = start(EngineSettings { cache_event_lag_ms: 200, ..settings() }).await;
    let prompt = "word ".repeat(150);
    run(&client, "r1", &prompt).await;
    assert!(client.cache_events(0).await.unwrap().events.is_empty());
    sleep(Duration::from_millis(250)).await;
    let events = client.cache_events(0).await.unwrap();
    let blocks: Vec<u64> = events.events.iter().map(|event| event.block).collect();
    assert_eq!(blocks, prefix_blocks("m", None, &prompt).collect::<Vec<_>>());
    assert!(events.events.iter().all(|event| event.kind == CacheEventKind::Stored));
    assert_eq!(events.last, 2);
    assert_eq!(client.cache_events(1).await.unwrap().events.len(), 1);
}

#[tokio::test]
async fn lost_cache_events_leave_gaps() {
    let lossy = EngineSettings {
        cache_event_lag_ms: 0,
        cache_event_loss_percent: 50,
        seed: 3,
        ..settings()
    };
    let (_server, client) = start(lossy).await;
    run(&client, "r1", &"word ".repeat(2_000)).await;
    let events = client.cache_events(0).await.unwrap();
    assert_eq!(events.last, 39);
    assert!((5..35).contains(&events.events.len()), "{} events", events.events.len());
}

#[tokio::test]
async fn full_cache_evicts_the_oldest_block() {
    let small = EngineSettings { cache_event_lag_ms: 0, cache_blocks: 1, ..settings() };
    let (_server, client) = start(small).await;
    let prompt = "word ".repeat(150);
    run(&client, "r1", &prompt).await;
    let events = client.cache_events(0).await.unwrap().events;
    let evicted: Vec<_> = events.iter().filter(|e| e.kind == CacheEventKind::Evicted).collect();
    assert_eq!(evicted.len(), 1);
    assert_eq!(Some(evicted[0].block), prefix_blocks("m", None, &prompt).next());
}

#[tokio::test]
async fn kv_cache_of_a_finished_request_moves_to_another_engine() {
    let (_first, from) = start(settings()).await;
    let (_second, to) = start(settings()).await;
    run(&from, "r1", "hello").await;
    let cache = from.export_kv("r1").await.unwrap();
    assert!(!cache.is_empty());
    to.import_kv("r1", "m", cache).await.unwrap();
    assert_eq!(from.export_kv("unknown").await, Err(EngineError::NotResident));
    to.import_kv("r2", "m", Bytes::new()).await.unwrap();
}

#[tokio::test]
async fn every_call_to_a_stopped_engine_is_unreachable() {
    let (mut server, client) = start(settings()).await;
    server.stop().await;
    assert_eq!(client.state().await, Err(EngineError::Unreachable));
    assert_eq!(client.load().await, Err(EngineError::Unreachable));
    assert_eq!(client.cache_events(0).await, Err(EngineError::Unreachable));
    assert_eq!(client.fence(1).await, Err(EngineError::Unreachable));
    assert_eq!(client.cancel("r1").await, Err(EngineError::Unreachable));
}
