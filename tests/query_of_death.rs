//! Requests with a part that ends each target that begins to answer them, and what the others get.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use platform::header_names::{PROMPT_PARTS, RESPONSE_SIGNATURE};
use platform_standin::{
    CallerConnection, CallerKind, CallerRequest, CallerResponse, RouteKind, RouteSpec,
};
use support::{CUSTOMER_KEY, HOST, PlainGateway, SERVICE, header_value, id_line, read_head};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio::time::sleep;

/// Part that ends targets.
const DEADLY: u64 = 0xdead;
/// Part of all other requests.
const SOUND: u64 = 0x50;
/// Sound requests before the first deadly one, from which the gateway knows how rarely targets end.
const SOUND_BEFORE: usize = 120;
/// Time within which a request ends that is not sent again, with the wait for the end of its target.
const AT_ONCE: Duration = Duration::from_millis(1_500);
const DEADLINE: Duration = Duration::from_secs(5);
const EVENT: &str = "id: 1\ndata: line\n\n";
/// Most requests with the deadly part that reach targets, attempts included: five crashes and three more.
const MAX_CRASHES: usize = 8;

/// Whether a target sends the head of a response before a deadly request ends it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DeadlyHead {
    Sent,
    Unsent,
}

/// Answers requests on a connection; a deadly one ends the target before or after the head of its response.
async fn serve(mut socket: TcpStream, end: watch::Sender<bool>, deadly_head: DeadlyHead) {
    while let Some(head) = read_head(&mut socket).await {
        let parts = header_value(&head, PROMPT_PARTS.as_str()).unwrap();
        let is_deadly = parts.contains(&format!("{DEADLY:x}:"));
        if is_deadly && deadly_head == DeadlyHead::Unsent {
            let _ended = end.send(true);
            return;
        }
        let response = format!(
            "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\ncontent-type: text/event-stream\r\n\
             {}content-length: {}\r\n\r\n",
            id_line(&head),
            EVENT.len()
        );
        socket.write_all(response.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(10)).await;
        if is_deadly {
            let _ended = end.send(true);
            return;
        }
        if socket.write_all(EVENT.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn target(
    number: usize,
    ended: UnboundedSender<usize>,
    deadly_head: DeadlyHead,
) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (end, mut is_over) = watch::channel(false);
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    connections.spawn(serve(accepted.unwrap().0, end.clone(), deadly_head));
                }
                _ = is_over.changed() => break,
            }
        }
        drop((listener, connections));
        ended.send(number).unwrap();
    });
    address
}

/// A gateway with targets, and the number of those that have ended, which leave the list at once.
async fn start(targets: usize, deadly_head: DeadlyHead) -> (Arc<PlainGateway>, Arc<AtomicUsize>) {
    let (sender, mut ends) = unbounded_channel();
    let mut addresses = Vec::new();
    for number in 1..=targets {
        addresses.push(target(number, sender.clone(), deadly_head).await);
    }
    let gateway = Arc::new(PlainGateway::start(route(), &addresses).await);
    let ended = Arc::new(AtomicUsize::new(0));
    let (list, count) = (Arc::clone(&gateway), Arc::clone(&ended));
    tokio::spawn(async move {
        while let Some(number) = ends.recv().await {
            count.fetch_add(1, Ordering::Relaxed);
            list.remove_target(number);
        }
    });
    (gateway, ended)
}

fn route() -> RouteSpec {
    RouteSpec {
        name: "lines".into(),
        prefix: "/lines/".into(),
        service: SERVICE.into(),
        kind: RouteKind::ResumableStream,
        attempts: 2,
        timeout_ms: 5_000,
        objective_ms: 1_000,
    }
}

async fn call(callers: SocketAddr, id: &str, part: u64) -> CallerResponse {
    let mut connection = CallerConnection::open(callers, DEADLINE).await.unwrap();
    let request = CallerRequest {
        id: id.into(),
        host: HOST.into(),
        path: "/lines/1".into(),
        key: CUSTOMER_KEY.into(),
        deadline: DEADLINE,
        kind: CallerKind::Generation {
            model: "m".into(),
            prompt_tokens: 400,
            output_tokens: 4,
            prompt: part,
        },
        after_event: None,
        resumes: None,
    };
    connection.call(&request).await
}

/// Guards against a request that ends its target and is resumed at one target after the other.
#[tokio::test]
async fn a_request_ends_two_targets_at_most() {
    let (gateway, ended) = start(6, DeadlyHead::Sent).await;
    let response = call(gateway.callers, "deadly-1", DEADLY).await;
    assert!(!response.is_complete);
    assert_eq!(response.body.len(), 0);
    let ended = ended.load(Ordering::Relaxed);
    assert!((1..=2).contains(&ended), "{ended} targets ended");
}

/// Guards against different requests with a common part that end targets without end, and against
/// sound requests of the same caller that are refused with them.
#[tokio::test]
async fn requests_with_a_part_that_ends_targets_are_refused() {
    send_deadly_requests(DeadlyHead::Sent, 8).await;
}

/// Guards against the same with targets that end before they have sent the head of a response: no part was
/// ever suspected then.
#[tokio::test]
async fn requests_with_a_part_that_ends_targets_before_the_head_are_refused() {
    send_deadly_requests(DeadlyHead::Unsent, 6).await;
}

async fn send_deadly_requests(deadly_head: DeadlyHead, least_refused: usize) {
    let (gateway, ended) = start(MAX_CRASHES + 2, deadly_head).await;
    for number in 0..SOUND_BEFORE {
        let sound = call(gateway.callers, &format!("before-{number}"), SOUND).await;
        assert!(sound.is_complete, "{number}: {sound:?}");
    }
    let mut refused = 0;
    for number in 0..12 {
        let started = Instant::now();
        let deadly = call(gateway.callers, &format!("deadly-{number}"), DEADLY).await;
        assert!(!deadly.is_success() || !deadly.is_complete, "{deadly:?}");
        assert!(started.elapsed() < AT_ONCE, "{number}: {:?}", started.elapsed());
        if deadly.guarantees_not_run() {
            refused += 1;
            let text = String::from_utf8_lossy(&deadly.body).into_owned();
            assert!(text.contains("prompt_quarantined"), "{text}");
            assert!(deadly.retry_after.is_some());
        }
        sleep(Duration::from_millis(600)).await;
        let sound = call(gateway.callers, &format!("sound-{number}"), SOUND).await;
        assert!(sound.is_complete && sound.body == EVENT, "{number}: {sound:?}");
    }
    let ended = ended.load(Ordering::Relaxed);
    assert!(ended <= MAX_CRASHES, "{ended} targets ended");
    assert!(refused >= least_refused, "{refused} of 12 deadly requests were refused");
    gateway.process.wait_for_line("event=quarantine_begun").await;
}

/// Guards against a quarantine that ends with the process that knows of it: all gateways may be lost at
/// once, and what must last is in the store.
#[tokio::test]
async fn a_quarantine_outlasts_the_gateways() {
    let (sender, mut ends) = unbounded_channel();
    let mut addresses = Vec::new();
    for number in 1..=MAX_CRASHES + 2 {
        addresses.push(target(number, sender.clone(), DeadlyHead::Sent).await);
    }
    let mut gateway = PlainGateway::start(route(), &addresses).await;
    for number in 0..MAX_CRASHES {
        call(gateway.callers, &format!("deadly-{number}"), DEADLY).await;
        sleep(Duration::from_millis(600)).await;
    }
    gateway.process.wait_for_line("event=quarantine_begun").await;
    let mut ended = 0;
    while ends.try_recv().is_ok() {
        ended += 1;
    }
    assert!(ended <= MAX_CRASHES, "{ended} targets ended");

    gateway.restart().await;
    gateway.process.wait_for_line("event=quarantine_begun").await;
    let deadly = call(gateway.callers, "deadly-after", DEADLY).await;
    assert!(deadly.guarantees_not_run(), "{deadly:?}");
    assert!(ends.is_empty(), "a target ended after the restart");
}
