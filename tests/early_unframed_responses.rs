//! Responses without length and chunks that end while the request's body is still being written.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use platform::header_names::{DEADLINE_MS, REQUEST_ID, RESPONSE_SIGNATURE};
use platform_standin::{DeploymentSpec, RouteKind, RouteSpec};
use serde_json::{Value, json};
use support::{CUSTOMER_KEY, HOST, PlainGateway, id_line, plain_route, read_head};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Body of a request: more than the buffers of the connection to the target hold.
const BODY_BYTES: usize = 4_000_000;
/// Receive buffer of a target.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Bytes of the request's body that a target reads at most.
const READ_BYTES: usize = 200_000;
/// Time between the parts of a response, in which the gateway reads them.
const WRITE_PAUSE: Duration = Duration::from_millis(30);

/// How a target ends its side of the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    /// It resets the connection at once after the body.
    Reset,
    /// The same after the gateway has read the body.
    LateReset,
    /// It closes the connection, of which it has read nothing.
    CloseUnread,
    /// It reads some of the request and closes the connection while nothing more has arrived.
    CloseDrained,
    /// It says that its response has ended, and resets the connection.
    EndAndReset,
    /// It says that its response has ended, and reads on.
    EndAndRead,
}

const RESETS: [Ending; 5] = [
    Ending::Reset,
    Ending::LateReset,
    Ending::CloseUnread,
    Ending::CloseDrained,
    Ending::EndAndReset,
];

async fn respond(mut socket: TcpStream, content: &str, body: &str, ending: Ending) {
    let Some(head) = read_head(&mut socket).await else { return };
    let id = id_line(&head);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{id}content-type: {content}\r\n\r\n"
    );
    socket.write_all((head + body).as_bytes()).await.unwrap();
    match ending {
        Ending::Reset => socket.set_zero_linger().unwrap(),
        Ending::LateReset => {
            sleep(WRITE_PAUSE).await;
            socket.set_zero_linger().unwrap();
        }
        Ending::CloseUnread => sleep(WRITE_PAUSE).await,
        Ending::CloseDrained => {
            let mut read = 0;
            let mut part = [0; 4_096];
            while read < READ_BYTES {
                read += socket.read(&mut part).await.unwrap();
            }
            while let Ok(length) = socket.try_read(&mut part) {
                assert!(length > 0);
            }
        }
        Ending::EndAndReset => {
            socket.shutdown().await.unwrap();
            sleep(Duration::from_millis(5)).await;
            socket.set_zero_linger().unwrap();
        }
        Ending::EndAndRead => {
            socket.shutdown().await.unwrap();
            let mut rest = Vec::new();
            // The gateway may stop writing.
            let _read = socket.read_to_end(&mut rest).await;
        }
    }
}

/// Starts a target that responds with this body before it has read the request.
async fn target(content: &'static str, body: &'static str, ending: Ending) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = socket.listen(64).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (socket, _) = listener.accept().await.unwrap();
            tokio::spawn(respond(socket, content, body, ending));
        }
    });
    address
}

/// Starts a gateway that takes bodies of 4 MiB and sends each request once.
async fn start_gateway(kind: RouteKind, target: SocketAddr) -> PlainGateway {
    let route = RouteSpec { attempts: 1, ..plain_route("calls", kind) };
    let gateway = PlainGateway::start(route.clone(), &[target]).await;
    let spec = DeploymentSpec { version: 2, ..PlainGateway::deployment(vec![route]) };
    let mut document: Value = serde_json::from_slice(&spec.document()).unwrap();
    document["limits"]["body_bytes"] = json!(4 << 20);
    let (topic, key) = DeploymentSpec::KEY;
    gateway.store().put(topic, key, document.to_string().as_bytes());
    gateway.process.wait_for_line("operators_version=2").await;
    gateway
}

/// Sends a request with a large body and returns the response as far as it came.
async fn call(
    kind: RouteKind,
    content: &'static str,
    body: &'static str,
    ending: Ending,
) -> String {
    let target = target(content, body, ending).await;
    let gateway = start_gateway(kind, target).await;
    let mut socket = TcpStream::connect(gateway.callers).await.unwrap();
    let head = format!(
        "POST /calls/1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         {REQUEST_ID}: request-1\r\n{DEADLINE_MS}: 4000\r\nconnection: close\r\n\
         content-length: {BODY_BYTES}\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    socket.write_all(&vec![b'a'; BODY_BYTES]).await.unwrap();
    let mut response = Vec::new();
    let read = timeout(Duration::from_secs(10), socket.read_to_end(&mut response)).await.unwrap();
    let text = String::from_utf8_lossy(&response).into_owned();
    text + if read.is_err() { " (reset)" } else { "" }
}

/// Guards against part of a response that is passed on as the whole one after its connection was reset,
/// while the request's body was still being written.
#[tokio::test]
async fn a_response_that_is_reset_during_the_upload_is_no_success() {
    let mut passed_on = Vec::new();
    for kind in [RouteKind::Once, RouteKind::Repeatable] {
        for ending in RESETS {
            let response = call(kind, "text/plain", "a part", ending).await;
            if !response.starts_with("HTTP/1.1 502") || response.contains("a part") {
                passed_on.push((kind, ending, response));
            }
        }
    }
    assert_eq!(passed_on, []);
}

/// Guards against the same in a stream, part of which was passed on before the reset.
#[tokio::test]
async fn a_stream_that_is_reset_during_the_upload_does_not_end_as_complete() {
    let mut ended = Vec::new();
    for ending in RESETS {
        let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        let kind = RouteKind::ResumableStream;
        let response = call(kind, "text/event-stream", events, ending).await;
        if response.starts_with("HTTP/1.1 2") && response.ends_with("0\r\n\r\n") {
            ended.push((ending, response));
        }
    }
    assert_eq!(ended, []);
}

/// Guards against complete responses that are lost only because they came during the upload.
#[tokio::test]
async fn a_response_that_ends_during_the_upload_is_delivered() {
    let response = call(RouteKind::Once, "text/plain", "a whole body", Ending::EndAndRead).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with("a whole body"), "{response}");
}
