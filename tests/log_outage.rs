//! An outage of the log with a restart in it (invariant I12, and no wrongful refusal).

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use http::StatusCode;
use serde_json::json;
use support::{Fleet, FleetOptions, MODEL};

/// Guards against an entry process that can't start without the log, and against keys that are served
/// without evidence that they were not withdrawn.
#[tokio::test]
async fn entry_restarted_in_an_outage_has_its_peers_configuration_and_serves_keys_after_it() {
    let mut fleet = Fleet::start(FleetOptions::default()).await;
    // The slots of the restarted process are frozen in the outage; the other must hold some.
    for entry in &fleet.entries {
        support::wait_until("slots at both entries", async || entry.status().await.slots_owned > 0)
            .await;
    }
    let version = fleet.entries[0].status().await.config_offset;
    fleet.log.control(&json!({"outage": true})).await;
    fleet.entries[1].restart().await;
    support::wait_until("the peer's configuration", async || {
        fleet.entries[1].status().await.config_offset == version
    })
    .await;
    for entry in 0..2 {
        support::wait_until("the end of authority", async || {
            let answer = fleet.caller(entry).complete(MODEL, "in the outage", 20).await.unwrap();
            answer.status == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
    }
    fleet.log.control(&json!({"outage": false})).await;
    for entry in 0..2 {
        fleet.entries[entry].wait_ready().await;
        // The side process must have met the new incarnation before requests can reach it.
        support::wait_until("a whole answer after the outage", async || {
            let answer = fleet.caller(entry).complete(MODEL, "after the outage", 20).await;
            answer.is_ok_and(|answer| answer.is_whole())
        })
        .await;
    }
    for round in 0..10 {
        for entry in 0..2 {
            let prompt = format!("after the outage {entry} {round}");
            let answer = fleet.caller(entry).complete(MODEL, &prompt, 20).await.unwrap();
            assert!(answer.is_whole(), "{}", answer.describe());
            assert_eq!(answer.text, standin::answer_text(MODEL, None, &prompt, 20));
        }
    }
    fleet.withdraw_key().await;
    for entry in 0..2 {
        support::wait_until("the withdrawal after the outage", async || {
            let answer = fleet.caller(entry).complete(MODEL, "withdrawn", 1).await.unwrap();
            answer.status == StatusCode::UNAUTHORIZED
        })
        .await;
    }
}
