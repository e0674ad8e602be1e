//! Plain responses whose end is the end of their connection, from targets that exit or serve on.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use platform::header_names::RESPONSE_SIGNATURE;
use platform_standin::{CallerKind, CallerResponse, RouteKind};
use support::{PlainGateway, id_line, plain_call, plain_route, read_head};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Body of a complete response.
const BODY: &str = "a whole body";
/// Pause in which the gateway reads what was written.
const WRITE_PAUSE: Duration = Duration::from_millis(30);

/// First response of all targets; every later one is complete, from a target that serves on.
#[derive(Clone, Copy, Debug)]
struct First {
    status_line: &'static str,
    /// Further header lines.
    fields: &'static str,
    body: &'static str,
    /// Whether the target closes its port before the connection, as the kernel does for a killed
    /// process.
    exits: bool,
}

const KILLED: First = First { status_line: "200 OK", fields: "", body: "a whole", exits: true };

async fn target(first: First, runs: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            // The gateway also opens connections without requests.
            let Some(head) = read_head(&mut socket).await else { continue };
            let run = match runs.fetch_add(1, Ordering::SeqCst) {
                0 => first,
                _ => First { body: BODY, exits: false, ..KILLED },
            };
            let response = format!(
                "HTTP/1.1 {}\r\n{RESPONSE_SIGNATURE}: s\r\n{}{}\r\n{}",
                run.status_line,
                id_line(&head),
                run.fields,
                run.body
            );
            socket.write_all(response.as_bytes()).await.unwrap();
            sleep(WRITE_PAUSE).await;
            if run.exits {
                drop(listener);
                return;
            }
        }
    });
    address
}

/// Returns the response to a request that one of two targets answers first, and the number of runs.
async fn call(kind: RouteKind, first: First) -> (CallerResponse, usize) {
    let runs: Arc<AtomicUsize> = Arc::default();
    let targets = [target(first, Arc::clone(&runs)).await, target(first, Arc::clone(&runs)).await];
    let gateway = PlainGateway::start(plain_route("calls", kind), &targets).await;
    let caller_kind = match kind {
        RouteKind::Once => CallerKind::Order,
        RouteKind::Repeatable | RouteKind::ResumableStream => CallerKind::Read,
    };
    let response = plain_call(&gateway, "request-1", "/calls/1", caller_kind).await;
    (response, runs.load(Ordering::SeqCst))
}

/// Guards against half a response of a killed target that is delivered as a whole success, and against
/// a promise that the request has not run.
#[tokio::test]
async fn half_a_response_of_a_killed_target_is_no_success() {
    let (response, runs) = call(RouteKind::Once, KILLED).await;
    assert_eq!((response.status, runs), (Some(502), 1), "{response:?}");
    assert_eq!(response.seal, None, "{response:?}");
}

/// Guards against the same on a route whose requests another target can run.
#[tokio::test]
async fn a_repeatable_request_of_a_killed_target_runs_at_another_one() {
    let (response, runs) = call(RouteKind::Repeatable, KILLED).await;
    assert_eq!((response.status, runs), (Some(200), 2), "{response:?}");
    assert_eq!(response.body, BODY);
}

/// Guards against the same where the name of a coding only ends like that of chunks.
#[tokio::test]
async fn half_a_response_with_an_unknown_coding_is_no_success() {
    let first = First { fields: "transfer-encoding: xchunked\r\n", ..KILLED };
    let (response, runs) = call(RouteKind::Once, first).await;
    assert_eq!((response.status, runs), (Some(502), 1), "{response:?}");
}

/// Guards against error responses of a killed target that are delivered in part.
#[tokio::test]
async fn half_an_error_of_a_killed_target_is_not_delivered() {
    let first = First { status_line: "404 Not Found", ..KILLED };
    let (response, runs) = call(RouteKind::Once, first).await;
    assert_eq!((response.status, runs), (Some(502), 1), "{response:?}");
}

/// Guards against complete responses that are lost or asked for again only because the end of their
/// connection is the end of their body.
#[tokio::test]
async fn a_whole_response_without_length_is_delivered_once() {
    let first = First { body: BODY, exits: false, ..KILLED };
    for kind in [RouteKind::Once, RouteKind::Repeatable] {
        let (response, runs) = call(kind, first).await;
        assert_eq!((response.status, runs), (Some(200), 1), "{kind:?}: {response:?}");
        assert_eq!(response.body, BODY, "{kind:?}");
    }
}

/// Guards against responses that never have a body and are taken for cut off.
#[tokio::test]
async fn a_response_without_body_of_a_killed_target_is_complete() {
    let first = First { status_line: "204 No Content", body: "", ..KILLED };
    let (response, runs) = call(RouteKind::Once, first).await;
    assert_eq!((response.status, runs), (Some(204), 1), "{response:?}");
}
