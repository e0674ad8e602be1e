//! Calls to a plain service through a side process.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use base::ExecutionState;
use common::{
    Platform, RunningSide, call, collect_call, config, connect, head, run_test, side_settings,
    wait_for,
};
use standin::{Blocked, Link, LinkFaults, PlainServer, PlainSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::{ForwardHead, ForwardUp, RefuseReason};

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

/// Answers health checks, and each call with `body` as an event stream that ends with its connection.
async fn start_event_source(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let length = socket.read(&mut request).await.unwrap();
            let response = match request[..length].starts_with(b"POST") {
                true => format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n{body}"),
                false => "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned(),
            };
            socket.write_all(response.as_bytes()).await.unwrap();
            let _closed = socket.shutdown().await;
        }
    });
    address
}

/// Guards against an event stream that the service breaks off inside an event and that is passed on
/// as complete, because the end of its connection is also the end of its body; also where the response
/// is kept for repeats.
#[test]
fn event_streams_that_end_inside_an_event_are_not_complete() {
    run_test(async {
        for (body, whole) in [
            ("data: 1\n\ndata: 2\n\n", true),
            ("data: 1\r\n\r\n", true),
            ("data: 1\n\ndata: 2\n", false),
            ("data: 1\n\nda", false),
        ] {
            for key in [None, Some([7; 32])] {
                let platform = Platform::start().await;
                let address = start_event_source(body).await;
                let settings = side_settings(&platform, "p1", address);
                let side = RunningSide::start(settings, config()).await;
                side.wait_ready().await;
                let client = connect(side.address).await;
                let head = ForwardHead { idempotency_key_sha256: key, ..head() };
                let answer = call(&client, &head, b"").await;
                assert_eq!(answer.whole, whole, "{body:?}, key {}", key.is_some());
                let failed = (!whole).then_some(ExecutionState::Unknown);
                assert_eq!(answer.failed, failed, "{body:?}, key {}", key.is_some());
            }
        }
    });
}

/// Answers health checks and, by the end of its connection, one call with half a body; its port is closed
/// first, as the kernel does for a killed process.
async fn start_killed_service(content_type: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut request = [0; 4_096];
            let length = socket.read(&mut request).await.unwrap();
            if request[..length].starts_with(b"POST") {
                let head = format!("HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\n\r\n");
                socket.write_all((head + body).as_bytes()).await.unwrap();
                drop(listener);
                return;
            }
            socket.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
        }
    });
    address
}

/// Guards against half a response of a killed service that is passed on as complete, because the end of
/// its connection is also the end of its body; also where the response is kept for repeats.
#[test]
fn responses_that_end_with_their_service_are_not_complete() {
    run_test(async {
        for (content_type, body) in [("text/plain", "half"), ("text/event-stream", "data: 1\n\n")] {
            for key in [None, Some([7; 32])] {
                let platform = Platform::start().await;
                let address = start_killed_service(content_type, body).await;
                let settings = side_settings(&platform, "p1", address);
                let side = RunningSide::start(settings, config()).await;
                side.wait_ready().await;
                let client = connect(side.address).await;
                let head = ForwardHead { idempotency_key_sha256: key, ..head() };
                let answer = call(&client, &head, b"").await;
                assert!(!answer.whole, "{content_type}, key {}", key.is_some());
                let failed = Some(ExecutionState::Unknown);
                assert_eq!(answer.failed, failed, "{content_type}, key {}", key.is_some());
            }
        }
    });
}

/// Answers health checks, and each call with half a body before it has read the call's body; then resets the
/// connection, after it has said that the response has ended if it `ends_first`.
async fn start_resetting_service(ends_first: bool) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut request = [0; 64];
            let length = socket.read(&mut request).await.unwrap();
            if !request[..length].starts_with(b"POST") {
                socket.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
                continue;
            }
            socket.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").await.unwrap();
            if ends_first {
                socket.shutdown().await.unwrap();
            }
            sleep(Duration::from_millis(10)).await;
            socket.set_zero_linger().unwrap();
        }
    });
    address
}

/// Guards against half a response that is passed on as complete after its connection was reset while the
/// call's body was still being written; also where the response is kept for repeats.
#[test]
fn responses_that_are_reset_during_the_upload_are_not_complete() {
    run_test(async {
        let body = vec![b'a'; 700_000];
        for (ends_first, key) in
            [(false, None), (true, None), (false, Some([7; 32])), (true, Some([8; 32]))]
        {
            let platform = Platform::start().await;
            let address = start_resetting_service(ends_first).await;
            let settings = side_settings(&platform, "p1", address);
            let side = RunningSide::start(settings, config()).await;
            side.wait_ready().await;
            let client = connect(side.address).await;
            let body_bytes = Some(body.len() as u64);
            let head = ForwardHead { idempotency_key_sha256: key, body_bytes, ..head() };
            let answer = call(&client, &head, &body).await;
            let seen = (answer.whole, answer.failed);
            let expected = (false, Some(ExecutionState::Unknown));
            assert_eq!(seen, expected, "ends first: {ends_first}, key {}", key.is_some());
        }
    });
}
