//! Responses that end with their connection while the gateway stands still, from targets that serve on
//! or have been replaced at their address by the time it goes on.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::time::Duration;

use platform::header_names::{EXPECT_TARGET, RESPONSE_SIGNATURE, TARGET_ID};
use platform_standin::{CallerKind, CallerResponse, RouteKind};
use rustix::process::Signal;
use support::{
    PeerGateway, PlainGateway, header_value, id_line, plain_call_at, plain_route, read_head,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

/// Time from the request to the pause: longer than a target takes to be replaced at its address.
const RUN_TIME: Duration = Duration::from_millis(1_200);
/// Time in which the gateway or the list takes note of a change.
const SHORT: Duration = Duration::from_millis(100);
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// What happens to the target while the gateway stands still.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    /// It has left the list and exits; another one starts at its address.
    Left,
    /// It is killed; another one starts at its address before its entry has expired.
    Superseded,
    /// It is killed, and starts again under its id.
    Restarted,
    /// The same as `Superseded`, but the gateway does not reach the store any more.
    ReplacedUnseen,
    /// Its response is complete, and it serves on.
    Ended,
    /// The same, after it has said that it leaves.
    EndedLeaving,
    /// The same as `Ended`, but the gateway does not reach the store any more.
    EndedUnseen,
}

impl Change {
    const fn is_end(self) -> bool {
        matches!(self, Self::Ended | Self::EndedLeaving | Self::EndedUnseen)
    }

    const fn is_unseen(self) -> bool {
        matches!(self, Self::ReplacedUnseen | Self::EndedUnseen)
    }
}

/// Answers status checks of a target with this id, and requests with part of a response, which ends with
/// its connection after `finish`; with nothing if there is no `content`.
async fn serve(mut socket: TcpStream, id: &str, content: &str, finish: &Notify) {
    let Some(head) = read_head(&mut socket).await else { return };
    if header_value(&head, EXPECT_TARGET.as_str()) != Some(id) {
        socket
            .write_all(b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n")
            .await
            .unwrap();
    } else if head.contains(" /calls/") && content.is_empty() {
        finish.notified().await;
    } else if head.contains(" /calls/") {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{}content-type: {content}\r\n\r\n{EVENTS}",
            id_line(&head)
        );
        socket.write_all(head.as_bytes()).await.unwrap();
        finish.notified().await;
    } else {
        let response = format!("HTTP/1.1 200 OK\r\n{TARGET_ID}: {id}\r\ncontent-length: 0\r\n\r\n");
        socket.write_all(response.as_bytes()).await.unwrap();
    }
}

/// A target that exits if it `exits` when its response ends, with its port closed first.
fn start_target(
    listener: StdListener,
    id: &'static str,
    content: &'static str,
    exits: bool,
) -> Arc<Notify> {
    let finish = Arc::new(Notify::new());
    let run = Arc::clone(&finish);
    listener.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(listener).unwrap();
    tokio::spawn(async move {
        let stop = Arc::new(Notify::new());
        loop {
            let socket = tokio::select! {
                accepted = listener.accept() => accepted.unwrap().0,
                () = run.notified() => {
                    if exits {
                        drop(listener);
                        stop.notify_waiters();
                        return;
                    }
                    stop.notify_waiters();
                    continue;
                }
            };
            let stop = Arc::clone(&stop);
            tokio::spawn(async move { serve(socket, id, content, &stop).await });
        }
    });
    finish
}

/// Returns the response to a request whose target changes while the gateway stands still.
async fn call(kind: RouteKind, change: Change) -> CallerResponse {
    let listener = StdListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (content, caller_kind) = match kind {
        RouteKind::Once => ("text/plain", CallerKind::Order),
        RouteKind::Repeatable | RouteKind::ResumableStream => {
            ("text/event-stream", CallerKind::Read)
        }
    };
    let finish = start_target(listener, "target-1", content, !change.is_end());
    let mut gateway = PlainGateway::start(plain_route("calls", kind), &[address]).await;
    let callers = gateway.callers;
    let answer =
        tokio::spawn(
            async move { plain_call_at(callers, "request-1", "/calls/1", caller_kind).await },
        );
    gateway.process.wait_for_line("event=request_sent request_id=request-1").await;
    if change.is_unseen() {
        gateway.move_to_store(SocketAddr::from((Ipv4Addr::LOCALHOST, 9)));
    }
    sleep(RUN_TIME).await;
    gateway.process.signal(Signal::STOP);
    sleep(SHORT).await;
    finish.notify_one();
    sleep(SHORT).await;
    if !change.is_end() {
        let id = if change == Change::Restarted { "target-1" } else { "target-2" };
        start_target(StdListener::bind(address).unwrap(), id, content, false);
    }
    match change {
        Change::Left => {
            gateway.remove_target(1);
            gateway.announce_born(2, address, 2);
        }
        Change::Superseded => gateway.announce_born(2, address, 2),
        Change::Restarted => gateway.announce_born(1, address, 2),
        Change::EndedLeaving => gateway.announce_leaving(1, address),
        Change::Ended | Change::EndedUnseen | Change::ReplacedUnseen => {}
    }
    gateway.process.signal(Signal::CONT);
    answer.await.unwrap()
}

const REPLACED: [Change; 4] =
    [Change::Left, Change::Superseded, Change::Restarted, Change::ReplacedUnseen];
const ENDED: [Change; 3] = [Change::Ended, Change::EndedLeaving, Change::EndedUnseen];

/// Guards against a stream that is cut off by its target's exit and ends as complete, because another
/// process accepts connections at the address by the time the end is read.
#[tokio::test]
async fn a_stream_of_a_replaced_target_does_not_end_as_complete() {
    for change in REPLACED {
        let response = call(RouteKind::ResumableStream, change).await;
        assert!(!response.is_complete, "{change:?}: {response:?}");
        assert_eq!(response.body, EVENTS, "{change:?}");
    }
}

/// Guards against the same in a response that is no stream.
#[tokio::test]
async fn half_a_response_of_a_replaced_target_is_no_success() {
    for change in REPLACED {
        let response = call(RouteKind::Once, change).await;
        assert_eq!(response.status, Some(502), "{change:?}: {response:?}");
    }
}

/// Guards against a crash that is no evidence against the request that the target ran, because the target is back
/// at its address by the time the broken connection is read.
#[tokio::test]
async fn a_crash_is_recorded_although_the_target_is_back() {
    let listener = StdListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let finish = start_target(listener, "target-1", "", true);
    let route = plain_route("calls", RouteKind::Repeatable);
    let gateway = PlainGateway::start(route, &[address]).await;
    let callers = gateway.callers;
    let answer = tokio::spawn(async move {
        plain_call_at(callers, "request-1", "/calls/1", CallerKind::Read).await
    });
    gateway.process.wait_for_line("event=request_sent request_id=request-1").await;
    sleep(RUN_TIME).await;
    gateway.process.signal(Signal::STOP);
    sleep(SHORT).await;
    finish.notify_one();
    sleep(SHORT).await;
    start_target(StdListener::bind(address).unwrap(), "target-1", "", false);
    gateway.announce_born(1, address, 2);
    gateway.process.signal(Signal::CONT);
    gateway.process.wait_for_line("event=crash_recorded request_id=request-1").await;
    answer.abort();
}

/// Guards against whole responses that are lost because they ended while the gateway stood still, their
/// target leaves, or the store is away.
#[tokio::test]
async fn whole_responses_that_end_during_a_pause_are_delivered() {
    for kind in [RouteKind::ResumableStream, RouteKind::Once] {
        for change in ENDED {
            let response = call(kind, change).await;
            assert!(response.is_success() && response.is_complete, "{change:?}: {response:?}");
            assert_eq!(response.body, EVENTS, "{kind:?} {change:?}");
        }
    }
}

/// Guards against priced status checks of a gateway that only hears what others read of the list.
#[tokio::test]
async fn a_gateway_that_does_not_read_the_list_needs_no_status_check() {
    let listener = StdListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let finish = start_target(listener, "target-1", "text/plain", false);
    let first = PlainGateway::start(plain_route("calls", RouteKind::Once), &[address]).await;
    let gateway = PeerGateway::start(&first, first.store_address()).await;
    let callers = gateway.callers;
    let answer = tokio::spawn(async move {
        plain_call_at(callers, "request-1", "/calls/1", CallerKind::Order).await
    });
    gateway.process.wait_for_line("event=request_sent request_id=request-1").await;
    sleep(RUN_TIME).await;
    finish.notify_one();
    gateway.process.wait_for_line("target=target-1 evidence=list").await;
    assert!(answer.await.unwrap().is_success());
}
