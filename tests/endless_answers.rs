//! Targets in trouble that send bytes without end until the gateway closes the connection.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use platform::header_names::{DEADLINE_MS, REQUEST_ID, RESPONSE_SIGNATURE};
use platform_standin::{
    CallerConnection, CallerKind, CallerRequest, CallerResponse, FleetLimits, MachineSpec,
    RouteKind, RouteSpec, StoreServer, StoreSettings,
};
use standin::{EndlessAnswer, EndlessServer, EndlessServerSettings};
use support::{CUSTOMER_KEY, HOST, PlainGateway, Process, SERVICE, gateway_machine, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Requests that meet an endless answer at once.
const AT_ONCE: usize = 60;
/// Most memory of the gateway, in KB: that of the smallest machines.
const MOST_MEMORY_KB: u64 = 160_000;
/// Requests that meet an endless answer at once at a machine of the smallest class, which takes this many
/// connections.
const AT_ONCE_AT_SMALLEST: usize = 300;
/// Memory of the smallest machines, in MB.
const SMALLEST_MEMORY_MB: u64 = 120;
/// Most memory of an agent, in KB: a fifth of that of its machine, 192 MB.
const MOST_AGENT_MEMORY_KB: u64 = 38_000;
/// What a caller allows.
const DEADLINE: Duration = Duration::from_secs(6);

/// Path of requests with an ordinary response.
const SOUND_PATH: &str = "/order/sound";

fn answer(head: &str, part: &'static str) -> EndlessAnswer {
    let head = head.replace("signed", &format!("{RESPONSE_SIGNATURE}: s\r\n"));
    EndlessAnswer { head, part }
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

async fn order(callers: SocketAddr, id: String, path: &str) -> CallerResponse {
    let mut connection = CallerConnection::open(callers, DEADLINE).await.unwrap();
    let request = CallerRequest {
        id: id.into(),
        host: HOST.into(),
        path: path.into(),
        key: CUSTOMER_KEY.into(),
        deadline: DEADLINE,
        kind: CallerKind::Order,
        after_event: None,
        resumes: None,
    };
    connection.call(&request).await
}

/// A target with these endless answers, and an ordinary one at [`SOUND_PATH`].
fn settings(answers: Vec<EndlessAnswer>) -> EndlessServerSettings {
    let response = format!(
        "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {{{REQUEST_ID}}}\r\n{RESPONSE_SIGNATURE}: s\r\n\
         content-length: 2\r\n\r\nok"
    );
    EndlessServerSettings {
        answers,
        ordinary: vec![(SOUND_PATH, response)],
        ..EndlessServerSettings::default()
    }
}

/// Checks that each request with an ordinary response is told something, and one of them gets the response: a
/// target that breaks off others counts as unusable for a while.
async fn check_is_served(callers: SocketAddr) {
    let mut number = 0;
    wait_until("an ordinary request is served", async || {
        number += 1;
        let sound = order(callers, format!("sound-{number}"), SOUND_PATH).await;
        assert!(sound.is_success() || sound.status == Some(503), "{sound:?}");
        sound.is_success()
    })
    .await;
}

/// Sends `at_once` requests that meet these answers and returns the responses to them. Checks that the connections
/// are closed, that memory stays within that of the machine, and that a request in between is served.
async fn meet_endless_answers(at_once: usize, answers: Vec<EndlessAnswer>) -> Vec<CallerResponse> {
    let mut target = EndlessServer::start(settings(answers)).await.unwrap();
    let gateway = PlainGateway::start(route(), &[target.address()]).await;

    let mut orders = JoinSet::new();
    for number in 0..at_once {
        orders.spawn(order(gateway.callers, format!("request-{number}"), "/order/1"));
    }
    sleep(Duration::from_millis(200)).await;
    check_is_served(gateway.callers).await;
    let responses = orders.join_all().await;
    let closed = async || target.closed() >= at_once;
    wait_until("the target's connections are closed", closed).await;
    assert!(target.next_closed().await.is_some());
    let peak_kb = gateway.process.peak_memory_kb();

    assert!(peak_kb < MOST_MEMORY_KB, "{peak_kb} KB");
    responses
}

fn assert_all_are_told(responses: &[CallerResponse]) {
    for response in responses {
        assert_eq!(response.status, Some(502), "{response:?}");
        assert!(response.is_complete && response.seal.is_none(), "{response:?}");
    }
}

/// Guards against a gateway that collects an endless head or body until its memory is used up, that waits for the
/// end of it, or that leaves the target sending.
#[tokio::test]
async fn answers_without_end_are_cut_and_their_callers_told() {
    let answers = vec![
        answer("", "a"),
        answer("HTTP/1.1 200 OK\r\nx-endless: ", "a"),
        answer("HTTP/1.1 200 OK\r\nsignedcontent-length: 900000000000\r\n\r\n", "a"),
        answer("HTTP/1.1 200 OK\r\nsigned\r\n", "a"),
    ];
    assert_all_are_told(&meet_endless_answers(AT_ONCE, answers).await);
}

/// Guards against a gateway whose one thread does nothing but skip interim responses as long as a target
/// sends them.
#[tokio::test]
async fn interim_responses_without_end_delay_no_other_request() {
    let interim = vec![answer("", "HTTP/1.1 100 Continue\r\n\r\n")];
    assert_all_are_told(&meet_endless_answers(AT_ONCE, interim).await);
}

/// Guards against a gateway whose one thread does nothing but read a chunk size that never ends: it neither
/// serves others nor keeps its time limits and its touch with the store.
#[tokio::test]
async fn chunk_sizes_without_end_delay_no_other_request() {
    let chunked = "HTTP/1.1 200 OK\r\nsignedtransfer-encoding: chunked\r\n\r\n";
    let answers = vec![answer(chunked, "0"), answer(&format!("{chunked}1"), " ")];
    // Each byte of them costs a call of the decoder, in a debug build half a microsecond.
    assert_all_are_told(&meet_endless_answers(AT_ONCE / 6, answers).await);
}

/// Guards against a gateway whose buffers for targets are bounded for each connection, but not for as many as
/// its callers may have.
#[tokio::test]
async fn answers_without_end_to_many_callers_fit_into_the_smallest_machine() {
    let answers = vec![answer("HTTP/1.1 200 OK\r\nx-endless: ", "a")];
    let pause = Duration::from_millis(100);
    let settings = EndlessServerSettings { pause, ..settings(answers) };
    let target = EndlessServer::start(settings).await.unwrap();
    let limits = FleetLimits { memory_mb: SMALLEST_MEMORY_MB, ..FleetLimits::default() };
    let deployment = PlainGateway::deployment(vec![route()]);
    let gateway = PlainGateway::start_with(&deployment, &[target.address()], limits).await;

    let mut orders = JoinSet::new();
    for number in 0..AT_ONCE_AT_SMALLEST {
        orders.spawn(order(gateway.callers, format!("request-{number}"), "/order/1"));
    }
    for answer in &orders.join_all().await {
        assert!(!answer.is_success(), "{answer:?}");
    }
    check_is_served(gateway.callers).await;
    let peak_kb = gateway.process.peak_memory_kb();

    assert!(peak_kb < SMALLEST_MEMORY_MB * 1_000, "{peak_kb} KB");
}

/// Guards against a gateway that collects endless responses of the store, several at once, until its memory
/// is used up.
#[tokio::test]
async fn responses_of_the_store_without_end_fit_into_the_smallest_machine() {
    let target = EndlessServer::start(settings(Vec::new())).await.unwrap();
    let mut gateway = PlainGateway::start(route(), &[target.address()]).await;
    let body = |start: &str| answer(&format!("HTTP/1.1 200 OK\r\n\r\n{start}"), "[[]],");
    let answers = vec![body(""), body("{\"more\":true,\"items\":["), body("\0\0\0\0")];
    let store = EndlessServer::start(settings(answers)).await.unwrap();

    let own_store = gateway.store_address();
    gateway.move_to_store(store.address());
    wait_until("calls to the store are cut", async || store.closed() >= 12).await;
    gateway.move_to_store(own_store);
    check_is_served(gateway.callers).await;
    let peak_kb = gateway.process.peak_memory_kb();

    assert!(peak_kb < SMALLEST_MEMORY_MB * 1_000, "{peak_kb} KB");
}

/// Sends streams that meet these answers, sent in step, to a machine of the smallest class, and checks that
/// memory stays within that of the machine. `reads` says whether the callers read.
async fn meet_endless_streams(answers: Vec<EndlessAnswer>, reads: bool) {
    let settings = EndlessServerSettings { pause: Duration::from_millis(100), ..settings(answers) };
    let target = EndlessServer::start(settings).await.unwrap();
    let limits = FleetLimits { memory_mb: SMALLEST_MEMORY_MB, ..FleetLimits::default() };
    let stream = RouteSpec { kind: RouteKind::ResumableStream, ..route() };
    let deployment = PlainGateway::deployment(vec![stream]);
    let gateway = PlainGateway::start_with(&deployment, &[target.address()], limits).await;
    let callers = gateway.callers;

    let mut calls = JoinSet::new();
    for number in 0..AT_ONCE_AT_SMALLEST {
        calls.spawn(async move {
            if reads {
                order(callers, format!("request-{number}"), "/order/1").await;
            } else {
                send_without_reading(callers, number).await;
            }
        });
    }
    calls.join_all().await;
    check_is_served(gateway.callers).await;
    let peak_kb = gateway.process.peak_memory_kb();

    assert!(peak_kb < SMALLEST_MEMORY_MB * 1_000, "{peak_kb} KB");
}

/// Sends a request and waits for the deadline without reading the response.
async fn send_without_reading(callers: SocketAddr, number: usize) {
    let mut socket = TcpStream::connect(callers).await.unwrap();
    let request = format!(
        "POST /order/1 HTTP/1.1\r\nhost: {HOST}\r\n{REQUEST_ID}: request-{number}\r\n\
         authorization: Bearer {CUSTOMER_KEY}\r\n{DEADLINE_MS}: {}\r\ncontent-length: 0\r\n\r\n",
        DEADLINE.as_millis()
    );
    socket.write_all(request.as_bytes()).await.unwrap();
    sleep(DEADLINE).await;
}

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nsignedcontent-type: text/event-stream\r\n\r\n";

/// Guards against a gateway that keeps an event that never ends for each of its streams.
#[tokio::test]
async fn events_without_end_fit_into_the_smallest_machine() {
    meet_endless_streams(vec![answer(STREAM_HEAD, "data: a ")], true).await;
}

/// Guards against a gateway that reads a stream faster than its caller, and keeps what the caller has not
/// read.
#[tokio::test]
async fn streams_without_end_to_callers_that_do_not_read_fit_into_the_smallest_machine() {
    let answers = vec![
        answer(STREAM_HEAD, "data: a\n\n"),
        answer(STREAM_HEAD, ": comment\n\n"),
        answer(STREAM_HEAD, "\n"),
        answer(STREAM_HEAD, "data: a "),
    ];
    meet_endless_streams(answers, false).await;
}

/// Guards against bounds on incomplete events that break off a stream with a large one.
#[tokio::test]
async fn a_large_event_is_passed_on() {
    let event = format!("data: {}\n\n", "a".repeat(500_000));
    let head = STREAM_HEAD.replace("signed", &format!("{RESPONSE_SIGNATURE}: s\r\n"));
    let settings = EndlessServerSettings {
        ordinary: vec![(SOUND_PATH, format!("{head}{event}"))],
        ..EndlessServerSettings::default()
    };
    let target = EndlessServer::start(settings).await.unwrap();
    let stream = RouteSpec { kind: RouteKind::ResumableStream, ..route() };
    let gateway = PlainGateway::start(stream, &[target.address()]).await;
    let response = order(gateway.callers, "large".to_owned(), SOUND_PATH).await;
    assert_eq!(response.body.len(), event.len());
}

/// Guards against an agent that collects what its engine sends in place of a report, or skips it without end.
#[tokio::test]
async fn reports_without_end_are_cut() {
    let report =
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"sequence\":1,\"models\":[";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let answers = vec![
        answer(report, "{\"name\":\"m\",\"version\":1},"),
        answer("", "a"),
        answer("", "HTTP/1.1 100 Continue\r\n\r\n"),
        answer("HTTP/1.1 200 OK\r\nx-endless: ", "a"),
        answer(chunked, "0"),
        answer(chunked, "1\r\na\r\n"),
    ];
    let at_least = 3 * answers.len();
    let engine = EndlessServer::start(settings(answers)).await.unwrap();
    let store = StoreServer::start(StoreSettings::default()).await.unwrap();
    let machine = MachineSpec {
        name: "engine-1".into(),
        engine: Some((engine.address(), SERVICE.into())),
        ..gateway_machine(store.address())
    };
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("settings.conf");
    std::fs::write(&path, machine.settings_file(&FleetLimits::default())).unwrap();
    let arguments = ["agent", "--settings", path.to_str().unwrap()].map(str::to_owned);
    let agent = Process::start("agent", &arguments);

    agent.wait_for_line("event=engine_lost").await;
    wait_until("reports are cut", async || engine.closed() >= at_least).await;
    let peak_kb = agent.peak_memory_kb();
    assert!(peak_kb < MOST_AGENT_MEMORY_KB, "{peak_kb} KB");
}
