//! SIGSTOP of an entry process past its authority limit, with a key withdrawn meanwhile (invariants
//! I3 and I5).

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::time::Duration;

use http::StatusCode;
use rustix::process::Signal;
use serde_json::json;
use standin::{Blocked, LinkFaults};
use support::{Fleet, FleetOptions, MODEL};
use tokio::time::{Instant, sleep};

/// Time within which a withdrawn key stops working.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(3);
/// Time after the pause for which the process stays cut off.
const CUT_OFF: Duration = Duration::from_secs(3);
/// The authority limit is 2 s.
const PAUSE: Duration = Duration::from_secs(4);

/// Guards against a process that wakes up and serves by what it knew before: its sockets hold a
/// request that arrived while it was stopped, and a stream was running. The links to the log and to
/// the other entry process are cut off meanwhile, so that it can't learn of the withdrawal in time.
#[tokio::test]
async fn woken_entry_serves_no_withdrawn_key() {
    let options = FleetOptions { engine: json!({"token_us": 20_000}), ..Default::default() };
    let fleet = Fleet::start(options).await;
    let caller = fleet.caller(0);
    let mut running = caller.stream(MODEL, "running", 2_000).await.unwrap();
    assert!(running.read_more().await);
    let runs_before = fleet.runs().await.len();

    fleet.entries[0].process.signal(Signal::STOP);
    let cut_off = LinkFaults { blocked: Blocked::Both, ..Default::default() };
    set_links(&fleet, cut_off);
    fleet.withdraw_key().await;
    let waiting = tokio::spawn(async move { caller.complete(MODEL, "waiting", 5).await });
    sleep(PAUSE).await;
    fleet.entries[0].process.signal(Signal::CONT);

    let woken = Instant::now();
    let waiting = waiting.await.unwrap().unwrap();
    let refused = [StatusCode::UNAUTHORIZED, StatusCode::SERVICE_UNAVAILABLE];
    assert!(refused.contains(&waiting.status), "{}", waiting.describe());
    running.read_to_end().await;
    assert!(woken.elapsed() < WITHDRAWAL_LIMIT, "the stream went on for {:?}", woken.elapsed());
    assert!(!running.is_whole() && !running.done, "{}", running.describe());
    // By then heartbeats have made the side processes known again; only the authority is missing.
    while woken.elapsed() < CUT_OFF {
        let answer = fleet.caller(0).complete(MODEL, "cut off", 5).await.unwrap();
        assert!(refused.contains(&answer.status), "{}", answer.describe());
        sleep(Duration::from_millis(50)).await;
    }

    set_links(&fleet, LinkFaults::default());
    support::wait_until("the key to be known as withdrawn", async || {
        let answer = fleet.caller(0).complete(MODEL, "withdrawn", 1).await.unwrap();
        answer.status == StatusCode::UNAUTHORIZED
    })
    .await;
    assert_eq!(fleet.runs().await.len(), runs_before, "a request of the withdrawn key ran");
}

/// Sets the links from the first entry process to the log and to the second entry process. The side
/// process reaches the first still.
fn set_links(fleet: &Fleet, faults: LinkFaults) {
    fleet.entries[0].links.log.set(faults);
    fleet.entries[1].links.peers.set(faults);
}
