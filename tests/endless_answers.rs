//! Targets in trouble that send bytes without end until the gateway closes the connection.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use platform::header_names::RESPONSE_SIGNATURE;
use platform_standin::{
    CallerConnection, CallerKind, CallerRequest, CallerResponse, RouteKind, RouteSpec,
};
use support::{CUSTOMER_KEY, HOST, PlainGateway, SERVICE, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinSet;

/// Requests that meet an endless answer at once.
const AT_ONCE: usize = 60;
/// Most memory of the gateway, in KB: that of the smallest machines.
const MOST_MEMORY_KB: u64 = 160_000;
/// What a caller allows.
const DEADLINE: Duration = Duration::from_secs(6);

/// What a target sends before the bytes without end.
fn heads() -> [String; 4] {
    [
        String::new(),
        "HTTP/1.1 200 OK\r\nx-endless: ".to_owned(),
        format!(
            "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\ncontent-length: 900000000000\r\n\r\n"
        ),
        format!("HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n\r\n"),
    ]
}

/// Reads a request and answers with bytes until the connection is closed, which it reports.
async fn answer_without_end(mut socket: TcpStream, head: String, closed: UnboundedSender<()>) {
    let mut request = [0; 4_096];
    if socket.read(&mut request).await.unwrap_or(0) == 0 {
        return;
    }
    let noise = vec![b'a'; 64 << 10];
    let mut written = socket.write_all(head.as_bytes()).await;
    while written.is_ok() {
        written = socket.write_all(&noise).await;
    }
    closed.send(()).unwrap();
}

/// A target whose answers begin in each of the ways in turn.
async fn endless_target() -> (SocketAddr, UnboundedReceiver<()>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, closed) = unbounded_channel();
    tokio::spawn(async move {
        for at in 0.. {
            let (socket, _) = listener.accept().await.unwrap();
            let head = heads()[at % heads().len()].clone();
            tokio::spawn(answer_without_end(socket, head, sender.clone()));
        }
    });
    (address, closed)
}

fn route() -> RouteSpec {
    RouteSpec {
        name: "order".into(),
        prefix: "/order/".into(),
        service: SERVICE.into(),
        kind: RouteKind::Once,
        attempts: 1,
        timeout_ms: 6_000,
        objective_ms: 300,
    }
}

async fn order(callers: SocketAddr, number: usize) -> CallerResponse {
    let mut connection = CallerConnection::open(callers, DEADLINE).await.unwrap();
    let request = CallerRequest {
        id: format!("request-{number}").into(),
        host: HOST.into(),
        path: "/order/1".into(),
        key: CUSTOMER_KEY.into(),
        deadline: DEADLINE,
        kind: CallerKind::Order,
        after_event: None,
    };
    connection.call(&request).await
}

/// Guards against a gateway that collects an endless head or body until its memory is used up, that waits for the
/// end of it, or that leaves the target sending.
#[tokio::test]
async fn answers_without_end_are_cut_and_their_callers_told() {
    let (target, mut closed) = endless_target().await;
    let gateway = PlainGateway::start(route(), &[target]).await;

    let mut orders = JoinSet::new();
    for number in 0..AT_ONCE {
        orders.spawn(order(gateway.callers, number));
    }
    let answers = orders.join_all().await;
    for answer in &answers {
        assert_eq!(answer.status, Some(502), "{answer:?}");
        assert!(answer.is_complete && answer.seal.is_none(), "{answer:?}");
    }
    wait_until("the target's connections are closed", async || closed.len() >= AT_ONCE).await;
    assert!(closed.recv().await.is_some());
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.process.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak_kb: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(peak_kb < MOST_MEMORY_KB, "{peak_kb} KB");
}
