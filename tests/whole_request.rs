//! A whole request through each of two entry processes (invariants I4 and I7).

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use serde_json::json;
use support::{Fleet, FleetOptions, KEY, MODEL};

/// Guards against an answer that lost, repeated or mixed up tokens on its way, and against a key that
/// reaches an engine. The engines repeat tokens and mix in events of other requests.
#[tokio::test]
async fn answers_are_whole_and_engines_see_no_key() {
    let engine = json!({"crossed_events_percent": 20, "repeated_events_percent": 20, "seed": 11});
    let fleet = Fleet::start(FleetOptions { sides: 2, engine, ..Default::default() }).await;
    let (first, second) = (fleet.caller(0), fleet.caller(1));
    for round in 0..4 {
        let prompts = [format!("harbour {round}"), format!("chapel {round}")];
        let (one, two) = tokio::join!(
            first.complete(MODEL, &prompts[0], 60),
            second.complete(MODEL, &prompts[1], 60)
        );
        for (answer, prompt) in [one.unwrap(), two.unwrap()].into_iter().zip(&prompts) {
            assert!(answer.is_whole(), "{}", answer.describe());
            assert_eq!(answer.text, standin::answer_text(MODEL, None, prompt, 60));
        }
    }
    for run in fleet.runs().await {
        assert!(!run.to_string().contains(KEY), "the engine saw the key: {run}");
    }
}
