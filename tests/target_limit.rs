//! Targets that name in their answers the requests a second that they take.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform::header_names::{DEADLINE_MS, REQUEST_ID, REQUEST_LIMIT, RESPONSE_SIGNATURE};
use platform_standin::{CallerKind, CallerResponse, RouteKind};
use support::{
    CUSTOMER_KEY, HOST, PlainGateway, header_value, id_line, plain_call, plain_route, read_head,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const LIMIT_PER_S: f64 = 1.0;
/// Window over which the limit is judged.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first answer with the limit in which further requests don't count.
const GRACE: Duration = Duration::from_millis(500);
/// Time between two calls, as in a service of moderate load.
const CALL_INTERVAL: Duration = Duration::from_millis(60);

/// A target that names its limit while `limited` is set, and when it got requests.
struct Target {
    address: SocketAddr,
    limited: Arc<AtomicBool>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Target {
    async fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (limited, arrivals) = (Arc::new(AtomicBool::new(true)), Arc::default());
        let target = Self { address, limited, arrivals };
        let (limited, arrivals) = (Arc::clone(&target.limited), Arc::clone(&target.arrivals));
        tokio::spawn(async move {
            loop {
                let (socket, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(socket, Arc::clone(&limited), Arc::clone(&arrivals)));
            }
        });
        target
    }

    /// Most requests in any window that began after `from`.
    fn peak(&self, from: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
        let in_window = |(first, at): (usize, &Instant)| {
            counted[first..].iter().filter(|later| later.duration_since(*at) < WINDOW).count()
        };
        counted.iter().enumerate().map(in_window).max().unwrap_or_default()
    }
}

async fn serve(
    mut socket: TcpStream,
    limited: Arc<AtomicBool>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
) {
    while let Some(head) = read_head(&mut socket).await {
        arrivals.lock().unwrap().push(Instant::now());
        let limit = match limited.load(Ordering::Relaxed) {
            true => format!("{REQUEST_LIMIT}: {LIMIT_PER_S}\r\n"),
            false => String::new(),
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{}{limit}content-length: 2\r\n\r\nok",
            id_line(&head)
        );
        if socket.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn call_read(gateway: &PlainGateway, id: &str) -> CallerResponse {
    plain_call(gateway, id, "/reads/1", CallerKind::Read).await
}

/// Guards against a gateway that sends a target more requests than the limit that the target named,
/// holds back requests that can't be served, and keeps to the limit after its end.
#[tokio::test]
async fn a_target_gets_no_more_requests_than_its_limit_allows() {
    let target = Target::start().await;
    let gateway =
        PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &[target.address]).await;
    let first = call_read(&gateway, "first").await;
    assert!(first.is_success(), "{first:?}");
    let named = Instant::now();
    let mut served = 0;
    let mut number = 0;
    while named.elapsed() < Duration::from_secs(10) {
        let response = call_read(&gateway, &format!("limited-{number}")).await;
        number += 1;
        if response.is_success() {
            served += 1;
        } else {
            assert!(response.guarantees_not_run(), "{response:?}");
            assert!(response.retry_after.is_some(), "{response:?}");
        }
        sleep(CALL_INTERVAL).await;
    }
    let allowed = (1.5 * LIMIT_PER_S * WINDOW.as_secs_f64()) as usize + 5;
    let peak = target.peak(named + GRACE);
    assert!(peak <= allowed, "{peak} requests in 4 s, {allowed} are allowed");
    assert!((7..=12).contains(&served), "{served} of {number} were served in 10 s");

    target.limited.store(false, Ordering::Relaxed);
    sleep(Duration::from_millis(1_500)).await;
    let mut refused = 0;
    for number in 0..20 {
        refused += usize::from(!call_read(&gateway, &format!("after-{number}")).await.is_success());
    }
    assert!(refused <= 1, "{refused} of 20 refused after the end of the limit");
}

/// Guards against a limit of one target that reaches callers, who would apply it to the gateway.
#[tokio::test]
async fn the_limit_of_a_target_is_not_passed_on() {
    let target = Target::start().await;
    let gateway =
        PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &[target.address]).await;
    let mut socket = TcpStream::connect(gateway.callers).await.unwrap();
    let request = format!(
        "GET /reads/1 HTTP/1.1\r\nhost: {HOST}\r\n{REQUEST_ID}: raw-1\r\n\
         {DEADLINE_MS}: 4000\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).await.unwrap();
    let head = read_head(&mut socket).await.unwrap();
    assert!(head.starts_with("http/1.1 200"), "{head}");
    assert_eq!(header_value(&head, REQUEST_LIMIT.as_str()), None, "{head}");
}
