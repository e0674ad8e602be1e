//! A planned stop of a gateway, as its callers see it.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use platform::header_names::{DEADLINE_MS, REQUEST_ID, RESPONSE_SIGNATURE};
use platform_standin::{CallerKind, FleetLimits, RouteKind};
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, prlimit};
use support::{
    CUSTOMER_KEY, HOST, PlainGateway, echo_target, id_line, plain_call, plain_route, read_head,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The process may handle the end of its notice before or after the requests that wait.
const CONNECTIONS: usize = 24;
/// Gateways are out of rotation 2.5 s after the signal, and the grace of the stand-in is 8 s.
const BEFORE_NOTICE_END: Duration = Duration::from_millis(2_200);
const AFTER_NOTICE_END: Duration = Duration::from_millis(3_000);
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(50);

fn request(id: &str) -> String {
    format!(
        "POST /once/1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n{REQUEST_ID}: {id}\r\n\
         {DEADLINE_MS}: 4000\r\ncontent-length: 2\r\n\r\nhi"
    )
}

async fn send(socket: &mut TcpStream, id: &str) {
    socket.write_all(request(id).as_bytes()).await.unwrap();
}

/// Status line of the next response; empty if the connection ends without one.
async fn status_line(socket: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    let read = async {
        loop {
            match socket.read(&mut buffer).await {
                Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
                Ok(_) | Err(_) => return,
            }
            let text = String::from_utf8_lossy(&received);
            if text.split_once("\r\n\r\n").is_some_and(|(_, body)| !body.is_empty()) {
                return;
            }
        }
    };
    let _in_time = timeout(ANSWER_LIMIT, read).await;
    String::from_utf8_lossy(&received).lines().next().unwrap_or_default().to_owned()
}

async fn start() -> PlainGateway {
    let route = plain_route("once", RouteKind::Once);
    PlainGateway::start(route, &[echo_target().await]).await
}

/// A connection on which one request was answered.
async fn used_connection(gateway: &PlainGateway, number: usize) -> TcpStream {
    let mut socket = TcpStream::connect(gateway.callers).await.unwrap();
    send(&mut socket, &format!("first-{number}")).await;
    assert_eq!(status_line(&mut socket).await, "HTTP/1.1 200 OK");
    socket
}

/// Guards against a stop that closes connections whose requests wait in the kernel, as they do at a
/// process that gets little processor time: callers see a closed connection and can't know whether
/// a request ran that may not be repeated.
#[tokio::test]
async fn requests_that_wait_unread_when_a_gateway_drains_are_answered() {
    let gateway = start().await;
    let mut sockets = Vec::new();
    for number in 0..CONNECTIONS {
        sockets.push(used_connection(&gateway, number).await);
    }
    let stopped = Instant::now();
    gateway.process.signal(Signal::TERM);
    sleep_until(stopped + BEFORE_NOTICE_END).await;
    gateway.process.signal(Signal::STOP);
    for (number, socket) in sockets.iter_mut().enumerate() {
        send(socket, &format!("second-{number}")).await;
    }
    sleep_until(stopped + AFTER_NOTICE_END).await;
    gateway.process.signal(Signal::CONT);
    for socket in &mut sockets {
        assert_eq!(status_line(socket).await, "HTTP/1.1 200 OK");
    }
}

/// Guards against a stop that refuses connections while the load balancer has no better gateway, and
/// against one that cuts a request whose body takes long.
#[tokio::test]
async fn a_draining_gateway_answers_late_requests_until_it_exits() {
    let mut gateway = start().await;
    let mut slow = TcpStream::connect(gateway.callers).await.unwrap();
    let request = request("slow");
    let (last, first) = request.as_bytes().split_last().unwrap();
    slow.write_all(first).await.unwrap();
    gateway.process.signal(Signal::TERM);
    sleep(AFTER_NOTICE_END).await;
    let answer = plain_call(&gateway, "new", "/once/1", CallerKind::Order).await;
    assert_eq!(answer.status, Some(200), "{answer:?}");
    slow.write_all(&[*last]).await.unwrap();
    assert_eq!(status_line(&mut slow).await, "HTTP/1.1 200 OK");
    assert!(gateway.process.wait_exit().await.success());
}

async fn send_events(mut socket: TcpStream, mut broken: watch::Receiver<bool>) {
    let Some(head) = read_head(&mut socket).await else { return };
    let response = format!(
        "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{}content-type: text/event-stream\r\n\
         content-length: 1000000\r\n\r\n",
        id_line(&head)
    );
    socket.write_all(response.as_bytes()).await.unwrap();
    let events = async {
        for id in 1.. {
            let event = format!("id: {id}\ndata: event {id}\n\n");
            if socket.write_all(event.as_bytes()).await.is_err() {
                return;
            }
            sleep(EVENT_PAUSE).await;
        }
    };
    tokio::select! {
        () = events => {}
        _ = broken.wait_for(|broken| *broken) => {}
    }
}

/// A target whose streams break off when `broken` becomes true.
async fn stream_target(broken: &watch::Sender<bool>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let broken = broken.clone();
    tokio::spawn(async move {
        loop {
            let (socket, _) = listener.accept().await.unwrap();
            tokio::spawn(send_events(socket, broken.subscribe()));
        }
    });
    address
}

/// Guards against a stream that is sent to a further target by a process that is about to exit: the
/// target runs it in vain.
#[tokio::test]
async fn a_stream_that_breaks_after_the_drain_limit_is_sent_to_no_further_target() {
    let broken = watch::Sender::new(false);
    let targets = [stream_target(&broken).await, stream_target(&broken).await];
    let route = plain_route("lines", RouteKind::ResumableStream);
    let limits = FleetLimits { grace_s: 3, ..FleetLimits::default() };
    let deployment = PlainGateway::deployment(vec![route]);
    let mut gateway = PlainGateway::start_with(&deployment, &targets, limits).await;
    let callers = gateway.callers;
    let call = tokio::spawn(async move {
        support::plain_call_at(callers, "stream", "/lines/1", CallerKind::Read).await
    });
    gateway.process.wait_for_line("event=request_sent").await;
    gateway.process.signal(Signal::TERM);
    gateway.process.wait_for_line("event=drain_limit_reached").await;
    broken.send_replace(true);
    assert!(gateway.process.wait_exit().await.success());
    let response = call.await.unwrap();
    assert!(!response.is_complete, "{response:?}");
    let log = gateway.process.log();
    assert!(log.iter().any(|line| line.contains("event=stream_broken")), "{log:#?}");
    let sends = log.iter().filter(|line| line.contains("event=request_sent")).count();
    assert_eq!(sends, 1, "{log:#?}");
}

/// Guards against a listener that stays open to the end of a stop because each attempt to accept a
/// connection fails: callers then wait for answers of a process that exits.
#[tokio::test]
async fn a_listener_without_descriptors_is_closed_in_a_drain() {
    let broken = watch::Sender::new(false);
    let route = plain_route("lines", RouteKind::ResumableStream);
    let limits = FleetLimits { grace_s: 3, ..FleetLimits::default() };
    let deployment = PlainGateway::deployment(vec![route]);
    let targets = [stream_target(&broken).await];
    let gateway = PlainGateway::start_with(&deployment, &targets, limits).await;
    let callers = gateway.callers;
    let call = tokio::spawn(async move {
        support::plain_call_at(callers, "stream", "/lines/1", CallerKind::Read).await
    });
    gateway.process.wait_for_line("event=request_sent").await;
    let pid = Pid::from_raw(i32::try_from(gateway.process.id()).unwrap());
    // No further descriptor can be opened. The log polls one, which a limit of 0 would reject.
    let limit = Rlimit { current: Some(1), ..getrlimit(Resource::Nofile) };
    prlimit(pid, Resource::Nofile, limit).unwrap();
    let _waiting = TcpStream::connect(callers).await.unwrap();
    gateway.process.signal(Signal::TERM);
    gateway.process.wait_for_line("event=drain_limit_reached").await;
    assert!(TcpStream::connect(callers).await.is_err());
    assert!(!call.await.unwrap().is_complete);
}
