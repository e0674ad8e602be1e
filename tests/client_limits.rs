//! Clients that keep no limits against a gateway with the memory and the descriptors of a small
//! machine. The clients and the bounds are fixed: change the system, not them.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use platform::header_names::{DEADLINE_MS, REQUEST_ID, RESPONSE_SIGNATURE};
use platform_standin::{CallerKind, FleetLimits, RouteKind};
use support::{
    CUSTOMER_KEY, HOST, PlainGateway, header_value, id_line, plain_call, plain_route, wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Memory of the machine in MB, the least of any deployment. It is the bound on the memory of the
/// process with the unread and unsent bytes of its callers' sockets.
const MEMORY_MB: u64 = 120;
/// Memory of the machine for bodies in very small chunks; a debug build reads too few of them within
/// the time to fill more.
const SMALL_CHUNK_MEMORY_MB: u64 = 48;
const BYTES_PER_MB: u64 = 1_000_000;
/// Setting for the descriptors of the process, and the bound on its open ones.
const FILE_DESCRIPTORS: u64 = 512;
/// Largest body of a request.
const BODY_BYTES: usize = 4 << 20;
/// Clients with large bodies; together they send twice the memory of the machine.
const LARGE_CLIENTS: usize = 60;
/// Clients with chunks of one byte, and the chunks that each of them sends.
const SMALL_CHUNK_CLIENTS: usize = 100;
const SMALL_CHUNKS: usize = 60_000;
/// Clients without a complete head.
const HEADLESS_CLIENTS: usize = 700;
/// Clients that don't read their responses.
const SLOW_READERS: usize = 60;
/// Of these many clients one sends its request to the end.
const COMPLETE_EVERY: usize = 8;
/// Bytes by which the other bodies are short of their end.
const MISSING_BYTES: usize = 10;
/// Longest time for sending and for the gateway to read it, and time for which they then wait.
const SENDING_TIME: Duration = Duration::from_secs(8);
const HOLDING_TIME: Duration = Duration::from_secs(1);
/// Size of a response to a `GET` below `/large/`.
const RESPONSE_BYTES: usize = 4_000_000;

/// One test at a time: each loads the machine and reads the memory of its process.
static ONE_TEST: Mutex<()> = Mutex::const_new(());

/// What one client sends.
#[derive(Clone, Default)]
struct ClientScript {
    head: String,
    /// Bytes after the head, sent `repeats` times.
    body: Arc<Vec<u8>>,
    repeats: usize,
    /// Bytes sent at once; 0: all.
    piece: usize,
    pause: Duration,
    /// Whether the client reads what comes.
    reads: bool,
}

fn request_head(method: &str, path: &str, id: usize, framing: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{REQUEST_ID}: client-{id}\r\n\
         {DEADLINE_MS}: 4000\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n{framing}\r\n"
    )
}

/// A body of `BODY_BYTES`; most clients stop short of its end.
fn large_body(id: usize) -> ClientScript {
    let missing = if id.is_multiple_of(COMPLETE_EVERY) { 0 } else { MISSING_BYTES };
    ClientScript {
        head: request_head("POST", "/reads/1", id, &format!("content-length: {BODY_BYTES}\r\n")),
        body: Arc::new(vec![b'a'; BODY_BYTES - missing]),
        repeats: 1,
        reads: true,
        ..ClientScript::default()
    }
}

/// A chunked body; most clients don't send its last chunk.
fn chunked_body(id: usize, chunk_bytes: usize, chunks: usize) -> ClientScript {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "a".repeat(chunk_bytes));
    let mut body = chunk.repeat(chunks);
    if id.is_multiple_of(COMPLETE_EVERY) {
        body.push_str("0\r\n\r\n");
    }
    ClientScript {
        head: request_head("POST", "/reads/1", id, "transfer-encoding: chunked\r\n"),
        body: Arc::new(body.into_bytes()),
        repeats: 1,
        reads: true,
        ..ClientScript::default()
    }
}

/// Sends all of a script, then keeps the connection open until it is closed by the other side.
async fn run_client(address: SocketAddr, script: ClientScript, sent: Arc<AtomicUsize>) {
    let Ok(socket) = TcpStream::connect(address).await else {
        sent.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let (mut reader, mut writer) = socket.into_split();
    let sending = async {
        let parts = std::iter::once(script.head.as_bytes())
            .chain(std::iter::repeat_n(script.body.as_slice(), script.repeats));
        'parts: for part in parts.filter(|part| !part.is_empty()) {
            let piece = if script.piece == 0 { part.len() } else { script.piece };
            for bytes in part.chunks(piece) {
                if writer.write_all(bytes).await.is_err() {
                    break 'parts;
                }
                if !script.pause.is_zero() {
                    sleep(script.pause).await;
                }
            }
        }
        sent.fetch_add(1, Ordering::Relaxed);
        std::future::pending::<()>().await;
    };
    let reading = async {
        let mut buffer = vec![0; 4_096];
        while script.reads && reader.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
        if !script.reads {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = sending => {}
        () = reading => {}
    }
}

/// A target that reads each request and answers it, below `/large/` with a large response.
async fn whole_request_target() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            tokio::spawn(answer_requests(listener.accept().await.unwrap().0));
        }
    });
    address
}

async fn answer_requests(mut socket: TcpStream) {
    while let Some(head) = read_head_alone(&mut socket).await {
        let length = header_value(&head, "content-length").map_or(0, |text| text.parse().unwrap());
        let mut body = (&mut socket).take(length);
        if tokio::io::copy(&mut body, &mut tokio::io::sink()).await.is_err() {
            return;
        }
        let is_large = head.starts_with("get /large/");
        let body = vec![b'r'; if is_large { RESPONSE_BYTES } else { 2 }];
        let response = format!(
            "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{}content-length: {}\r\n\r\n",
            id_line(&head),
            body.len()
        );
        let written = [response.as_bytes(), &body].concat();
        if socket.write_all(&written).await.is_err() {
            return;
        }
    }
}

/// Reads a head and nothing after it, in lower case.
async fn read_head_alone(socket: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(socket.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).to_lowercase())
}

/// Memory of the gateway with the bytes in its callers' sockets, in bytes; none if it has ended.
fn memory_bytes(gateway: u32, callers: SocketAddr) -> Option<u64> {
    Some(status_bytes(gateway, "VmRSS:")? + queued_bytes(callers))
}

fn status_bytes(process: u32, field: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    line.trim().trim_end_matches(" kB").parse::<u64>().ok().map(|kb| kb * 1_024)
}

/// Bytes that the kernel holds for connections to `address` and that are unread or unsent.
fn queued_bytes(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else { unreachable!("the tests use IPv4") };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let queued = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next()? == local;
        let is_listener = fields.nth(1)? == "0A";
        let (unsent, unread) = fields.next()?.split_once(':')?;
        let bytes = u64::from_str_radix(unsent, 16).ok()? + u64::from_str_radix(unread, 16).ok()?;
        (is_local && !is_listener).then_some(bytes)
    };
    table.lines().filter_map(queued).sum()
}

/// Runs the clients, then checks that the gateway is running within its bounds and serves an
/// ordinary request while the clients keep their connections.
async fn check_clients(memory_mb: u64, count: usize, script: impl Fn(usize) -> ClientScript) {
    let _alone = ONE_TEST.lock().await;
    let target = whole_request_target().await;
    let mut deployment = PlainGateway::deployment(vec![
        plain_route("reads", RouteKind::Repeatable),
        plain_route("large", RouteKind::Repeatable),
    ]);
    deployment.body_bytes = BODY_BYTES;
    let limits =
        FleetLimits { memory_mb, file_descriptors: FILE_DESCRIPTORS, ..FleetLimits::default() };
    let gateway = PlainGateway::start_with(&deployment, &[target], limits).await;
    let (id, callers) = (gateway.process.id(), gateway.callers);

    let peak = Arc::new(AtomicU64::new(0));
    let most_descriptors = Arc::new(AtomicUsize::new(0));
    let sent = Arc::new(AtomicUsize::new(0));
    let mut tasks = JoinSet::new();
    {
        let (peak, most_descriptors) = (Arc::clone(&peak), Arc::clone(&most_descriptors));
        tasks.spawn(async move {
            while let Some(bytes) = memory_bytes(id, callers) {
                peak.fetch_max(bytes, Ordering::Relaxed);
                let open = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
                most_descriptors.fetch_max(open, Ordering::Relaxed);
                sleep(Duration::from_millis(20)).await;
            }
        });
    }
    for number in 0..count {
        tasks.spawn(run_client(callers, script(number), Arc::clone(&sent)));
    }
    let end = Instant::now() + SENDING_TIME;
    let all_read = || sent.load(Ordering::Relaxed) >= count && queued_bytes(callers) == 0;
    while !all_read() && Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(HOLDING_TIME).await;

    let peak = peak.load(Ordering::Relaxed).max(status_bytes(id, "VmHWM:").unwrap());
    let most_descriptors = most_descriptors.load(Ordering::Relaxed) as u64;
    let bound = memory_mb * BYTES_PER_MB;
    println!("memory {peak} of {bound} bytes, {most_descriptors} descriptors");
    let number = AtomicUsize::new(0);
    wait_until("an ordinary request is served", async || {
        let id = format!("ordinary-{}", number.fetch_add(1, Ordering::Relaxed));
        plain_call(&gateway, &id, "/reads/1", CallerKind::Read).await.is_success()
    })
    .await;
    assert_eq!(gateway.process.id(), id, "the process has ended");
    assert!(peak < bound, "{peak} bytes");
    assert!(most_descriptors < FILE_DESCRIPTORS, "{most_descriptors} open descriptors");
}

/// Guards against a gateway that collects many large bodies, sent whole, until its memory is used
/// up.
#[tokio::test]
async fn large_bodies_sent_whole_stay_within_the_memory() {
    check_clients(MEMORY_MB, LARGE_CLIENTS, large_body).await;
}

/// Guards against a gateway that collects many large bodies, sent piece by piece, until its memory
/// is used up.
#[tokio::test]
async fn large_bodies_sent_in_pieces_stay_within_the_memory() {
    let script =
        |id| ClientScript { piece: 64 << 10, pause: Duration::from_millis(20), ..large_body(id) };
    check_clients(MEMORY_MB, LARGE_CLIENTS, script).await;
}

/// Guards against a gateway that collects many bodies of large chunks until its memory is used up.
#[tokio::test]
async fn bodies_in_large_chunks_stay_within_the_memory() {
    let chunk_bytes = 256 << 10;
    check_clients(MEMORY_MB, LARGE_CLIENTS, |id| {
        chunked_body(id, chunk_bytes, BODY_BYTES / chunk_bytes)
    })
    .await;
}

/// Guards against a gateway that keeps each chunk of a body by itself, so that a small body in very
/// small chunks takes many times its size.
#[tokio::test]
async fn bodies_in_very_small_chunks_stay_within_the_memory() {
    check_clients(SMALL_CHUNK_MEMORY_MB, SMALL_CHUNK_CLIENTS, |id| {
        chunked_body(id, 1, SMALL_CHUNKS)
    })
    .await;
}

/// Guards against a gateway that reads a body although its length is announced to be over the
/// limit.
#[tokio::test]
async fn announced_bodies_over_the_limit_stay_within_the_memory() {
    let script = |id| ClientScript {
        head: request_head("POST", "/reads/1", id, "content-length: 1073741824\r\n"),
        body: Arc::new(vec![b'a'; BODY_BYTES]),
        repeats: 16,
        ..large_body(id)
    };
    check_clients(MEMORY_MB, LARGE_CLIENTS, script).await;
}

/// Guards against a gateway that collects many bodies without an end until its memory is used up.
#[tokio::test]
async fn endless_bodies_stay_within_the_memory() {
    let chunk_bytes = 256 << 10;
    let script = |id| ClientScript {
        repeats: 16,
        ..chunked_body(COMPLETE_EVERY * id + 1, chunk_bytes, BODY_BYTES / chunk_bytes)
    };
    check_clients(MEMORY_MB, LARGE_CLIENTS, script).await;
}

/// Guards against a gateway whose descriptors are used up by connections that send nothing or their
/// head byte by byte.
#[tokio::test]
async fn connections_without_a_head_leave_descriptors_for_others() {
    let script = |id: usize| match id.is_multiple_of(2) {
        true => ClientScript { reads: true, ..ClientScript::default() },
        false => ClientScript {
            head: request_head("GET", "/reads/1", id, &format!("x-long: {}", "a".repeat(8_000))),
            piece: 1,
            pause: Duration::from_millis(20),
            reads: true,
            ..ClientScript::default()
        },
    };
    check_clients(MEMORY_MB, HEADLESS_CLIENTS, script).await;
}

/// Guards against a gateway that holds large responses without bound for callers that don't read
/// them.
#[tokio::test]
async fn unread_responses_stay_within_the_memory() {
    let script = |id| ClientScript {
        head: request_head("GET", "/large/1", id, ""),
        ..ClientScript::default()
    };
    check_clients(MEMORY_MB, SLOW_READERS, script).await;
}

/// Guards against a gateway that reads requests ahead, or holds their responses, for callers that
/// send many of them at once and don't read.
#[tokio::test]
async fn pipelined_requests_stay_within_the_memory() {
    let script = |id| ClientScript {
        body: Arc::new(request_head("GET", "/reads/1", id, "").into_bytes()),
        repeats: 20_000,
        ..ClientScript::default()
    };
    check_clients(MEMORY_MB, LARGE_CLIENTS, script).await;
}

/// Guards against bodies that come byte by byte and take all connections or descriptors.
#[tokio::test]
async fn bodies_sent_byte_by_byte_leave_room_for_others() {
    let script = |id| ClientScript {
        body: Arc::new(vec![b'a']),
        repeats: BODY_BYTES - MISSING_BYTES,
        pause: Duration::from_millis(300),
        ..large_body(id)
    };
    check_clients(MEMORY_MB, HEADLESS_CLIENTS / 2, script).await;
}

/// Guards against a budget that rejects the largest allowed request although the machine is calm.
#[tokio::test]
async fn the_largest_request_is_served_in_calm_conditions() {
    let _alone = ONE_TEST.lock().await;
    let target = whole_request_target().await;
    let mut deployment =
        PlainGateway::deployment(vec![plain_route("reads", RouteKind::Repeatable)]);
    deployment.body_bytes = BODY_BYTES;
    let limits = FleetLimits { memory_mb: MEMORY_MB, ..FleetLimits::default() };
    let gateway = PlainGateway::start_with(&deployment, &[target], limits).await;
    let chunk_bytes = 64 << 10;
    for script in [
        large_body(COMPLETE_EVERY),
        chunked_body(COMPLETE_EVERY, chunk_bytes, BODY_BYTES / chunk_bytes),
    ] {
        let mut socket = TcpStream::connect(gateway.callers).await.unwrap();
        socket.write_all(script.head.as_bytes()).await.unwrap();
        socket.write_all(&script.body).await.unwrap();
        let head = read_head_alone(&mut socket).await.unwrap();
        assert!(head.starts_with("http/1.1 200"), "{head}");
    }
}
