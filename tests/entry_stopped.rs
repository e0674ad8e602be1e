//! SIGTERM of an entry process under load (invariant I11).

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use http::StatusCode;
use rustix::process::Signal;
use serde_json::json;
use support::{Caller, Fleet, FleetOptions, MODEL};
use tokio::time::sleep;

const CALLERS: usize = 12;
/// Answers take 2 s, so that those begun last go on after the notice of 1 s.
const TOKENS: u64 = 200;
const TOKEN_US: u64 = 10_000;

/// Sends requests one after the other until the load balancer takes the process out.
async fn load(
    caller: Caller,
    number: usize,
    in_rotation: Arc<AtomicBool>,
    whole: Arc<AtomicUsize>,
) {
    for round in 0.. {
        if !in_rotation.load(Ordering::Relaxed) {
            return;
        }
        let prompt = format!("caller {number} round {round}");
        let answer = caller.complete(MODEL, &prompt, TOKENS).await.unwrap();
        assert!(answer.is_whole(), "{}", answer.describe());
        assert_eq!(answer.text, standin::answer_text(MODEL, None, &prompt, TOKENS));
        whole.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against a stop that cuts streams, refuses requests before the load balancer has noticed, or
/// never ends. The test acts as the load balancer: it stops sending when the readiness check fails.
#[tokio::test]
async fn stop_cuts_no_request() {
    let options = FleetOptions {
        entry: json!({"drain_notice_ms": 1_000}),
        engine: json!({"token_us": TOKEN_US}),
        ..Default::default()
    };
    let mut fleet = Fleet::start(options).await;
    let in_rotation = Arc::new(AtomicBool::new(true));
    let whole = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (in_rotation, whole) = (in_rotation.clone(), whole.clone());
            tokio::spawn(load(fleet.caller(0), number, in_rotation, whole))
        })
        .collect();
    support::wait_until("load", async || whole.load(Ordering::Relaxed) >= CALLERS).await;
    fleet.entries[0].process.signal(Signal::TERM);
    support::wait_until("a failing readiness check", async || {
        fleet.entries[0].readiness().await != Some(StatusCode::OK)
    })
    .await;
    let before = whole.load(Ordering::Relaxed);
    sleep(Duration::from_millis(300)).await;
    in_rotation.store(false, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    assert!(whole.load(Ordering::Relaxed) > before, "no request ended after the signal");
    assert!(fleet.entries[0].process.wait_exit().await.success());
    let other = fleet.caller(1).complete(MODEL, "afterwards", TOKENS).await.unwrap();
    assert!(other.is_whole(), "{}", other.describe());
}
