//! Responses of targets that are cut off at each byte, and what a gateway's callers get.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use platform::header_names::{DEADLINE_MS, REQUEST_ID, RESPONSE_SIGNATURE};
use platform_standin::{CallerKind, RouteKind, RouteSpec};
use standin::RawServer;
use support::{CUSTOMER_KEY, HOST, PlainGateway, plain_call, plain_route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bytes between two cuts.
const CUT_STEP: usize = 4;

/// A target that answers each request with the same bytes.
struct Target {
    runs: Arc<AtomicUsize>,
    server: RawServer,
}

impl Target {
    async fn start(response: &[u8]) -> Self {
        let (runs, response) = (Arc::<AtomicUsize>::default(), response.to_vec());
        let begun = Arc::clone(&runs);
        let respond = move |_: &str| {
            begun.fetch_add(1, Ordering::SeqCst);
            response.clone()
        };
        Self { runs, server: RawServer::start(respond).await.unwrap() }
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }
}

fn route(kind: RouteKind) -> RouteSpec {
    RouteSpec { attempts: 1, ..plain_route("calls", kind) }
}

const fn caller_kind(kind: RouteKind) -> CallerKind {
    match kind {
        RouteKind::Once => CallerKind::Order,
        RouteKind::Repeatable | RouteKind::ResumableStream => CallerKind::Read,
    }
}

fn head(status_line: &str, fields: &str) -> String {
    format!("{status_line}\r\n{RESPONSE_SIGNATURE}: s\r\n{fields}\r\n")
}

/// Complete responses for each kind of route.
fn responses() -> Vec<(RouteKind, String)> {
    let ok = "HTTP/1.1 200 OK";
    let length = head(ok, "content-length: 12\r\n") + "a whole body";
    let chunks = head(ok, "transfer-encoding: chunked\r\n")
        + "7\r\na whole\r\n5\r\n body\r\n0\r\nx-sum: 1\r\n\r\n";
    let hints = format!("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n{length}");
    let events = head(ok, "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n")
        + "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
    vec![
        (RouteKind::Once, length.clone()),
        (RouteKind::Once, chunks.clone()),
        (RouteKind::Once, hints),
        (RouteKind::Repeatable, length),
        (RouteKind::Repeatable, chunks),
        (RouteKind::ResumableStream, events),
    ]
}

/// Guards against a response that is cut off at any byte of its head, its body or its chunks and that is
/// passed on as a complete success, or as a promise that the request has not run.
#[tokio::test]
async fn responses_cut_at_any_byte_are_no_success() {
    for (kind, response) in responses() {
        // A gateway sends no request for a while to a target that has failed, so each cut has its own.
        let mut targets = Vec::new();
        for cut in (0..response.len()).step_by(CUT_STEP) {
            targets.push(Target::start(&response.as_bytes()[..cut]).await);
        }
        let addresses: Vec<_> = targets.iter().map(|target| target.server.address()).collect();
        let gateway = PlainGateway::start(route(kind), &addresses).await;
        for call in 0..targets.len() {
            let id = format!("request-{call}");
            let answer = plain_call(&gateway, &id, "/calls/1", caller_kind(kind)).await;
            let passed_on = answer.is_success() && answer.is_complete;
            assert!(!passed_on, "{kind:?}, part of {response:?}: {answer:?}");
            let runs: usize = targets.iter().map(Target::runs).sum();
            assert_eq!(runs, call + 1, "{kind:?}, part of {response:?}: {answer:?}");
            assert!(!answer.guarantees_not_run(), "{kind:?}, part of {response:?}: {answer:?}");
        }
    }
}

/// Guards against complete responses that are lost because of their form.
#[tokio::test]
async fn complete_responses_are_a_success() {
    for (kind, response) in responses() {
        let target = Target::start(response.as_bytes()).await;
        let gateway = PlainGateway::start(route(kind), &[target.server.address()]).await;
        let answer = plain_call(&gateway, "request-1", "/calls/1", caller_kind(kind)).await;
        assert!(answer.is_success() && answer.is_complete, "{kind:?} {response:?}: {answer:?}");
    }
}

/// Guards against a change of protocol that nobody asked for and that is passed on as a complete response.
#[tokio::test]
async fn a_change_of_protocol_is_no_response() {
    let fields = "upgrade: x\r\nconnection: upgrade\r\n";
    let response = head("HTTP/1.1 101 Switching Protocols", fields);
    let target = Target::start(response.as_bytes()).await;
    let gateway = PlainGateway::start(route(RouteKind::Once), &[target.server.address()]).await;
    let answer = plain_call(&gateway, "request-1", "/calls/1", CallerKind::Order).await;
    assert_eq!(answer.status, Some(502), "{answer:?}");
    assert_eq!(target.runs(), 1);
}

/// Guards against a truncated stream that looks complete to a caller of HTTP/1.0, which knows no chunks: the
/// end of the connection ends its body.
#[tokio::test]
async fn a_caller_of_http_1_0_gets_no_response_that_can_break_off() {
    let (_, events) = responses().pop().unwrap();
    let target = Target::start(&events.as_bytes()[..events.len() - 30]).await;
    let kind = RouteKind::ResumableStream;
    let gateway = PlainGateway::start(route(kind), &[target.server.address()]).await;
    let mut socket = TcpStream::connect(gateway.callers).await.unwrap();
    let request = format!(
        "GET /calls/1 HTTP/1.0\r\nhost: {HOST}\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         {REQUEST_ID}: request-1\r\n{DEADLINE_MS}: 4000\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let read = timeout(Duration::from_secs(10), socket.read_to_end(&mut answer)).await.unwrap();
    let answer = String::from_utf8_lossy(&answer);
    assert!(read.is_ok() && answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert_eq!(target.runs(), 0);
}
