//! Targets that stand still while streams run there.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform::header_names::{LAST_EVENT_ID, RESPONSE_SIGNATURE};
use platform_standin::{CallerKind, RouteKind, RouteSpec};
use support::{
    PlainGateway, header_value, id_line, plain_call, plain_route, read_head, start_target,
    wait_until,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Events of a complete stream.
const EVENTS: u64 = 40;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Streams that run when a target stops.
const STREAMS: usize = 16;
/// Shortest pause after which callers abandon a stream.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);

/// A target of event streams that can be stopped.
#[derive(Clone, Default)]
struct StreamTarget {
    stopped: Arc<AtomicBool>,
    /// When each request arrived, and whether it resumes a stream.
    arrivals: Arc<Mutex<Vec<(Instant, bool)>>>,
}

impl StreamTarget {
    async fn start(&self) -> SocketAddr {
        let target = self.clone();
        start_target(move |socket| target.clone().serve(socket)).await
    }

    async fn serve(self, mut socket: TcpStream) {
        let Some(head) = read_head(&mut socket).await else { return };
        let from: Option<u64> =
            header_value(&head, LAST_EVENT_ID.as_str()).map(|id| id.parse().unwrap());
        self.arrivals.lock().unwrap().push((Instant::now(), from.is_some()));
        let response = format!(
            "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{}content-type: text/event-stream\r\n\
             connection: close\r\n\r\n",
            id_line(&head)
        );
        if socket.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        for id in from.unwrap_or_default() + 1..=EVENTS {
            sleep(EVENT_INTERVAL).await;
            while self.stopped.load(Ordering::Relaxed) {
                sleep(EVENT_INTERVAL).await;
            }
            let event = format!("id: {id}\ndata: event {id}\n\n");
            if socket.write_all(event.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn count(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }
}

fn route() -> RouteSpec {
    RouteSpec { objective_ms: 1_500, ..plain_route("lines", RouteKind::ResumableStream) }
}

/// Guards against streams that stay on a target that stands still until each of them has waited for its
/// own next event, and against requests that are still sent there.
#[tokio::test]
async fn no_stream_stays_on_a_target_whose_streams_all_stand_still() {
    let targets = [StreamTarget::default(), StreamTarget::default()];
    let addresses = [targets[0].start().await, targets[1].start().await];
    let gateway = Arc::new(PlainGateway::start(route(), &addresses).await);
    let call = |number: usize| {
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move {
            let id = format!("request-{number}");
            plain_call(&gateway, &id, &format!("/lines/{number}"), CallerKind::Read).await
        })
    };
    let running: Vec<_> = (0..STREAMS).map(call).collect();
    wait_until("all streams run", async || {
        targets.iter().map(StreamTarget::count).sum::<usize>() == STREAMS
    })
    .await;
    sleep(EVENT_INTERVAL * 5).await;
    let (frozen, other) = (&targets[0], &targets[1]);
    let moved = frozen.count();
    assert!(moved >= 2 && other.count() >= 2, "the streams are spread over both targets");
    let stopped_at = Instant::now();
    frozen.stopped.store(true, Ordering::Relaxed);
    sleep(CALLER_PATIENCE / 2).await;
    let late: Vec<_> = (STREAMS..STREAMS + 4).map(call).collect();
    for call in running.into_iter().chain(late) {
        let response = call.await.unwrap();
        assert!(response.is_complete, "{response:?}");
    }
    let arrivals = other.arrivals.lock().unwrap().clone();
    let resumed: Vec<Duration> = arrivals
        .iter()
        .filter(|(_, resumes)| *resumes)
        .map(|(at, _)| at.duration_since(stopped_at))
        .collect();
    assert_eq!(resumed.len(), moved, "{resumed:?}");
    assert!(resumed.iter().all(|after| *after < CALLER_PATIENCE), "{resumed:?}");
    assert_eq!(frozen.count(), moved, "a request was sent to the target that stands still");
}
