//! A plain request that ends each target that runs it and comes again, and what other callers get.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform::header_names::{CUSTOMER, DEADLINE_MS, REQUEST_ID, RESPONSE_SIGNATURE};
use platform_standin::{CustomerSpec, FleetLimits, RouteKind};
use support::{
    CUSTOMER_KEY, HOST, PeerGateway, PlainGateway, header_value, id_line, plain_route, read_head,
    wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const TARGETS: usize = 4;
/// Time from the end of a target until it is back.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Time from the arrival of the request at a target until that ends.
const CRASH_TIME: Duration = Duration::from_millis(50);
/// Time in which other requests are answered.
const ANSWER_TIME: Duration = Duration::from_millis(20);
/// The same for slow ones, some of which are cut when a target ends.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(800);
/// Time between two arrivals of the request, and for how long it comes.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);
const SERIES_TIME: Duration = Duration::from_secs(20);
/// Time between two calls of one ordinary caller.
const ORDINARY_INTERVAL: Duration = Duration::from_millis(40);
/// Crashes after which the limit on arrivals begins, the time after them, and the limit.
const FREE_CRASHES: usize = 3;
const FREE_TIME: Duration = Duration::from_secs(3);
const MAX_ARRIVALS: usize = 3;
const OTHER_KEY: &str = "key-2";

/// One request, without its id.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Call {
    key: &'static str,
    method: &'static str,
    path: String,
    body: &'static str,
}

impl Call {
    fn get(key: &'static str, path: &str) -> Self {
        Self { key, method: "GET", path: path.into(), body: "" }
    }

    fn post(key: &'static str, path: &str, body: &'static str) -> Self {
        Self { key, method: "POST", path: path.into(), body }
    }

    /// Status of the response; none if the connection ends without one.
    async fn send(&self, callers: SocketAddr, id: &str) -> Option<u16> {
        let exchanged = async {
            let mut socket = TcpStream::connect(callers).await.ok()?;
            let request = format!(
                "{} {} HTTP/1.1\r\nhost: {HOST}\r\n{REQUEST_ID}: {id}\r\nauthorization: Bearer {}\r\n\
                 {DEADLINE_MS}: 2000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{}",
                self.method,
                self.path,
                self.key,
                self.body.len(),
                self.body
            );
            socket.write_all(request.as_bytes()).await.ok()?;
            let mut response = Vec::new();
            socket.read_to_end(&mut response).await.ok()?;
            String::from_utf8_lossy(&response).split(' ').nth(1)?.parse().ok()
        };
        timeout(Duration::from_secs(4), exchanged).await.ok().flatten()
    }
}

/// What the targets have seen of the request that ends them.
#[derive(Default)]
struct Record {
    arrivals: Vec<Instant>,
    ends: Vec<Instant>,
}

/// Reads a request as its customer, method, path and body.
async fn read_request(socket: &mut TcpStream) -> Option<(String, String)> {
    let text = read_head(socket).await?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length: usize = header_value(head, "content-length").map_or(0, |n| n.parse().unwrap());
    let mut rest = vec![0; length.saturating_sub(body.len())];
    socket.read_exact(&mut rest).await.ok()?;
    let line = head.lines().next()?.rsplit_once(' ')?.0;
    let customer = header_value(head, CUSTOMER.as_str()).unwrap_or_default();
    let content = format!("{customer} {line} {body}{}", String::from_utf8_lossy(&rest));
    Some((id_line(head), content))
}

async fn serve(
    mut socket: TcpStream,
    crashing: Arc<str>,
    record: Arc<Mutex<Record>>,
    end: watch::Sender<bool>,
) {
    while let Some((id_line, content)) = read_request(&mut socket).await {
        if *content == *crashing {
            record.lock().unwrap().arrivals.push(Instant::now());
            sleep(CRASH_TIME).await;
            let _ended = end.send(true);
            return;
        }
        sleep(if content.contains("slow") { SLOW_ANSWER_TIME } else { ANSWER_TIME }).await;
        let response = format!(
            "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{id_line}content-length: 2\r\n\r\nok"
        );
        if socket.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Handle of a target.
struct Target {
    address: SocketAddr,
    /// Number of its current life.
    number: AtomicUsize,
    /// Ends it.
    kill: Notify,
}

/// Runs a target, which comes back at its address as another one after each end.
async fn run_target(
    mut listener: TcpListener,
    target: Arc<Target>,
    gateway: Arc<PlainGateway>,
    crashing: Arc<str>,
    record: Arc<Mutex<Record>>,
) {
    loop {
        let (end, mut is_over) = watch::channel(false);
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (crashing, record) = (Arc::clone(&crashing), Arc::clone(&record));
                    connections.spawn(serve(accepted.unwrap().0, crashing, record, end.clone()));
                }
                _ = is_over.changed() => break,
                () = target.kill.notified() => break,
            }
        }
        drop((listener, connections));
        record.lock().unwrap().ends.push(Instant::now());
        sleep(DOWN_TIME).await;
        let number = target.number.fetch_add(TARGETS, Ordering::Relaxed);
        gateway.remove_target(number);
        listener = TcpListener::bind(target.address).await.unwrap();
        gateway.announce(number + TARGETS, target.address);
    }
}

/// Two gateways, and targets that the request `crashing` ends.
struct Fleet {
    gateway: Arc<PlainGateway>,
    peer: PeerGateway,
    targets: Vec<Arc<Target>>,
    record: Arc<Mutex<Record>>,
}

impl Fleet {
    async fn start(crashing: &str) -> Self {
        let mut deployment = PlainGateway::deployment(vec![
            plain_route("read", RouteKind::Repeatable),
            plain_route("order", RouteKind::Once),
        ]);
        deployment.tenants.push(CustomerSpec {
            name: "press".into(),
            keys: vec![OTHER_KEY.into()],
            tokens_per_s: 0,
            burst_tokens: 0,
        });
        let mut listeners = Vec::new();
        for _ in 0..TARGETS {
            listeners.push(TcpListener::bind(("127.0.0.1", 0)).await.unwrap());
        }
        let addresses: Vec<SocketAddr> =
            listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        let limits = FleetLimits::default();
        let gateway = PlainGateway::start_with(&deployment, &addresses, limits).await;
        let peer = PeerGateway::start(&gateway, gateway.store_address()).await;
        let (gateway, record) = (Arc::new(gateway), Arc::default());
        let mut targets = Vec::new();
        for (number, listener) in (1..).zip(listeners) {
            let address = addresses[number - 1];
            let target = Target { address, number: number.into(), kill: Notify::new() };
            let target = Arc::new(target);
            targets.push(Arc::clone(&target));
            let (gateway, record) = (Arc::clone(&gateway), Arc::clone(&record));
            tokio::spawn(run_target(listener, target, gateway, crashing.into(), record));
        }
        Self { gateway, peer, targets, record }
    }

    fn callers(&self, number: usize) -> SocketAddr {
        if number.is_multiple_of(2) { self.gateway.callers } else { self.peer.callers }
    }

    /// Starts ordinary callers, which call until `end`.
    fn call_until(&self, end: Instant, ordinary: &[Call]) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for (caller, call) in ordinary.iter().cloned().enumerate() {
            let callers = self.callers(caller);
            tasks.spawn(async move {
                for number in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    call.send(callers, &format!("ordinary-{caller}-{number}")).await;
                    sleep(ORDINARY_INTERVAL).await;
                }
            });
        }
        tasks
    }

    /// Sends `crashing` again and again for the time of the series, beside ordinary calls.
    async fn play(&self, crashing: &Call, ordinary: &[Call]) {
        let end = Instant::now() + SERIES_TIME;
        let mut tasks = self.call_until(end, ordinary);
        // The gateways learn from ordinary answers how rarely targets end.
        sleep(Duration::from_secs(3)).await;
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let (call, callers) = (crashing.clone(), self.callers(number / 2));
            tasks.spawn(async move {
                call.send(callers, &format!("repeated-{number}")).await;
            });
            sleep(REPEAT_INTERVAL).await;
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Ends the targets one after the other.
    async fn kill_all(&self, interval: Duration) {
        for target in &self.targets {
            target.kill.notify_one();
            sleep(interval).await;
        }
    }

    /// Ends each target once both gateways know that it will leave.
    async fn replace_all(&self) {
        for target in &self.targets {
            let number = target.number.load(Ordering::Relaxed);
            self.gateway.announce_leaving(number, target.address);
            for process in [&self.gateway.process, &self.peer.process] {
                let is_notice = |line: &String| {
                    line.contains(&format!("target=target-{number} "))
                        && line.contains("state=leaving")
                };
                wait_until("the notice of a target", async || process.log().iter().any(is_notice))
                    .await;
            }
            target.kill.notify_one();
        }
    }

    fn assert_request_is_stopped(&self) {
        let record = self.record.lock().unwrap();
        assert!(record.ends.len() >= FREE_CRASHES, "{} targets ended", record.ends.len());
        let from = record.ends[FREE_CRASHES - 1] + FREE_TIME;
        let late = record.arrivals.iter().filter(|at| **at > from).count();
        let ended = record.ends.len();
        assert!(late <= MAX_ARRIVALS, "{late} late arrivals, {ended} targets ended in all");
    }

    /// Each ordinary call gets an answer at each gateway once the targets are back.
    async fn assert_ordinary_calls_are_answered(&self, ordinary: &[Call]) {
        sleep(DOWN_TIME).await;
        for (number, call) in ordinary.iter().enumerate() {
            for (name, callers) in [("first", self.gateway.callers), ("second", self.peer.callers)]
            {
                let attempt = AtomicUsize::new(0);
                wait_until(&format!("{call:?} at the {name} gateway"), async || {
                    let attempt = attempt.fetch_add(1, Ordering::Relaxed);
                    let id = format!("after-{name}-{number}-{attempt}");
                    call.send(callers, &id).await == Some(200)
                })
                .await;
            }
        }
    }
}

/// Calls that share all but one property with `crashing`, and a popular one.
fn neighbours(crashing: &Call) -> Vec<Call> {
    vec![
        Call { key: OTHER_KEY, ..crashing.clone() },
        Call { path: format!("{}?page=2", crashing.path), ..crashing.clone() },
        Call::post(crashing.key, &crashing.path, "another body"),
        Call::get(CUSTOMER_KEY, "/read/home"),
        Call::get(CUSTOMER_KEY, "/read/home"),
        Call::post(OTHER_KEY, "/order/2", "two"),
    ]
}

/// Guards against a repeatable request that ends targets and is sent to further ones without end, at
/// either gateway, and against ordinary requests that are refused with it.
#[tokio::test]
async fn a_repeated_read_that_ends_targets_is_stopped() {
    let crashing = Call::get(CUSTOMER_KEY, "/read/broken");
    let ordinary = neighbours(&crashing);
    let fleet = Fleet::start("shop get /read/broken ").await;
    fleet.play(&crashing, &ordinary).await;
    fleet.assert_request_is_stopped();
    fleet.assert_ordinary_calls_are_answered(&ordinary).await;
}

/// Guards against the same for a request that may run once, which ends one target at each arrival.
#[tokio::test]
async fn a_repeated_order_that_ends_targets_is_stopped() {
    let crashing = Call::post(CUSTOMER_KEY, "/order/1", "broken");
    let ordinary = neighbours(&crashing);
    let fleet = Fleet::start("shop post /order/1 broken").await;
    fleet.play(&crashing, &ordinary).await;
    fleet.assert_request_is_stopped();
    fleet.assert_ordinary_calls_are_answered(&ordinary).await;
}

/// Guards against ordinary requests that are refused because targets are replaced, killed in series or
/// lose power together while they run.
#[tokio::test]
async fn ends_of_targets_quarantine_no_ordinary_request() {
    let mut ordinary = neighbours(&Call::get(CUSTOMER_KEY, "/read/sound"));
    ordinary.extend((0..4).map(|_| Call::post(CUSTOMER_KEY, "/order/slow", "slow")));
    let fleet = Fleet::start("").await;
    let end = Instant::now() + Duration::from_secs(26);
    let met = |text: &str| {
        let log = [fleet.gateway.process.log(), fleet.peer.process.log()].concat();
        log.into_iter().filter(|line| line.contains(text)).collect::<Vec<String>>()
    };
    let mut callers = fleet.call_until(end, &ordinary);
    let back = DOWN_TIME + Duration::from_secs(1);
    sleep(Duration::from_secs(2)).await;
    fleet.replace_all().await;
    sleep(back).await;
    assert!(!met("event=answer_missing").is_empty(), "no request was cut");
    assert_eq!(met("event=crash_recorded"), Vec::<String>::new());
    for interval in [Duration::from_millis(100), Duration::from_millis(500), Duration::ZERO] {
        fleet.kill_all(interval).await;
        sleep(back).await;
    }
    while callers.join_next().await.is_some() {}
    assert!(!met("event=crash_recorded").is_empty(), "no request met the end of a target");
    assert_eq!(met("event=quarantine_begun"), Vec::<String>::new());
    fleet.assert_ordinary_calls_are_answered(&ordinary).await;
}
