//! SIGKILL of a side process in the middle of a stream (invariant I7).

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use serde_json::json;
use support::{Fleet, FleetOptions, MODEL};

const TOKENS: u64 = 200;

/// Guards against a truncated answer that passes for a whole one, and against tokens lost or repeated
/// where the answer goes on at another engine.
#[tokio::test]
async fn stream_goes_on_at_another_engine() {
    let options =
        FleetOptions { sides: 2, engine: json!({"token_us": 10_000}), ..Default::default() };
    let mut fleet = Fleet::start(options).await;
    let mut answer = fleet.caller(0).stream(MODEL, "the old bridge", TOKENS).await.unwrap();
    while answer.text.len() < 100 {
        assert!(answer.read_more().await, "{}", answer.describe());
    }
    let mut killed = 0;
    for side in &mut fleet.sides {
        if side.engine.get("/load").await["running"] != json!(0) {
            side.process.kill().await;
            killed += 1;
        }
    }
    assert_eq!(killed, 1, "exactly one engine runs the request");
    answer.read_to_end().await;
    assert!(answer.is_whole(), "{}", answer.describe());
    assert_eq!(answer.text, standin::answer_text(MODEL, None, "the old bridge", TOKENS));
    let resumed = fleet.runs().await.iter().filter(|run| run["first_index"] != json!(0)).count();
    assert_eq!(resumed, 1, "the answer was resumed once, not begun again");
}
