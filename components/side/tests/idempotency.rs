//! Calls with an idempotency key run at most once, even if messages are lost.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use base::ExecutionState;
use common::{
    Platform, RunningSide, call, config, connect, head, run_test, side_settings, wait_for,
};
use standin::{PlainServer, PlainSettings};
use wire::{ForwardHead, PeerClient, RefuseReason};

/// Two side processes, each with an instance of the plain service.
struct Pair {
    platform: Platform,
    services: [PlainServer; 2],
    sides: [RunningSide; 2],
    clients: [PeerClient; 2],
}

impl Pair {
    async fn start() -> Self {
        let platform = Platform::start().await;
        let mut services = Vec::new();
        let mut sides = Vec::new();
        let mut clients = Vec::new();
        for target in ["p1", "p2"] {
            let service = PlainServer::start(PlainSettings::default()).await.unwrap();
            let settings = side_settings(&platform, target, service.address());
            let side = RunningSide::start(settings, config()).await;
            side.wait_ready().await;
            clients.push(connect(side.address).await);
            services.push(service);
            sides.push(side);
        }
        let wrong_count = |_| unreachable!("two of each were started");
        Self {
            platform,
            services: services.try_into().unwrap_or_else(wrong_count),
            sides: sides.try_into().unwrap_or_else(|_| unreachable!("two were started")),
            clients: clients.try_into().unwrap_or_else(|_| unreachable!("two were started")),
        }
    }

    /// Number of calls that ran at either instance.
    fn runs(&self) -> usize {
        self.services.iter().map(|s| s.requests().iter().filter(|r| r.ran).count()).sum()
    }
}

fn keyed(key: u8) -> ForwardHead {
    ForwardHead { idempotency_key_sha256: Some([key; 32]), ..head() }
}

/// Guards against a repeated call that runs again at the same side process, another one, or a new
/// incarnation.
#[test]
fn repeats_get_the_stored_answer() {
    run_test(async {
        let mut pair = Pair::start().await;
        let first = call(&pair.clients[0], &keyed(1), b"pay 5").await;
        assert_eq!((first.status, first.replayed, first.whole), (200, false, true));
        // The outcome is appended to the log shortly after the response.
        wait_for("claim and outcome on the log", async || {
            pair.platform.log.records("claims").len() == 2
        })
        .await;
        for client in &pair.clients {
            let again = call(client, &keyed(1), b"pay 5").await;
            assert_eq!((again.status, again.replayed, again.whole), (200, true, true));
            assert_eq!(again.body, first.body);
        }
        let other = call(&pair.clients[1], &keyed(1), b"pay 6").await;
        assert_eq!(other.refused, Some(RefuseReason::IdempotencyMismatch));
        pair.sides[0].kill().await;
        let settings = side_settings(&pair.platform, "p1", pair.services[0].address());
        let newer = RunningSide::start(settings, config()).await;
        newer.wait_ready().await;
        let again = call(&connect(newer.address).await, &keyed(1), b"pay 5").await;
        assert!(again.replayed);
        assert_eq!(pair.runs(), 1);
    });
}

/// Guards against a second run after the target's response was lost, and against a wrong `not_run`.
#[test]
fn lost_answer_leaves_the_outcome_unknown() {
    run_test(async {
        let pair = Pair::start().await;
        pair.services[0].update(|settings| settings.lose_answers = 1);
        for client in [&pair.clients[0], &pair.clients[0], &pair.clients[1]] {
            let answer = call(client, &keyed(2), b"pay").await;
            assert_eq!(answer.failed, Some(ExecutionState::Unknown));
        }
        assert_eq!(pair.runs(), 1);
    });
}

/// Guards against a call that runs twice when two side processes receive it at the same time.
#[test]
fn race_of_two_side_processes_runs_once() {
    run_test(async {
        let pair = Pair::start().await;
        for key in 10..20 {
            let head = keyed(key);
            let [a, b] = &pair.clients;
            let (a, b) = tokio::join!(call(a, &head, b"pay"), call(b, &head, b"pay"));
            let ran = [&a, &b].iter().filter(|answer| answer.status == 200).count();
            assert!(ran >= 1, "the first claim runs: {a:?} {b:?}");
            assert_eq!(pair.runs(), usize::from(key) - 9);
        }
    });
}

/// Guards against a claim that is treated as failed, or appended and run twice, when the log's
/// response is lost.
#[test]
fn lost_answer_of_the_log_is_settled_by_reading() {
    run_test(async {
        let pair = Pair::start().await;
        for (key, hang) in [(30, false), (31, true)] {
            pair.platform.log.update(|settings| {
                settings.lose_answers = 1;
                settings.lost_hang = hang;
            });
            let answer = call(&pair.clients[0], &keyed(key), b"pay").await;
            assert_eq!((answer.status, answer.whole), (200, true));
        }
        assert_eq!(pair.runs(), 2);
    });
}

/// Guards against a call that is sent to the target without a recorded claim.
#[test]
fn outage_of_the_log_refuses_before_anything_is_sent() {
    run_test(async {
        let pair = Pair::start().await;
        pair.platform.log.update(|settings| settings.outage = true);
        let answer = call(&pair.clients[0], &keyed(40), b"pay").await;
        assert_eq!(answer.refused, Some(RefuseReason::LogUnavailable));
        assert_eq!(call(&pair.clients[0], &head(), b"look").await.status, 200);
        assert_eq!(pair.services[0].requests().len(), 1, "only the call without a key");
        pair.platform.log.update(|settings| settings.outage = false);
        assert_eq!(call(&pair.clients[0], &keyed(40), b"pay").await.status, 200);
        assert_eq!(pair.runs(), 2);
    });
}

/// Guards against a key that stays claimed although the call was not sent to the target.
#[test]
fn unreachable_target_releases_the_key() {
    run_test(async {
        let mut pair = Pair::start().await;
        pair.services[0].stop().await;
        let answer = call(&pair.clients[0], &keyed(50), b"pay").await;
        assert_eq!(answer.refused, Some(RefuseReason::TargetUnhealthy));
        wait_for("another side process may run it", async || {
            call(&pair.clients[1], &keyed(50), b"pay").await.status == 200
        })
        .await;
        assert_eq!(pair.runs(), 1);
    });
}

/// Guards against a response too large to store that is replayed truncated, or run again.
#[test]
fn large_answer_is_reported_as_run_without_its_body() {
    run_test(async {
        let pair = Pair::start().await;
        let body = vec![3; 20_000];
        let first = call(&pair.clients[0], &keyed(60), &body).await;
        assert_eq!((first.status, first.body.len()), (200, 20_000));
        let again = call(&pair.clients[0], &keyed(60), &body).await;
        assert_eq!(again.failed, Some(ExecutionState::Ran));
        assert_eq!(pair.runs(), 1);
    });
}
