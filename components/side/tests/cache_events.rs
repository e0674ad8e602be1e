//! Forwarding of the engine's cache events to entry processes.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{CALL_LIMIT, Fixture, engine_settings, generate, request, run_test, wait_for};
use standin::EngineSettings;
use wire::{CacheUpdate, PeerCall, PeerClient, PeerReply};

async fn read_events(client: &PeerClient, after: u64) -> CacheUpdate {
    match client.call(&PeerCall::CacheEvents { after }, CALL_LIMIT).await.unwrap() {
        PeerReply::CacheEvents(update) => update,
        reply => panic!("unexpected reply {reply:?}"),
    }
}

/// Runs a request whose prompt fills several new cache blocks.
async fn fill(fixture: &Fixture, word: &str) {
    let mut request = request("base");
    request.prompt = word.repeat(400);
    generate(&fixture.client, &request).await;
}

/// Guards against events that are lost, repeated or out of order between engine and entry process.
#[test]
fn events_are_forwarded_without_gaps() {
    run_test(async {
        let fixture = Fixture::start(engine_settings()).await;
        fill(&fixture, "one ").await;
        let mut events = Vec::new();
        wait_for("events", async || {
            if let CacheUpdate::Events(newer) = read_events(&fixture.client, 0).await {
                events = newer;
            }
            !events.is_empty()
        })
        .await;
        let first: Vec<u64> = events.iter().map(|event| event.sequence).collect();
        let expected: Vec<u64> = (1..).take(first.len()).collect();
        assert_eq!(first, expected);
        fill(&fixture, "two ").await;
        let last = *first.last().unwrap();
        wait_for("newer events only", async || match read_events(&fixture.client, last).await {
            CacheUpdate::Events(newer) => {
                assert!(newer.iter().all(|event| event.sequence > last));
                !newer.is_empty()
            }
            CacheUpdate::Blocks { .. } => panic!("no event was lost"),
        })
        .await;
    });
}

/// Guards against evicted blocks that are still reported after events of the engine were lost.
#[test]
fn lost_events_reset_the_known_blocks() {
    run_test(async {
        let settings = EngineSettings { cache_event_loss_percent: 100, ..engine_settings() };
        let fixture = Fixture::start(settings).await;
        fill(&fixture, "one ").await;
        wait_for("the gap is detected", async || match read_events(&fixture.client, 0).await {
            CacheUpdate::Blocks { through, blocks } => {
                assert!(blocks.is_empty(), "nothing is known");
                through > 0
            }
            CacheUpdate::Events(events) => {
                assert!(events.is_empty());
                false
            }
        })
        .await;
    });
}
