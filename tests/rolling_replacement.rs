//! Replacement of every entry process, one after the other, under load (invariant I11).

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

const ENTRIES: usize = 2;
const CALLERS: usize = 8;
const TOKENS: u64 = 50;
const TOKEN_US: u64 = 5_000;

/// What the load balancer knows, and what has been answered.
#[derive(Default)]
struct Balancer {
    in_rotation: [AtomicBool; ENTRIES],
    whole: AtomicUsize,
    stop: AtomicBool,
}

/// Sends requests one after the other to the entry processes in rotation.
async fn load(callers: Vec<Caller>, number: usize, balancer: Arc<Balancer>) {
    for round in 0.. {
        if balancer.stop.load(Ordering::Relaxed) {
            return;
        }
        let wanted = (number + round) % ENTRIES;
        let entry = (0..ENTRIES)
            .map(|step| (wanted + step) % ENTRIES)
            .find(|entry| balancer.in_rotation[*entry].load(Ordering::Relaxed))
            .unwrap();
        let prompt = format!("caller {number} round {round}");
        let answer = callers[entry].complete(MODEL, &prompt, TOKENS).await.unwrap();
        assert!(answer.is_whole(), "at entry {entry}: {}", answer.describe());
        assert_eq!(answer.text, standin::answer_text(MODEL, None, &prompt, TOKENS));
        balancer.whole.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against a replacement that cuts or refuses a request: at the stop, at the start of the new
/// process before it knows its targets, or while bucket slots change hands.
#[tokio::test]
async fn replacing_every_entry_process_cuts_no_request() {
    let options = FleetOptions {
        entries: ENTRIES,
        entry: json!({"drain_notice_ms": 1_000}),
        engine: json!({"token_us": TOKEN_US}),
        ..Default::default()
    };
    let mut fleet = Fleet::start(options).await;
    let balancer = Arc::new(Balancer::default());
    for entry in &balancer.in_rotation {
        entry.store(true, Ordering::Relaxed);
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let callers = (0..ENTRIES).map(|entry| fleet.caller(entry)).collect();
            tokio::spawn(load(callers, number, balancer.clone()))
        })
        .collect();
    for at in 0..ENTRIES {
        let before = balancer.whole.load(Ordering::Relaxed);
        support::wait_until("load", async || {
            balancer.whole.load(Ordering::Relaxed) >= before + CALLERS
        })
        .await;
        fleet.entries[at].process.signal(Signal::TERM);
        support::wait_until("a failing readiness check", async || {
            fleet.entries[at].readiness().await != Some(StatusCode::OK)
        })
        .await;
        sleep(Duration::from_millis(200)).await;
        balancer.in_rotation[at].store(false, Ordering::Relaxed);
        assert!(fleet.entries[at].process.wait_exit().await.success());
        fleet.entries[at].start_again();
        fleet.entries[at].wait_ready().await;
        balancer.in_rotation[at].store(true, Ordering::Relaxed);
    }
    let before = balancer.whole.load(Ordering::Relaxed);
    support::wait_until("load after the replacement", async || {
        balancer.whole.load(Ordering::Relaxed) >= before + CALLERS
    })
    .await;
    balancer.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
}
