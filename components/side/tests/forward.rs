//! Calls to a plain service through a real side process.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{
    Platform, RunningSide, call, collect_call, connect, head, run_test, side_settings, town,
};
use standin::{PlainServer, PlainSettings};

async fn start(settings: PlainSettings) -> (Platform, PlainServer, RunningSide) {
    let platform = Platform::start().await;
    let service = PlainServer::start(settings).await.unwrap();
    let settings = side_settings(&platform, "p1", service.address());
    let side = RunningSide::start(settings, town()).await;
    side.wait_open().await;
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
        sender.send(&wire::ForwardUp::Head(head)).await.unwrap();
        let answer = collect_call(receiver).await;
        assert_eq!(answer.failed, Some(base::RanState::Unknown));
        assert_eq!(service.requests().len(), 1);
    });
}

/// Guards against a truncated answer that ends like a whole one, and against a call in doubt that is
/// reported as not run.
#[test]
fn broken_answers_and_lost_answers_are_told() {
    run_test(async {
        let settings = PlainSettings { break_answers: 1, ..PlainSettings::default() };
        let (_platform, service, side) = start(settings).await;
        let client = connect(side.address).await;
        let answer = call(&client, &head(), &[7; 100_000]).await;
        assert!(!answer.whole);
        assert_eq!(answer.failed, Some(base::RanState::Unknown));
        service.update(|settings| settings.lose_answers = 1);
        let answer = call(&client, &head(), b"pay").await;
        assert_eq!(answer.failed, Some(base::RanState::Unknown));
        assert_eq!(service.requests().len(), 2);
    });
}
