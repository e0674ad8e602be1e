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
    /// Two events without length and chunks.
    Unframed(Ending),
}

/// How a target ends its side of the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    /// It resets the connection.
    Reset,
    /// It closes the connection, of which it has read nothing.
    CloseUnread,
    /// It reads some of the request and closes the connection while nothing more has arrived.
    CloseDrained,
    /// It says that its response has ended, and resets the connection.
    EndAndReset,
    /// It says that its response has ended, and reads on.
    EndAndRead,
}

const RESETS: [Ending; 4] =
    [Ending::Reset, Ending::CloseUnread, Ending::CloseDrained, Ending::EndAndReset];
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: ok";

impl Ending {
    /// Ends the connection after the response was written.
    async fn end(self, mut socket: TcpStream) {
        let mut part = [0; 4_096];
        match self {
            Self::Reset => socket.set_zero_linger().unwrap(),
            Self::CloseUnread => sleep(Duration::from_millis(30)).await,
            Self::CloseDrained => {
                for _ in 0..50 {
                    assert!(socket.read(&mut part).await.unwrap() > 0);
                }
                // Far less than the body.
                let mut rest = 0..200;
                while rest.next().is_some() && socket.try_read(&mut part).is_ok() {}
            }
            Self::EndAndReset => {
                socket.shutdown().await.unwrap();
                sleep(Duration::from_millis(5)).await;
                socket.set_zero_linger().unwrap();
            }
            Self::EndAndRead => {
                socket.shutdown().await.unwrap();
                while socket.read(&mut part).await.is_ok_and(|length| length > 0) {}
            }
        }
    }
}

/// Sends the response and ends the connection, or reports when the gateway has closed it; no byte of the
/// request's body is read before.
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
        Early::Unframed(_) => format!(
            "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{id}content-type: text/event-stream\r\n\r\n\
             {EVENTS}\n\n"
        ),
    };
    socket.write_all(response.as_bytes()).await.unwrap();
    if let Early::Unframed(ending) = early {
        return ending.end(socket).await;
    }
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
         {REQUEST_ID}: request-{number}\r\n{DEADLINE_MS}: 4000\r\nconnection: close\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
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

/// Guards against part of a response that is passed on as the whole one after its connection was reset,
/// while the request's body was still being written.
#[tokio::test]
async fn a_response_that_is_reset_during_the_upload_is_not_complete() {
    let mut complete = Vec::new();
    for kind in [RouteKind::Once, RouteKind::Repeatable, RouteKind::ResumableStream] {
        for ending in RESETS {
            let (target, _) = target(Early::Unframed(ending)).await;
            let gateway = start_gateway(kind, target).await;
            let (response, _) = call(gateway.callers, 1).await;
            let is_passed_on = kind != RouteKind::ResumableStream && response.contains("data");
            if response.starts_with("HTTP/1.1 2")
                && (is_passed_on || response.ends_with("0\r\n\r\n"))
            {
                complete.push((kind, ending, response));
            }
        }
    }
    assert_eq!(complete, []);
}

/// Guards against complete responses that are lost only because they came during the upload.
#[tokio::test]
async fn a_response_that_ends_during_the_upload_is_delivered() {
    for kind in [RouteKind::Once, RouteKind::ResumableStream] {
        let (target, _) = target(Early::Unframed(Ending::EndAndRead)).await;
        let gateway = start_gateway(kind, target).await;
        let (response, _) = call(gateway.callers, 1).await;
        assert!(response.contains("data: a") && response.contains("data: ok"), "{response}");
        let is_chunked = response.contains("chunked");
        assert!(!is_chunked || response.ends_with("0\r\n\r\n"), "{kind:?}: {response}");
    }
}
