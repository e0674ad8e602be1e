//! Responses that targets send before they have read the request's body.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use platform::header_names::{DEADLINE_MS, REQUEST_ID, RESPONSE_SIGNATURE};
use platform_standin::{CallerKind, DeploymentSpec, RouteKind};
use serde_json::{Value, json};
use support::{
    CUSTOMER_KEY, HOST, PlainGateway, id_line, plain_call, plain_route, read_head, wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep, timeout};

/// Body of a request: more than the buffers of the connection to the target hold.
const BODY_BYTES: usize = 4_000_000;
/// Requests whose bodies together are more than a gateway keeps for targets that have responded.
const REQUESTS: usize = 8;
/// Connections that the gateway keeps open to write the rest of such bodies: 8 MiB.
const MAX_OPEN: usize = 2;
/// Receive buffer of a target.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Time in which a response that a target has sent must be with its caller.
const MAX_DELAY: Duration = Duration::from_millis(1_500);

/// How a target responds before it has read the body.
#[derive(Clone, Copy, Debug)]
enum Early {
    /// A response with a length.
    Whole,
    /// A stream of one event.
    Stream,
}

/// Sends the response, and reports when the gateway has closed the connection, of whose request no
/// byte of the body is read.
async fn respond(mut socket: TcpStream, early: Early, closed: UnboundedSender<()>) {
    let Some(head) = read_head(&mut socket).await else { return };
    let id = id_line(&head);
    let response = match early {
        Early::Whole => {
            format!("HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{id}content-length: 2\r\n\r\nok")
        }
        Early::Stream => format!(
            "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{id}content-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ok\n\n\r\n0\r\n\r\n"
        ),
    };
    socket.write_all(response.as_bytes()).await.unwrap();
    while socket.take_error().unwrap().is_none() {
        sleep(Duration::from_millis(10)).await;
    }
    closed.send(()).unwrap();
}

async fn target(early: Early) -> (SocketAddr, UnboundedReceiver<()>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = socket.listen(64).unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, closed) = unbounded_channel();
    tokio::spawn(async move {
        loop {
            let (socket, _) = listener.accept().await.unwrap();
            tokio::spawn(respond(socket, early, sender.clone()));
        }
    });
    (address, closed)
}

/// Sends a request with a large body and returns the response as far as it came, with the time that it
/// took after the end of the body.
async fn call(callers: SocketAddr, number: usize) -> (String, Duration) {
    let mut socket = TcpStream::connect(callers).await.unwrap();
    let head = format!(
        "POST /calls/{number} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         {REQUEST_ID}: request-{number}\r\n{DEADLINE_MS}: 4000\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    socket.write_all(&vec![b'a'; BODY_BYTES]).await.unwrap();
    let sent = Instant::now();
    let mut response = Vec::new();
    while !response.ends_with(b"ok") && !response.ends_with(b"0\r\n\r\n") {
        let mut part = [0; 4_096];
        match timeout(MAX_DELAY, socket.read(&mut part)).await {
            Ok(Ok(length)) if length > 0 => response.extend_from_slice(&part[..length]),
            _ => break,
        }
    }
    (String::from_utf8_lossy(&response).into_owned(), sent.elapsed())
}

/// Starts a gateway that takes bodies of 4 MiB.
async fn start_gateway(kind: RouteKind, target: SocketAddr) -> PlainGateway {
    let route = plain_route("calls", kind);
    let gateway = PlainGateway::start(route.clone(), &[target]).await;
    let spec = DeploymentSpec { version: 2, ..PlainGateway::deployment(vec![route]) };
    let mut document: Value = serde_json::from_slice(&spec.document()).unwrap();
    document["limits"]["body_bytes"] = json!(4 << 20);
    let (topic, key) = DeploymentSpec::KEY;
    gateway.store().put(topic, key, document.to_string().as_bytes());
    gateway.process.wait_for_line("operators_version=2").await;
    gateway
}

/// Guards against a response that is held until the target has read the rest of the request's body.
#[tokio::test]
async fn an_early_response_is_passed_on_at_once() {
    let (target, mut closed) = target(Early::Whole).await;
    let gateway = start_gateway(RouteKind::Once, target).await;
    let (response, took) = call(gateway.callers, 1).await;
    assert!(response.starts_with("HTTP/1.1 200") && response.ends_with("ok"), "{response}");
    assert!(took < MAX_DELAY, "{took:?}");
    // The rest of the body can't be written, so the connection is closed.
    timeout(Duration::from_secs(5), closed.recv()).await.unwrap().unwrap();
}

/// Guards against the same at the end of a stream.
#[tokio::test]
async fn the_end_of_an_early_stream_is_passed_on_at_once() {
    let (target, _closed) = target(Early::Stream).await;
    let gateway = start_gateway(RouteKind::ResumableStream, target).await;
    let (response, took) = call(gateway.callers, 1).await;
    assert!(response.contains("data: ok") && response.ends_with("0\r\n\r\n"), "{response}");
    assert!(took < MAX_DELAY, "{took:?}");
}

/// Guards against bodies that are kept without limit for targets that have responded and read no more.
#[tokio::test]
async fn the_bodies_of_early_responses_are_not_kept_without_limit() {
    let (target, mut closed) = target(Early::Whole).await;
    let gateway = start_gateway(RouteKind::Once, target).await;
    for number in 0..REQUESTS {
        let (response, _) = call(gateway.callers, number).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    sleep(Duration::from_millis(100)).await;
    assert!(closed.len() >= REQUESTS - MAX_OPEN, "{} of {REQUESTS} are closed", closed.len());
    wait_until("all connections are closed", async || closed.len() == REQUESTS).await;
    assert!(closed.recv().await.is_some());
}

/// Guards against a connection that is closed although its request was written in time.
#[tokio::test]
async fn a_connection_whose_request_is_written_is_used_again() {
    let target = support::echo_target().await;
    let gateway = start_gateway(RouteKind::Once, target).await;
    for number in 0..3 {
        let id = format!("request-{number}");
        let response = plain_call(&gateway, &id, "/calls/1", CallerKind::Order).await;
        assert!(response.is_success(), "{response:?}");
    }
}
