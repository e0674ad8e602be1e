//! Callers that leave before their request is answered.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::time::Duration;

use platform_standin::{CallerConnection, CallerKind, CallerRequest, RouteKind, RouteSpec};
use support::{CUSTOMER_KEY, HOST, PlainGateway, SERVICE};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Guards against a request that was read and has no last line in the log, and against work for it that
/// goes on.
#[tokio::test]
async fn a_request_whose_caller_leaves_has_a_last_line_and_is_cancelled() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let route = RouteSpec {
        name: "lines".into(),
        prefix: "/lines/".into(),
        service: SERVICE.into(),
        kind: RouteKind::Repeatable,
        attempts: 1,
        timeout_ms: 10_000,
        objective_ms: 5_000,
    };
    let gateway = PlainGateway::start(route, &[listener.local_addr().unwrap()]).await;
    let deadline = Duration::from_secs(10);
    let mut connection = CallerConnection::open(gateway.callers, deadline).await.unwrap();
    let request = CallerRequest {
        id: "request-1".into(),
        host: HOST.into(),
        path: "/lines/1".into(),
        key: CUSTOMER_KEY.into(),
        deadline,
        kind: CallerKind::Read,
        after_event: None,
        resumes: None,
    };
    let called = timeout(Duration::from_millis(300), connection.call(&request)).await;
    assert!(called.is_err(), "the target does not answer");
    let (mut socket, _) = listener.accept().await.unwrap();
    drop(connection);
    let line = gateway.process.wait_for_line("event=request_abandoned").await;
    assert!(line.contains("request_id=request-1"), "{line}");
    let mut rest = Vec::new();
    let ended = timeout(Duration::from_secs(2), socket.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "the connection to the target stays open");
}
