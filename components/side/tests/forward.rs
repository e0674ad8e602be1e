//! Calls to a plain service through a side process.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::time::Duration;

use base::ExecutionState;
use common::{
    Platform, RunningSide, call, collect_call, config, connect, head, run_test, side_settings,
    wait_for,
};
use standin::{Blocked, Link, LinkFaults, PlainServer, PlainSettings};
use wire::{ForwardUp, RefuseReason};

async fn start(settings: PlainSettings) -> (Platform, PlainServer, RunningSide) {
    let platform = Platform::start().await;
    let service = PlainServer::start(settings).await.unwrap();
    let settings = side_settings(&platform, "p1", service.address());
    let side = RunningSide::start(settings, config()).await;
    side.wait_ready().await;
    (platform, service, side)
}

/// Guards against bodies that lose bytes or are framed wrongly in either direction.
#[test]
fn bodies_pass_whole_with_and_without_length() {
    run_test(async {
        let (_platform, service, side) = start(PlainSettings::default()).await;
        let client = connect(side.address).await;
        let body: Vec<u8> = (0..700_000_u32).map(|at| (at % 251) as u8).collect();
        for length in [Some(700_000), None] {
            let mut head = head();
            head.body_bytes = length;
            let answer = call(&client, &head, &body).await;
            assert_eq!((answer.status, answer.whole), (200, true));
            assert!(answer.body == body, "the echoed body differs");
        }
        let seen = service.requests();
        assert_eq!(seen.len(), 2);
        assert!(seen.iter().all(|request| request.ran && request.body_bytes == 700_000));
    });
}

/// Guards against a call that runs twice because its frame arrives twice.
#[test]
fn repeated_request_id_does_not_run_again() {
    run_test(async {
        let (_platform, service, side) = start(PlainSettings::default()).await;
        let client = connect(side.address).await;
        let head = head();
        assert_eq!(call(&client, &head, b"pay").await.status, 200);
        let (mut sender, receiver) = client.forward().await.unwrap();
        sender.send(&ForwardUp::Head(head)).await.unwrap();
        let answer = collect_call(receiver).await;
        assert_eq!(answer.failed, Some(ExecutionState::Unknown));
        assert_eq!(service.requests().len(), 1);
    });
}

/// Guards against a truncated response that ends like a complete one, and against a call with an
/// unknown outcome that is reported as not run.
#[test]
fn truncated_and_lost_answers_are_reported() {
    run_test(async {
        let settings = PlainSettings { break_answers: 1, ..PlainSettings::default() };
        let (_platform, service, side) = start(settings).await;
        let client = connect(side.address).await;
        let answer = call(&client, &head(), &[7; 100_000]).await;
        assert!(!answer.whole);
        assert_eq!(answer.failed, Some(ExecutionState::Unknown));
        service.update(|settings| settings.lose_answers = 1);
        let answer = call(&client, &head(), b"pay").await;
        assert_eq!(answer.failed, Some(ExecutionState::Unknown));
        assert_eq!(service.requests().len(), 2);
    });
}

/// Guards against a call that reaches the service as complete although its caller disconnected, or
/// sent another length than it stated.
#[test]
fn incomplete_uploads_do_not_arrive_as_complete() {
    run_test(async {
        let (_platform, service, side) = start(PlainSettings::default()).await;
        let client = connect(side.address).await;
        for (length, sent) in [(None, 5), (Some(10), 5), (Some(3), 5)] {
            let mut head = head();
            head.body_bytes = length;
            let (mut sender, receiver) = client.forward().await.unwrap();
            sender.send(&ForwardUp::Head(head)).await.unwrap();
            sender.send(&ForwardUp::Data(vec![7; sent])).await.unwrap();
            if length.is_some() {
                sender.send(&ForwardUp::End).await.unwrap();
                let answer = collect_call(receiver).await;
                assert_eq!((answer.whole, answer.failed), (false, Some(ExecutionState::Unknown)));
            } else {
                // The caller disconnects in the middle of its body.
                drop((sender, receiver));
            }
        }
        assert_eq!(call(&client, &head(), b"whole").await.status, 200);
        let ran = |request: &&standin::SeenRequest| request.ran;
        wait_for("only the whole call ran", async || {
            service.requests().iter().filter(ran).count() == 1
        })
        .await;
        assert!(service.requests().iter().filter(ran).all(|request| request.body_bytes == 5));
    });
}

/// Guards against a call that was refused as not run and can't be retried with the same id.
#[test]
fn refused_call_can_be_retried() {
    run_test(async {
        let (_platform, mut service, side) = start(PlainSettings::default()).await;
        let client = connect(side.address).await;
        let head = head();
        service.stop().await;
        let refused = call(&client, &head, b"pay").await.refused;
        assert_eq!(refused, Some(RefuseReason::TargetUnhealthy));
        service.restart().await.unwrap();
        side.wait_ready().await;
        assert_eq!(call(&client, &head, b"pay").await.status, 200);
        assert_eq!(service.requests().len(), 1);
    });
}

/// Guards against calls refused after a single lost probe, and against an undetected fault.
#[test]
fn target_is_unhealthy_after_several_lost_probes() {
    run_test(async {
        let platform = Platform::start().await;
        let service = PlainServer::start(PlainSettings::default()).await.unwrap();
        let link = Link::start(service.address()).await.unwrap();
        let settings = side_settings(&platform, "p1", link.address());
        let side = RunningSide::start(settings, config()).await;
        side.wait_ready().await;
        let client = connect(side.address).await;
        // A probe times out after a second, so one or two are lost.
        link.set(LinkFaults { blocked: Blocked::Both, ..LinkFaults::default() });
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        link.set(LinkFaults::default());
        assert_eq!(call(&client, &head(), b"pay").await.status, 200);
        service.update(|settings| settings.healthy = false);
        side.wait_status("the fault is reported", |status| !status.problems.is_empty()).await;
        let refused = call(&client, &head(), b"pay").await.refused;
        assert_eq!(refused, Some(RefuseReason::TargetUnhealthy));
        service.update(|settings| settings.healthy = true);
        side.wait_ready().await;
        assert_eq!(call(&client, &head(), b"pay").await.status, 200);
    });
}
